"""In which order the models of a service are given their loads by a plan."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.want import NO_WANT, Want

#: A model that so many calls wait for needn't wait for a place at the store: demand has
#: moved to it, and every second costs as many calls.
MANY_WAITING = 4
#: A model that takes at least this part of all demand gets a second engine, so that the
#: loss of one doesn't stop it.
SECOND_COPY_SHARE = 0.08
#: A model gets one more engine if all that hold it have so many calls, in units of what
#: they serve at once: a step further and calls would be refused there.
CROWDED = 0.8
#: How many weights of models are kept; a service has some hundred models.
KEPT_WEIGHTS = 4096


class Rank(enum.IntEnum):
    """Which loads go before which."""

    WAITED_FOR = 0
    ASKED_FOR = 1
    SECOND_COPY = 2
    UNASKED = 3


def in_order(
    engine: EngineSpec,
    now: float,
    known: Iterable[Backend],
    copied: Mapping[str, int],
    wants: Mapping[str, Want],
    under_way: Mapping[str, object],
) -> list[tuple[ModelSpec, Rank]]:
    """The models to load, the first to be served first.

    ``copied`` are those of which engines have copies, held ones included; those under
    way are left out.
    """
    holders: dict[str, list[Backend]] = {}
    for backend in known:
        for name in backend.holdings:
            holders.setdefault(name, []).append(backend)
    total = sum([want.rate for want in wants.values()])
    ranked = []
    for name, spec in engine.models.items():
        want = wants.get(name)
        if want is None:
            if total or name in copied:
                # Nobody asks for it: most models are like that at any time.
                continue
            want = NO_WANT
        if name in under_way:
            continue
        rank = _rank(now, want, holders.get(name, ()), name in copied, total)
        if rank is not None:
            # First come, first served, but for models that many calls wait for:
            # ordered by demand alone, later calls would overtake those that were told
            # to wait, until these have waited for nothing.
            many = want.waiting >= MANY_WAITING
            key = (rank, not many, -round(want.oldest_s, 1), -want.value, _tie(name))
            ranked.append((key, spec, rank))
    ranked.sort(key=lambda item: item[0])
    return [(spec, rank) for _, spec, rank in ranked]


@lru_cache(KEPT_WEIGHTS)
def _tie(name: str) -> int:
    """Entries agree on the order of equals, and so seldom ask for the same."""
    return rendezvous.weight("fetch", name)


def _rank(
    now: float,
    want: Want,
    holders: Iterable[Backend],
    copied: bool,
    total_rate: float,
) -> Rank | None:
    """How soon a model is to be loaded; None if it isn't to be."""
    if not holders and want.waiting:
        return Rank.WAITED_FOR
    if not holders and not copied:
        if want.rate > 0:
            return Rank.ASKED_FOR
        # While calls come, an engine that fetches a model nobody asks for is kept from
        # those that they ask for.
        return Rank.UNASKED if total_rate == 0 else None
    if not want.rate:
        return None
    much = len(holders) == 1 and want.rate >= SECOND_COPY_SHARE * total_rate
    if much or _crowded(holders, now):
        return Rank.SECOND_COPY
    return None


def _crowded(holders: Iterable[Backend], now: float) -> bool:
    """Whether every engine that holds a model is close to its most calls."""
    return bool(holders) and all(
        backend.occupied(now) >= CROWDED * max(1, backend.registered.slots)
        for backend in holders
    )
