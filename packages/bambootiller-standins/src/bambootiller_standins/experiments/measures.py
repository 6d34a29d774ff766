"""Figures of a run, and of the same scenario and policy over several seeds.

Percentiles are nearest-rank over the samples there are, without interpolation. Of fewer
than a hundred samples the 99th is the greatest one, and is marked so in the report.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .records import Ending, Record, RunResult
from .world import Sizes

#: Below this many samples a 99th percentile is the greatest sample.
FEW_SAMPLES = 100


@dataclass(frozen=True, slots=True)
class Tail:
    """Percentiles of a sample in seconds; None if it is empty."""

    count: int
    p50: float | None
    p95: float | None
    p99: float | None
    most: float | None


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run gave.

    ``cold`` is the time to the first token of the callers, batch work apart, who found
    no replica loaded; ``first_token`` the same of all callers, batch work apart.
    ``stretch`` is the cold time of a burst over the bare load time of its model at the
    holder that served it, ``stretch_to_best`` the same over the least of all holders.
    ``cost`` is the customer's own weighting of waiting and idling.
    """

    requests: int
    answered: float
    refused: float
    late: float
    dropped: int
    weighted: float
    cold: Tail
    first_token: Tail
    stretch: Tail
    stretch_to_best: Tail
    idle_h: float
    loaded_h: float
    loads: int
    most_transfers: int
    cost: float
    cold_cost: float
    idle_cost: float
    unanswered_cost: float
    broken: int
    first_broken: str
    codes: dict[str, int] = field(default_factory=dict)
    cold_samples: tuple[float, ...] = field(default=(), repr=False)


def percentile(ordered: Sequence[float], share: float) -> float | None:
    """The nearest-rank percentile of an ordered sample, None if it is empty."""
    if not ordered:
        return None
    rank = max(1, math.ceil(share * len(ordered) - 1e-9))
    return ordered[rank - 1]


def tail(samples: Iterable[float]) -> Tail:
    """The percentiles of ``samples``."""
    ordered = sorted(samples)
    return Tail(
        len(ordered),
        percentile(ordered, 0.50),
        percentile(ordered, 0.95),
        percentile(ordered, 0.99),
        ordered[-1] if ordered else None,
    )


def figures(result: RunResult, sizes: Sizes) -> Figures:
    """The figures of one run."""
    records = result.records
    total = max(1, len(records))
    people = [record for record in records if not record.arrival.batch]
    cold = [record for record in people if record.cold]
    burst = _burst(cold)
    cold_samples = _first_tokens(cold)
    cold_cost = sizes.cold_second * sum(cold_samples)
    unanswered_cost = sizes.cold_second * sum(
        record.arrival.timeout_s
        for record in people
        if record.ending is not Ending.ANSWERED
    )
    idle_cost = sizes.idle_second * result.idle_s
    endings = [record.ending for record in records]
    return Figures(
        requests=len(records),
        answered=endings.count(Ending.ANSWERED) / total,
        refused=endings.count(Ending.REFUSED) / total,
        late=endings.count(Ending.LATE) / total,
        dropped=endings.count(Ending.DROPPED),
        weighted=_weighted(records),
        cold=tail(cold_samples),
        first_token=tail(_first_tokens(people)),
        stretch=tail(_known(record.stretch for record in burst)),
        stretch_to_best=tail(_known(record.stretch_to_best for record in burst)),
        idle_h=result.idle_s / 3600.0,
        loaded_h=result.loaded_s / 3600.0,
        loads=result.loads,
        most_transfers=result.most_transfers,
        cost=cold_cost + unanswered_cost + idle_cost,
        cold_cost=cold_cost,
        idle_cost=idle_cost,
        unanswered_cost=unanswered_cost,
        broken=len(result.broken),
        first_broken=result.broken[0] if result.broken else "",
        codes=_codes(records),
        cold_samples=tuple(cold_samples),
    )


def _first_tokens(records: Iterable[Record]) -> list[float]:
    """First-token times of the answered ones."""
    return [
        record.first_token_s
        for record in records
        if record.ending is Ending.ANSWERED and record.first_token_s is not None
    ]


def _burst(cold: Iterable[Record]) -> list[Record]:
    return [
        record
        for record in cold
        if record.ending is Ending.ANSWERED and record.arrival.tag == "burst"
    ]


def _known(values: Iterable[float | None]) -> list[float]:
    return [value for value in values if value is not None]


def _weighted(records: Sequence[Record]) -> float:
    offered = sum(record.arrival.standing for record in records)
    given = sum(
        record.arrival.standing
        for record in records
        if record.ending is Ending.ANSWERED
    )
    return given / offered if offered else 1.0


def _codes(records: Iterable[Record]) -> dict[str, int]:
    codes: dict[str, int] = {}
    for record in records:
        if record.code:
            codes[record.code] = codes.get(record.code, 0) + 1
    return codes


@dataclass(frozen=True, slots=True)
class Spread:
    """A figure over the seeds: its mean, least and greatest value."""

    mean: float
    least: float
    most: float


def spread(values: Iterable[float | None]) -> Spread | None:
    """Mean and range over the seeds; None if no seed has a value."""
    known = [value for value in values if value is not None]
    if not known:
        return None
    return Spread(sum(known) / len(known), min(known), max(known))
