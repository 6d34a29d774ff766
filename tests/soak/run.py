"""One seeded run: calls, faults, mending, and the promises checked."""

import asyncio
import random
import shutil
from pathlib import Path

from tests.soak.checks import check
from tests.soak.faults import Surgeon
from tests.soak.world import Client, World

CLIENTS_PER_ENTRY = 4
#: After the last fault all entries serve all kinds of calls within this time. Seconds.
RECOVERY_S = 12.0
#: A paused process that was killed, or an agent that lost its token, needs a moment.
POLL_S = 0.3


class Report:
    """What one run showed."""

    def __init__(self, seed):
        self.seed = seed
        self.broken = []
        self.calls = 0
        self.answered = 0
        self.faults = 0

    def __str__(self):
        head = (
            f"seed {self.seed}: {self.faults} faults, {self.answered} of "
            f"{self.calls} calls answered, {len(self.broken)} promises broken"
        )
        return "\n  ".join([head, *self.broken[:20]])


async def soak(seed, seconds, keep=None, faults=None, **sizes):
    """Run with one seed; ``keep`` is where logs go if a promise was broken, ``faults``
    the names of those to draw from, all if None."""
    report = Report(seed)
    async with World() as world:
        await world.begin(**sizes)
        rng = random.Random(seed)
        clients = [
            Client(world, name, number, random.Random(rng.random()))
            for name in sorted(world.entries)
            for number in range(CLIENTS_PER_ENTRY)
        ]
        stop = asyncio.Event()
        calling = [asyncio.create_task(client.run(stop)) for client in clients]
        surgeon = Surgeon(world, seed, faults)
        await surgeon.run(seconds)
        report.broken += await _not_recovered(world, rng)
        stop.set()
        await asyncio.gather(*calling)
        for client in clients:
            await client.close()
        report.broken += check(world, clients, surgeon.injuries)
        report.faults = len(surgeon.injuries)
        report.calls = sum(len(client.attempts) for client in clients)
        report.answered = sum(
            attempt.status == 200 and not attempt.error
            for client in clients
            for attempt in client.attempts
        )
        if report.broken and keep is not None:
            _keep(world, surgeon, report, Path(keep) / str(seed))
        await world.close()
    return report


async def _not_recovered(world, rng):
    """Entries that don't serve every kind of call in time after the last fault."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RECOVERY_S
    missing = {(name, kind) for name in world.entries for kind in _KINDS}
    probes = {name: Client(world, name, "probe", rng) for name in world.entries}
    while missing and loop.time() < end:
        for name, kind in sorted(missing):
            attempt = await probes[name].call(kind)
            if attempt.status == 200 and not attempt.error:
                missing.discard((name, kind))
        await asyncio.sleep(POLL_S)
    for probe in probes.values():
        await probe.close()
    return [
        f"{name}: {kind} calls not served {RECOVERY_S} s after the last fault"
        for name, kind in sorted(missing)
    ]


_KINDS = ("safe", "stream", "unsafe")


def _keep(world, surgeon, report, folder):
    folder.mkdir(parents=True, exist_ok=True)
    for program in world._programs:
        shutil.copy(program.log, folder / program.log.name)
    lines = [str(report), *report.broken]
    lines += [str(injury) for injury in surgeon.injuries]
    (folder / "report.txt").write_text("\n".join(lines) + "\n")
