"""Decides whether an agent may start a load from the weight store.

The store serves few loads at a time, for all engines together. An agent orders a load
from the store only while it holds one of the store's permits. The load that it would
order next if it had a permit is :attr:`StorePermitGate.blocked_load`.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.gateway.config import ModelSpec

#: How many permits are assumed to exist if the entry that requests a load names none.
DEFAULT_PERMITS = 1


@dataclass(frozen=True, slots=True)
class StorePermitRequest:
    """A load that waits for one of the ``permits`` that the store is assumed to have.

    ``load_s`` is the nominal duration of the load in seconds.
    """

    model: str
    load_s: float
    permits: int


class StorePermitGate:
    """Lets an order book start loads from the store while it is open.

    The order book only checks it; the code that acquires and releases the agent's
    permit opens and closes it.

    Example::

        gate = StorePermitGate()
        book = OrderBook(engine, gate)
        if book.next_order(now) is None and gate.blocked_load is not None:
            gate.is_open = await acquire_permit(gate.blocked_load)
    """

    def __init__(self) -> None:
        #: Whether this agent holds a permit, or may start a load without one.
        self.is_open = False
        #: The load that the last decision would have ordered if the gate had been open.
        self.blocked_load: StorePermitRequest | None = None
        #: The load for which a permit is being acquired.
        self.acquiring: StorePermitRequest | None = None

    def allows(self, spec: ModelSpec, permits: int) -> bool:
        """Whether a load of the model may start now. If not, it becomes the blocked
        load, unless there is one already. ``permits`` is 0 if their number is unknown.
        """
        if self.is_open:
            return True
        if self.blocked_load is None:
            self.blocked_load = StorePermitRequest(
                spec.name, spec.load_s, permits or DEFAULT_PERMITS
            )
        return False
