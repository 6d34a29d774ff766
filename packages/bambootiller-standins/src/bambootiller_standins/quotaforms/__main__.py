"""Prints a table: each form in each scenario."""

from __future__ import annotations

import click

from bambootiller_standins.quotaforms._forms import forms
from bambootiller_standins.quotaforms._scenarios import Run, scenarios


@click.command()
@click.option("--entries", default=24, help="How many entries share the limits.")
@click.option("--seeds", default=3, help="Runs of each form in each scenario.")
@click.option("--form", "chosen", multiple=True, help="Only these forms.")
@click.option("--scenario", "played", multiple=True, help="Only these scenarios.")
def main(
    entries: int, seeds: int, chosen: tuple[str, ...], played: tuple[str, ...]
) -> None:
    """Compare the forms: false refusals in 1,000 calls owed, the fullest window as a
    part of what is allowed, messages a second and entry."""
    click.echo("| scenario | form | false refusals | fullest window | messages |")
    click.echo("|---|---|---|---|---|")
    for name, prepare in scenarios().items():
        for kind_name, kind in forms().items():
            if (played and name not in played) or (chosen and kind_name not in chosen):
                continue
            found = []
            for seed in range(seeds):
                run = Run(kind, entries, seed)
                prepare(run)
                found.append(run.play())
            owed = sum(figures.owed for figures in found)
            refused = 1000 * sum(figures.false_refusals for figures in found) / owed
            fullest = max(figures.most_over for figures in found)
            messages = sum(figures.messages for figures in found) / seeds
            click.echo(
                f"| {name} | {kind_name} | {refused:.1f} | {fullest:.2f}"
                f" | {messages:.1f} |"
            )


if __name__ == "__main__":
    main()
