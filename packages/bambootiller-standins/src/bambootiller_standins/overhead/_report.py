"""The figures of a run as a table, with ratios to the engine called directly."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence

from bambootiller_standins.overhead._rounds import Observed, Work
from bambootiller_standins.overhead._sides import ENGINE

MS = 1000.0
DIRECT = "direct"


def share(values: Sequence[float], part: float) -> float:
    """The value below which ``part`` of all lie (0.5 is the median)."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def lines(found: Mapping[str, Observed]) -> list[str]:
    """The report, line by line."""
    return [*_timing_lines(found), "", *_work_lines(found)]


def _timing_lines(found: Mapping[str, Observed]) -> list[str]:
    direct = _timed(found[DIRECT])
    report = [
        "| side | first token p50 ms | p95 ms | between tokens p50 ms | p95 ms "
        "| added to the first token p50 ms | added to each token p50 ms |",
        "|---|---|---|---|---|---|---|",
    ]
    for name, observed in found.items():
        timed = _timed(observed)
        cells = [f"{value:.2f}" for value in timed]
        added = ["", ""]
        if name != DIRECT:
            added = [f"{timed[0] - direct[0]:.2f}", f"{timed[2] - direct[2]:.3f}"]
        report.append(f"| {name} | {' | '.join(cells + added)} |")
    return report


def _timed(observed: Observed) -> tuple[float, float, float, float]:
    first = [timing.first * MS for timing in observed.timings]
    gaps = [timing.gap * MS for timing in observed.timings]
    return share(first, 0.5), share(first, 0.95), share(gaps, 0.5), share(gaps, 0.95)


def _work_lines(found: Mapping[str, Observed]) -> list[str]:
    engine = _median(found[DIRECT].work[ENGINE])
    report = [
        "| side | process | processor ms a request (rounds) | ms a token (rounds) "
        "| request, against the engine's own | token, against the engine's own |",
        "|---|---|---|---|---|---|",
    ]
    for name, observed in found.items():
        for process, rounds in _with_sum(observed).items():
            middle = _median(rounds)
            report.append(
                f"| {name} | {process} | {_spread([w.per_request for w in rounds])} "
                f"| {_spread([w.per_token for w in rounds])} "
                f"| {middle.per_request / engine.per_request:.2f} "
                f"| {middle.per_token / engine.per_token:.2f} |"
            )
    return report


def _with_sum(observed: Observed) -> dict[str, list[Work]]:
    """Each process, and all of a side together if it has more than one."""
    work = dict(observed.work)
    if len(work) > 1:
        work["together"] = [
            Work(sum(w.per_request for w in each), sum(w.per_token for w in each))
            for each in zip(*observed.work.values(), strict=True)
        ]
    return work


def _median(rounds: Sequence[Work]) -> Work:
    return Work(
        statistics.median(work.per_request for work in rounds),
        statistics.median(work.per_token for work in rounds),
    )


def _spread(seconds: Sequence[float]) -> str:
    middle = statistics.median(seconds) * MS
    return f"{middle:.3f} ({min(seconds) * MS:.3f} to {max(seconds) * MS:.3f})"
