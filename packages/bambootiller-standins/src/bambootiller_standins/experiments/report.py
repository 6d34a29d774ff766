"""The experiments' report in Markdown, and their figures as JSON."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Sequence

from .matrix import Cell, Outcome
from .measures import FEW_SAMPLES, Spread
from .policies import OWN, policies
from .summary import Row, Verdict
from .world import ScenarioFile

HEAD = (
    "| policy | cold starts | p50 | p95 | p99 | p99 by seed | answered in time |"
    " refused in time | late | dropped | weighted answered | first token p99 |"
    " idle h | loads | cost |"
)
RULE = "|" + "---|" * 15

INTRODUCTION = """\
Each scenario ran under each policy with the same arrivals for {seeds} seeds; `python -m
bambootiller_standins.experiments --seeds {seeds}` gives the same figures again. All
times are virtual seconds on small models of engines and of the weight store; the
decisions are the programs' own code.

- *Cold start time* runs from a caller's request to its first token, for callers (batch
  work apart) who found no replica of their model loaded. p50, p95 and p99 are
  nearest-rank over all seeds' samples; the range is that of the p99 of single seeds. A
  p99 over fewer than {few} samples is the greatest sample and marked *.
- *Refused in time* means an answer before the deadline that says so; *late* an end
  after it; *dropped* no end at all.
- *Idle h* are hours that replicas were loaded with no request on them, within the
  horizon.
- *Cost* is the customer's own weighting, mean over the seeds: `cold_second` for each
  second of a cold start that a caller waited, `idle_second` for each idle second, and
  for a caller without an answer in time the whole time that the caller had given.
"""


def markdown(
    scenarios: Sequence[ScenarioFile],
    table: Sequence[Row],
    found: Sequence[Verdict],
    seeds: int,
    plots: dict[str, str],
) -> str:
    """The whole report."""
    parts = ["# Experiments: the decisions against baselines\n"]
    parts.append(INTRODUCTION.format(seeds=seeds, few=FEW_SAMPLES))
    parts.append("## Policies\n")
    parts += [f"- **{item.name}**: {item.about}." for item in policies()]
    parts.append("\n## Aims\n")
    parts.append(_aims(found))
    for scenario in scenarios:
        parts.append(_scenario(scenario, table, plots.get(scenario.name)))
    return "\n".join(parts)


def _aims(found: Sequence[Verdict]) -> str:
    lines = [
        "| aim | scenario | customer | reached | figures |",
        "|---|---|---|---|---|",
    ]
    for item in sorted(found, key=lambda verdict: (verdict.aim, verdict.scenario)):
        reached = "yes" if item.reached else "**no**"
        lines.append(
            f"| {item.aim} | {item.scenario} | {item.customer} | {reached} |"
            f" {item.detail} |"
        )
    return "\n".join(lines) + "\n"


def _scenario(scenario: ScenarioFile, table: Sequence[Row], plot: str | None) -> str:
    parts = [f"## {scenario.title}\n", scenario.about.strip() + "\n"]
    customers = sorted({row.customer for row in table if row.scenario == scenario.name})
    for customer in customers:
        parts += [f"### {customer}\n", HEAD, RULE]
        parts += [
            _row(row)
            for row in table
            if row.scenario == scenario.name and row.customer == customer
        ]
        parts.append("")
    if plot:
        parts.append(f"![{scenario.title}]({plot})\n")
    return "\n".join(parts)


def _row(row: Row) -> str:
    few = "*" if 0 < row.cold.count < FEW_SAMPLES else ""
    name = f"**{row.policy}**" if row.policy == OWN else row.policy
    fields = [
        name,
        f"{row.cold.count}",
        _seconds(row.cold.p50),
        _seconds(row.cold.p95),
        _seconds(row.cold.p99) + few,
        _range(row.cold_p99_range()),
        f"{row.mean('answered'):.2%}",
        f"{row.mean('refused'):.2%}",
        f"{row.mean('late'):.2%}",
        f"{sum(run.dropped for run in row.runs)}",
        f"{row.mean('weighted'):.2%}",
        _seconds(_mean_first_token(row)),
        f"{row.mean('idle_h'):.1f}",
        f"{row.mean('loads'):.0f}",
        f"{row.mean('cost'):.0f}",
    ]
    return "| " + " | ".join(fields) + " |"


def _mean_first_token(row: Row) -> float | None:
    known = [run.first_token.p99 for run in row.runs if run.first_token.p99 is not None]
    return sum(known) / len(known) if known else None


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def _range(found: Spread | None) -> str:
    return "-" if found is None else f"{found.least:.2f} to {found.most:.2f}"


def as_json(outcomes: dict[Cell, Outcome], found: Sequence[Verdict]) -> str:
    """All runs' figures, without the single samples, and the verdicts."""
    runs = []
    for cell in sorted(outcomes):
        fields = dataclasses.asdict(outcomes[cell].figures)
        del fields["cold_samples"]
        runs.append({**dataclasses.asdict(cell), "figures": fields})
    document = {"runs": runs, "aims": [dataclasses.asdict(item) for item in found]}
    return json.dumps(document, indent=1)
