"""Run the small scenarios both ways and compare.

python -m bambootiller_standins.agreement --seeds 3
python -m bambootiller_standins.agreement --seed 7 --trial one-burst
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import random
from collections.abc import Sequence
from pathlib import Path

import click

from bambootiller_standins.agreement._engines import on_disk
from bambootiller_standins.agreement._figures import Pair
from bambootiller_standins.agreement._page import markdown
from bambootiller_standins.agreement._real import real_figures
from bambootiller_standins.agreement._scenarios import TRIALS, Trial
from bambootiller_standins.agreement._virtual import simulated, virtual_figures
from bambootiller_standins.experiments.world import World, build_world


def world_of(trial: Trial, seed: int) -> World:
    """The fleet that the experiments draw for a trial and a seed."""
    sizes = trial.sizes
    name = f"{trial.scenario.seed}/{seed}/{sizes.customer}/world"
    return build_world(sizes, random.Random(name))


def disks_empty(seed: int) -> bool:
    """Whether no server has a checkpoint of any trial on its disk at the start.

    Where one has, the order in which slots are placed decides whether a load is served
    from that disk. The models place in one order, the entries in whichever comes, so
    the two sides then run different cases.
    """
    return not any(
        any(on_disk(world_of(trial, seed), seed).values()) for trial in TRIALS
    )


def first_seeds(count: int, empty_disks: bool) -> list[int]:
    """The first ``count`` seeds, or the first of those with empty disks."""
    usable = (
        seed for seed in itertools.count(1) if not empty_disks or disks_empty(seed)
    )
    return list(itertools.islice(usable, count))


async def run_pair(trial: Trial, seed: int) -> Pair:
    """Run one trial with one seed both ways, with the same arrivals."""
    result = simulated(trial, seed)
    arrivals = [record.arrival for record in result.records]
    real = await real_figures(trial, world_of(trial, seed), arrivals, seed)
    return Pair(trial.name, seed, virtual_figures(result), real)


async def run_all(trials: Sequence[Trial], seeds: Sequence[int]) -> list[Pair]:
    """Run all trials, one fleet at a time."""
    pairs = []
    for seed in seeds:
        for trial in trials:
            pairs.append(await run_pair(trial, seed))
            click.echo(f"{trial.name}, seed {seed}: done", err=True)
    return pairs


@click.command()
@click.option("--seed", type=int, help="Only this seed.")
@click.option(
    "--seeds", default=3, show_default=True, help="How many seeds, from 1 on."
)
@click.option(
    "--empty-disks", is_flag=True, help="Pass over seeds with checkpoints on disks."
)
@click.option(
    "--trial",
    "chosen",
    multiple=True,
    type=click.Choice([trial.name for trial in TRIALS]),
    help="Only trials of this name.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A file for all figures as JSON.",
)
def main(
    seed: int | None,
    seeds: int,
    empty_disks: bool,
    chosen: tuple[str, ...],
    out: Path | None,
) -> None:
    """Compare the experiments' models with real processes on small scenarios."""
    wanted = [seed] if seed is not None else first_seeds(seeds, empty_disks)
    trials = [trial for trial in TRIALS if not chosen or trial.name in chosen]
    pairs = asyncio.run(run_all(trials, wanted))
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        body = [dataclasses.asdict(pair) for pair in pairs]
        out.write_text(json.dumps(body, indent=1))
    click.echo(markdown(trials, pairs))


if __name__ == "__main__":
    main()
