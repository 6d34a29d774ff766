"""Fleets of real programs at rest, and what each program takes of the machine."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, SERVICE

#: Programs that start at a time: each takes a core for half a second.
STARTS_AT_ONCE = 4
#: After the last start for so long nothing is measured: loads ahead of demand, and
#: what a peer is given to learn by itself, are over by then. Seconds.
SETTLE_S = 5.0
MODELS = tuple(f"m{number}" for number in range(16))
HELD = 2
#: The kernel's number of the clock of a process's own processor time.
_PROCESS_CLOCK = 2

_SERVICE = {
    **SERVICE,
    "engine": {
        **SERVICE["engine"],
        "models": [{**MODEL, "name": name} for name in MODELS],
    },
}


@dataclass(frozen=True)
class Taken:
    """What one process has taken so far, or takes a second."""

    cpu_s: float
    wakes: float
    peak_mb: float

    @classmethod
    def of(cls, pid):
        """What the process has taken so far, with all its threads."""
        clock = (~pid << 3) | _PROCESS_CLOCK
        switches = 0
        for status in Path(f"/proc/{pid}/task").glob("*/status"):
            fields = _fields(status)
            switches += int(fields["voluntary_ctxt_switches"])
        peak_kb = int(_fields(Path(f"/proc/{pid}/status"))["VmHWM"].split()[0])
        return cls(time.clock_gettime(clock), switches, peak_kb / 1024)

    def since(self, before, seconds):
        """A second of the time between the two."""
        cpu_s = (self.cpu_s - before.cpu_s) / seconds
        return Taken(cpu_s, (self.wakes - before.wakes) / seconds, self.peak_mb)


@dataclass(frozen=True)
class Row:
    """The means over the processes of one role, beside so many of each."""

    role: str
    entries: int
    agents: int
    cpu_s: float
    wakes: float
    peak_mb: float

    @classmethod
    def mean(cls, role, entries, agents, taken):
        """The mean; of the memory the most."""
        count = len(taken)
        cpu_s = sum(each.cpu_s for each in taken) / count
        wakes = sum(each.wakes for each in taken) / count
        peak_mb = max(each.peak_mb for each in taken)
        return cls(role, entries, agents, cpu_s, wakes, peak_mb)


class RestingFleet(Fleet):
    """Entries and engines with agents, called by nobody.

    ``beats_s`` is how often each replica writes its entry of the registry anew, as
    those of the platform do; 0 for never.
    """

    def __init__(self, beats_s=0.0):
        super().__init__()
        self.programs = {"entry": [], "agent": []}
        self._slots = asyncio.Semaphore(STARTS_AT_ONCE)
        self._beats_s = beats_s
        self._beating = None

    async def __aenter__(self):
        await super().__aenter__()
        self.configure(services=[_SERVICE])
        if self._beats_s:
            self._beating = asyncio.create_task(self._beat())
        return self

    async def __aexit__(self, *details):
        if self._beating is not None:
            self._beating.cancel()
        await super().__aexit__(*details)

    async def grow(self, entries, agents):
        """Start what is missing to these numbers."""
        async with asyncio.TaskGroup() as group:
            for number in range(len(self.programs["agent"]), agents):
                group.create_task(self._add_engine(number))
        async with asyncio.TaskGroup() as group:
            for number in range(len(self.programs["entry"]), entries):
                group.create_task(self._add_entry(number))
        for entry in self.programs["entry"]:
            await wait_until(lambda: self._all_heard(entry, agents), "all agents heard")
        await asyncio.sleep(SETTLE_S)

    async def measure(self, seconds):
        """The rows of both roles."""
        before = {role: self._taken(role) for role in self.programs}
        began = time.monotonic()
        await asyncio.sleep(seconds)
        rows = []
        entries, agents = (len(self.programs[role]) for role in ("entry", "agent"))
        for role, earlier in before.items():
            later, took = self._taken(role), time.monotonic() - began
            pairs = zip(later, earlier, strict=True)
            taken = [now.since(then, took) for now, then in pairs]
            rows.append(Row.mean(role, entries, agents, taken))
        return rows

    def _taken(self, role):
        return [Taken.of(program.process.pid) for program in self.programs[role]]

    async def _add_engine(self, number):
        async with self._slots:
            held = [MODELS[(number * HELD + k) % len(MODELS)] for k in range(HELD)]
            host = f"127.0.{2 + number // 200}.{1 + number % 200}"
            replica = await self.replica(host, f"i-{number}", "llm", tuple(held))
            replica.on_disk |= set(MODELS)
            program = await self.agent(f"a{number}", replica)
            self.programs["agent"].append(program)
            await wait_until(lambda: self._answers(program), "the agent runs")

    async def _add_entry(self, number):
        async with self._slots:
            seeds = [
                entry.document["listen"]["control"]
                for entry in self.programs["entry"][:3]
            ]
            program = await self.entry(f"e{number}", seeds)
            self.programs["entry"].append(program)
            await self.wait_ready(program)

    async def _answers(self, program):
        try:
            return bool(await self.metrics(program))
        except OSError:
            return False

    async def _all_heard(self, entry, agents):
        found = await self.metrics(entry)
        streams = [value for name, value in found.items() if "engine_streams" in name]
        return streams == [agents]

    async def _beat(self):
        while True:
            await asyncio.sleep(self._beats_s)
            for instance, replica in self.replicas.items():
                self.store.put(f"servers/{instance}", replica.entry())


async def measure(entries, agents, seconds, beats_s=0.0):
    """The rows for each number of entries beside each number of agents."""
    for count in sorted(entries):
        async with RestingFleet(beats_s) as fleet:
            for others in sorted(agents):
                await fleet.grow(count, others)
                for row in await fleet.measure(seconds):
                    yield row


def slope(points):
    """What each one more adds, by least squares over pairs of a number and a cost.

    >>> slope([(1, 0.1), (3, 0.5)])
    0.2
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return None
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def _fields(file):
    pairs = (line.partition(":") for line in file.read_text().splitlines())
    return {name: value.strip() for name, _, value in pairs}
