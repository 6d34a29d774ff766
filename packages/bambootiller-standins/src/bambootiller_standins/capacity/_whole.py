"""One real process of each role with the target's state, a share of it at a time.

The process reads templates and slot tables from the key-value service, polls an
instance list with all members, and gossips with the members that it would choose.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import asdict

from bambootiller_core.types import Member, Role
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.capacity._bench import MIB, Bench, until
from bambootiller_standins.capacity._crowd import Crowd
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series
from bambootiller_standins.capacity._state import Size
from bambootiller_standins.harness import Fleet

SHARES = (0.1, 0.4, 0.7, 1.0)
#: Each entry sweeps its models once in half a minute; the window holds one sweep.
WATCHED_SECONDS = 30.0
SETTLE_SECONDS = 4.0
#: A process that has just heard of many members passes all of that on for a while.
#: It counts as settled below so many messages a second.
RESTING_MESSAGES = 6.0
LONGEST_SETTLING = 300.0
#: A zone of its own makes the process the one that watches the key-value service.
ZONE = "zone-measured"
REGION = "region-0"
MEASURED = ("cpu", "resident_added", "private_added", "bytes_sent", "settling_bytes")


@measurement("whole")
async def whole(effort: Effort) -> Figures:
    """Memory and processor time of an entry and an agent with a share of the state."""
    figures = Figures()
    roles = (Role.ENTRY, Role.AGENT)
    shares = effort.sizes(SHARES, SHARES[:2])
    seconds = effort.seconds(WATCHED_SECONDS)
    rows: dict[Role, list] = {role: [] for role in roles}
    for share in shares:
        size = Size().share(share)
        found = await asyncio.gather(*(_one(role, size, seconds) for role in roles))
        for role, one in zip(roles, found):
            rows[role].append((size, one))
            figures.values[f"{role.value}/{share:g}"] = asdict(size) | one
    for role in roles:
        figures.series += [_series(role, name, rows[role]) for name in MEASURED]
    return figures


def _series(role: Role, name: str, rows: list) -> Series:
    points = tuple((size.members, found[name]) for size, found in rows)
    return Series(f"{role.value}/{name}", "members", name, points)


async def _one(role: Role, size: Size, seconds: float) -> dict[str, float]:
    """Start the process alone, then again in a fleet, and watch it at rest there."""
    instance = f"measured-{role.value}"
    me = Member(instance, role, ZONE, REGION, "")
    crowd = Crowd(size.members, me)
    async with Fleet(region=REGION) as fleet:
        bench = Bench(fleet)
        try:
            await _start(fleet, role, instance)
            await asyncio.sleep(SETTLE_SECONDS)
            bare = bench.usage(instance)
            settling = await _join(fleet, bench, crowd, size, instance)
            before = await bench.key_value()
            spent = (await bench.spent([instance], seconds))[instance]
            after = await bench.key_value()
            full = bench.usage(instance)
            alive = (await bench.status(instance)).members_alive
        finally:
            await crowd.stop()
            await bench.close()
    return {
        "bare_resident_mib": bare.resident / MIB,
        "bare_private_mib": bare.private / MIB,
        "resident_added": (full.resident - bare.resident) / MIB,
        "private_added": (full.private - bare.private) / MIB,
        "settling_seconds": settling[0],
        "settling_bytes": settling[1],
        "alive": alive,
        "reads": after["reads"] - before["reads"],
        "writes": after["writes"] - before["writes"],
        "watches": after["watches"],
    } | asdict(spent)


async def _start(fleet: Fleet, role: Role, instance: str) -> None:
    if role is Role.ENTRY:
        await fleet.start_entry(instance, zone=ZONE)
        return
    await fleet.start_engine("engine")
    await fleet.start_agent(instance, zone=ZONE, engine="engine")


async def _join(
    fleet: Fleet, bench: Bench, crowd: Crowd, size: Size, instance: str
) -> tuple[float, float]:
    """Start the process again, now in a fleet; see :func:`_settle`."""
    await crowd.start()
    for document in state.tables(size) + state.templates(size):
        await bench.put(document)
    await crowd.publish(fleet, whole=False)
    await fleet.restart(instance)
    await crowd.publish(fleet, whole=False)

    async def holds_all() -> bool:
        status = await bench.status(instance)
        documents = json.loads(status.detail_json)["documents"]
        wanted = size.models + size.customers
        return documents >= wanted and status.members_known > size.members

    await until(holds_all, f"{instance} holds everything")
    await crowd.publish(fleet, whole=True)
    crowd.probe(fleet.rpc_address(instance))
    return await _settle(bench, instance)


async def _settle(bench: Bench, instance: str) -> tuple[float, float]:
    """Wait until the process has passed on what it heard; the seconds, and the bytes
    that it has sent since its start."""
    begun = time.monotonic()
    before = await bench.detail(instance)
    while time.monotonic() - begun < LONGEST_SETTLING:
        await asyncio.sleep(SETTLE_SECONDS)
        now = await bench.detail(instance)
        messages = now["messages_sent"] - before["messages_sent"]
        if messages < RESTING_MESSAGES * SETTLE_SECONDS:
            break
        before = now
    return time.monotonic() - begun, now["bytes_sent"]
