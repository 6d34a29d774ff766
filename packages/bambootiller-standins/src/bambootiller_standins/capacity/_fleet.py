"""Small fleets of real processes: what they spend at rest and on each change, how long
a change takes to be in force everywhere, and how long the repair of slots takes."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from dataclasses import asdict, dataclass

from bambootiller_core.documents import SLOTS_PREFIX, TEMPLATES_PREFIX, Document
from bambootiller_core.slots import SlotTable
from bambootiller_standins.capacity._bench import MIB, Bench, Spent, until
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series
from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet, Setting

SIZES = (8, 20, 40)
ENTRY_EVERY = 8
ZONES = 4
STARTED_AT_ONCE = 6
REST_SECONDS = 20.0
SETTLE_SECONDS = 8.0
TIMED_CHANGES = 8
BLIND_CHANGES = 20
BLIND_GAP = 0.25
ASK_GAP = 0.05
LONGEST_CHANGE = 60.0
CUSTOMER = "customer-000"
TEMPLATE_BYTES = 4_000
REPLICAS = 2
LOST_SHARES = (0.0, 0.125, 0.25)
#: The agents share one engine, of which each believes that it is its own.
NO_GUARD = {str(Setting.GUARD_PORT): "0"}
ENGINE = EngineConfig(memory_total=10_000 * 2**30)


@dataclass(slots=True)
class Crew:
    """The processes of one fleet, and the version of its template."""

    entries: list[str]
    agents: list[str]
    models: int
    version: int = 0
    reads_at_start: float = 0.0

    @property
    def all(self) -> list[str]:
        """Every process."""
        return self.entries + self.agents


@measurement("fleet")
async def fleet(effort: Effort) -> Figures:
    """Real fleets of several sizes."""
    figures = Figures()
    found = {}
    for size in effort.sizes(SIZES, SIZES[:2]):
        found[size] = await _one(size, effort)
        figures.values[str(size)] = found[size]
    for name in SERIES:
        points = tuple((size, _dig(one, name)) for size, one in found.items())
        figures.series.append(Series(name, "processes", name, points))
    figures.series.append(
        Series("repair", "instances lost", "seconds", _repairs(found, "seconds"))
    )
    figures.series.append(
        Series("repair_writes", "slots lost", "writes", _repairs(found, "writes"))
    )
    return figures


SERIES = (
    "entry/cpu",
    "agent/cpu",
    "entry/bytes_sent",
    "agent/bytes_sent",
    "entry/bytes_received",
    "agent/bytes_received",
    "entry/resident_mib",
    "agent/resident_mib",
    "key_value/reads_a_second",
    "key_value/watches",
    "change/seconds_mean",
    "change/seconds_largest",
    "change/cpu_each",
    "change/bytes_each",
    "tool/resident_mib",
    "tool/cpu",
)


def _dig(found: dict, path: str) -> float:
    for part in path.split("/"):
        found = found[part]
    return found


def _repairs(found: dict, field: str) -> tuple[tuple[float, float], ...]:
    """One point for each loss; writes stand against slots, seconds against
    instances."""
    against = "slots" if field == "writes" else "lost"
    rows = [row for one in found.values() for row in one["repairs"]]
    return tuple((row[against], row[field]) for row in rows)


async def _one(size: int, effort: Effort) -> dict:
    async with Fleet() as running:
        bench = Bench(running)
        try:
            crew = await _start(running, bench, size)
            rest = await _at_rest(bench, crew, effort.seconds(REST_SECONDS))
            rest["reads_at_start"] = crew.reads_at_start
            rest["change"] = await _changes(bench, crew, rest.pop("spent"))
            rest["tool"] = await _tool(running)
            rest["repairs"] = [
                await _lose(running, bench, crew, max(1, round(share * size)))
                for share in LOST_SHARES
            ]
        finally:
            await bench.close()
    return rest


async def _start(running: Fleet, bench: Bench, size: int) -> Crew:
    entries = [f"entry-{number}" for number in range(max(1, size // ENTRY_EVERY))]
    agents = [f"agent-{number}" for number in range(size - len(entries))]
    crew = Crew(entries, agents, models=max(2, len(agents) // 2))
    await running.start_engine("engine", ENGINE)
    gate = asyncio.Semaphore(STARTED_AT_ONCE)

    async def start(number: int, name: str) -> None:
        zone = f"az-{number % ZONES}"
        async with gate:
            if name in entries:
                await running.start_entry(name, zone=zone)
            else:
                await running.start_agent(
                    name, zone=zone, engine="engine", env=NO_GUARD
                )

    await asyncio.gather(*(start(n, name) for n, name in enumerate(crew.all)))

    async def joined() -> bool:
        found = await asyncio.gather(*map(bench.status, crew.all))
        return all(one.members_alive == size for one in found)

    await until(joined, f"{size} processes know one another", 120.0)
    crew.reads_at_start = (await bench.key_value())["reads"] / size
    await _put(bench, crew)
    await until(lambda: _whole(bench, crew, set(agents)), "all slots are held", 120.0)
    await asyncio.sleep(SETTLE_SECONDS)
    return crew


async def _at_rest(bench: Bench, crew: Crew, seconds: float) -> dict:
    before = await bench.key_value()
    spent = await bench.spent(crew.all, seconds)
    after = await bench.key_value()
    return {
        "entry": _mean(bench, spent, crew.entries),
        "agent": _mean(bench, spent, crew.agents),
        "key_value": {
            "reads_a_second": (after["reads"] - before["reads"]) / seconds,
            "writes_a_second": (after["writes"] - before["writes"]) / seconds,
            "watches": after["watches"],
        },
        "spent": spent,
    }


def _mean(bench: Bench, spent: dict[str, Spent], names: list[str]) -> dict:
    rows = [asdict(spent[name]) for name in names]
    found = {field: statistics.mean(row[field] for row in rows) for field in rows[0]}
    usages = [bench.usage(name) for name in names]
    found["resident_mib"] = statistics.mean(one.resident for one in usages) / MIB
    found["private_mib"] = statistics.mean(one.private for one in usages) / MIB
    return found


async def _changes(bench: Bench, crew: Crew, rest: dict[str, Spent]) -> dict:
    """Changes that are waited for, then changes whose cost nobody's asking disturbs."""
    times = []
    for _ in range(TIMED_CHANGES):
        begun = time.monotonic()
        await _put(bench, crew)
        await _in_force(bench, crew)
        times.append(time.monotonic() - begun)
        await asyncio.sleep(1.0)
    details = {name: await bench.detail(name) for name in crew.all}
    usages = {name: bench.usage(name) for name in crew.all}
    before = await bench.key_value()
    for _ in range(BLIND_CHANGES):
        await _put(bench, crew)
        await asyncio.sleep(BLIND_GAP)
    await asyncio.sleep(SETTLE_SECONDS)
    after = await bench.key_value()
    costs = [_cost(bench, name, usages[name], rest[name].cpu) for name in crew.all]
    sent = [
        (await bench.detail(name))["bytes_sent"]
        - details[name]["bytes_sent"]
        - rest[name].bytes_sent * (time.monotonic() - usages[name].at)
        for name in crew.all
    ]
    return {
        "template_bytes": TEMPLATE_BYTES,
        "seconds_mean": statistics.mean(times),
        "seconds_largest": max(times),
        "seconds": times,
        "cpu_each": statistics.mean(costs) / BLIND_CHANGES,
        "bytes_each": statistics.mean(sent) / BLIND_CHANGES,
        "reads_each": (after["reads"] - before["reads"]) / BLIND_CHANGES,
        "writes_each": (after["writes"] - before["writes"]) / BLIND_CHANGES,
    }


