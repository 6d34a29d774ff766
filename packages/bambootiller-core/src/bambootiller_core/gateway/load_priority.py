"""Ranks the models of a service by the priority of their loads in a plan."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from typing import Protocol

from bambootiller_core import rendezvous
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand

#: A model with at least this many waiting calls goes first, and need not queue for the
#: store: demand has shifted to it, and each further second delays that many calls.
MANY_WAITING = 4
#: A model with at least this fraction of all demand gets a second engine, so that the
#: loss of one engine doesn't make it unavailable.
ADDITIONAL_ENGINE_FRACTION = 0.08
#: A model gets one more engine if all that hold it run at least this fraction of the
#: calls that they can serve at once; slightly more, and calls would be refused there.
SATURATION_FRACTION = 0.8
#: Cached rendezvous weights of models; a service has some hundred models.
WEIGHT_CACHE_SIZE = 4096


class LoadRank(enum.IntEnum):
    """The priority of a load, highest first.

    A ``SINGLE_HOLDER`` model has much demand and is held by a single engine: its calls
    queue there, and none is served if that engine is lost.
    """

    MANY_CALLS_WAITING = 0
    SINGLE_HOLDER = 1
    CALLS_WAITING = 2
    IN_DEMAND = 3
    ADDITIONAL_ENGINE = 4
    PREFETCH = 5


class LoadInProgress(Protocol):
    """A load in progress."""

    @property
    def from_store(self) -> bool:
        """Whether the load uses the weight store."""


def prioritize_loads(
    engine: EngineSpec,
    now: float,
    live_backends: Iterable[Backend],
    copied: Mapping[str, int],
    demands: Mapping[str, Demand],
    loads_in_progress: Mapping[str, LoadInProgress],
) -> list[tuple[ModelSpec, LoadRank]]:
    """The models to load, highest priority first.

    ``copied`` are the models of which engines have copies, held ones included. A model
    whose load is in progress appears only if it may be worth a second load from a copy,
    and a ``SINGLE_HOLDER`` model appears once more as ``ADDITIONAL_ENGINE``.
    """
    holders: dict[str, list[Backend]] = {}
    for backend in live_backends:
        for name in backend.holdings:
            holders.setdefault(name, []).append(backend)
    total = sum([demand.rate for demand in demands.values()])
    ranked = []
    for name, spec in engine.models.items():
        demand = demands.get(name)
        if demand is None:
            if total or name in copied:
                # It has no demand, like most models at any time.
                continue
            demand = NO_DEMAND
        in_progress = loads_in_progress.get(name)
        if in_progress is not None:
            ranks = _ranks_while_loading(demand, in_progress)
        else:
            ranks = _ranks(now, demand, holders.get(name, ()), name in copied, total)
        ranked += [
            (_sort_key(rank, spec, demand, name in copied), spec, rank)
            for rank in ranks
        ]
    ranked.sort(key=lambda item: item[0])
    return [(spec, rank) for _, spec, rank in ranked]


def _sort_key(
    rank: LoadRank, spec: ModelSpec, demand: Demand, copied: bool
) -> tuple[float, ...]:
    """The sort key of models within one rank.

    Models go first whose calls a load from a copy can still serve in time, the earliest
    deadline before others: behind calls that are late in any case, these calls would
    become late as well.

    The other models with a copy are served in order of arrival: ordered by demand
    alone, later calls would overtake earlier ones that already wait, which would then
    have waited in vain.

    Models without any copy: most of their callers are refused at once, and the load
    ends long after it was chosen. So the order depends on the callers that the load
    will serve, per second of the store's time that it takes.

    Among models with equal demand, such as those without calls so far, the shortest
    load goes first, as the store is free again sooner.
    """
    if not copied:
        worth = demand.store_load_value / spec.load_s
        return rank, True, 0.0, -worth, spec.load_s, _tie_breaker(spec.name)
    in_time = demand.next_deadline_s >= spec.disk_s
    first = demand.next_deadline_s if in_time else -demand.oldest_s
    return (
        rank,
        not in_time,
        round(first, 1),
        -demand.value,
        spec.load_s,
        _tie_breaker(spec.name),
    )


@lru_cache(WEIGHT_CACHE_SIZE)
def _tie_breaker(name: str) -> int:
    """Entries use the same order for equal models, and so seldom request the same load
    twice."""
    return rendezvous.weight("fetch", name)


def _ranks_while_loading(
    demand: Demand, in_progress: LoadInProgress
) -> tuple[LoadRank, ...]:
    """A model that is being loaded from the store is loaded from a copy as well if many
    calls wait: the only engine with a copy may have become available again."""
    if in_progress.from_store and demand.waiting >= MANY_WAITING:
        return (LoadRank.MANY_CALLS_WAITING,)
    return ()


def _ranks(
    now: float,
    demand: Demand,
    holders: Sequence[Backend],
    copied: bool,
    total_rate: float,
) -> tuple[LoadRank, ...]:
    """The ranks of a model; empty if it needs no load."""
    if not holders and not copied:
        return _ranks_from_store(demand, total_rate)
    if not holders and demand.awaited:
        many = demand.awaited >= MANY_WAITING
        return (LoadRank.MANY_CALLS_WAITING if many else LoadRank.CALLS_WAITING,)
    if not demand.rate:
        return ()
    if len(holders) == 1 and demand.rate >= ADDITIONAL_ENGINE_FRACTION * total_rate:
        return (LoadRank.SINGLE_HOLDER, LoadRank.ADDITIONAL_ENGINE)
    return (LoadRank.ADDITIONAL_ENGINE,) if _saturated(holders, now) else ()


def _ranks_from_store(demand: Demand, total_rate: float) -> tuple[LoadRank, ...]:
    """The ranks of a model that only the weight store can provide."""
    if demand.expected_callers:
        many = demand.aged_callers >= MANY_WAITING
        return (LoadRank.MANY_CALLS_WAITING if many else LoadRank.CALLS_WAITING,)
    if demand.rate > 0 or demand.awaited:
        return (LoadRank.IN_DEMAND,)
    # While there are calls, an engine that prefetches a model is unavailable for the
    # models that are called.
    return (LoadRank.PREFETCH,) if total_rate == 0 else ()


def _saturated(holders: Iterable[Backend], now: float) -> bool:
    """Whether every engine that holds a model is close to its maximum of calls, or to a
    limit that it reports."""
    return bool(holders) and all(
        now < backend.throttled_until
        or backend.occupied(now)
        >= SATURATION_FRACTION * max(1, backend.registration.slots)
        for backend in holders
    )
