"""Chooses the orders that one agent sends to its engine and tracks their results.

Only the agent beside an engine gives it orders, so a single process decides what the
engine holds. The order book handles four failures:

- *An order beyond the memory crashes the engine.* Held models, models being loaded and
  whatever an unconfirmed order may load all count as used memory until a report shows
  otherwise.
- *An order without an answer may be carried out seconds later, after newer orders.*
  Each order carries the number of orders that the engine has accepted so far, and the
  engine refuses it once that number has changed. The same order is resent with the same
  number until the number changes, so exactly one of the copies can take effect.
- *A report may be older than the last order.* After each order nothing further is
  decided until a report arrives that was requested after it.
- *The engine may restart, possibly under the same name.* All earlier state is
  discarded, and a report from an earlier start changes nothing. Room is reserved for an
  order that may still arrive from before the restart (:mod:`late_orders`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.declined_loads import DeclinedLoad, DeclineReason
from bambootiller_core.gateway.demand_collection import merge_max
from bambootiller_core.gateway.engine_state import EngineState, Loading
from bambootiller_core.gateway.entry_reports import EntryReports
from bambootiller_core.gateway.late_orders import LateOrders
from bambootiller_core.gateway.load_targets import (
    CALL_DURATION_S,
    choose_victims,
    keep_values,
)
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_memory import fits_late_loads, memory_used
from bambootiller_core.gateway.order_messages import (
    CALLS_WAITING,
    EngineOrder,
    EngineReport,
    LoadEnded,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.store_permit_gate import StorePermitGate

#: The most adapters that may be loading at an engine at the same time.
MAX_ADAPTER_LOADS = 4
#: Seconds within which a load shows in the engine's reports. An engine that isn't busy
#: after this time, and doesn't hold the model, has abandoned the load.
LOAD_VISIBLE_S = 0.4
#: Seconds for which no orders are sent to an engine that refused one because it is
#: another instance, unless its name becomes known earlier; it would keep refusing the
#: same order. About one heartbeat, within which the registry lists a new start.
WRONG_INSTANCE_COOLDOWN_S = 1.0
#: The remaining time of a load that has exceeded its estimate, as a fraction of that
#: estimate.
OVERRUN_FRACTION = 0.15


@dataclass(slots=True)
class _Load:
    model: str
    started_at: float
    seconds: float
    from_store: bool


@dataclass(frozen=True, slots=True)
class _PendingLoad:
    """A load for which other models are being unloaded."""

    request: LoadRequest
    since: float


class OrderBook:
    """Chooses the orders of one engine. Without a ``gate``, loads from the weight store
    start whenever they are requested.

    Example::

        book.reported(now, report)
        order = book.next_order(now)
        if order is not None:
            book.answered(now, order, await engine.order(order))
    """

    def __init__(self, engine: EngineSpec, gate: StorePermitGate | None = None) -> None:
        self._engine = engine
        self._gate = gate
        self._report: EngineReport | None = None
        self._reported_at = float("-inf")
        self._unconfirmed: EngineOrder | None = None
        self._needs_report = True
        self._load: _Load | None = None
        self._unloading: str | None = None
        self._pending_load: _PendingLoad | None = None
        self._entry_reports = EntryReports()
        self._late_orders = LateOrders()
        self._wrong_instance_until = float("-inf")
        self.fenced = False
        #: The requested load from the weight store that couldn't start at the last
        #: decision.
        self.declined: DeclinedLoad | None = None

    @property
    def report(self) -> EngineReport | None:
        """The latest report."""
        return self._report

    @property
    def unconfirmed(self) -> EngineOrder | None:
        """An order that the engine may or may not have accepted."""
        return self._unconfirmed

    def configured(self, engine: EngineSpec) -> None:
        """Apply a new configuration of the engine."""
        self._engine = engine

    def load_requested(self, now: float, request: LoadRequest, entry: str = "") -> None:
        """Record that an entry has calls that need the model or adapter."""
        self._entry_reports.load_requested(now, request, entry)

    def requested_by(self, order: EngineOrder) -> str:
        """The entry that last requested the load that the order is for."""
        if order.wanted_for:
            return self._entry_reports.requested_by(order.wanted_for)
        return self._entry_reports.requested_by(order.model, order.adapter)

    def entry_reported(
        self,
        now: float,
        entry: str,
        demands: Mapping[str, Demand],
        in_use: Mapping[str, int],
    ) -> None:
        """Record an entry's demand over all engines, and its calls at this engine, by
        model."""
        self._entry_reports.reported(now, entry, demands, in_use)

    def entry_alive(self, now: float, entry: str) -> bool:
        """Record that an entry has no changes to report; False if its last report has
        expired and must be sent again."""
        return self._entry_reports.keep_alive(now, entry)

    def reported(self, now: float, report: EngineReport) -> LoadEnded | None:
        """Apply a report that was requested after the last order was answered; returns
        the load that the report shows as ended, if any."""
        if self._is_restart(now, report):
            self._restarted()
        elif self._is_late(report):
            return None
        self._report, self._reported_at = report, now
        self._needs_report = False
        unconfirmed = self._unconfirmed
        if unconfirmed is not None and report.accepted > unconfirmed.expected:
            self._unconfirmed = None
            self._order_accepted(now, unconfirmed)
        return self._update_progress(now, report)

    def _is_restart(self, now: float, report: EngineReport) -> bool:
        if self._report is None:
            return False
        known, silent_s = self._report.incarnation, now - self._reported_at
        renewed = report.incarnation.supersedes(known, silent_s)
        return renewed or report.instance != known.instance

    def _is_late(self, report: EngineReport) -> bool:
        if self._report is None:
            return False
        return report.incarnation.precedes(self._report.incarnation)

    def _restarted(self) -> None:
        """Discard the state of the previous start: a new one holds nothing and has
        accepted no orders.

        Whether an unanswered order was carried out no longer matters. It may reach the
        new start, which refuses it only if the instance name or the order count
        differs.
        """
        self._load = self._unloading = self._unconfirmed = self._pending_load = None
        self._entry_reports.engine_restarted()
        self._late_orders.engine_restarted()
        self._wrong_instance_until = float("-inf")

    def engine_ended(self) -> None:
        """Record that the engine has ended, and its load with it. If the load were
        still reported as in progress, it would keep the weight store's permit from
        other agents until the engine is back or removed."""
        self._load = None

    def next_order(self, now: float) -> EngineOrder | None:
        """The order to send now, or None."""
        order = self._choose_order(now)
        if not self._needs_report:
            self.declined = self._find_declined(now, order)
        return order

    def _choose_order(self, now: float) -> EngineOrder | None:
        if self._gate is not None:
            self._gate.blocked_load = None
        report = self._report
        if report is None or self._needs_report or self.fenced:
            return None
        if now < self._wrong_instance_until:
            return None
        if self._unconfirmed is not None:
            return self._unconfirmed
        if self._gate is not None and self._gate.acquiring is not None:
            self._entry_reports.renew_request(now, self._gate.acquiring.model)
        self._entry_reports.expire(now)
        if report.busy or self._load is not None or self._unloading is not None:
            # While it carries out an order for a model, the engine refuses all other
            # orders, including those for adapters.
            return None
        load_requests = self._entry_reports.load_requests()
        if self._pending_load is not None:
            order = self._order_for_model(now, self._pending_load.request)
            if order is not None:
                return order
            self._pending_load = None
        for request in load_requests:
            order = self._order_for_adapter(now, request) if request.adapter else None
            if order is not None:
                return order
        for request in load_requests:
            order = None if request.adapter else self._order_for_model(now, request)
            if order is not None:
                return order
        return None

    def _find_declined(
        self, now: float, order: EngineOrder | None
    ) -> DeclinedLoad | None:
        """The first requested load from the store that isn't about to start. A new
        order may be for an adapter, and the load be next."""
        report = self._report
        if report is None or (order is not None and order != self._unconfirmed):
            return None
        if self._gate is not None and self._gate.blocked_load is not None:
            return None
        self._entry_reports.expire(now)
        for model in self._entry_reports.requested_models():
            if model in report.holdings or report.has_copy(model):
                continue
            if model in self._engine.models and not self._is_starting(model):
                return DeclinedLoad(model, self._decline_reason(now))
        return None

    def _is_starting(self, model: str) -> bool:
        """Whether the model is being loaded, or is next to be."""
        if self._load is not None and self._load.model == model:
            return True
        pending = self._pending_load
        if pending is not None and pending.request.model == model:
            return True
        order = self._unconfirmed
        if order is not None and model in (order.model, order.wanted_for):
            return True
        acquiring = self._gate.acquiring if self._gate is not None else None
        return acquiring is not None and acquiring.model == model

    def _decline_reason(self, now: float) -> DeclineReason:
        if now < self._wrong_instance_until:
            return DeclineReason.OTHER_INSTANCE
        if self._unconfirmed is not None:
            return DeclineReason.ORDER_UNANSWERED
        if self._report.busy or self._load or self._unloading or self._pending_load:
            return DeclineReason.ORDER_IN_PROGRESS
        return DeclineReason.NO_ROOM

    def uses_store(self) -> bool:
        """Whether a load from the weight store is in progress, may be in progress, or
        has models unloaded to make room for it."""
        if self._load is not None:
            return self._load.from_store
        if self._report is None:
            return False
        order, pending = self._unconfirmed, self._pending_load
        if order is not None and order.kind is OrderKind.LOAD and not order.adapter:
            return not self._report.has_copy(order.model)
        return pending is not None and not self._report.has_copy(pending.request.model)

    def order_sent(self, order: EngineOrder) -> None:
        """Record that the order is being sent; it may take effect until it is
        answered."""
        self._unconfirmed = order
        if order.kind is OrderKind.UNLOAD and not order.adapter:
            self._unloading = order.model

    def answered(self, now: float, order: EngineOrder, answer: OrderAnswer) -> None:
        """Record the engine's answer."""
        self._needs_report = True
        if answer is OrderAnswer.UNANSWERED:
            self._late_orders.unanswered(now, order)
            return
        if answer is OrderAnswer.CONFLICT:
            # An earlier copy of this order may have been accepted, which shows in the
            # order count of the next report. If the count is unchanged, another order
            # is in progress.
            return
        self._unconfirmed = None
        if answer is OrderAnswer.ACCEPTED or answer is OrderAnswer.HOLDS:
            self._order_accepted(now, order)
            return
        if answer is OrderAnswer.FENCED:
            self.fenced = True
        if answer is OrderAnswer.OTHER_INSTANCE:
            self._wrong_instance_until = now + WRONG_INSTANCE_COOLDOWN_S
            self._pending_load = None
        if self._unloading == order.model:
            self._unloading = None

    def conflict_confirmed(self, order: EngineOrder) -> None:
        """Record that a report after a conflict shows an unchanged order count: the
        order was refused, and all its copies have been answered."""
        if self._unconfirmed == order:
            self._unconfirmed = None
            if self._unloading == order.model and not order.adapter:
                self._unloading = None

    def state(self, now: float) -> EngineState | None:
        """The state of this engine as it is advertised to entries."""
        report = self._report
        if report is None:
            return None
        holdings = {
            model: adapters
            for model, adapters in report.holdings.items()
            if model != self._unloading
        }
        return EngineState(
            instance=report.instance,
            holdings=holdings,
            loading=self._advertised_load(now),
            busy=report.busy,
            in_memory=report.in_memory,
            on_disk=report.on_disk,
            running=report.running,
            queued=report.queued,
            memory_mb_used=self._memory_used(),
            orderable=not self.fenced and now >= self._wrong_instance_until,
            keep_values=keep_values(holdings, self.demands()),
            in_use=self._entry_reports.in_use(),
            started_ms=report.started_ms,
            declined=self.declined.model if self.declined is not None else "",
        )

    def _order_accepted(self, now: float, order: EngineOrder) -> None:
        if order.adapter:
            return
        if order.kind is OrderKind.UNLOAD:
            self._unloading = order.model
            return
        spec = self._engine.models.get(order.model)
        if spec is None:
            return
        if (
            self._pending_load is not None
            and self._pending_load.request.model == order.model
        ):
            self._pending_load = None
        seconds, from_store = self._load_time(spec)
        self._load = _Load(order.model, now, seconds, from_store)

    def _load_time(self, spec: ModelSpec) -> tuple[float, bool]:
        if spec.name in self._report.in_memory:
            return spec.memory_s, False
        if spec.name in self._report.on_disk:
            return spec.disk_s, False
        return spec.load_s, True

    def _update_progress(self, now: float, report: EngineReport) -> LoadEnded | None:
        load, ended = self._load, None
        if load is not None:
            held = load.model in report.holdings
            if held or (not report.busy and now - load.started_at > LOAD_VISIBLE_S):
                self._load = None
                seconds = now - load.started_at
                ended = LoadEnded(load.model, held, seconds, load.from_store)
            if held:
                self._entry_reports.load_finished(
                    now, load.model, now - load.started_at
                )
        if self._unloading is not None and self._unconfirmed is None:
            if self._unloading not in report.holdings or not report.busy:
                self._unloading = None
        return ended

    def _advertised_load(self, now: float) -> Loading | None:
        load = self._load
        if load is None:
            return self._upcoming_load(now) or self._acquiring_load()
        left_s = load.started_at + load.seconds - now
        left_s = max(left_s, load.seconds * OVERRUN_FRACTION)
        return Loading(load.model, left_s, load.from_store)

    def _upcoming_load(self, now: float) -> Loading | None:
        """The load that models are being unloaded for. It is advertised as already
        started; otherwise entries would have the model loaded at another engine
        meanwhile."""
        pending = self._pending_load
        spec = pending and self._engine.models.get(pending.request.model)
        if not spec:
            return None
        seconds, from_store = self._load_time(spec)
        left_s = max(0.0, pending.since + CALL_DURATION_S - now) + seconds
        return Loading(spec.name, left_s, from_store)

    def _acquiring_load(self) -> Loading | None:
        """The load for which a store permit is being acquired. It is advertised as
        already started; otherwise the next plan would request another one at another
        engine."""
        acquiring = self._gate.acquiring if self._gate is not None else None
        return acquiring and Loading(acquiring.model, acquiring.load_s, True)

    def _order_for_adapter(
        self, now: float, request: LoadRequest
    ) -> EngineOrder | None:
        report = self._report
        held = report.holdings.get(request.model)
        if held is None or request.model == self._unloading or request.adapter in held:
            return None
        loading = report.adapters_loading
        if (request.model, request.adapter) in loading or len(
            loading
        ) >= MAX_ADAPTER_LOADS:
            return None
        spec = self._engine.models.get(request.model)
        if spec is None:
            return None
        count = sum(len(adapters) for adapters in report.holdings.values())
        slots_free = count + len(loading) < self._engine.adapter_slots
        fits = self._memory_used() + spec.adapter_mb <= self._engine.memory_mb
        if slots_free and fits:
            return self._order(now, OrderKind.LOAD, request.model, request.adapter)
        victim = self._idle_adapter(now)
        if victim is None:
            return None
        return self._order(now, OrderKind.UNLOAD, *victim, request.model)

    def _idle_adapter(self, now: float) -> tuple[str, str] | None:
        entry_reports = self._entry_reports
        in_use = entry_reports.in_use()
        idle = [
            (entry_reports.used_at(model, adapter), model, adapter)
            for model, adapters in self._report.holdings.items()
            for adapter in adapters
            if not entry_reports.recently_used(now, model, adapter)
            and not in_use.get(f"{model}/{adapter}")
        ]
        if not idle:
            return None
        _, model, adapter = min(idle)
        return model, adapter

    def _order_for_model(self, now: float, request: LoadRequest) -> EngineOrder | None:
        report = self._report
        spec = self._engine.models.get(request.model)
        if spec is None or request.model in report.holdings:
            return None
        need_mb = self._memory_used() + spec.size_mb - self._engine.memory_mb
        if need_mb <= 0:
            if not self._may_load(spec, request):
                return None
            return self._order(now, OrderKind.LOAD, request.model, "")
        demands = self.demands()
        in_use = self._entry_reports.in_use()
        incoming = merge_max(demands, {request.model: request.demand})[request.model]
        if request.urgency > CALLS_WAITING:
            incoming = replace(incoming, waiting=0, unserved=0.0)
        elif not incoming.awaited:
            incoming = replace(incoming, waiting=1)
        values = keep_values(report.holdings, demands)
        protected = [
            name
            for name in report.holdings
            if self._entry_reports.recently_loaded(now, name)
        ]
        values.update(dict.fromkeys(protected, float("inf")))
        seconds, _ = self._load_time(spec)
        victims = choose_victims(
            self._engine, report.holdings, need_mb, in_use, values, incoming, seconds
        )
        if victims is None or not self._may_load(spec, request):
            return None
        if self._pending_load is None:
            self._pending_load = _PendingLoad(request, now)
        return self._order(now, OrderKind.UNLOAD, victims.models[0], "", request.model)

    def _may_load(self, spec: ModelSpec, request: LoadRequest) -> bool:
        if self._gate is None or self._report.has_copy(spec.name):
            return True
        return self._gate.allows(spec, request.store_permits)

    def _order(
        self,
        now: float,
        kind: OrderKind,
        model: str,
        adapter: str,
        wanted_for: str = "",
    ) -> EngineOrder | None:
        """The order, or None if it would leave too little room for a late one."""
        report = self._report
        order = EngineOrder(kind, model, adapter, report.accepted, wanted_for)
        late = list(self._late_orders.loads_after(now, order.expected + 1))
        if late and not fits_late_loads(self._engine, report, order, late):
            return None
        consecutive = self._late_orders.consecutive_before(now, order.expected)
        empty = replace(report, holdings={}, adapters_loading=frozenset())
        if consecutive and not fits_late_loads(self._engine, empty, order, consecutive):
            return None
        return order

    def _memory_used(self) -> float:
        loading = self._load.model if self._load is not None else None
        return memory_used(self._engine, self._report, loading, self._unconfirmed)

    def demands(self) -> dict[str, Demand]:
        """The demand of all entries together, by model."""
        return self._entry_reports.demands()