def _cost(bench: Bench, name: str, before, rest_cpu: float) -> float:
    now = bench.usage(name)
    return now.cpu - before.cpu - rest_cpu * (now.at - before.at)


async def _put(bench: Bench, crew: Crew) -> None:
    """Write the next version of the template, of a steady size."""
    crew.version += 1
    adapters = [f"adapter-{number:03d}" for number in range(8)]
    models = {
        f"model-{number:03d}": {
            "replicas": min(REPLICAS, len(crew.agents)),
            "memory_bytes": "2GiB",
            "adapters": adapters,
        }
        for number in range(crew.models)
    }
    callers = {"caller": {"key_sha256": f"{crew.version:064x}"}}
    form = {
        "customer": CUSTOMER,
        "version": crew.version,
        "models": models,
        "callers": callers,
    }
    text = json.dumps(form).ljust(TEMPLATE_BYTES)
    await bench.put(Document(TEMPLATES_PREFIX + CUSTOMER, 0, text.encode()))


async def _in_force(bench: Bench, crew: Crew) -> None:
    """Wait until every process has the latest template in force.

    Only those that hadn't are asked again: asking all of them all the time would take
    longer the more there are, and be taken for the time that the change needs.
    """
    left = set(crew.all)
    until_latest = time.monotonic() + LONGEST_CHANGE
    while left:
        await asyncio.sleep(ASK_GAP)
        names = sorted(left)
        found = await asyncio.gather(*map(bench.status, names))
        versions = (one.template_versions.get(CUSTOMER, 0) for one in found)
        left = {
            name for name, version in zip(names, versions) if version < crew.version
        }
        if time.monotonic() > until_latest:
            raise TimeoutError(f"not in force within {LONGEST_CHANGE} s: {left}")


async def _tables(bench: Bench) -> list[SlotTable]:
    values = await bench.values(SLOTS_PREFIX)
    return [SlotTable.decode(value) for value in values]


async def _whole(bench: Bench, crew: Crew, alive: set[str]) -> bool:
    """Whether every slot is held by an agent that is there."""
    tables = await _tables(bench)
    wanted = min(REPLICAS, len(alive))
    return len(tables) == crew.models and all(
        len(table.holders()) >= wanted and set(table.holders()) <= alive
        for table in tables
    )


async def _lose(running: Fleet, bench: Bench, crew: Crew, count: int) -> dict:
    """Take instances away at once, and wait until their slots are held by others."""
    lost, crew.agents = crew.agents[:count], crew.agents[count:]
    slots = sum(
        holder in lost for table in await _tables(bench) for holder in table.holders()
    )
    before = await bench.key_value()
    await asyncio.gather(*(running.kill(name) for name in lost))
    for name in lost:
        running._members[name].listed = False
    await running.publish()
    alive = set(crew.agents)
    seconds = await until(
        lambda: _whole(bench, crew, alive), f"repair after {count} are lost", 180.0
    )
    after = await bench.key_value()
    writes = after["writes"] - before["writes"]
    await asyncio.sleep(SETTLE_SECONDS)
    return {"lost": count, "slots": slots, "seconds": seconds, "writes": writes}


async def _tool(running: Fleet) -> dict:
    """The operators' command line once, over the whole fleet: its largest memory."""
    from bambootiller_standins.capacity._tool import status_usage

    return await asyncio.to_thread(status_usage, running)
