"""The command that runs the experiments and writes their report."""

from __future__ import annotations

import time
from pathlib import Path

import click

from .matrix import WORKERS, cells, run_all
from .plots import plot_scenario
from .policies import policies
from .report import as_json, markdown
from .summary import rows, verdicts
from .world import all_scenarios


@click.command()
@click.option("--seeds", default=5, show_default=True, help="Seeds for each run.")
@click.option(
    "--out",
    default=Path("out/experiments"),
    show_default=True,
    type=click.Path(path_type=Path, file_okay=False),
    help="Where the report, the figures and the plots go.",
)
@click.option("--scenario", "only", multiple=True, help="Only scenarios of this name.")
@click.option("--policy", "chosen", multiple=True, help="Only policies of this name.")
@click.option("--workers", default=WORKERS, show_default=True, help="Processes.")
@click.option("--plots/--no-plots", "with_plots", default=True, help="Write plots.")
def main(
    seeds: int,
    out: Path,
    only: tuple[str, ...],
    chosen: tuple[str, ...],
    workers: int,
    with_plots: bool,
) -> None:
    """Run every scenario under every policy and write the report."""
    began = time.monotonic()
    scenarios = [item for item in all_scenarios() if not only or item.name in only]
    names = [item.name for item in policies() if not chosen or item.name in chosen]
    if not scenarios or not names:
        raise click.UsageError("no scenario or no policy of that name")
    outcomes = run_all(cells(scenarios, names, seeds), workers, click.echo)
    table = rows(outcomes)
    found = verdicts(table)
    out.mkdir(parents=True, exist_ok=True)
    plots = {}
    if with_plots:
        for item in scenarios:
            plots[item.name] = plot_scenario(item.name, item.title, table, out)
    (out / "report.md").write_text(markdown(scenarios, table, found, seeds, plots))
    (out / "figures.json").write_text(as_json(outcomes, found))
    missed = sum(not item.reached for item in found)
    click.echo(
        f"{len(outcomes)} runs in {time.monotonic() - began:.0f} s; {len(found)} aims,"
        f" {missed} missed; report in {out / 'report.md'}"
    )


if __name__ == "__main__":
    main()
