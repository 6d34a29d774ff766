"""Engines as places for models: how soon a load could be there, and what makes way."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.model_demand import (
    COPIED_KEEP_FACTOR,
    MIN_KEEP_VALUE,
    NO_DEMAND,
    Demand,
)

#: An order takes this long besides the load itself. Seconds.
ORDER_OVERHEAD_S = 0.05
#: Loads longer than this stand in the way of others at the same engine. Seconds.
LONG_LOAD_S = 1.5
#: A model that must wait for another's call to end there waits about so long, and
#: longer the more calls there are, as the last of them counts. Seconds, and the part of
#: it for each factor of e.
CALL_DURATION_S = 1.5
CALL_DURATION_GROWTH = 0.5
#: Demand that is this many times another's isn't made way for it.
KEEP_FACTOR = 3.0
#: Callers who were refused are due back for a model that has come meanwhile. For one
#: that is wanted as much it doesn't go: they would be refused again, and so would those
#: of the other after them. As many times less wanted as otherwise more.
RETURNING_CALLERS_FACTOR = KEEP_FACTOR**2
#: What the demand for a model that nobody has asked for yet is taken for, in calls a
#: second: about that of a rarely used model.
MIN_DEMAND_VALUE = 0.1
#: What is fetched before anybody asks may take the place of a model that one engine
#: holds only if its load is this short: until it ends, that model can't be had there.
#: Seconds.
SHORT_PREFETCH_S = 8.0
#: What keeping a model is worth at most, without demand, if three engines hold it.
MAX_SPARE_KEEP_VALUE = MIN_KEEP_VALUE / 3**2
#: What it is worth at least, without demand, if one engine holds it.
SINGLE_HOLDER_KEEP_VALUE = COPIED_KEEP_FACTOR * MIN_KEEP_VALUE
#: A model with calls under way makes way only if it is wanted no more than this: the
#: calls a second of a rarely used model, or of one that other engines hold as well.
MAX_BUSY_KEEP_VALUE = 1.0


class LoadTarget:
    """An engine while a plan is made; ``free_after_s`` is when its next order can
    begin."""

    __slots__ = (
        "backend",
        "instance",
        "held",
        "free_after_s",
        "planned_loads",
        "_in_memory",
        "_on_disk",
        "_eviction_order",
    )

    def __init__(self, backend: Backend, free_after_s: float) -> None:
        self.backend = backend
        self.instance = backend.instance
        #: The models that it holds.
        self.held = backend.holdings
        self.free_after_s = free_after_s
        #: How many loads the plan has given it.
        self.planned_loads = 0
        self._in_memory = backend.engine.in_memory
        self._on_disk = backend.engine.on_disk
        self._eviction_order: EvictionOrder | None = None

    @property
    def is_free(self) -> bool:
        """Whether an order can begin now."""
        return self.free_after_s <= 0 and self.planned_loads == 0

    def copies(self) -> set[str]:
        """The models that can be loaded here without the weight store."""
        return self._in_memory | self._on_disk

    def load_time(self, spec: ModelSpec) -> tuple[float, bool]:
        """How long a load takes here, and whether it draws on the weight store."""
        if spec.name in self._in_memory:
            return spec.memory_s, False
        if spec.name in self._on_disk:
            return spec.disk_s, False
        return spec.load_s, True

    def victims(
        self, engine: EngineSpec, spec: ModelSpec, incoming: Demand, load_s: float
    ) -> Victims | None:
        """Which held models make way for the model; None if that isn't worth it."""
        state = self.backend.engine
        need_mb = spec.size_mb - (engine.memory_mb - state.memory_mb_used)
        if need_mb <= 0:
            return NO_VICTIMS
        if self._eviction_order is None:
            # Put in order once for a plan, not for each model that could come.
            self._eviction_order = EvictionOrder(
                engine, state.holdings, state.in_use, state.keep_values
            )
        return self._eviction_order.choose(need_mb, incoming, load_s)


def copies_at(backend: Backend) -> set[str]:
    """The models that the engine holds, loads, or has copies of."""
    state = backend.engine
    names = set(backend.holdings)
    if state is not None:
        names |= state.in_memory | state.on_disk
        if state.loading is not None:
            names.add(state.loading.model)
    return names


def copies_of(places: Iterable[LoadTarget]) -> dict[str, list[LoadTarget]]:
    """The engines that have a copy of each model and don't hold it."""
    found: dict[str, list[LoadTarget]] = {}
    for load_target in places:
        for name in load_target.copies().difference(load_target.held):
            found.setdefault(name, []).append(load_target)
    return found


@dataclass(frozen=True, slots=True)
class Victims:
    """Models that make way, one after the other; ``wait_s`` is how long their calls
    take to end."""

    models: tuple[str, ...]
    wait_s: float = 0.0

    @property
    def busy(self) -> bool:
        """Whether some have calls that must end first."""
        return self.wait_s > 0


