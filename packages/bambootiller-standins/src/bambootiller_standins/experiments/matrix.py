"""Runs every scenario for every customer's size, policy and seed, a few at a time."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass

from .fleet import RunSpec, simulate
from .measures import Figures, figures
from .policies import policy
from .world import ScenarioFile, load_scenario_named, load_sizes

#: Processes at once; the machine may be shared.
WORKERS = 4
CUSTOMERS = ("forge", "regie")


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """One run of the matrix, by names."""

    scenario: str
    customer: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """A cell's figures and the real seconds that the run took."""

    cell: Cell
    figures: Figures
    seconds: float


def run_cell(cell: Cell) -> Outcome:
    """Run one cell from its names, as a worker process does."""
    began = time.perf_counter()
    sizes = load_sizes(cell.customer)
    spec = RunSpec(
        load_scenario_named(cell.scenario), sizes, policy(cell.policy), cell.seed
    )
    made = figures(simulate(spec), sizes)
    return Outcome(cell, made, time.perf_counter() - began)


def cells(
    scenarios: Sequence[ScenarioFile], policies: Sequence[str], seeds: int
) -> list[Cell]:
    """All cells; the longest scenarios first, so that no worker ends far behind."""
    ordered = sorted(scenarios, key=lambda scenario: -scenario.horizon_s)
    return [
        Cell(scenario.name, customer, name, seed)
        for scenario in ordered
        for customer in CUSTOMERS
        for name in policies
        for seed in range(1, seeds + 1)
    ]


def run_all(
    wanted: Sequence[Cell], workers: int, progress: Callable[[str], None]
) -> dict[Cell, Outcome]:
    """Run all cells in ``workers`` processes."""
    outcomes: dict[Cell, Outcome] = {}
    with ProcessPoolExecutor(max_workers=workers) as pool:
        futures = [pool.submit(run_cell, cell) for cell in wanted]
        for number, fut in enumerate(as_completed(futures), start=1):
            outcome = fut.result()
            outcomes[outcome.cell] = outcome
            if number % 50 == 0 or number == len(wanted):
                progress(f"{number} of {len(wanted)} runs")
    return outcomes
