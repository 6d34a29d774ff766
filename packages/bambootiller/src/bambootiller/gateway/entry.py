"""The gateway's entry, a component of the application."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Sequence
from dataclasses import dataclass

from bambootiller import logs
from bambootiller.app import Application
from bambootiller.entry.httpserver import HttpServer
from bambootiller.gateway.agent_census import AgentCensus
from bambootiller.gateway.allocator_client import AllocatorClient
from bambootiller.gateway.customer_audit import CustomerAudit
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import (
    Exchanger,
    PeerStream,
    ResidencyServicer,
    Update,
)
from bambootiller.gateway.gateway_state import GatewayState, StoreWatcher
from bambootiller.gateway.http_front import HttpFront, pages
from bambootiller.gateway.http_limits import limited_protocol
from bambootiller.gateway.http_refusals import HeadRefusal
from bambootiller.gateway.idle_loop import loop_idle_s
from bambootiller.gateway.machine_limits import MachineLimits
from bambootiller.gateway.meters import Meters
from bambootiller.gateway.ports import Platform
from bambootiller.gateway.quarantine_records import QuarantineRecords
from bambootiller.gateway.quotas import Quotas
from bambootiller.gateway.relay_context import STARTUP_GRACE_S, RelayContext
from bambootiller.gateway.server_admission import ServerAdmission
from bambootiller.gateway.stall_monitor import StallMonitor
from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller.settings import Address
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.caller_connections import CallerConnections
from bambootiller_core.gateway.caller_memory import CallerMemory, Kind
from bambootiller_core.gateway.config import CallLimits
from bambootiller_core.gateway.overload import Overload
from bambootiller_core.gateway.retry_budget import RetryBudget

#: A leaving entry accepts new calls for this long: the load balancer stops sending new
#: connections only after two failed readiness checks, a second apart. Seconds.
READINESS_LAG_S = 2.6
#: Reserved at the end of a planned stop for answers to reach their callers. Seconds.
STOP_MARGIN_S = 0.4
#: A planned stop continues until no call has arrived for this long: a caller that just
#: connected or got an answer sends its next call within a round trip. Seconds.
QUIET_PERIOD_S = 0.3
#: How often expired connections and ended backend servers are dropped. Seconds.
SWEEP_INTERVAL_S = 0.5
#: How often the metrics of quota shares are updated. Seconds.
QUOTA_METRICS_INTERVAL_S = 1.0

log = logs.logger("gateway.entry")


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """The addresses of one entry: for callers, for the load balancer's readiness
    checks, and of other entries to get the current state from at the start."""

    callers: Address
    ready: Address
    agent_port: int
    peers: Sequence[Address] = ()


class GatewayEntry:
    """Accepts calls and forwards them to backend servers.

    Example::

        app.add(GatewayEntry(app, platform, addresses, events, meters))
    """

    name = "gateway entry"

    def __init__(
        self,
        app: Application,
        platform: Platform,
        addresses: EntryAddresses,
        events: EventLog,
        meters: Meters,
        machine: MachineLimits = MachineLimits(),
    ) -> None:
        self._app = app
        self._platform = platform
        self._addresses = addresses
        self._events = events
        self._stall_monitor = StallMonitor(app, events)
        running_time_at = self._stall_monitor.running_time_at
        self.gateway_state = GatewayState(
            platform.directory,
            events,
            app.now,
            running_time_at,
            lambda: platform.bounds,
        )
        running_time = self._stall_monitor.running_time
        self._exchanger = Exchanger(
            app.instance, self.gateway_state, events, app.channels, running_time
        )
        started_at = app.now()
        allocator_client = AllocatorClient(
            app.instance,
            self._exchanger.is_open,
            lambda: app.now() - started_at < STARTUP_GRACE_S,
        )
        self._quotas = Quotas(
            self.gateway_state, lambda: platform.bounds.quota, allocator_client
        )
        self._customers = CustomerAudit(events)
        self._engines = Engines(
            app,
            self.gateway_state,
            self._exchanger,
            events,
            addresses.agent_port,
            allocator_client,
        )
        limits = self._engines.server_limits
        self._caller_memory = CallerMemory(machine.caller_memory_bytes, app.now)
        self._context = RelayContext(
            self.gateway_state,
            self._engines,
            platform.dialect,
            events,
            app.settings.zone,
            app.rng,
            app.now,
            self._new_budget,
            self._stall_monitor.running_time,
            self._engines.quarantine,
            self._quotas,
            limits,
            ServerAdmission(limits, allocator_client, app.now),
            self._caller_memory,
        )
        plans = self._engines.plans
        self._census = AgentCensus(app, platform.kv, plans.needs_agent_count)
        plans.count_agents_by(lambda: self._census.count)
        self._records = QuarantineRecords(
            app, platform.kv, self._engines.quarantine, events
        )
        process_pages = pages(platform.dialect.ready_path, self.is_ready)
        self._front = HttpFront(
            self._context, process_pages, self.is_ready, lambda: self._leaving
        )
        self._overload = Overload()
        self._last_idle_s = 0.0
        self._stall_monitor.on_tick(self._on_tick)
        self._caller_connections = CallerConnections(machine.caller_connections)
        protocol = limited_protocol(
            self._limits, self._log_head_refusal, lambda: self._leaving
        )
        caller_protocol = limited_protocol(
            self._limits,
            self._log_head_refusal,
            lambda: self._leaving,
            self._sheds_connection,
            self._caller_memory,
            self._caller_connections,
        )
        self._caller_server = HttpServer(
            self._front, addresses.callers, caller_protocol
        )
        #: Callers and readiness checks may share one port.
        self._readiness_server = (
            HttpServer(self._front, addresses.ready, protocol)
            if addresses.ready != addresses.callers
            else self._caller_server
        )
        self._leaving = False
        self._meters = meters
        self._add_gauges(meters)
        app.add_servicer(self._register)

    async def prepare(self) -> None:
        """Nothing to prepare: an occupied port is detected by :meth:`start`."""

    async def start(self) -> None:
        """Bind the ports and serve; calls are refused until a configuration has been
        loaded."""
        app = self._app
        self._stall_monitor.start()
        watcher = StoreWatcher(
            self._platform.kv,
            self.gateway_state,
            self._events,
            app.now,
            self._stall_monitor.running_time_at,
            lambda: self._platform.bounds,
        )
        for prefix in self._platform.directory.prefixes:
            app.spawn(f"watch {prefix}", watcher.follow(prefix))
        for server in self._servers():
            server.bind()
            app.spawn(f"http port {server.port}", server.serve())
        app.http_port = self._caller_server.port
        self._engines.start()
        self._quotas.start(app.timers, app.now())
        self.gateway_state.on_config(self._customers.configured)
        self._records.start()
        self._census.start()
        app.timers.every(
            "gateway sweep", SWEEP_INTERVAL_S, app.now(), self._context.sweep
        )
        app.timers.every(
            "quota shares",
            QUOTA_METRICS_INTERVAL_S,
            app.now(),
            self._update_quota_metrics,
        )
        for peer in self._addresses.peers:
            stream = self._exchanger.keep_open(
                str(peer), _send_nothing, _ignore_update, to_entry=True
            )
            app.spawn(f"peer {peer}", stream)
        self._events.emit(lines.Started("entry", app.settings.zone))

    def _update_quota_metrics(self, now: float) -> None:
        self._meters.shares(self._quotas.shares())

    def _limits(self) -> CallLimits:
        config = self.gateway_state.config
        return config.limits if config is not None else CallLimits()

    def _log_head_refusal(self, refusal: HeadRefusal) -> None:
        config = self.gateway_state.config
        line = lines.Refused(
            request=None,
            route=None,
            service=None,
            kind=None,
            model=None,
            reason=refusal.reason,
            status=refusal.status,
            come_back_s=refusal.retry_after_s,
            held_ms=0,
            detail="",
            config_version=config.version if config is not None else None,
        )
        self._events.emit(line)

    def _on_tick(self, late_s: float) -> None:
        before = self._overload.rejected_fraction
        idle_s = loop_idle_s()
        self._overload.tick(late_s, idle_s - self._last_idle_s)
        self._last_idle_s = idle_s
        if bool(before) != bool(self._overload.rejected_fraction):
            begins = not before
            self._events.emit(lines.Overloaded(begins, round(late_s, 3)))

    def _sheds_connection(self) -> bool:
        return self._app.rng.random() < self._overload.rejected_fraction

    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections here."""
        if self.gateway_state.config is None or self._leaving:
            return False
        if not self._overload.is_ready:
            return False
        if not any(True for _ in self.gateway_state.fleet):
            return False
        # Without the quarantine state it would forward requests that other entries have
        # found to crash engines.
        return not self._context.is_starting() or self._has_quarantine_state()

    def _has_quarantine_state(self) -> bool:
        return self._records.is_loaded and self._engines.has_collector_reports()

    async def drain(self, seconds: float) -> None:
        """Shut down gracefully: fail the readiness checks, keep accepting calls for a
        while, then finish those that were accepted."""
        app = self._app
        end = app.now() + seconds
        self._leaving = True
        self._context.stop_deadline = end - STOP_MARGIN_S
        self._events.emit(lines.Stopping("entry", self._front.under_way))
        await asyncio.sleep(min(READINESS_LAG_S, seconds / 2))
        await self._caller_server.close_listener()
        try:
            async with asyncio.timeout_at(end - STOP_MARGIN_S):
                await self._wait_until_quiet()
        except TimeoutError:
            if self._front.under_way:
                self._events.emit(lines.CutAtStop(self._front.under_way))

    async def _wait_until_quiet(self) -> None:
        """Wait until no call is running and none has arrived for a moment.

        A caller that connected just before the port closed, or that got the last
        answer, may be sending its next call: stopping at once would lose it.
        """
        front = self._front
        accepted = None
        while accepted != front.accepted:
            await front.idle.wait()
            accepted = front.accepted
            await asyncio.sleep(QUIET_PERIOD_S)

    async def stop(self) -> None:
        """Close the connections and the ports."""
        self._engines.stop()
        for server in self._servers():
            await server.stop(STOP_MARGIN_S)
        self._events.emit(lines.Stopped("entry"))

    def _servers(self) -> tuple[HttpServer, ...]:
        if self._readiness_server is self._caller_server:
            return (self._caller_server,)
        return (self._caller_server, self._readiness_server)

    def _add_gauges(self, meters: Meters) -> None:
        front, context, engines = self._front, self._context, self._engines
        meters.add_gauge("calls_under_way", "Calls taken in", lambda: front.under_way)
        meters.add_gauge(
            "second_attempts_left",
            "Second attempts that the tightest budget of a service allows now",
            context.min_retry_budget,
        )
        meters.add_gauge(
            "backend_connections",
            "Connections to backend servers",
            context.connection_count,
        )
        meters.add_gauge(
            "entries_known", "Entries heard", lambda: len(engines.plans.entries)
        )
        meters.add_gauge(
            "store_loads_at_full_speed",
            "Loads that the weight store is taken to serve at full speed",
            engines.plans.store_loads,
        )
        meters.add_gauge(
            "store_loads_under_way",
            "Loads from the weight store that agents tell of",
            engines.plans.all_store_loads_under_way,
        )
        meters.add_gauge(
            "weight_store_idle_seconds",
            "Time in which the weight store served nobody while callers waited for"
            " models that no engine has a copy of",
            engines.plans.store_idle_s,
        )
        meters.add_gauge(
            "requests_quarantined",
            "Requests that are kept from all backend servers",
            lambda: engines.quarantine.quarantined_count,
        )
        meters.add_gauge(
            "backend_limits",
            "Backend servers that name a limit",
            lambda: len(engines.server_limits.in_force()),
        )
        meters.add_gauge(
            "connections_turned_away_share",
            "The part of new connections that is closed unread",
            lambda: self._overload.rejected_fraction,
        )
        meters.add_gauge(
            "unsent_answer_bytes",
            "Bytes of answers that the network hasn't taken yet",
            self._caller_server.unsent_bytes,
        )
        memory = self._caller_memory
        meters.add_gauge(
            "caller_memory_limit_bytes",
            "What callers may make this process hold",
            lambda: memory.capacity,
        )
        for kind in Kind:
            meters.add_gauge(
                f"caller_memory_{kind.value}_bytes",
                f"What callers make this process hold, of kind {kind.value}",
                functools.partial(memory.held.__getitem__, kind),
            )
        meters.add_gauge(
            "caller_memory_evictions",
            "How often callers lost their place in favour of others",
            lambda: memory.evictions,
        )
        connections = self._caller_connections
        meters.add_gauge(
            "caller_connections_limit",
            "How many connections callers may have",
            lambda: connections.capacity,
        )
        meters.add_gauge(
            "caller_connections",
            "Connections of callers",
            lambda: connections.count,
        )
        meters.add_gauge(
            "caller_connections_evicted",
            "Connections of callers that were closed in favour of others",
            lambda: connections.evicted,
        )
        meters.add_gauge("engine_streams", "Streams to agents", engines.stream_count)

    def _register(self, server: object) -> None:
        servicer = ResidencyServicer(
            self._exchanger, _send_nothing, _ignore_update, to_entry=True
        )
        api.add_ResidencyServicer_to_server(servicer, server)

    def _new_budget(self) -> RetryBudget:
        bounds = self._platform.bounds
        return RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )


def _send_nothing(update: Update, peer_stream: PeerStream) -> None:
    """Entries send each other only documents, which the exchanger adds itself."""


def _ignore_update(update: Update, peer_stream: PeerStream) -> None:
    """The exchanger itself processes received documents."""
