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
    _requests,
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
    default="docs/capacity",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Where the raw figures go.",
)
def main(only: tuple[str, ...], quick: bool, folder: Path) -> None:
    """Measure what the roles cost."""
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(_run(only or tuple(MEASUREMENTS), Effort(quick), folder))


if __name__ == "__main__":
    main()
