"""Gossip by itself at several sizes, on virtual time: bytes, messages, processor time.

Each size runs as a program of its own, a few at a time, and is repeatable from its
seed.
"""

from __future__ import annotations

import asyncio
import json
import sys

from bambootiller_standins import gossipbench
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series

SIZES = (50, 100, 200, 400)
TRIALS = 3
SECONDS = 30
LONGEST = 1_500.0
#: Programs at a time; the machine is shared.
AT_A_TIME = 2

#: Paths into the report, and the units of what is there.
TAKEN = {
    "bytes_sent": ("at_rest", "bytes_sent", "bytes a second and node"),
    "messages_sent": ("at_rest", "messages_sent", "messages a second and node"),
    "cpu_ms": ("at_rest", "cpu_ms", "processor ms a second and node"),
    "small_in_force": ("small_document", "mean", "seconds until all hold it"),
    "large_in_force": ("large_document", "mean", "seconds until all hold it"),
    "leaving_known": ("leaving", "mean", "seconds until all know"),
    "death_known": ("kill", "known_by_all", "seconds until all know"),
    "small_bytes": ("small_document_bytes", None, "bytes a change and node"),
    "large_bytes": ("large_document_bytes", None, "bytes a change and node"),
}


@measurement("gossip")
async def gossip(effort: Effort) -> Figures:
    """What gossip costs each process, and how long news takes, against the members."""
    gate = asyncio.Semaphore(AT_A_TIME)
    sizes = effort.sizes(SIZES, SIZES[:2])
    seconds = round(effort.seconds(SECONDS))
    reports = await asyncio.gather(*(_report(gate, size, seconds) for size in sizes))
    figures = Figures()
    for name, (part, field, unit) in TAKEN.items():
        points = tuple(
            (size, _taken(one, part, field)) for size, one in zip(sizes, reports)
        )
        figures.series.append(Series(name, "members", unit, points))
    figures.values = {
        "document_bytes": {
            "small": gossipbench.SMALL_BYTES,
            "large": gossipbench.LARGE_BYTES,
        },
        "reports": reports,
    }
    return figures


async def _report(gate: asyncio.Semaphore, size: int, seconds: int) -> dict:
    command = (
        sys.executable,
        "-m",
        gossipbench.__name__,
        *("--nodes", str(size)),
        *("--trials", str(TRIALS)),
        *("--seconds", str(seconds)),
    )
    async with gate:
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE
        )
        try:
            out, _ = await asyncio.wait_for(process.communicate(), LONGEST)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
    return json.loads(out)[0]


def _taken(report: dict, part: str, field: str | None) -> float:
    found = report[part] if field is None else report[part][field]
    return found["mean"] if isinstance(found, dict) else found
