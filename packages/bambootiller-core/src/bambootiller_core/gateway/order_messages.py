"""What passes between an engine's agent, the engine and the entries."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand


class OrderKind(enum.Enum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order; ``expected`` is the number of orders accepted before it, ``wanted_for``
    the model that others are unloaded for, told for the log only."""

    kind: OrderKind
    model: str
    adapter: str
    expected: int
    wanted_for: str = field(default="", compare=False)


class OrderAnswer(enum.Enum):
    """What the engine said to an order.

    ``ACCEPTED``: it is being carried out. ``HOLDS``: it has been carried out, or was so
    already. ``CONFLICT``: another order is in progress, or the number accepted differs.
    ``FENCED``: a higher fencing token has been seen. ``INVALID``: the engine knows no
    such order. ``OTHER_INSTANCE``: another backend server has the address.
    ``UNANSWERED``: it may have been accepted, or may be later.
    """

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    INVALID = "invalid"
    OTHER_INSTANCE = "other instance"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself. ``accepted`` counts the orders accepted since its
    start; ``adapters_loading`` are (model, adapter) on their way in."""

    instance: str
    holdings: Mapping[str, frozenset[str]]
    accepted: int
    busy: bool = False
    adapters_loading: frozenset[tuple[str, str]] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    running: int = 0
    queued: int = 0
    started_ms: int | None = None

    def has_copy(self, model: str) -> bool:
        """Whether a load of the model needn't draw on the weight store."""
        return model in self.in_memory or model in self.on_disk

    @property
    def incarnation(self) -> Incarnation:
        """The start of the engine that says this."""
        return Incarnation(self.instance, self.started_ms)


#: The urgency of what calls wait for now; higher ones are asked for ahead of demand.
CALLS_WAITING = 0


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """A model, or an adapter of one, that an entry has calls for; 0 is most urgent.
    ``demand`` is the demand of all entries for the model, as the one that asks knows
    it, ``store_permits`` how many loads it takes the weight store to serve; 0 if it doesn't
    say."""

    model: str
    adapter: str = ""
    urgency: int = 0
    demand: Demand = Demand()
    store_permits: int = 0


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load that has ended; ``held`` tells whether the model is there."""

    model: str
    held: bool
    seconds: float
    from_store: bool
