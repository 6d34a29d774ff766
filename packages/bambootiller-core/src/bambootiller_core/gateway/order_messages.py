"""The messages between an engine's agent, the engine and the entries."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand


class OrderKind(enum.Enum):
    """The action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine. ``expected`` is the number of orders that the engine
    accepted before it; ``wanted_for`` is the model that others are unloaded for, used
    only in the log."""

    kind: OrderKind
    model: str
    adapter: str
    expected: int
    wanted_for: str = field(default="", compare=False)


class OrderAnswer(enum.Enum):
    """The engine's answer to an order.

    ``ACCEPTED``: it is being carried out. ``HOLDS``: it has been carried out, or the
    engine was already in the requested state. ``CONFLICT``: another order is in
    progress, or the number of accepted orders differs. ``FENCED``: the engine has seen
    a higher fencing token. ``INVALID``: the engine doesn't recognize the order.
    ``OTHER_INSTANCE``: another backend server has the address. ``UNANSWERED``: the
    order may have been accepted, or may be accepted later.
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
    """An engine's report of its state. ``accepted`` counts the orders that it accepted
    since its start; ``adapters_loading`` lists (model, adapter) pairs that are being
    loaded."""

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
        """Whether the engine can load the model from its own memory or disk, without
        the weight store."""
        return model in self.in_memory or model in self.on_disk

    @property
    def incarnation(self) -> Incarnation:
        """The start of the engine that this report is about."""
        return Incarnation(self.instance, self.started_ms)


#: The urgency of a load that calls are waiting for. Loads with a higher number are
#: requested ahead of demand.
CALLS_WAITING = 0


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """An entry's request to load a model, or an adapter of one; 0 is the highest
    urgency. ``demand`` is the demand of all entries for the model, as far as it has
    been reported to the requesting entry. ``store_permits`` is the entry's estimate of
    how many loads the weight store serves at a time, 0 if it states none."""

    model: str
    adapter: str = ""
    urgency: int = 0
    demand: Demand = Demand()
    store_permits: int = 0


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """A load that has ended; ``held`` tells whether the engine holds the model."""

    model: str
    held: bool
    seconds: float
    from_store: bool
