"""What is compared: the figures of one run, their ratios, and the spread over seeds."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from bambootiller_standins.experiments.measures import Spread, spread, tail
from bambootiller_standins.experiments.records import Ending


@dataclass(frozen=True, slots=True)
class Answer:
    """One request's end, whichever side it ran on; times are seconds.

    ``cold`` if no replica was loaded when it arrived; ``wait_s`` is the time to the
    first token, if there was one.
    """

    cold: bool
    ending: Ending
    wait_s: float | None
    code: str = ""


@dataclass(frozen=True, slots=True)
class RunFigures:
    """One run of a trial on one side.

    ``most_over_cap`` is the greatest number of replicas of any model above its cap, 0
    if none; ``idle_s`` and ``loaded_s`` are accelerator seconds up to the horizon.
    """

    requests: int
    answered: float
    refused: float
    late: float
    dropped: int
    cold: int
    cold_p50_s: float | None
    cold_p95_s: float | None
    loads: int
    idle_s: float
    loaded_s: float
    most_over_cap: int
    broken: tuple[str, ...] = ()
    codes: tuple[tuple[str, int], ...] = ()


def run_figures(
    answers: Sequence[Answer],
    *,
    loads: int,
    idle_s: float,
    loaded_s: float,
    most_over_cap: int,
    broken: Iterable[str] = (),
) -> RunFigures:
    """The figures of one run from what became of its requests."""
    total = max(1, len(answers))
    endings = [answer.ending for answer in answers]
    waits = tail(
        answer.wait_s
        for answer in answers
        if answer.cold
        and answer.ending is Ending.ANSWERED
        and answer.wait_s is not None
    )
    codes = [answer.code for answer in answers if answer.code]
    return RunFigures(
        requests=len(answers),
        answered=endings.count(Ending.ANSWERED) / total,
        refused=endings.count(Ending.REFUSED) / total,
        late=endings.count(Ending.LATE) / total,
        dropped=endings.count(Ending.DROPPED),
        cold=sum(answer.cold for answer in answers),
        cold_p50_s=waits.p50,
        cold_p95_s=waits.p95,
        loads=loads,
        idle_s=idle_s,
        loaded_s=loaded_s,
        most_over_cap=most_over_cap,
        broken=tuple(broken),
        codes=tuple((code, codes.count(code)) for code in sorted(set(codes))),
    )


@dataclass(frozen=True, slots=True)
class Pair:
    """The two sides of one trial with one seed."""

    trial: str
    seed: int
    virtual: RunFigures
    real: RunFigures


@dataclass(frozen=True, slots=True)
class Compared:
    """One figure of a trial over the seeds: both sides, and real over virtual.

    ``ratio`` is None if the virtual value is zero with every seed.
    """

    figure: str
    virtual: Spread | None
    real: Spread | None
    ratio: Spread | None


#: The figures with a ratio, in the order in which they are shown.
FIGURES: tuple[tuple[str, str], ...] = (
    ("cold start p50, s", "cold_p50_s"),
    ("cold start p95, s", "cold_p95_s"),
    ("loads", "loads"),
    ("share answered in time", "answered"),
    ("share refused in time", "refused"),
    ("share ended late", "late"),
    ("loaded accelerator seconds", "loaded_s"),
    ("idle accelerator seconds", "idle_s"),
)


def compare(pairs: Sequence[Pair]) -> list[Compared]:
    """All figures of one trial's pairs, each with the spread over the seeds."""
    return [_compare(title, pairs, _getter(field)) for title, field in FIGURES]


def ratio(real: float | None, virtual: float | None) -> float | None:
    """Real over virtual; None if either is missing or the virtual one is zero."""
    if real is None or not virtual:
        return None
    return real / virtual


def faults(pairs: Sequence[Pair]) -> list[str]:
    """What no run may show on either side, as sentences; empty if there is nothing."""
    found = []
    for pair in pairs:
        for side in ("virtual", "real"):
            run: RunFigures = getattr(pair, side)
            where = f"{pair.trial}, seed {pair.seed}, {side}"
            if run.most_over_cap:
                found.append(f"{where}: {run.most_over_cap} replicas above the cap")
            if run.dropped:
                found.append(f"{where}: {run.dropped} requests without an answer")
            found += [f"{where}: {text}" for text in run.broken]
    return found


def _getter(field: str) -> Callable[[RunFigures], float | None]:
    assert field in {item.name for item in dataclasses.fields(RunFigures)}
    return lambda run: getattr(run, field)


def _compare(
    title: str, pairs: Sequence[Pair], get: Callable[[RunFigures], float | None]
) -> Compared:
    return Compared(
        title,
        spread(get(pair.virtual) for pair in pairs),
        spread(get(pair.real) for pair in pairs),
        spread(ratio(get(pair.real), get(pair.virtual)) for pair in pairs),
    )
