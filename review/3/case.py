"""A replica's entry is removed while the store cuts waiting watches now and then.

Symptom: entries send requests to the replica for longer than ``drain-ms``.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

from harness import case, deployment
from harness.client import Client
from harness.world import BOUNDS, World

#: The store cuts the watches that wait at this interval. Seconds.
CUT_INTERVAL_S = 1.0
#: How long it does so before the entry is removed. Seconds.
CUTTING_S = 2.5
#: How long the clients go on after the removal. Seconds.
WATCHED_S = 5.0
CLIENTS_PER_ENTRY = 4
PAUSE_S = 0.05
DRAIN_S = BOUNDS["drain-ms"] / 1000


async def play(record: case.Record, trouble: bool) -> bool:
    """Return whether the replica got nothing later than ``drain-ms``."""
    async with World(record) as world:
        leaving = await _start(world)
        numbers = itertools.count(1)
        clients = [
            asyncio.create_task(_call_often(record, program.front, numbers))
            for program in world.programs
            if "front" in program.settings["listen"]
            for _ in range(CLIENTS_PER_ENTRY)
        ]
        await asyncio.sleep(4.0)
        cuts = asyncio.create_task(_cut_watches(record, world)) if trouble else None
        await asyncio.sleep(CUTTING_S)
        world.remove_entry(leaving)
        removed_at = time.monotonic()
        record("entry removed", replica=leaving.instance)
        await asyncio.sleep(WATCHED_S)
        tasks = [*clients, cuts] if cuts is not None else clients
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return _judge(record, leaving, removed_at)


async def _start(world: World):
    world.configure(
        [
            deployment.stream_route("/n/"),
            deployment.plain_route("/w/", "safe"),
        ],
        deployment.services([deployment.model("m0")]),
    )
    engine = await world.replica(
        "127.0.21.1", "i-e1", deployment.ENGINE_SERVICE, ("m0",)
    )
    leaving = await world.replica("127.0.22.1", "i-p1", deployment.PLAIN_SERVICE)
    await world.replica("127.0.22.2", "i-p2", deployment.PLAIN_SERVICE)
    await world.start_entry("front-1", "127.0.11.1")
    await world.start_entry("front-2", "127.0.11.2")
    await world.start_agent("side-1", engine)
    await world.wait_ready()
    return leaving


async def _call_often(record, address, numbers) -> None:
    async with Client(address) as client:
        while True:
            number = next(numbers)
            headers = {
                "Host": deployment.HOST,
                "X-Request-Attempt": f"{number:016x}",
                "X-Deadline-Ms": "1500",
            }
            answer = await client.call("GET", f"/w/{number}", headers)
            if answer.status != 200 or not answer.whole:
                record("answer", number=number, status=answer.status)
            await asyncio.sleep(PAUSE_S)


async def _cut_watches(record, world: World) -> None:
    while True:
        record("watches cut", count=world.store.cut_watches())
        await asyncio.sleep(CUT_INTERVAL_S)


def _judge(record, leaving, removed_at: float) -> bool:
    after = [at - removed_at for at in leaving.arrivals if at > removed_at]
    late = [seconds for seconds in after if seconds > DRAIN_S]
    record(
        "arrivals at the removed replica",
        before=len(leaving.arrivals) - len(after),
        after=len(after),
        last_s=f"{max(after, default=0.0):.3f}",
        later_than_drain=len(late),
    )
    return not late


if __name__ == "__main__":
    case.run(Path(sys.argv[0]).resolve().parent, play)
