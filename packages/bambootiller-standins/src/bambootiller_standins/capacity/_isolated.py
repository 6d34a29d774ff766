"""Measurements that need a fresh process for each point."""

from __future__ import annotations

import asyncio
import json
import sys

from bambootiller_standins.capacity import child
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series
from bambootiller_standins.capacity._target import TARGET

CHILD_SECONDS = 240.0
IMPORT_REPEATS = 3

#: What each holding is measured at, up to the target's size; the unit of the first.
HOLDING_SIZES: dict[str, tuple[str, tuple[int, ...]]] = {
    "members": ("members", (500, 1_500, 2_500, TARGET.members)),
    "slot_tables": ("slot tables", (150, 400, 800, TARGET.models)),
    "models": ("models", (150, 400, 800, TARGET.models)),
    "adapters": ("adapters", (1_000, 8_000, 16_000, TARGET.adapters)),
    "callers": ("callers", (300, 1_500, 3_000, 6_000)),
    "templates": ("templates", (30, 100, 300, 600)),
    "decisions": ("subjects", (250, 500, 1_000, 2_000)),
    "backend_models": ("models", (150, 400, 800, TARGET.models)),
    "outbox": ("changes", (100, 400, 1_000, 3_790)),
}

#: What each work is measured at.
WORK_SIZES: dict[str, tuple[str, tuple[int, ...]]] = {
    "rest_second": ("members", (100, 1_000, 2_400, TARGET.members)),
    "suspicion_sweep": ("members", (100, 1_000, 2_400, TARGET.members)),
    "watcher_choice": ("members", (100, 1_000, 2_400, TARGET.members)),
    "member_joins": ("members", (100, 1_000, 2_400, TARGET.members)),
    "member_dies": ("members", (100, 1_000, 2_400, TARGET.members)),
    "zone_dies": ("members", (100, 1_000, 2_400, TARGET.members)),
    "full_exchange": ("members", (100, 1_000, 2_400, TARGET.members)),
    "instance_list_answer": ("members", (100, 1_000, 2_400, TARGET.members)),
    "slot_mark": ("entries", (10, 100, 250, TARGET.entries)),
    "slot_sweep": ("models", (30, 300, 700, TARGET.models)),
    "rank_agents": ("agents", (100, 1_000, 2_400, TARGET.agents)),
    "template_change": ("adapters", (1_000, 8_000, 16_000, TARGET.adapters)),
    "table_change": ("models", (30, 300, 700, TARGET.models)),
}

MIB = 2**20


async def run_child(*arguments: str) -> dict[str, float]:
    """One run of :mod:`bambootiller_standins.capacity.child`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        child.__name__,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        out, _ = await asyncio.wait_for(process.communicate(), CHILD_SECONDS)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        raise RuntimeError(f"child {arguments} ended with {process.returncode}")
    return json.loads(out)


@measurement("imports")
async def imports(effort: Effort) -> Figures:
    """Resident memory of processes that have only imported their modules."""
    figures = Figures()
    for name in child.IMPORTS:
        runs = [await run_child("imports", name) for _ in range(IMPORT_REPEATS)]
        figures.values[name] = {
            "resident_mib": round(min(run["whole"] for run in runs) / MIB, 1),
            "resident_mib_largest": round(max(run["whole"] for run in runs) / MIB, 1),
            "cpu_seconds": round(min(run["cpu"] for run in runs), 3),
            "modules": int(runs[0]["modules"]),
        }
    return figures


@measurement("memory")
async def memory(effort: Effort) -> Figures:
    """Memory of each kind of state against how much of it there is."""
    figures = Figures()
    for name, (unit, sizes) in HOLDING_SIZES.items():
        for kind in ("memory", "traced"):
            points = [
                (size, (await run_child(kind, name, str(size)))["bytes"])
                for size in effort.sizes(sizes, sizes[:2])
            ]
            figures.series.append(
                Series(f"{name}/{kind}", unit, "bytes", tuple(points))
            )
    return figures


@measurement("work")
async def work(effort: Effort) -> Figures:
    """Processor time of each kind of work against the size that it depends on."""
    figures = Figures()
    for name, (unit, sizes) in WORK_SIZES.items():
        taken = effort.sizes(sizes, sizes[:2])
        runs = [(size, await run_child("work", name, str(size))) for size in taken]
        points = tuple((size, run["seconds"]) for size, run in runs)
        figures.series.append(Series(name, unit, "seconds of processor", points))
        figures.values[f"{name}_longest_s"] = runs[-1][1]["longest"]
    return figures
