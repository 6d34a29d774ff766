"""Measure the overhead of the whole path, in one run.

python -m bambootiller_standins.overhead
python -m bambootiller_standins.overhead --against ../earlier-checkout
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import click

from bambootiller_standins.harness import Fleet
from bambootiller_standins.overhead import _report, _sides
from bambootiller_standins.overhead._rounds import Effort, Observed, run

USUAL = Effort()


async def _measure(effort: Effort, against: Path | None) -> dict[str, Observed]:
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(Fleet())
        sides = [await _sides.start_path(fleet, "path", effort.running)]
        sides.insert(0, _sides.direct(fleet))
        if against is not None:
            other = await stack.enter_async_context(Fleet())
            name = "path before"
            sides.append(await _sides.start_path(other, name, effort.running, against))
        return await run(sides, effort)


@click.command()
@click.option("--rounds", default=USUAL.rounds, show_default=True)
@click.option("--seed", default=USUAL.seed, show_default=True)
@click.option(
    "--against",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Another checkout, whose entry and agent are measured in the same run.",
)
def main(rounds: int, seed: int, against: Path | None) -> None:
    """Compare entry and agent with calling the engine stand-in directly."""
    effort = Effort(rounds=rounds, seed=seed)
    if against is not None:
        against = against.resolve()
    found = asyncio.run(_measure(effort, against))
    click.echo(
        f"{effort.rounds} rounds, seed {effort.seed}: "
        f"{effort.timed_requests} timed answers of {effort.timed_tokens} tokens one "
        f"after another, and twice {effort.worked_requests} answers by "
        f"{effort.running} callers at a time, of 2 and of {effort.worked_tokens} tokens"
    )
    for line in _report.lines(found):
        click.echo(line)


if __name__ == "__main__":
    main()
