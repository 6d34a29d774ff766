"""State shared by all calls of an entry: connections, retry budgets and health."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller.gateway.connection_pool import ConnectionPool
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.ports import Dialect
from bambootiller.gateway.quarantine import Quarantine
from bambootiller.gateway.quotas import Quotas
from bambootiller.gateway.server_admission import ServerAdmission
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller.gateway.silence import RunningTimeSource
from bambootiller.gateway.work_queue import WorkQueue
from bambootiller_core.gateway.attempts import (
    DEFAULT_RETRY_AFTER_S,
    Refusal,
    RefusalReason,
)
from bambootiller_core.gateway.caller_memory import CallerMemory
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.health import Health
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.log_lines import BackendJudged
from bambootiller_core.gateway.retry_budget import ASSUMED_ENTRIES, RetryBudget
from bambootiller_core.gateway.retry_prediction import RetryPredictor
from bambootiller_core.gateway.service_levels import ServiceLevels

#: Connections to one backend server if the configuration sets no limit.
DEFAULT_MAX_CONNECTIONS = 256
#: A new entry has received reports of all reachable agents after this time. Seconds.
STARTUP_GRACE_S = 1.5
#: Each entry may open this many connections, however many entries share the limit.
MIN_CONNECTIONS = 8
#: An entry that temporarily gets most of the calls may open this many connections per
#: slot of a backend server. It is more than one because connections that are still
#: being established count too.
CONNECTIONS_PER_SLOT = 2
#: But no more than this fraction of the backend server's connection limit.
MAX_ENTRY_FRACTION = 0.5


@dataclass(slots=True)
class ServiceState:
    """The state of one service."""

    health: Health = field(default_factory=Health)
    retry_budget: RetryBudget | None = None
    levels: ServiceLevels = field(default_factory=ServiceLevels)
    retry_predictor: RetryPredictor = field(default_factory=RetryPredictor)


class RelayContext:
    """Shared by all calls of an entry: connection pools, retry budgets and health."""

    def __init__(
        self,
        gateway_state: GatewayState,
        engines: Engines,
        dialect: Dialect,
        events: EventLog,
        zone: str,
        rng: random.Random,
        clock: Callable[[], float],
        new_budget: Callable[[], RetryBudget],
        running_time: RunningTimeSource,
        quarantine: Quarantine,
        quotas: Quotas,
        server_limits: ServerLimits,
        server_admission: ServerAdmission,
        caller_memory: CallerMemory | None = None,
    ) -> None:
        #: What callers make this process hold; without one it isn't bounded.
        self.caller_memory = caller_memory or CallerMemory(math.inf, clock)
        self.server_limits = server_limits
        self.server_admission = server_admission
        self.quarantine = quarantine
        self.quotas = quotas
        self.gateway_state = gateway_state
        self.engines = engines
        self.dialect = dialect
        self.events = events
        self.zone = zone
        self.rng = rng
        self.clock = clock
        self.running_time = running_time
        self._new_budget = new_budget
        self.started_at = clock()
        #: When a planned stop cuts off running calls, None if none has begun.
        self.stop_deadline: float | None = None
        #: For what costs more than the bytes that caused it.
        self.work_queue = WorkQueue()
        self._services: dict[str, ServiceState] = {}
        self._pools: dict[Incarnation, ConnectionPool] = {}

    def is_starting(self) -> bool:
        """Whether this process has just started: it may not have received reports of
        all agents yet."""
        return self.clock() - self.started_at < STARTUP_GRACE_S

    def service(self, name: str) -> ServiceState:
        """The state of a service."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServiceState(retry_budget=self._new_budget())
        found.retry_budget.entries = max(
            2, len(self.engines.plans.entries) or ASSUMED_ENTRIES
        )
        return found

    def mark_unreachable(self, service: str, backend: Backend) -> None:
        """Record that no connection to a backend server could be established."""
        now = self.clock()
        backend.mark_unreachable(now)
        self.service(service).health.unreachable(now, backend.incarnation)
        self.review_health(service, backend.incarnation)

    def review_health(self, service: str, server: Incarnation) -> None:
        """Review the health of a backend server and log a change of its state."""
        change = self.service(service).health.review(self.clock(), server)
        if change is None:
            return
        latency_s = change.latency_s
        line = BackendJudged(
            backend=server.instance,
            service=service,
            standing=change.standing.value,
            before=change.before.value,
            failure_rate=round(change.failure_rate, 3),
            latency_ms=None if latency_s is None else round(latency_s * 1000),
        )
        self.events.emit(line)

    def accepts_calls(self, backend: Backend) -> bool:
        """Whether a call may be sent to a backend server now, whatever was known when
        it was chosen."""
        return self.gateway_state.fleet.accepts_calls(self.clock(), backend)

    def key_refusal(self, call: Call) -> Refusal | None:
        """Why an admitted call may no longer be sent: the configuration has changed and
        its key has been removed or belongs to another customer."""
        config = self.gateway_state.config
        if config is None or config.customers is None or call.customer is None:
            return None
        holder = config.customers.holder(call.key)
        if holder is None:
            return None if call.route.public else Refusal(RefusalReason.UNKNOWN_KEY)
        if holder.name != call.customer.name:
            return Refusal(RefusalReason.KEY_CHANGED_HANDS, DEFAULT_RETRY_AFTER_S)
        return None

    def pool(self, backend: Backend) -> ConnectionPool:
        """The connection pool of a backend server's incarnation: after a restart at the
        same address the old connections are dead."""
        found = self._pools.get(backend.incarnation)
        if found is None:
            limit = self._connection_limit(backend)
            found = ConnectionPool(
                backend.registration.address,
                limit,
                self.running_time,
                self.work_queue,
            )
            self._pools[backend.incarnation] = found
        return found

    def min_retry_budget(self) -> float:
        """The number of retries that the smallest budget of any service allows now."""
        now = self.clock()
        remaining = (
            state.retry_budget.remaining(now) for state in self._services.values()
        )
        return min(remaining, default=0.0)

    def connection_count(self) -> int:
        """The number of connections to backend servers, idle ones included."""
        return sum(pool.open for pool in self._pools.values())

    def sweep(self, now: float) -> None:
        """Close expired idle connections and drop the state of backend servers that
        have ended."""
        is_current = self.gateway_state.fleet.is_current
        for server, pool in list(self._pools.items()):
            pool.sweep(now)
            if not is_current(server):
                pool.close()
                del self._pools[server]
        for state in self._services.values():
            state.health.forget_ended(is_current)

    def _connection_limit(self, backend: Backend) -> int:
        config = self.gateway_state.config
        service = config.services.get(backend.registration.service) if config else None
        if service is None or service.max_connections is None:
            return DEFAULT_MAX_CONNECTIONS
        limit = service.max_connections
        share = limit // max(2, len(self.engines.plans.entries))
        wanted = CONNECTIONS_PER_SLOT * backend.registration.slots
        return max(MIN_CONNECTIONS, share, min(wanted, int(MAX_ENTRY_FRACTION * limit)))
