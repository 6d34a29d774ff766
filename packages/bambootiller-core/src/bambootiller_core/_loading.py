"""How the engine's state and the answers to orders move the replicas."""

from __future__ import annotations

from collections import deque

from bambootiller_core._backend_state import BackendState
from bambootiller_core._orders import OpenOrder, Orders
from bambootiller_core.backend_effects import (
    OrderKind,
    OrderOutcome,
    OrderRejected,
    key_of,
)
from bambootiller_core.memory import Item
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.replicas import Change, Part, Replica, ReplicaPhase
from bambootiller_core.types import (
    EngineState,
    ModelReport,
    OrderState,
    Phase,
    Tier,
)

#: Incarnations of the engine that are remembered as over.
INCARNATIONS = 8


class Loading:
    """Follows one engine: take-over, loads, unloads, failures, restarts."""

    def __init__(self, state: BackendState, orders: Orders) -> None:
        self._state = state
        self._orders = orders
        self._over: deque[str] = deque(maxlen=INCARNATIONS)

    def on_engine_state(self, now: float, engine: EngineState, as_of: float) -> None:
        """Take the engine's state, unless it is older than what is known."""
        state = self._state
        if self._outdated(engine):
            return
        known, state.engine, state.silent_since = state.engine, engine, None
        if known is None:
            state.taken_over_at = now
            self._orders.begin(engine)
        elif known.incarnation != engine.incarnation:
            self._over.append(known.incarnation)
            self._engine_restarted(now)
        state.engine_as_of = max(state.engine_as_of, as_of)
        state.ledger.learn(as_of, engine)
        reports = {key_of(report.model): report for report in engine.models}
        for key in sorted(reports.keys() | state.replicas.keys()):
            self._observe(now, state.replica(key), reports.get(key))

    def on_order_outcome(
        self, now: float, order_id: str, outcome: OrderOutcome
    ) -> None:
        """Take the answer to an order; only a rejection moves a replica."""
        order = self._orders.answered(now, order_id, outcome)
        if order is None or not isinstance(outcome, OrderRejected):
            return
        self._state.ledger.expire()
        replica, part = self._orders.part_of(order)
        if part.order_id != order_id:
            return
        part.order_id = ""
        self._state.note(now, replica.key, order.kind.value, "rejected", outcome.reason)
        if order.loads:
            part.phase = ReplicaPhase.COLD
            self._load_failed(now, replica, part, order.item.adapter, outcome.reason)
        # A refused unload leaves the model where it is. The engine's next state says in
        # which phase; until then it stays closed to requests.

    def resend(self, now: float) -> None:
        """Send lost orders again; give up a load that got no answer too often."""
        if self._state.silent_since is not None:
            return
        for order in self._orders.overdue(now):
            if order.refused:
                self._never_arrived(order)
            elif not order.loads:
                self._orders.send_again(now, order)
            elif not self._state.ledger.holds(order.item):
                self._never_arrived(order)
            elif self._still_wanted(now, order):
                self._orders.send_again(now, order)
            else:
                self._abandon(now, order)

    def _outdated(self, engine: EngineState) -> bool:
        # Answers to two polls can cross. A state from before would show a model that is
        # unloaded by now as loaded, and requests would be started on it.
        known = self._state.engine
        if known is None:
            return False
        if engine.incarnation in self._over:
            return True
        same = engine.incarnation == known.incarnation
        return same and engine.version < known.version

    def _engine_restarted(self, now: float) -> None:
        self._orders.engine_restarted(now)
        for replica in self._state.replicas.values():
            self._cut(now, replica, "the engine restarted")
            open_id = replica.part.order_id
            if replica.part.engine_restarted():
                self._orders.close(open_id)
            self._drop_adapters(now, replica)

    def _observe(
        self, now: float, replica: Replica, report: ModelReport | None
    ) -> None:
        replica.report = report
        part = replica.part
        phase = report.phase if report else None
        change = self._observe_part(part, phase)
        match change:
            case Change.LOADED:
                self._loaded(now, replica)
            case Change.LOAD_FAILED:
                self._load_failed(now, replica, part, "", "the engine says so")
            case Change.VANISHED | Change.CLOSED:
                self._cut(now, replica, f"the model {change.value}")
                self._state.note(now, replica.key, "unload", "lost", change.value)
            case Change.UNLOADED:
                self._state.note(now, replica.key, "unload", "unloaded", "confirmed")
        if part.loaded and report is not None:
            self._observe_adapters(now, replica, report)
        else:
            self._drop_adapters(now, replica)

    def _observe_part(self, part: Part, reported: Phase | None) -> Change:
        open_id = part.order_id
        listed = self._state.engine.orders.get(open_id) if open_id else None
        change = part.observe(reported, listed)
        if part.order_id != open_id:
            self._orders.close(open_id)
        elif listed in (OrderState.DONE, OrderState.FAILED):
            self._orders.close(open_id)
        return change

    def _observe_adapters(
        self, now: float, replica: Replica, report: ModelReport
    ) -> None:
        policy = self._state.policy(replica.key)
        for name in sorted(replica.adapters.keys() | set(report.adapters)):
            part = replica.adapter(name)
            present = name in report.adapters
            change = self._observe_part(part, Phase.LOADED if present else None)
            if present and policy is not None:
                item = Item(replica.key, name)
                self._state.ledger.size_adapter(item, policy.adapter_bytes)
            if change is Change.LOADED:
                self._adapter_loaded(now, replica, name, part)
            elif change is Change.LOAD_FAILED:
                self._load_failed(now, replica, part, name, "the engine says so")

    def _loaded(self, now: float, replica: Replica) -> None:
        part = replica.part
        if part.ordered_at:
            took = now - part.ordered_at
            tier = replica.tier_ordered
            self._state.load_times.observe(replica.key, tier, took)
            self._state.note(
                now,
                replica.key,
                "load",
                "loaded",
                "the engine confirmed it",
                took_s=round(took, 3),
                tier=tier.value,
            )
        else:
            self._state.note(
                now, replica.key, "load", "adopted", "the engine had it loaded"
            )
        part.ordered_at = 0.0
        part.attempts.succeeded()

    def _adapter_loaded(
        self, now: float, replica: Replica, name: str, part: Part
    ) -> None:
        if part.ordered_at:
            took = now - part.ordered_at
            self._state.adapter_times.observe(replica.key, Tier.REMOTE, took)
        part.ordered_at = 0.0
        part.attempts.succeeded()
        replica.gate.unpark(now, name)

    def _load_failed(
        self, now: float, replica: Replica, part: Part, adapter: str, reason: str
    ) -> None:
        cfg = self._state.cfg
        part.ordered_at = 0.0
        part.attempts.failed(now, cfg.load_attempts, cfg.backoff_s, cfg.cool_down_s)
        self._state.note(
            now,
            replica.key,
            "load",
            "failed",
            reason,
            adapter=adapter,
            failures=part.attempts.failures,
            next_in_s=round(part.attempts.retry_at - now, 3),
        )

    def _cut(self, now: float, replica: Replica, reason: str) -> None:
        """The engine has dropped a model: what ran on it is lost, what waits stays."""
        refused = Refused(Code.BACKEND_FAILED, Executed.UNKNOWN, reason)
        for request_id in list(replica.gate.running):
            self._state.book.abort(now, request_id, refused)
        replica.unload_at = None

    def _drop_adapters(self, now: float, replica: Replica) -> None:
        """Without its model no adapter is loaded, and no order for one succeeds."""
        for name, part in replica.adapters.items():
            self._orders.close(part.order_id)
            part.phase = ReplicaPhase.COLD
            part.order_id = ""
            replica.gate.unpark(now, name)

    def _still_wanted(self, now: float, order: OpenOrder) -> bool:
        replica, part = self._orders.part_of(order)
        if order.sends >= self._state.cfg.load_attempts:
            return False
        if not self._state.loadable(replica.key):
            return False
        if order.kind is OrderKind.LOAD:
            return replica.wanted(now)
        return part.order_id == order.order_id and bool(replica.gate.parked)

    def _abandon(self, now: float, order: OpenOrder) -> None:
        """Stop sending a load. Its memory stays reserved until it can't arrive."""
        replica, part = self._orders.part_of(order)
        self._orders.close(order.order_id)
        if part.order_id != order.order_id:
            return
        part.phase = ReplicaPhase.COLD
        part.order_id = ""
        reason = f"no answer to {order.sends} copies of the order"
        self._load_failed(now, replica, part, order.item.adapter, reason)

    def _never_arrived(self, order: OpenOrder) -> None:
        """No copy of an order can arrive any more, and the engine knows of none.

        The memory of a load has been released then, and may be promised to others. So
        it isn't sent again as it is: what still wants the model asks for memory anew.
        A model whose unload was refused is open again from its next state on.
        """
        _, part = self._orders.part_of(order)
        self._orders.close(order.order_id)
        if part.order_id != order.order_id:
            return
        part.order_id = ""
        if order.loads:
            part.phase = ReplicaPhase.COLD
