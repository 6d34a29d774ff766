"""Plots of a scenario: what it cost under each policy, and its cold-start times."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

from .summary import Row

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend has to be chosen before)

PARTS = (
    ("cold_cost", "cold starts", "#3b6ea8"),
    ("unanswered_cost", "not answered in time", "#b5493a"),
    ("idle_cost", "idle", "#c9a13b"),
)


def plot_scenario(name: str, title: str, table: Sequence[Row], out: Path) -> str:
    """Write the scenario's plot into ``out``; returns its file name."""
    here = [row for row in table if row.scenario == name]
    customers = sorted({row.customer for row in here})
    figure, axes = pyplot.subplots(
        len(customers), 2, figsize=(12, 4.2 * len(customers)), squeeze=False
    )
    for (left, right), customer in zip(axes, customers):
        mine = [row for row in here if row.customer == customer]
        _costs(left, customer, mine)
        _cold_times(right, customer, mine)
    figure.suptitle(title)
    figure.tight_layout()
    file_name = f"{name}.png"
    figure.savefig(out / file_name, dpi=80)
    pyplot.close(figure)
    return file_name


def _costs(axis, customer: str, table: Sequence[Row]) -> None:
    names = [row.policy for row in table]
    below = [0.0] * len(table)
    for field, label, colour in PARTS:
        values = [row.mean(field) for row in table]
        axis.barh(names, values, left=below, label=label, color=colour)
        below = [one + other for one, other in zip(below, values)]
    axis.invert_yaxis()
    axis.set_xlabel("cost by the customer's weights, mean over the seeds")
    axis.set_title(customer)
    # Room on the right, so that the legend covers no bar.
    axis.set_xlim(right=1.4 * max(below))
    axis.legend(fontsize=8, loc="lower right")


def _cold_times(axis, customer: str, table: Sequence[Row]) -> None:
    for row in table:
        samples = sorted(time for run in row.runs for time in run.cold_samples)
        if not samples:
            continue
        shares = [(index + 1) / len(samples) for index in range(len(samples))]
        width = 2.2 if row.policy == table[0].policy else 1.0
        axis.step(samples, shares, where="post", label=row.policy, linewidth=width)
    axis.set_xlabel("cold start time, s")
    axis.set_ylabel("share of cold starts")
    axis.set_title(f"{customer}: cold starts, all seeds")
    axis.grid(alpha=0.3)
    if axis.lines:
        axis.legend(fontsize=7, loc="lower right")
