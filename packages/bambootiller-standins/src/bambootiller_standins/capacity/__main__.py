"""Runs measurements and writes their raw figures, and the page made from them."""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path

import click

# Importing these fills the registry.
from bambootiller_standins.capacity import (  # noqa: F401
    _channels,
    _fleet,
    _gossip,
    _isolated,
    _page,
    _requests,
    _wakes,
    _whole,
)
from bambootiller_standins.capacity._registry import MEASUREMENTS, Effort


async def _measure(name: str, effort: Effort) -> dict[str, object]:
    load_before = os.getloadavg()[0]
    begun = time.monotonic()
    figures = await MEASUREMENTS[name](effort)
    return {
        "measurement": name,
        "quick": effort.quick,
        "took_seconds": round(time.monotonic() - begun, 1),
        "machine": {
            "processors": os.cpu_count(),
            "load_before": round(load_before, 1),
            "load_after": round(os.getloadavg()[0], 1),
        },
    } | figures.form()


PAGE = Path("docs/CAPACITY.md")
FOLDER = Path("docs/capacity")


async def _run(names: tuple[str, ...], effort: Effort, folder: Path) -> None:
    for name in names:
        found = await _measure(name, effort)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
        click.echo(f"{name}: {found['took_seconds']} s, in {path.name}")


@click.command()
@click.option(
    "--only",
    multiple=True,
    type=click.Choice(sorted(MEASUREMENTS)),
    help="Measure just these; the figures of the others stay.",
)
@click.option("--quick", is_flag=True, help="Fewer and smaller sizes, for a trial.")
@click.option(
    "--folder",
    default=FOLDER,
    show_default=True,
    type=click.Path(path_type=Path),
    help="Where the raw figures go.",
)
@click.option("--page-only", is_flag=True, help="Measure nothing, make the page.")
def main(only: tuple[str, ...], quick: bool, folder: Path, page_only: bool) -> None:
    """Measure what the roles cost, and make the page from all raw figures.

    The page is only made of the figures in the folder that is kept with it.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if not page_only:
        asyncio.run(_run(only or tuple(MEASUREMENTS), Effort(quick), folder))
    if folder == FOLDER:
        _page.write(folder, PAGE)
        click.echo(f"the page is {PAGE}")


if __name__ == "__main__":
    main()
