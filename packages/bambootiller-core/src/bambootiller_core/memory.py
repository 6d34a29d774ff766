"""The ledger of a backend server's accelerator memory.

Memory is reserved before an order to load leaves, and released only when the engine's
own state shows that the thing isn't there and no copy of an order for it can still
arrive, or have arrived unseen. Of the ledger and the engine's report the larger counts.
So memory is never promised twice, whether answers are lost, orders are late or the
engine restarts.

Example::

    ledger = Ledger(headroom_bytes=0)
    ledger.learn(now, state)
    if ledger.fits(item, 8 * GIB):
        ledger.reserve(now, item, 8 * GIB, "o-1", arrives_until=now + 12.0)
    ...
    ledger.answered(item, "o-1", OrderLost())   # stays reserved
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bambootiller_core.backend_effects import (
    OrderOutcome,
    OrderRejected,
    OrderTaken,
    key_of,
)
from bambootiller_core.invariants import ensure
from bambootiller_core.types import EngineState, ModelKey, ModelReport, OrderState


@dataclass(frozen=True, slots=True, order=True)
class Item:
    """What takes memory: a model, or with ``adapter`` one of its adapters."""

    key: ModelKey
    adapter: str = ""


@dataclass(slots=True)
class _Copy:
    """A sent order that may still arrive until ``until``, or has been taken unseen."""

    until: float
    taken: bool = False


@dataclass(slots=True)
class _Entry:
    memory_bytes: int
    copies: dict[str, list[_Copy]] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)

    def under_way(self, as_of: float) -> bool:
        return any(copy.until > as_of for sent in self.copies.values() for copy in sent)


class Ledger:
    """Who holds or may come to hold how much of one engine's memory, in bytes.

    ``headroom_bytes`` are left free beside all reservations.
    """

    def __init__(self, headroom_bytes: int = 0) -> None:
        self._headroom = headroom_bytes
        self._entries: dict[Item, _Entry] = {}
        self._state: EngineState | None = None
        self._reports: dict[ModelKey, ModelReport] = {}
        self._as_of = 0.0

    @property
    def total(self) -> int:
        """The engine's memory; 0 until its first state is known."""
        return self._state.memory_total if self._state else 0

    def learn(self, as_of: float, state: EngineState) -> None:
        """Take the engine's newest state: settle orders, adopt and release memory.

        ``as_of`` is a time at which the state was still current. That a state doesn't
        show an order says nothing if the order may have arrived after it.
        """
        self._state = state
        self._as_of = max(self._as_of, as_of)
        self._reports = {key_of(report.model): report for report in state.models}
        for entry in self._entries.values():
            _forget_listed(entry, state)
        for key, report in self._reports.items():
            self._adopt(Item(key), report.memory_bytes)
            for adapter in report.adapters:
                self._adopt(Item(key, adapter), 0)
        self.expire()

    def expire(self) -> None:
        """Release what isn't at the engine once no order for it can arrive."""
        for item, entry in list(self._entries.items()):
            if not self._present(item) and not self._awaited(entry):
                del self._entries[item]

    def reserve(
        self,
        now: float,
        item: Item,
        memory_bytes: int,
        order_id: str,
        arrives_until: float,
    ) -> None:
        """Hold memory for an order that is about to be sent.

        The caller has asked :meth:`fits`; that the total holds is asserted again here,
        at the one place where memory is promised.
        """
        entry = self._entries.setdefault(item, _Entry(memory_bytes))
        entry.memory_bytes = max(entry.memory_bytes, memory_bytes)
        entry.copies.setdefault(order_id, []).append(_Copy(arrives_until))
        ensure(
            self.committed() + self._headroom <= self.total,
            "memory-never-overcommitted",
            f"{item} with {memory_bytes} bytes makes {self.committed()} of "
            f"{self.total}, headroom {self._headroom}, at {now}",
        )

    def sent_again(self, item: Item, order_id: str, arrives_until: float) -> None:
        """Another copy of an order is about to be sent; its memory is still held."""
        entry = self._entries.get(item)
        ensure(
            entry is not None,
            "memory-never-overcommitted",
            f"order {order_id} for {item} is sent again, its memory isn't reserved",
        )
        entry.copies.setdefault(order_id, []).append(_Copy(arrives_until))

    def answered(self, item: Item, order_id: str, outcome: OrderOutcome) -> None:
        """Note what is known of the latest copy of an order."""
        entry = self._entries.get(item)
        sent = entry.copies.get(order_id) if entry else None
        if not sent:
            return
        if isinstance(outcome, OrderRejected):
            sent.pop()
        elif isinstance(outcome, OrderTaken):
            # Taken isn't done: a state read before the order came doesn't show it yet.
            # Releasing on such a state would promise the memory again, seen as two
            # loads that together exceed the total. So it waits to be listed.
            sent[-1].taken = True

    def size_adapter(self, item: Item, memory_bytes: int) -> None:
        """Tell the size of an adapter that was found at the engine."""
        entry = self._entries.get(item)
        if entry is not None:
            entry.memory_bytes = max(entry.memory_bytes, memory_bytes)

    def fits(self, item: Item, memory_bytes: int) -> bool:
        """Whether ``memory_bytes`` for ``item`` can be reserved now."""
        held = self._entries.get(item)
        missing = memory_bytes - (held.memory_bytes if held else 0)
        return missing <= self.free()

    def free(self) -> int:
        """What can still be reserved; negative if the engine reports more than that."""
        return self.total - self._headroom - self.committed()

    def holds(self, item: Item) -> bool:
        """Whether anything is reserved for ``item``."""
        return item in self._entries

    def held(self, item: Item) -> int:
        """What is reserved for ``item``; a model's own part without its adapters."""
        entry = self._entries.get(item)
        return entry.memory_bytes if entry else 0

    def held_by(self, key: ModelKey) -> int:
        """What would come free if a model were unloaded, its adapters included."""
        held = sum(
            entry.memory_bytes
            for item, entry in self._entries.items()
            if item.key == key
        )
        report = self._reports.get(key)
        return max(held, report.memory_bytes if report else 0)

    def under_way(self, key: ModelKey) -> bool:
        """Whether an order for ``key`` may arrive, or have arrived unseen."""
        return any(
            self._awaited(entry)
            for item, entry in self._entries.items()
            if item.key == key
        )

    def committed(self) -> int:
        """The larger of the reservations and of what the engine reports.

        Per model the larger of both counts, since the engine may need more than was
        reserved. In total, the engine's sum and what it can't see yet count as well.
        """
        by_model: dict[ModelKey, int] = {}
        unseen = 0
        for item, entry in self._entries.items():
            if self._present(item):
                held = by_model.get(item.key, 0)
                by_model[item.key] = held + entry.memory_bytes
            else:
                unseen += entry.memory_bytes
        for key, report in self._reports.items():
            by_model[key] = max(by_model.get(key, 0), report.memory_bytes)
        used = self._state.memory_used if self._state else 0
        return max(sum(by_model.values()), used) + unseen

    def _adopt(self, item: Item, memory_bytes: int) -> None:
        self._entries.setdefault(item, _Entry(memory_bytes))

    def _present(self, item: Item) -> bool:
        report = self._reports.get(item.key)
        if report is None:
            return False
        return not item.adapter or item.adapter in report.adapters

    def _awaited(self, entry: _Entry) -> bool:
        # The settle time alone doesn't settle an order: one that arrived shortly before
        # its end isn't in a state that was read before. Counting it out then releases
        # memory, or a slot, of a load that goes on, seen as too much memory in use or
        # as a model loaded without a slot. So the state must be from after the end.
        if entry.under_way(self._as_of):
            return True
        orders = self._state.orders if self._state else {}
        return any(
            orders.get(order_id) is OrderState.PENDING for order_id in entry.copies
        )


def _forget_listed(entry: _Entry, state: EngineState) -> None:
    """Drop the copies that the engine's state shows as arrived.

    A copy that was lost beside an arrived one stays: if the engine restarts, it forgets
    which orders it has seen, and the late copy would load the model once more. So an
    order's listing counts once, however many states repeat it.
    """
    for order_id, sent in list(entry.copies.items()):
        if order_id not in state.orders:
            continue
        if order_id not in entry.listed:
            entry.listed.add(order_id)
            sent[:] = [] if len(sent) == 1 else [c for c in sent if not c.taken]
        if not sent and state.orders[order_id] is not OrderState.PENDING:
            del entry.copies[order_id]
            entry.listed.discard(order_id)


def describe(ledger: Ledger) -> dict[str, int]:
    """The ledger's figures for a decision's record."""
    return {
        "memory_total": ledger.total,
        "memory_committed": ledger.committed(),
        "memory_free": ledger.free(),
    }
