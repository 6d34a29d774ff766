"""Orders to the engine: sending them, sending them again, and what becomes of them.

An order may be taken, refused, lost on its way, or late. A lost one is sent again under
the same id, which the engine ignores if it has taken the first copy; meanwhile the
ledger counts each copy that may still arrive.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core._backend_state import BackendState
from bambootiller_core.backend_effects import (
    OrderKind,
    OrderLost,
    OrderOutcome,
    OrderRejected,
    SendOrder,
    engine_name,
)
from bambootiller_core.invariants import ensure
from bambootiller_core.memory import Item
from bambootiller_core.replicas import Part, Replica, ReplicaPhase
from bambootiller_core.types import EngineState

#: How long a decided order may wait for its sending, seconds.
VALID_S = 2.0

LOADING_KINDS = frozenset({OrderKind.LOAD, OrderKind.LOAD_ADAPTER})


@dataclass(slots=True)
class OpenOrder:
    """An order whose effect the engine's state hasn't shown yet.

    ``refused`` is an unload whose latest copy was refused while an earlier one may
    still arrive.
    """

    order_id: str
    kind: OrderKind
    item: Item
    memory_bytes: int
    fence: int
    sent_at: float
    sends: int = 1
    lost: bool = False
    refused: bool = False

    @property
    def loads(self) -> bool:
        """Whether it takes memory."""
        return self.kind in LOADING_KINDS


class Orders:
    """The open orders of one agent."""

    def __init__(self, state: BackendState) -> None:
        self._state = state
        self._open: dict[str, OpenOrder] = {}
        self._prefix = ""
        self._count = 0

    def __len__(self) -> int:
        return len(self._open)

    def begin(self, engine: EngineState) -> None:
        """Choose this process's order ids so that the engine can't know them yet.

        An id that an earlier process used would be ignored by the engine as a
        repetition, and the load that callers wait for would never begin. A process that
        is restarted with the same seed draws the same numbers, hence the look at the
        engine's list.
        """
        while True:
            drawn = self._state.rng.getrandbits(64)
            prefix = f"{self._state.instance}-{engine.version}-{drawn:016x}"
            if not any(order_id.startswith(prefix) for order_id in engine.orders):
                break
        self._prefix = prefix

    def load(self, now: float, replica: Replica, memory_bytes: int) -> None:
        """Order the load of a model into its slot."""
        key = replica.key
        slot = self._state.slot(key)
        ensure(
            slot is not None
            and not slot.retiring
            and replica.released_fence != slot.fence
            and self._state.confirmed_slot(key),
            "replica-needs-slot",
            f"load of {key} at {now} with slot {slot}, "
            f"released at fence {replica.released_fence}",
        )
        replica.tier_ordered = self._state.tier(key)
        self._issue(now, OrderKind.LOAD, Item(key), memory_bytes, replica.part)
        replica.part.phase = ReplicaPhase.ORDERED

    def load_adapter(
        self, now: float, replica: Replica, name: str, memory_bytes: int
    ) -> None:
        """Order the load of an adapter beside its loaded model."""
        part = replica.adapter(name)
        item = Item(replica.key, name)
        self._issue(now, OrderKind.LOAD_ADAPTER, item, memory_bytes, part)
        part.phase = ReplicaPhase.ORDERED

    def unload(self, now: float, replica: Replica) -> None:
        """Order the unload of a model, with all its adapters."""
        ensure(
            replica.idle(),
            "no-unload-under-requests",
            f"unload of {replica.key} at {now} with {replica.gate.waiting()} waiting "
            f"and {len(replica.gate.running)} running",
        )
        part = replica.part
        self._issue(now, OrderKind.UNLOAD, Item(replica.key), 0, part)
        part.phase = ReplicaPhase.UNLOADING
        replica.unload_at = None

    def unload_adapter(self, now: float, replica: Replica, name: str) -> None:
        """Order the unload of one adapter."""
        part = replica.adapter(name)
        self._issue(now, OrderKind.UNLOAD_ADAPTER, Item(replica.key, name), 0, part)
        part.phase = ReplicaPhase.UNLOADING

    def answered(
        self, now: float, order_id: str, outcome: OrderOutcome
    ) -> OpenOrder | None:
        """Note an order's answer; returns the order if it is rejected for good."""
        order = self._open.get(order_id)
        if order is None:
            return None
        if order.loads:
            self._state.ledger.answered(order.item, order_id, outcome)
        if isinstance(outcome, OrderLost):
            order.lost = True
            return None
        if not order.loads and order.sends == 1:
            _, part = self.part_of(order)
            part.unload_until = now
        if not isinstance(outcome, OrderRejected):
            return None
        if not order.loads and order.sends > 1:
            # An earlier copy, whose answer was lost, may still arrive. If the model was
            # opened again, that copy would unload it under the requests started since.
            order.refused = True
            return None
        self.close(order_id)
        return order

    def close(self, order_id: str) -> None:
        """The order's effect is known; it isn't sent again."""
        self._open.pop(order_id, None)

    def part_of(self, order: OpenOrder) -> tuple[Replica, Part]:
        """The replica that an order is about, and the model's or adapter's part."""
        replica = self._state.replica(order.item.key)
        name = order.item.adapter
        return replica, replica.adapter(name) if name else replica.part

    def engine_restarted(self, now: float) -> None:
        """What was taken by the earlier engine is lost for the new one."""
        for order in self._open.values():
            if order.refused:
                continue
            order.lost = True
            order.sent_at = min(order.sent_at, now - self._state.cfg.resend_s)

    def overdue(self, now: float) -> list[OpenOrder]:
        """The orders that are to be sent again."""
        return [order for order in self._open.values() if self._resend_at(order) <= now]

    def next_due(self) -> float | None:
        """When the next order is to be sent again, or None."""
        return min(
            (self._resend_at(order) for order in self._open.values()), default=None
        )

    def send_again(self, now: float, order: OpenOrder) -> None:
        """Send another copy of an order whose first one seems lost."""
        ensure(
            order.kind is not OrderKind.LOAD or self._state.loadable(order.item.key),
            "replica-needs-slot",
            f"load of {order.item.key} sent again at {now} without a slot",
        )
        order.sends += 1
        order.sent_at = now
        order.lost = False
        if order.loads:
            until = self._arrives_until(now)
            self._state.ledger.sent_again(order.item, order.order_id, until)
        self._send(now, order)

    def _resend_at(self, order: OpenOrder) -> float:
        cfg = self._state.cfg
        if order.refused or not order.lost:
            return order.sent_at + cfg.settle_s + VALID_S
        return order.sent_at + min(cfg.resend_s * order.sends, cfg.settle_s)

    def _issue(
        self, now: float, kind: OrderKind, item: Item, memory_bytes: int, part: Part
    ) -> None:
        self._count += 1
        order_id = f"{self._prefix}-{self._count}"
        fence = self._fence(kind, item)
        order = OpenOrder(order_id, kind, item, memory_bytes, fence, now)
        if order.loads:
            until = self._arrives_until(now)
            ledger = self._state.ledger
            ledger.reserve(now, item, memory_bytes, order_id, until)
        self._open[order_id] = order
        part.order_id = order_id
        part.ordered_at = now if order.loads else 0.0
        if not order.loads:
            part.unload_id = order_id
        self._send(now, order)

    def _send(self, now: float, order: OpenOrder) -> None:
        if not order.loads:
            _, part = self.part_of(order)
            part.unload_until = self._arrives_until(now)
        item = order.item
        self._state.outbox.put(
            SendOrder(
                order.order_id,
                order.kind,
                item.key,
                engine_name(item.key),
                item.adapter,
                order.memory_bytes,
                order.fence,
                VALID_S,
            )
        )
        self._state.note(
            now,
            item.key,
            order.kind.value,
            "ordered" if order.sends == 1 else "ordered again",
            item.adapter or "the model",
            order_id=order.order_id,
            memory_bytes=order.memory_bytes,
            fence=order.fence,
            sends=order.sends,
        )

    def _fence(self, kind: OrderKind, item: Item) -> int:
        """The fence of an order: the slot's; for an unload at least the engine's own.

        A load must not borrow the engine's: if that is above the slot's, the slot has
        moved, and the engine's refusal is what keeps the cap.
        """
        slot = self._state.slot(item.key)
        own = slot.fence if slot else 0
        report = self._state.replica(item.key).report
        if kind in LOADING_KINDS or report is None:
            return own
        return max(own, report.fence)

    def _arrives_until(self, now: float) -> float:
        return now + VALID_S + self._state.cfg.settle_s
