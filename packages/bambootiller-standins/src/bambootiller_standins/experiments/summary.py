"""Outcomes of the matrix put together over the seeds, and held against the aims."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .matrix import Cell, Outcome
from .measures import Figures, Spread, Tail, spread, tail
from .policies import OWN, policies

#: A burst's 99th percentile may exceed the bare load time by this factor.
STRETCH_AIM = 1.3
#: Scenarios whose bursts want no more loads than the store gives at full speed.
STORE_NOT_THE_LIMIT = ("class-opens", "convoy", "lagging-reports")
#: Costs that differ by less than this part are equal.
EQUAL = 0.01


@dataclass(frozen=True, slots=True)
class Row:
    """A policy in one scenario of one customer, over all seeds."""

    scenario: str
    customer: str
    policy: str
    runs: tuple[Figures, ...]
    cold: Tail

    def over_seeds(self, name: str) -> Spread | None:
        """Mean and range of a figure, named as in :class:`Figures`."""
        return spread(getattr(run, name) for run in self.runs)

    def mean(self, name: str) -> float:
        """The mean of a figure over the seeds."""
        return sum(getattr(run, name) for run in self.runs) / len(self.runs)

    def cold_p99_range(self) -> Spread | None:
        """The 99th percentile of the cold-start time, by seed."""
        return spread(run.cold.p99 for run in self.runs)

    def stretch_p99(self) -> Spread | None:
        """The burst's 99th percentile over the bare load time, by seed."""
        return spread(run.stretch.p99 for run in self.runs)

    def stretch_to_best_p99(self) -> Spread | None:
        """The same over the bare load time at the holder where it is least."""
        return spread(run.stretch_to_best.p99 for run in self.runs)


@dataclass(frozen=True, slots=True)
class Verdict:
    """One aim in one scenario: what was reached, and against what."""

    aim: str
    scenario: str
    customer: str
    reached: bool
    detail: str


def rows(outcomes: dict[Cell, Outcome]) -> list[Row]:
    """One row for each scenario, customer and policy."""
    grouped: dict[tuple[str, str, str], list[Figures]] = {}
    for cell in sorted(outcomes):
        place = (cell.scenario, cell.customer, cell.policy)
        grouped.setdefault(place, []).append(outcomes[cell].figures)
    order = {item.name: index for index, item in enumerate(policies())}
    made = [
        Row(*place, runs=tuple(runs), cold=_pooled(runs))
        for place, runs in grouped.items()
    ]
    return sorted(made, key=lambda row: (row.scenario, row.customer, order[row.policy]))


def _pooled(runs: Iterable[Figures]) -> Tail:
    return tail(sample for run in runs for sample in run.cold_samples)


def verdicts(table: Sequence[Row]) -> list[Verdict]:
    """Every aim that the rows can be held against."""
    made: list[Verdict] = []
    baselines = {item.name for item in policies() if item.baseline}
    for place in sorted({(row.scenario, row.customer) for row in table}):
        here = {row.policy: row for row in table if _place(row) == place}
        own = here.get(OWN)
        if own is None:
            continue
        others = [row for name, row in here.items() if name in baselines]
        made.append(_nothing_dropped(own))
        if others:
            made.append(_cost(own, others))
        if place[0] in STORE_NOT_THE_LIMIT:
            made.append(_stretch(own))
        if "keep-10-min" in here:
            made.append(_idle(own, here["keep-10-min"]))
    return made


def _place(row: Row) -> tuple[str, str]:
    return (row.scenario, row.customer)


def _nothing_dropped(own: Row) -> Verdict:
    dropped = sum(run.dropped for run in own.runs)
    late = own.mean("late")
    broken = sum(run.broken for run in own.runs)
    return Verdict(
        "none dropped or late, no rule of the models broken",
        own.scenario,
        own.customer,
        dropped == 0 and late == 0 and broken == 0,
        f"{dropped} dropped, {late:.3%} late, {broken} rules broken",
    )


def _cost(own: Row, others: Sequence[Row]) -> Verdict:
    best = min(others, key=lambda row: row.mean("cost"))
    ours, theirs = own.mean("cost"), best.mean("cost")
    return Verdict(
        "own weighting at least as good as the best baseline's",
        own.scenario,
        own.customer,
        ours <= theirs * (1.0 + EQUAL),
        f"{ours:.0f} against {theirs:.0f} ({best.policy}), {ours / theirs - 1.0:+.0%}",
    )


def _stretch(own: Row) -> Verdict:
    found, to_best = own.stretch_p99(), own.stretch_to_best_p99()
    detail = "no cold burst"
    if found is not None and to_best is not None:
        detail = (
            f"{found.mean:.2f} times, {found.least:.2f} to {found.most:.2f} over the"
            f" seeds; {to_best.mean:.2f} times that of the holder with the least"
        )
    return Verdict(
        f"p99 of a burst within {STRETCH_AIM} times the bare load",
        own.scenario,
        own.customer,
        found is None or found.mean <= STRETCH_AIM,
        detail,
    )


def _idle(own: Row, keep: Row) -> Verdict:
    ours, theirs = own.mean("idle_h"), keep.mean("idle_h")
    tail_ours, tail_theirs = own.cold.p99 or 0.0, keep.cold.p99 or 0.0
    return Verdict(
        "idle hours under half of keep-10-min's at no worse p99",
        own.scenario,
        own.customer,
        ours < 0.5 * theirs and tail_ours <= tail_theirs * (1.0 + EQUAL),
        f"{ours:.1f} h against {theirs:.1f} h; p99 {tail_ours:.2f} s "
        f"against {tail_theirs:.2f} s",
    )
