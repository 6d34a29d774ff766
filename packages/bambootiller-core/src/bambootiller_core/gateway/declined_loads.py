"""Tells which requested load from the weight store an agent can't start, and why.

The store serves few loads at a time. An entry that has requested a load keeps a place
for it until the agent reports the load, so an agent that can't start one says so.

Example::

    declined = book.declined
    if declined is not None:
        events.emit(StoreLoadDeclined(declined.model, declined.reason.value))
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class DeclineReason(enum.Enum):
    """What keeps an agent from starting a load.

    ``ORDER_UNANSWERED``: the engine hasn't answered an earlier order, which may still
    take effect. ``ORDER_IN_PROGRESS``: the engine carries out another order.
    ``OTHER_INSTANCE``: another backend server answers at the engine's address.
    ``NO_ROOM``: the models held there mustn't be evicted for this one, or an order
    whose answer was lost may still need the room.
    """

    ORDER_UNANSWERED = "order unanswered"
    ORDER_IN_PROGRESS = "order in progress"
    OTHER_INSTANCE = "other instance"
    NO_ROOM = "no room"


@dataclass(frozen=True, slots=True)
class DeclinedLoad:
    """The model whose load was requested, and why it doesn't start."""

    model: str
    reason: DeclineReason