def _calls_end_s(calls: int) -> float:
    """How long so many calls take to end."""
    return (
        CALL_DURATION_S * (1.0 + CALL_DURATION_GROWTH * math.log(calls))
        if calls
        else 0.0
    )


#: Nothing has to go.
NO_VICTIMS = Victims(())


@dataclass(frozen=True, slots=True)
class _EvictionCandidate:
    """A held model, how much it matters that it stays, what it leaves free in
    megabytes, and how long its calls take to end in seconds."""

    name: str
    keep_value: float
    freed_mb: float
    calls_end_s: float


class EvictionOrder:
    """The models of one engine in the order in which they make way.

    Example::

        victims = EvictionOrder(engine, holdings, in_use, keep_values).choose(40.0, want)
    """

    def __init__(
        self,
        engine: EngineSpec,
        holdings: Mapping[str, frozenset[str]],
        in_use: Mapping[str, int],
        keep_values: Mapping[str, float],
    ) -> None:
        self._idle: list[_EvictionCandidate] = []
        self._busy: list[_EvictionCandidate] = []
        for name in sorted(
            holdings, key=lambda name: (keep_values.get(name, 0.0), name)
        ):
            spec = engine.models.get(name)
            if spec is None:
                continue
            value, calls = keep_values.get(name, 0.0), in_use.get(name, 0)
            freed_mb = spec.size_mb + len(holdings[name]) * spec.adapter_mb
            candidate = _EvictionCandidate(name, value, freed_mb, _calls_end_s(calls))
            if not calls:
                self._idle.append(candidate)
            elif value <= MAX_BUSY_KEEP_VALUE:
                self._busy.append(candidate)

    def choose(
        self, need_mb: float, incoming: Demand, load_s: float = 0.0
    ) -> Victims | None:
        """Which of them make way for ``need_mb`` more than there is room for.

        Among the models without calls the least wanted goes first, and none that is
        wanted far more than the one that comes. Only calls that wait make a model with
        calls go: it takes no new ones from then on, so rarely used models share an
        engine by turns.
        """
        least, most = _evictable_keep_values(incoming, load_s)
        chosen: list[_EvictionCandidate] = []
        for candidate in self._idle:
            if candidate.keep_value < least:
                continue
            if candidate.keep_value > most:
                break
            chosen.append(candidate)
            need_mb -= candidate.freed_mb
            if need_mb <= 0:
                return _victims(chosen)
        if not incoming.awaited:
            return None
        for candidate in self._busy:
            chosen.append(candidate)
            need_mb -= candidate.freed_mb
            if need_mb <= 0:
                return _victims(chosen)
        return None


def _evictable_keep_values(incoming: Demand, load_s: float) -> tuple[float, float]:
    """The least and the most that an idle model may be worth to make way.

    Before anybody calls, the models that several engines hold are those that the
    platform expects to be called most. Unloaded for one that nobody asks for, they are
    missed by the first callers; one that a single engine holds is called rarely, and
    its copy stays.
    """
    if incoming.value:
        return 0.0, KEEP_FACTOR * max(incoming.value, MIN_DEMAND_VALUE)
    if load_s > SHORT_PREFETCH_S:
        return 0.0, MAX_SPARE_KEEP_VALUE
    return SINGLE_HOLDER_KEEP_VALUE, KEEP_FACTOR * MIN_DEMAND_VALUE


def _victims(evicted: list[_EvictionCandidate]) -> Victims:
    names = tuple([candidate.name for candidate in evicted])
    return Victims(names, sum([candidate.calls_end_s for candidate in evicted]))


def choose_victims(
    engine: EngineSpec,
    holdings: Mapping[str, frozenset[str]],
    need_mb: float,
    in_use: Mapping[str, int],
    keep_values: Mapping[str, float],
    incoming: Demand,
    load_s: float = 0.0,
) -> Victims | None:
    """Which held models make way for ``need_mb`` more; None if that isn't worth it.
    ``load_s`` is how long the one that comes takes."""
    if need_mb <= 0:
        return NO_VICTIMS
    evicted = EvictionOrder(engine, holdings, in_use, keep_values)
    return evicted.choose(need_mb, incoming, load_s)


def keep_values(
    holdings: Iterable[str], demands: Mapping[str, Demand]
) -> dict[str, float]:
    """How much it matters that an engine keeps each model that it holds."""
    return {name: _keep_value(demands.get(name, NO_DEMAND)) for name in holdings}


def _keep_value(demand: Demand) -> float:
    return demand.value_per_holder * (
        RETURNING_CALLERS_FACTOR if demand.waiting else 1.0
    )
