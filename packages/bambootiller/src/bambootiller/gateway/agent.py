"""The gateway's agent, the process beside one engine that sends it all its orders."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.agent_census import HOLDERS_PREFIX
from bambootiller.gateway.agent_updates import AgentUpdates
from bambootiller.gateway.allocator_election import AllocatorElection
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import (
    Exchanger,
    PeerStream,
    ResidencyServicer,
    Update,
)
from bambootiller.gateway.gateway_state import GatewayState, StoreWatcher
from bambootiller.gateway.meters import Meters
from bambootiller.gateway.ports import Engine, Platform, ReportFailed
from bambootiller.gateway.quarantine import Quarantine
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller.gateway.stall_monitor import StallMonitor
from bambootiller.gateway.store_permit_holder import StorePermitHolder
from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.config import EngineSpec, GatewayConfig
from bambootiller_core.gateway.copies import copies_changed
from bambootiller_core.gateway.declined_loads import DeclinedLoad
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import (
    EngineOrder,
    EngineReport,
    LoadEnded,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.orders import OrderBook
from bambootiller_core.gateway.report_identity import registration_at, with_identity
from bambootiller_core.gateway.store_permit_gate import StorePermitGate
from bambootiller_core.ports import Committed, Compare, Found, Put

#: Interval between two reads of the engine's report while it is idle, while an order is
#: in progress, and right after an order. Seconds.
IDLE_POLL_S = 0.25
BUSY_POLL_S = 0.05
AFTER_ORDER_POLL_S = 0.002
#: Interval between two attempts to obtain a fencing token. Seconds.
TOKEN_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class _ActiveLoad:
    """A load that was ordered at the time ``started_at``."""

    model: str
    started_at: float
    from_store: bool


class GatewayAgent:
    """Runs beside one engine, and is the only process to send it orders.

    Example::

        agent = GatewayAgent(
            app, platform, engine, address, "tutor", events, meters
        )
        app.add(agent)
    """

    name = "gateway agent"

    def __init__(
        self,
        app: Application,
        platform: Platform,
        engine: Engine,
        address: str,
        service: str,
        events: EventLog,
        meters: Meters,
    ) -> None:
        self._app = app
        self._platform = platform
        self._engine = engine
        self._address = address
        self._service = service
        self._events = events
        self._wake = asyncio.Event()
        self._stall_monitor = StallMonitor(app, events)
        self._gateway_state = GatewayState(
            platform.directory, events, app.now, bounds=lambda: platform.bounds
        )
        running_time = self._stall_monitor.running_time
        self._exchanger = Exchanger(
            app.instance, self._gateway_state, events, app.channels, running_time
        )
        self._quarantine = Quarantine(
            self._gateway_state, events, app.now, self._exchanger.send_now
        )
        self._updates = AgentUpdates(
            self._exchanger, events, app.now, self._load_requested, self._quarantine
        )
        self._server_limits = ServerLimits(events, app.now, self._exchanger.send_now)
        self._quotas = AllocatorElection(
            app,
            platform.kv,
            events,
            lambda: platform.bounds.quota,
            self._exchanger.send_now,
            lambda: self._updates.has_live_entry(),
            self._server_limits,
        )
        self._book: OrderBook | None = None
        self._gate = StorePermitGate()
        self._permit_holder = StorePermitHolder(
            app,
            platform.kv,
            service,
            self._gate,
            events,
            self._load_requested,
            running_time,
        )
        self._token: int | None = None
        self._silent_since: float | None = None
        #: The load that the engine was last ordered to do, until it has ended.
        self._loading: _ActiveLoad | None = None
        self._declined: DeclinedLoad | None = None
        self._reported_at = 0.0
        self._add_gauges(meters)
        app.add_servicer(self._register)

    async def prepare(self) -> None:
        """Does nothing: no resource has to be acquired before the start."""

    async def start(self) -> None:
        """Starts to watch the key-value service, to obtain a fencing token and to
        manage the engine."""
        app = self._app
        self._stall_monitor.start()
        self._gateway_state.on_config(self._apply_config)
        watcher = StoreWatcher(
            self._platform.kv,
            self._gateway_state,
            self._events,
            app.now,
            self._stall_monitor.running_time_at,
            lambda: self._platform.bounds,
        )
        for prefix in self._platform.directory.prefixes:
            follow = watcher.follow(prefix, self._has_no_live_entry)
            app.spawn(f"watch {prefix}", follow)
        app.spawn("fencing token", self._maintain_token())
        app.spawn("store turn", self._permit_holder.recover())
        app.spawn("engine", self._manage_engine())
        self._quarantine.start(app.timers, app.now())
        self._server_limits.start(app.timers, app.now(), self._gateway_state.fleet)
        self._events.emit(lines.Started("agent", app.settings.zone))

    async def drain(self, seconds: float) -> None:
        """Logs the stop; the agent has no work in progress that a stop could
        interrupt."""
        self._events.emit(lines.Stopping("agent"))

    async def stop(self) -> None:
        """Gives up the role of the quota allocator, if this agent has it, and closes
        the connections to the engine."""
        await self._quotas.release()
        await self._engine.close()
        self._events.emit(lines.Stopped("agent"))

    def _has_no_live_entry(self) -> bool:
        """Whether the key-value service has to be read. Entries forward all documents,
        so as long as one is live the service is left alone: each call to it is paid
        for, and the registry changes many times a second."""
        return not self._updates.has_live_entry()

    def _register(self, server: object) -> None:
        servicer = ResidencyServicer(self._exchanger, self._fill, self._received)
        api.add_ResidencyServicer_to_server(servicer, server)

    def _fill(self, update: Update, peer_stream: PeerStream) -> None:
        self._updates.fill(update, peer_stream)
        self._server_limits.fill(update, peer_stream, own=False)
        self._quotas.fill(update, peer_stream)

    def _received(self, update: Update, peer_stream: PeerStream) -> None:
        self._updates.received(update, peer_stream)
        self._server_limits.take(update, peer_stream)
        self._quotas.received(update, peer_stream)

    def _load_requested(self) -> None:
        """Wakes the agent, as an entry has requested a load."""
        self._wake.set()

    def _add_gauges(self, meters: Meters) -> None:
        for name, text, read in (
            ("engine_running", "Calls in the engine's batch", lambda s: s.running),
            ("engine_queued", "Calls that wait in the engine", lambda s: s.queued),
            ("engine_models", "Models held", lambda s: len(s.holdings)),
            ("engine_memory_mb", "Memory of models", lambda s: s.memory_mb_used),
            ("engine_orderable", "1 if it takes orders", lambda s: s.orderable),
        ):
            meters.add_gauge(name, text, self._state_reader(read))
        meters.add_gauge(
            "entries_known", "Entries heard", lambda: self._updates.entry_count
        )
        meters.add_gauge("fencing_token", "0 without one", lambda: self._token or 0)

    def _state_reader(
        self, read: Callable[[EngineState], float]
    ) -> Callable[[], float]:
        """Returns a function that reads a figure of the engine's state, or 0 while
        there is no state."""

        def current() -> float:
            book = self._book
            state = book.state(self._app.now()) if book is not None else None
            return float(read(state)) if state is not None else 0.0

        return current

    def _apply_config(self, config: GatewayConfig) -> None:
        self._quotas.configured(config)
        service = config.services.get(self._service)
        spec: EngineSpec | None = service.engine if service is not None else None
        if spec is None:
            return
        if self._book is None:
            self._book = OrderBook(spec, self._gate)
            self._updates.begin(self._book)
        else:
            self._book.configured(spec)
        self._wake.set()

    async def _maintain_token(self) -> None:
        """Obtains and keeps a fencing token, which is a revision of the key-value
        service.

        Revisions grow and are never used twice, so the token of each start of an agent
        is higher than any that the engine may have seen before, whichever agent sent
        it.
        """
        key = HOLDERS_PREFIX + self._app.instance
        while True:
            if self._token is None:
                self._token = await self._acquire_token(key)
                if self._token is not None:
                    if self._book is not None:
                        self._book.fenced = False
                    self._updates.set_can_order(True)
            if self._book is not None and self._book.fenced:
                self._token = None
                self._updates.set_can_order(False)
            await asyncio.sleep(TOKEN_RETRY_S)

    async def _acquire_token(self, key: str) -> int | None:
        kv = self._platform.kv
        found = await kv.get(key)
        if not isinstance(found, Found):
            return None
        revision = found.records[0].mod_revision if found.records else 0
        value = self._app.instance.encode()
        written = await kv.transact([Compare(key, revision)], [Put(key, value)])
        if not isinstance(written, Committed):
            return None
        self._events.emit(lines.FencingToken(written.revision))
        return written.revision

    async def _manage_engine(self) -> None:
        while True:
            delay_s = await self._step()
            self._updates.send_changes()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._wake.wait()
            self._wake.clear()

    async def _step(self) -> float:
        """Reads the engine's report and sends at most one order; returns the delay
        before the next step, in seconds."""
        if self._book is None:
            return IDLE_POLL_S
        started_at = self._stall_monitor.stall_check.now()
        report = await self._engine.report()
        if isinstance(report, ReportFailed):
            if self._stall_monitor.stall_check.was_stalled(started_at):
                # The failure isn't reported to entries: one stall of this process
                # together with one pause of a stream would make them consider the
                # engine lost.
                return BUSY_POLL_S
            if self._silent_since is None:
                self._silent_since = self._app.now()
                self._events.emit(lines.DependencyLost("engine", report.detail))
                self._updates.set_engine_responsive(False)
                self._record_engine_lost()
            if report.gone:
                self._book.engine_ended()
                self._permit_holder.load_ended()
            elif self._is_unlisted():
                self._permit_holder.release_if_unused(
                    self._app.now(), load_in_progress=False
                )
            return IDLE_POLL_S
        self._reported_at = self._app.now()
        if self._silent_since is not None:
            away_ms = round((self._reported_at - self._silent_since) * 1000)
            self._silent_since = None
            self._updates.set_engine_responsive(True)
            self._events.emit(lines.DependencyRegained("engine", away_ms))
        is_busy, report = report.busy, self._identify(report)
        if report is None:
            # An engine that isn't listed any more continues its load until that ends.
            self._permit_holder.release_if_unused(
                self._reported_at, load_in_progress=is_busy
            )
            return IDLE_POLL_S
        self._process_report(report)
        self._release_unused_permit(report)
        book = self._book
        if self._token is None:
            return IDLE_POLL_S
        order = book.next_order(self._app.now())
        self._record_declined(book.declined)
        if order is None:
            self._permit_holder.acquire(self._app.now())
            return BUSY_POLL_S if report.busy else IDLE_POLL_S
        await self._send_order(order, book.report.instance)
        return AFTER_ORDER_POLL_S

    def _record_declined(self, declined: DeclinedLoad | None) -> None:
        """Logs a load that can't start, once for as long as it is requested."""
        if declined == self._declined:
            return
        self._declined = declined
        if declined is not None:
            line = lines.StoreLoadDeclined(declined.model, declined.reason.value)
            self._events.emit(line)

    def _is_unlisted(self) -> bool:
        """Whether the registry, as far as this agent knows it, doesn't list the engine
        any more."""
        fleet = self._gateway_state.fleet
        return (
            any(True for _ in fleet) and registration_at(fleet, self._address) is None
        )

    def _release_unused_permit(self, report: EngineReport) -> None:
        in_progress = self._book.uses_store()
        if self._permit_holder.is_recovered:
            in_progress = in_progress or report.busy
        self._permit_holder.release_if_unused(self._reported_at, in_progress)

    def _identify(self, report: EngineReport) -> EngineReport | None:
        listed = registration_at(self._gateway_state.fleet, self._address)
        return with_identity(report, listed)

    def _process_report(self, report: EngineReport) -> None:
        before = self._book.report
        self._record_load_ended(self._book.reported(self._app.now(), report))
        latest = self._book.report
        changed = copies_changed(before, latest)
        if changed is not None:
            self._events.emit(changed)
        if before is None:
            return
        if not latest.incarnation.differs_from(before.incarnation):
            return
        self._record_engine_lost(before.incarnation)
        line = lines.BackendRestarted(
            report.instance, latest.started_ms, before.started_ms, "report"
        )
        self._events.emit(line)

    def _record_engine_lost(self, incarnation: Incarnation | None = None) -> None:
        """Records that the engine doesn't respond or has restarted, possibly crashed by
        its load."""
        report = self._book.report
        if self._loading is None or report is None:
            return
        load, self._loading = self._loading, None
        ended = incarnation or report.incarnation
        seconds = self._app.now() - load.started_at
        self._quarantine.load_lost(load.model, ended, seconds)
        line = lines.LoadEnded(load.model, False, round(seconds, 2), load.from_store)
        self._events.emit(line)

    def _record_load_ended(self, ended: LoadEnded | None) -> None:
        if ended is None:
            return
        self._loading = None
        if ended.held:
            self._quarantine.load_completed(ended.model)
        if ended.from_store:
            self._permit_holder.load_ended()
        seconds = round(ended.seconds, 2)
        self._events.emit(
            lines.LoadEnded(ended.model, ended.held, seconds, ended.from_store)
        )

    async def _send_order(self, order: EngineOrder, instance: str) -> None:
        book = self._book
        book.order_sent(order)
        self._updates.send_changes()
        decided_at = self._app.now()
        demand = book.demands().get(order.wanted_for or order.model, Demand())
        requested_by = book.requested_by(order)
        from_store = _draws_on_store(book.report, order)
        answer = await self._engine.order(order, instance, self._token)
        book.answered(self._app.now(), order, answer)
        may_load = answer in (OrderAnswer.ACCEPTED, OrderAnswer.UNANSWERED)
        if may_load and order.kind is OrderKind.LOAD and not order.adapter:
            self._loading = _ActiveLoad(order.model, decided_at, from_store)
        line = lines.Order(
            order.kind.value,
            order.model,
            order.adapter,
            order.expected,
            self._token,
            answer.value,
            order.wanted_for,
            round(demand.rate, 2),
            demand.waiting,
            round((decided_at - self._reported_at) * 1000),
            requested_by or None,
            from_store or None,
        )
        self._events.emit(line)
        if answer is OrderAnswer.CONFLICT:
            await self._settle_conflict(order)
        elif answer is OrderAnswer.OTHER_INSTANCE:
            self._permit_holder.load_ended()

    async def _settle_conflict(self, order: EngineOrder) -> None:
        report = await self._engine.report()
        report = None if isinstance(report, ReportFailed) else self._identify(report)
        if report is None:
            return
        self._process_report(report)
        # A late report of the engine's previous start isn't applied, and doesn't settle
        # the conflict.
        if self._book.report is report and report.accepted <= order.expected:
            self._book.conflict_confirmed(order)


def _draws_on_store(report: EngineReport, order: EngineOrder) -> bool:
    """Whether the order is for a load from the weight store."""
    if order.kind is not OrderKind.LOAD or order.adapter:
        return False
    return not report.has_copy(order.model)
