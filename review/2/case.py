"""An order gets no answer, its engine restarts, and the order is carried out late.

Symptom: the engine is ordered to load more than its memory holds, and crashes.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

from harness import case, deployment
from harness.client import Client
from harness.engines import LimitedEngine
from harness.world import World

#: The order that gets no answer is carried out after this time. Seconds.
LATE_S = 11.6
#: The engine crashes this long after that order, and is back after the second value.
#: Seconds.
CRASH_AFTER_S = 2.0
DOWN_S = 0.5
WATCHED_S = 14.5
PAUSE_S = 0.25
#: Of 58 GB, an engine holds one of them.
FIRST, SECOND = "m0", "m1"


async def play(record: case.Record, trouble: bool) -> bool:
    """Return whether the engine was never ordered to load more than it holds."""
    async with World(record) as world:
        engine, entries = await _start(world, record)
        model = {"now": SECOND}
        numbers = itertools.count(1)
        clients = [
            asyncio.create_task(_call_often(record, entry.front, model, numbers))
            for entry in entries
        ]
        if trouble:
            engine.late_model, engine.late_s = SECOND, LATE_S
            await _until(lambda: engine.late_sent_at is not None, 30)
            model["now"] = FIRST
            await asyncio.sleep(CRASH_AFTER_S)
            record("engine crashes", holds=",".join(engine.held), seq=engine.accepted)
            await engine.crash()
            record("engine is back", instance=engine.instance)
        else:
            await _until(lambda: SECOND in engine.held, 30)
            model["now"] = FIRST
        await asyncio.sleep(WATCHED_S - CRASH_AFTER_S)
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        record("beyond the memory", orders="; ".join(engine.memory_overcommits))
        return not engine.memory_overcommits


async def _start(world: World, record):
    models = [deployment.model(FIRST), deployment.model(SECOND)]
    world.configure(
        [deployment.stream_route("/n/"), deployment.plain_route("/w/", "safe")],
        deployment.services(models),
    )
    engine = await world.replica(
        "127.0.21.1", "i-e1", deployment.ENGINE_SERVICE, (FIRST,), LimitedEngine
    )
    engine.note = record
    engine.down_s = DOWN_S
    engine.on_disk.add(SECOND)
    engine.memory_mb = 58000.0
    engine.sizes_mb = {item["name"]: item["weights-mb"] for item in models}
    await world.replica("127.0.22.1", "i-p1", deployment.PLAIN_SERVICE)
    entries = [
        await world.start_entry("front-1", "127.0.11.1"),
        await world.start_entry("front-2", "127.0.11.2"),
    ]
    await world.start_agent("side-1", engine)
    await world.wait_ready()
    await asyncio.sleep(2.0)
    return engine, entries


async def _until(condition, seconds: float) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


async def _call_often(record, address, model, numbers) -> None:
    """Call for one model after the other; a client that is refused comes back."""
    before = None
    while True:
        async with Client(address) as client:
            number, name = next(numbers), model["now"]
            headers = {
                "Host": deployment.HOST,
                "X-Request-Attempt": f"{number:016x}",
                "X-Model": name,
                "X-Token-Usage": "543,280",
                "X-Prompt-Prefix": f"5c1e07a2:172,{number:08x}:371",
                "X-Deadline-Ms": "10000",
            }
            answer = await client.call("POST", "/n/1", headers, b"x")
            seen = (name, answer.status)
            if seen != before:
                record("answer", number=number, model=name, status=answer.status)
            before = seen
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    case.run(Path(sys.argv[0]).resolve().parent, play)
