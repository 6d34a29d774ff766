"""Replicas leave shortly before a restarted entry reads their list.

Symptom: that entry sends requests to a replica that has left, for as long as the
replica answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
import time
from pathlib import Path

from harness import case, deployment
from harness.client import Client
from harness.world import BOUNDS, World

ROUNDS = 6
REPLICAS = 4
#: The replica's entry is removed this long before the expected read of the list: about
#: half of the time for which the other entry may not have heard of it. Seconds.
REMOVAL_BEFORE_LIST_S = 0.2
#: From the restart to the end of a round. Seconds; within it the entry is in touch
#: again, and a leaving replica still answers.
ROUND_S = 7.0
CLIENTS = 6
PAUSE_S = 0.04
DRAIN_S = BOUNDS["drain-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
REGISTRY = "servers/"


class Fleet:
    """The replicas of the plain service; a new one comes for each that leaves."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._numbers = itertools.count(1)
        self.present = []

    async def add(self) -> None:
        """Start a replica."""
        number = next(self._numbers)
        name = f"i-p{number}"
        host = f"127.0.22.{number}"
        self.present.append(
            await self._world.replica(host, name, deployment.PLAIN_SERVICE)
        )

    def leave(self):
        """Remove the entry of the oldest replica, which goes on to answer."""
        replica = self.present.pop(0)
        self._world.remove_entry(replica)
        return replica


async def play(record: case.Record, trouble: bool) -> bool:
    """Return whether no replica got a request later than ``drain-ms``."""
    async with World(record) as world:
        fleet, entry, list_after_s = await _start(record, world)
        current = {"front": entry.front}
        numbers = itertools.count(1)
        clients = [
            asyncio.create_task(_call_often(current, numbers)) for _ in range(CLIENTS)
        ]
        late = 0
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(1.5)
            began = time.monotonic()
            if trouble:
                entry = world.restart(entry)
                record("killed and restarted", round=number, name=entry.name)
            await asyncio.sleep(list_after_s - REMOVAL_BEFORE_LIST_S)
            left, left_at = fleet.leave(), time.monotonic()
            record("entry removed", round=number, replica=left.instance)
            await asyncio.sleep(ROUND_S - (time.monotonic() - began))
            judged_from = max(left_at + DRAIN_S, began + CONTACT_S)
            late += _judge(record, world, left, left_at, judged_from, began)
            await fleet.add()
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        return not late


async def _start(record, world: World):
    world.configure(
        [deployment.stream_route("/n/"), deployment.plain_route("/w/", "safe")],
        deployment.services([deployment.model("m0")]),
    )
    engine = await world.replica(
        "127.0.21.1", "i-e1", deployment.ENGINE_SERVICE, ("m0",)
    )
    fleet = Fleet(world)
    for _ in range(REPLICAS):
        await fleet.add()
    await world.start_entry("front-1", "127.0.11.1")
    await world.start_agent("side-1", engine)
    await world.wait_ready()
    began = time.monotonic()
    entry = await world.start_entry("front-2", "127.0.11.2")
    await world.wait_ready()
    read = [at for at in world.store.lists_read[REGISTRY] if at > began]
    list_after_s = read[0] - began
    record("a starting entry reads the list", after_s=f"{list_after_s:.3f}")
    return fleet, entry, list_after_s


async def _call_often(current, numbers) -> None:
    while True:
        with contextlib.suppress(OSError):
            async with Client(current["front"]) as client:
                await _use(client, numbers)
        await asyncio.sleep(PAUSE_S)


async def _use(client: Client, numbers) -> None:
    """Send requests over one connection until it ends."""
    while True:
        number = next(numbers)
        headers = {
            "Host": deployment.HOST,
            "X-Request-Attempt": f"{number:016x}",
            "X-Deadline-Ms": "1500",
        }
        answer = await client.call("GET", f"/w/{number}", headers)
        if not answer.whole or answer.headers.get("connection") == "close":
            return
        await asyncio.sleep(PAUSE_S)


def _judge(record, world, left, left_at, judged_from, began) -> int:
    after = [at for at in left.arrivals if at > left_at]
    late = [at for at in after if at > judged_from]
    reads = [at - began for at in world.store.lists_read[REGISTRY] if at > began]
    record(
        "arrivals after the removal",
        replica=left.instance,
        list_read_s=",".join(f"{at:.3f}" for at in reads) or "never",
        after=len(after),
        last_s=f"{max(after, default=left_at) - left_at:.3f}",
        late_in_touch=len(late),
    )
    return len(late)


if __name__ == "__main__":
    case.run(Path(sys.argv[0]).resolve().parent, play)
