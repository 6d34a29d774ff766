"""The comparison as Markdown."""

from __future__ import annotations

from collections.abc import Sequence

from bambootiller_standins.agreement._figures import Compared, Pair, compare, faults
from bambootiller_standins.agreement._scenarios import Trial
from bambootiller_standins.experiments.measures import Spread

HEAD = "| figure | virtual | real | real / virtual |\n|---|---|---|---|"


def markdown(trials: Sequence[Trial], pairs: Sequence[Pair]) -> str:
    """One section a trial, and what no run may show."""
    parts = []
    for trial in trials:
        own = [pair for pair in pairs if pair.trial == trial.name]
        if own:
            parts.append(_section(trial, own))
    found = faults(pairs)
    if found:
        parts.append("## Broken rules\n\n" + "\n".join(f"- {text}" for text in found))
    else:
        parts.append(
            "No run on either side had more replicas of a model than its cap, an "
            "overcommitted engine, a wrong answer or a request without an answer."
        )
    return "\n\n".join(parts) + "\n"


def table(rows: Sequence[Compared]) -> str:
    """The figures of one trial: mean over the seeds, and least to greatest."""
    lines = [
        f"| {row.figure} | {cell(row.virtual)} | {cell(row.real)} | {cell(row.ratio)} |"
        for row in rows
    ]
    return "\n".join([HEAD, *lines])


def cell(found: Spread | None) -> str:
    """A mean with its range, e.g. ``2.51 (2.40-2.66)``."""
    if found is None:
        return "-"
    return f"{found.mean:.2f} ({found.least:.2f}-{found.most:.2f})"


def _section(trial: Trial, pairs: Sequence[Pair]) -> str:
    requests = pairs[0].virtual.requests
    seeds = ", ".join(str(pair.seed) for pair in pairs)
    return (
        f"## {trial.scenario.title}\n\n{trial.scenario.about}\n\n"
        f"{requests} requests a run; seeds {seeds}.\n\n{table(compare(pairs))}\n\n"
        f"{_codes(pairs)}"
    )


def _codes(pairs: Sequence[Pair]) -> str:
    lines = []
    for side in ("virtual", "real"):
        counts: dict[str, int] = {}
        for pair in pairs:
            for code, count in getattr(pair, side).codes:
                counts[code] = counts.get(code, 0) + count
        told = ", ".join(f"{code} {count}" for code, count in sorted(counts.items()))
        lines.append(f"Refusals, all seeds, {side}: {told or 'none'}.")
    return "\n".join(lines)
