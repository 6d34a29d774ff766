"""What all calls of an entry share: connections, budgets, judgements of health."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller.gateway.connection_pool import ConnectionPool
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.eventlog import EventLog
from bambootiller.gateway.knowledge import Knowledge
from bambootiller.gateway.ports import Dialect
from bambootiller.gateway.quarantine import Quarantine
from bambootiller.gateway.quotas import Quotas
from bambootiller.gateway.server_admission import ServerAdmission
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller.gateway.silence import RunningClock
from bambootiller_core.gateway.attempts import DEFAULT_RETRY_AFTER_S, Reason, Refusal
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.health import Health
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.log_lines import BackendJudged
from bambootiller_core.gateway.retry_budget import ASSUMED_ENTRIES, RetryBudget
from bambootiller_core.gateway.retry_prediction import RetryPredictor
from bambootiller_core.gateway.service_levels import ServiceLevels

#: Connections to one backend server where the configuration sets no limit.
DEFAULT_MAX_CONNECTIONS = 256
#: A new entry has heard all agents that it can reach after this time. Seconds.
STARTUP_GRACE_S = 1.5
#: No entry has fewer than this, however many share the limit.
MIN_CONNECTIONS = 8
#: An entry that gets most callers for a while may have so many connections for each
#: call that a backend server serves at once, more than it sends it: those that are
#: being made count too.
CONNECTIONS_PER_SLOT = 2
#: But no more than this part of what the backend server takes.
MAX_ENTRY_FRACTION = 0.5


@dataclass(slots=True)
class ServiceState:
    """What belongs to one service while it is configured."""

    health: Health = field(default_factory=Health)
    budget: RetryBudget | None = None
    levels: ServiceLevels = field(default_factory=ServiceLevels)
    retry_predictor: RetryPredictor = field(default_factory=RetryPredictor)


class RelayContext:
    """Shared by all calls of an entry: pools, budgets and judgements of health."""

    def __init__(
        self,
        knowledge: Knowledge,
        engines: Engines,
        dialect: Dialect,
        events: EventLog,
        zone: str,
        rng: random.Random,
        clock: Callable[[], float],
        new_budget: Callable[[], RetryBudget],
        running_time: RunningClock,
        quarantine: Quarantine,
        quotas: Quotas,
        server_limits: ServerLimits,
        server_admission: ServerAdmission,
    ) -> None:
        self.server_limits = server_limits
        self.server_admission = server_admission
        self.quarantine = quarantine
        self.quotas = quotas
        self.knowledge = knowledge
        self.engines = engines
        self.dialect = dialect
        self.events = events
        self.zone = zone
        self.rng = rng
        self.clock = clock
        self.running_time = running_time
        self._new_budget = new_budget
        self.started_at = clock()
        #: When a planned stop cuts what still runs; None while none has begun.
        self.stop_deadline: float | None = None
        self._services: dict[str, ServiceState] = {}
        self._pools: dict[Incarnation, ConnectionPool] = {}

    def is_starting(self) -> bool:
        """Whether this process has only just begun: it may not have heard the agents
        yet, and knows less than a moment later."""
        return self.clock() - self.started_at < STARTUP_GRACE_S

    def service(self, name: str) -> ServiceState:
        """What is kept for a service."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServiceState(budget=self._new_budget())
        found.budget.entries = max(
            2, len(self.engines.plans.entries) or ASSUMED_ENTRIES
        )
        return found

    def mark_unreachable(self, service: str, backend: Backend) -> None:
        """No connection to a backend server could be made."""
        now = self.clock()
        backend.mark_unreachable(now)
        self.service(service).health.unreachable(now, backend.incarnation)
        self.review_health(service, backend.incarnation)

    def review_health(self, service: str, server: Incarnation) -> None:
        """Say so if a backend server is judged otherwise from now on."""
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

    def key_refusal(self, call: Call) -> Refusal | None:
        """Why a call that was let in may not be sent any more: a configuration has come
        in which its key is gone, or another customer's."""
        config = self.knowledge.config
        if config is None or config.customers is None or call.customer is None:
            return None
        holder = config.customers.holder(call.key)
        if holder is None:
            return None if call.route.public else Refusal(Reason.UNKNOWN_KEY)
        if holder.name != call.customer.name:
            return Refusal(Reason.KEY_CHANGED_HANDS, DEFAULT_RETRY_AFTER_S)
        return None

    def pool(self, backend: Backend) -> ConnectionPool:
        """The connections to a backend server, by its incarnation: a new start at the
        same address doesn't answer on those of the one before."""
        found = self._pools.get(backend.incarnation)
        if found is None:
            limit = self._connection_limit(backend)
            found = ConnectionPool(
                backend.registration.address, limit, self.running_time
            )
            self._pools[backend.incarnation] = found
        return found

    def min_retry_budget(self) -> float:
        """The second attempts that the tightest budget of a service allows now."""
        now = self.clock()
        remaining = (state.budget.remaining(now) for state in self._services.values())
        return min(remaining, default=0.0)

    def connection_count(self) -> int:
        """The connections to backend servers, idle ones included."""
        return sum(pool.open for pool in self._pools.values())

    def sweep(self, now: float) -> None:
        """Close idle connections past their time, and forget what has ended."""
        is_current = self.knowledge.fleet.is_current
        for server, pool in list(self._pools.items()):
            pool.sweep(now)
            if not is_current(server):
                pool.close()
                del self._pools[server]
        for state in self._services.values():
            state.health.forget_ended(is_current)

    def _connection_limit(self, backend: Backend) -> int:
        config = self.knowledge.config
        service = config.services.get(backend.registration.service) if config else None
        if service is None or service.max_connections is None:
            return DEFAULT_MAX_CONNECTIONS
        limit = service.max_connections
        share = limit // max(2, len(self.engines.plans.entries))
        wanted = CONNECTIONS_PER_SLOT * backend.registration.slots
        return max(MIN_CONNECTIONS, share, min(wanted, int(MAX_ENTRY_FRACTION * limit)))
