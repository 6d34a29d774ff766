"""Engines as targets of loads: how soon a load could be finished there, and which
models it evicts."""

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

#: Seconds that an order takes in addition to the load itself.
ORDER_OVERHEAD_S = 0.05
#: Seconds above which a load counts as long: it blocks other orders at the same engine.
LONG_LOAD_S = 1.5
#: Seconds until another model's call ends, for which a load that evicts that model
#: waits. With more calls it waits for the last of them, which is longer: by this
#: fraction of the duration for each factor of e in the number of calls.
CALL_DURATION_S = 1.5
CALL_DURATION_GROWTH = 0.5
#: A model isn't evicted for one with less than a third of its demand.
KEEP_FACTOR = 3.0
#: Refused callers are about to come back for a model that has been loaded meanwhile. It
#: isn't evicted for a model with equal demand: they would be refused again, and the
#: callers of the other model after them. The other model needs at least three times its
#: demand (:data:`KEEP_FACTOR`), where otherwise a third of it would suffice.
RETURNING_CALLERS_FACTOR = KEEP_FACTOR**2
#: The demand assumed for a model without calls so far, in calls per second: about that
#: of a rarely used model.
MIN_DEMAND_VALUE = 0.1
#: A prefetched model may replace a model that only one engine holds only if its load
#: takes at most this many seconds, because the replaced model isn't available there
#: until the load ends.
SHORT_PREFETCH_S = 8.0
#: The greatest value of keeping a model without demand if three engines hold it.
MAX_SPARE_KEEP_VALUE = MIN_KEEP_VALUE / 3**2
#: The least value of keeping a model without demand if one engine holds it.
SINGLE_HOLDER_KEEP_VALUE = COPIED_KEEP_FACTOR * MIN_KEEP_VALUE
#: A model with calls in progress is evicted only if its keep value is at most this: the
#: calls per second of a rarely used model, or of one that other engines hold as well.
MAX_BUSY_KEEP_VALUE = 1.0


class LoadTarget:
    """An engine while a plan is made; ``free_after_s`` is when it can start its next
    order, in seconds from now."""

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
        #: The models that the engine holds.
        self.held = backend.holdings
        self.free_after_s = free_after_s
        #: How many loads the plan has assigned to it.
        self.planned_loads = 0
        self._in_memory = backend.engine.in_memory
        self._on_disk = backend.engine.on_disk
        self._eviction_order: EvictionOrder | None = None

    @property
    def is_free(self) -> bool:
        """Whether the engine can start an order now."""
        return self.free_after_s <= 0 and self.planned_loads == 0

    def copies(self) -> set[str]:
        """The models that can be loaded here without the weight store."""
        return self._in_memory | self._on_disk

    def load_time(self, spec: ModelSpec) -> tuple[float, bool]:
        """How many seconds a load takes here, and whether it uses the weight store."""
        if spec.name in self._in_memory:
            return spec.memory_s, False
        if spec.name in self._on_disk:
            return spec.disk_s, False
        return spec.load_s, True

    def victims(
        self, engine: EngineSpec, spec: ModelSpec, incoming: Demand, load_s: float
    ) -> Victims | None:
        """Which held models are evicted for the model; None if that isn't worth it."""
        state = self.backend.engine
        need_mb = spec.size_mb - (engine.memory_mb - state.memory_mb_used)
        if need_mb <= 0:
            return NO_VICTIMS
        if self._eviction_order is None:
            # Sorted once per plan, not for each model that could be loaded.
            self._eviction_order = EvictionOrder(
                engine, state.holdings, state.in_use, state.keep_values
            )
        return self._eviction_order.choose(need_mb, incoming, load_s)


def models_with_copy(backend: Backend) -> set[str]:
    """The models that the engine holds, loads, or has copies of."""
    state = backend.engine
    names = set(backend.holdings)
    if state is not None:
        names |= state.in_memory | state.on_disk
        if state.loading is not None:
            names.add(state.loading.model)
    return names


def targets_with_copy(
    load_targets: Iterable[LoadTarget],
) -> dict[str, list[LoadTarget]]:
    """The engines that have a copy of each model and don't hold it."""
    found: dict[str, list[LoadTarget]] = {}
    for load_target in load_targets:
        for name in load_target.copies().difference(load_target.held):
            found.setdefault(name, []).append(load_target)
    return found


@dataclass(frozen=True, slots=True)
class Victims:
    """Models to evict, one after the other; ``wait_s`` is how long their calls take to
    end."""

    models: tuple[str, ...]
    wait_s: float = 0.0

    @property
    def busy(self) -> bool:
        """Whether some of them have calls that must end first."""
        return self.wait_s > 0


def _calls_end_s(calls: int) -> float:
    """How many seconds so many calls take to end."""
    return (
        CALL_DURATION_S * (1.0 + CALL_DURATION_GROWTH * math.log(calls))
        if calls
        else 0.0
    )


#: No model has to be evicted.
NO_VICTIMS = Victims(())


@dataclass(frozen=True, slots=True)
class _EvictionCandidate:
    """A held model, the value of keeping it, the megabytes that its eviction frees, and
    how long its calls take to end, in seconds."""

    name: str
    keep_value: float
    freed_mb: float
    calls_end_s: float


class EvictionOrder:
    """The models of one engine in the order in which they are evicted.

    Example::

        eviction_order = EvictionOrder(engine, holdings, in_use, keep_values)
        victims = eviction_order.choose(40.0, demand)
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
        """Choose models to evict for ``need_mb`` beyond the free memory.

        Among the models without calls the one with the least demand goes first, and
        none with far more demand than the incoming one. A model with calls is evicted
        only for calls that wait: it accepts no new ones from then on, so rarely used
        models take turns on an engine.
        """
        min_value, max_value = _evictable_keep_values(incoming, load_s)
        chosen: list[_EvictionCandidate] = []
        for candidate in self._idle:
            if candidate.keep_value < min_value:
                continue
            if candidate.keep_value > max_value:
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
    """The least and the greatest keep value of idle models that may be evicted.

    Before the first calls, the models that several engines hold are those that the
    platform expects to be called most. Evicted for a model without calls, they would be
    missed by the first callers. A model that a single engine holds is called rarely,
    and its copy remains.
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
    """Which held models to evict for ``need_mb`` beyond the free memory; None if that
    isn't worth it. ``load_s`` is how long the incoming load takes, in seconds."""
    if need_mb <= 0:
        return NO_VICTIMS
    eviction_order = EvictionOrder(engine, holdings, in_use, keep_values)
    return eviction_order.choose(need_mb, incoming, load_s)


def keep_values(
    holdings: Iterable[str], demands: Mapping[str, Demand]
) -> dict[str, float]:
    """How much it matters that an engine keeps each model that it holds."""
    return {name: _keep_value(demands.get(name, NO_DEMAND)) for name in holdings}


def _keep_value(demand: Demand) -> float:
    return demand.value_per_holder * (
        RETURNING_CALLERS_FACTOR if demand.waiting else 1.0
    )
