"""Which loads one agent may begin that draw on the weight store.

The store serves few loads at a time, for all engines together. An agent orders such a
load only while it holds one of the store's turns; what it would order next without one
is :attr:`StorePermitGate.blocked_load`.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.gateway.config import ModelSpec

#: How many turns there are taken to be where the entry that asks doesn't say.
DEFAULT_PERMITS = 1


@dataclass(frozen=True, slots=True)
class StorePermitRequest:
    """A load that waits for a turn, of ``permits`` that the store is taken to have."""

    model: str
    load_s: float
    permits: int


class StorePermitGate:
    """Kept by an order book; opened and shut by who holds the turn.

    Example::

        gate = StorePermitGate()
        book = OrderBook(engine, gate)
        if book.next_order(now) is None and gate.wanted is not None:
            gate.is_open = await take_turn(gate.wanted)
    """

    def __init__(self) -> None:
        #: Whether this agent holds a turn, or may do without.
        self.is_open = False
        #: The load that the last decision would have begun.
        self.blocked_load: StorePermitRequest | None = None
        #: The load for which a turn is being taken.
        self.acquiring: StorePermitRequest | None = None

    def allows(self, spec: ModelSpec, permits: int) -> bool:
        """Whether a load of the model may begin now; if not, it is noted as wanted."""
        if self.is_open:
            return True
        if self.blocked_load is None:
            self.blocked_load = StorePermitRequest(
                spec.name, spec.load_s, permits or DEFAULT_PERMITS
            )
        return False
