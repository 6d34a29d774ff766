"""Which loads one agent may begin that draw on the weight store.

The store serves few loads at a time, for all engines together. An agent orders such a
load only while it holds one of the store's turns; what it would order next without one
is :attr:`TurnGate.wanted`.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.gateway.config import ModelSpec

#: How many turns there are taken to be where the entry that asks doesn't say.
UNTOLD_TURNS = 1


@dataclass(frozen=True, slots=True)
class TurnWanted:
    """A load that waits for a turn, of ``turns`` that the store is taken to have."""

    model: str
    load_s: float
    turns: int


class TurnGate:
    """Kept by an order book; opened and shut by who holds the turn.

    Example::

        gate = TurnGate()
        book = OrderBook(engine, gate)
        if book.next_order(now) is None and gate.wanted is not None:
            gate.is_open = await take_turn(gate.wanted)
    """

    def __init__(self) -> None:
        #: Whether this agent holds a turn, or may do without.
        self.is_open = False
        #: The load that the last decision would have begun.
        self.wanted: TurnWanted | None = None
        #: The load for which a turn is being taken.
        self.sought: TurnWanted | None = None

    def permits(self, spec: ModelSpec, turns: int) -> bool:
        """Whether a load of the model may begin now; if not, it is noted as wanted."""
        if self.is_open:
            return True
        if self.wanted is None:
            self.wanted = TurnWanted(spec.name, spec.load_s, turns or UNTOLD_TURNS)
        return False
