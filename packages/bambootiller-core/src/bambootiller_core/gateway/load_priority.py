"""In which order the models of a service are given their loads by a plan."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from typing import Protocol

from bambootiller_core import rendezvous
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand

#: A model that so many calls wait for goes first, and needn't wait for a place at the
#: store: demand has moved to it, and every second costs as many calls.
MANY_WAITING = 4
#: A model that takes at least this part of all demand gets a second engine, so that the
#: loss of one doesn't stop it.
ADDITIONAL_ENGINE_FRACTION = 0.08
#: A model gets one more engine if all that hold it have so many calls, in units of what
#: they serve at once: a step further and calls would be refused there.
SATURATION_FRACTION = 0.8
#: How many weights of models are kept; a service has some hundred models.
WEIGHT_CACHE_SIZE = 4096


class LoadRank(enum.IntEnum):
    """Which loads go before which.

    A model that is ``SINGLE_HOLDER`` is much asked for, and a single engine holds it: its
    calls queue there, and nobody is served if that engine is lost.
    """

    MANY_CALLS_WAITING = 0
    SINGLE_HOLDER = 1
    CALLS_WAITING = 2
    IN_DEMAND = 3
    ADDITIONAL_ENGINE = 4
    PREFETCH = 5


class LoadInProgress(Protocol):
    """A load under way."""

    @property
    def from_store(self) -> bool:
        """Whether it draws on the weight store."""


def prioritize_loads(
    engine: EngineSpec,
    now: float,
    known: Iterable[Backend],
    copied: Mapping[str, int],
    demands: Mapping[str, Demand],
    under_way: Mapping[str, LoadInProgress],
) -> list[tuple[ModelSpec, LoadRank]]:
    """The models to load, the first to be served first.

    ``copied`` are those of which engines have copies, held ones included. A model that
    is under way appears only if it may be worth a second load from a copy, and one that
    is ``SINGLE_HOLDER`` appears once more as a ``ADDITIONAL_ENGINE``.
    """
    holders: dict[str, list[Backend]] = {}
    for backend in known:
        for name in backend.holdings:
            holders.setdefault(name, []).append(backend)
    total = sum([demand.rate for demand in demands.values()])
    ranked = []
    for name, spec in engine.models.items():
        demand = demands.get(name)
        if demand is None:
            if total or name in copied:
                # Nobody asks for it: most models are like that at any time.
                continue
            demand = NO_DEMAND
        in_progress = under_way.get(name)
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
    """What puts the models of one rank in order.

    Those first whose calls a load from a copy can still serve in time, the soonest due
    before others: behind calls that are late in any case they would be late as well.

    The others with a copy first come, first served: ordered by demand alone, later
    calls would overtake those that were told to wait, until these have waited for
    nothing.

    Where nobody has a copy most callers are refused at once, and the load is over long
    after it was chosen. So it goes to those whom it will serve, by the time of the
    store that it takes.

    Of what is wanted equally, as what nobody has asked for yet, the quickest to load
    goes first: the store's next turn comes sooner.
    """
    if not copied:
        worth = demand.store_load_value / spec.load_s
        return rank, True, 0.0, -worth, spec.load_s, _tie_breaker(spec.name)
    in_time = demand.in_time_s >= spec.disk_s
    first = demand.in_time_s if in_time else -demand.oldest_s
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
    """Entries agree on the order of equals, and so seldom ask for the same."""
    return rendezvous.weight("fetch", name)


def _ranks_while_loading(
    demand: Demand, in_progress: LoadInProgress
) -> tuple[LoadRank, ...]:
    """A model on its way from the store is loaded from a copy as well if many calls
    wait: the only engine with a copy may have come back since."""
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
    """How soon a model is to be loaded; empty if it isn't to be."""
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
    """The same of a model that only the weight store can bring."""
    if demand.expected_callers:
        many = demand.aged_callers >= MANY_WAITING
        return (LoadRank.MANY_CALLS_WAITING if many else LoadRank.CALLS_WAITING,)
    if demand.rate > 0 or demand.awaited:
        return (LoadRank.IN_DEMAND,)
    # While calls come, an engine that fetches a model nobody asks for is kept from
    # those that they ask for.
    return (LoadRank.PREFETCH,) if total_rate == 0 else ()


def _saturated(holders: Iterable[Backend], now: float) -> bool:
    """Whether every engine that holds a model is close to its most calls, or to the
    limit that it names."""
    return bool(holders) and all(
        now < backend.throttled_until
        or backend.occupied(now)
        >= SATURATION_FRACTION * max(1, backend.registration.slots)
        for backend in holders
    )
