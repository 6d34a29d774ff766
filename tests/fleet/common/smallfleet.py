"""A small fleet whose processes have places, so that faults can meet them by place.

A place such as ``agent-1`` goes on when its instance is taken away: the replacement
stands there then, with an instance name and an engine of its own.
"""

import asyncio
import contextlib
import time
from dataclasses import dataclass

from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet, LinkMode, PlatformOptions, quiet_port
from tests.fleet.common.faults import AGENTS, ENTRIES, PLAIN

GIB = 1024**3
ZONES = ("az-1", "az-2", "az-3")
SERVICE = "certificates"
#: A start takes its time on a busy machine, and while a fault holds it back.
START_SECONDS = 120.0
STOP_SECONDS = 60.0
ENV = {
    # Above the longest time for which a link holds an order back.
    "BAMBOOTILLER_SETTLE_SECONDS": "4",
    "BAMBOOTILLER_PROBE_INTERVAL_MS": "250",
    "BAMBOOTILLER_DRAIN_SECONDS": "8",
}
LISTED = "list"
KILLED = -9


@dataclass(slots=True)
class Down:
    """A time in which a place had no process; ``planned`` if it was asked to stop."""

    place: str
    planned: bool
    since: float
    until: float = float("inf")


class SmallFleet:
    """Two entries, three agents with engines, and two beside one plain service.

    Every violation of a promise is noted rather than raised, so that a run shows all of
    them.
    """

    def __init__(self) -> None:
        options = PlatformOptions(weight_store=True, list_lag_ms=300)
        self.fleet = Fleet(options)
        self.downs: list[Down] = []
        self.notes: list[str] = []
        self.violations: list[str] = []
        self.operators = None
        self._began = time.monotonic()
        self._names: dict[str, str] = {}
        self._engines = 0
        self._ended_by_us: list = []
        self._judged: list = []
        self._reclaimed: list = []
        # Changing two members at a time could publish a list without one that is just
        # being started, which says to all that its instance is gone.
        self._changing = asyncio.Lock()

    # Notes

    def note(self, text: str) -> None:
        """Keep a line of what happened, with its time."""
        self.notes.append(f"{time.monotonic() - self._began:7.2f} {text}")

    def violation(self, text: str) -> None:
        """Keep a broken promise."""
        self.note(f"VIOLATION {text}")
        self.violations.append(text)

    # Starting

    async def start(self) -> None:
        """Start everything; places have the instances ``i-agent-1`` and so on."""
        await self.fleet.start()
        await self.fleet.start_service(SERVICE, after_ms=60)
        for place in AGENTS + PLAIN + ENTRIES:
            self._names[place] = f"i-{place}"
        engines = await asyncio.gather(*(self._start_engine() for _ in AGENTS))
        starts = [
            self._start_agent(place, engine)
            for place, engine in zip(AGENTS, engines, strict=True)
        ]
        starts += [self._start_plain(place) for place in PLAIN]
        starts += [self._start_entry(place) for place in ENTRIES]
        await asyncio.gather(*starts)

    async def _start_engine(self) -> str:
        self._engines += 1
        name = f"e-{self._engines}"
        cfg = EngineConfig(
            memory_total=32 * GIB,
            load_ms={"memory": 100, "disk": 200, "remote": 400},
            fencing=self._engines % 2 == 1,
        )
        await self.fleet.start_engine(name, cfg)
        return name

    async def _start_agent(self, place: str, engine: str) -> None:
        await self.fleet.start_agent(
            self._names[place],
            zone=ZONES[AGENTS.index(place)],
            engine=engine,
            env=ENV | {"BAMBOOTILLER_GUARD_PORT": str(quiet_port())},
            links=("kv", "rpc", "engine"),
            seconds=START_SECONDS,
        )

    async def _start_plain(self, place: str) -> None:
        await self.fleet.start_agent(
            self._names[place],
            zone=ZONES[PLAIN.index(place)],
            services=(SERVICE,),
            env=ENV | {"BAMBOOTILLER_GUARD_PORT": str(quiet_port())},
            links=("kv", "rpc"),
            seconds=START_SECONDS,
        )

    async def _start_entry(self, place: str) -> None:
        # Callers keep an entry's address when it is started anew.
        listen = f"127.0.0.1:{quiet_port()}"
        await self.fleet.start_entry(
            self._names[place],
            zone=ZONES[ENTRIES.index(place)],
            env=ENV | {"BAMBOOTILLER_HTTP_LISTEN": listen},
            links=("kv", "rpc"),
            seconds=START_SECONDS,
        )

    # Places

    def child(self, place: str):
        """The process at a place."""
        return self.fleet.children[self._names[place]]

    def link(self, place: str, name: str):
        """A link of the process at a place."""
        return self.fleet.link(self._names[place], name)

    def url(self, place: str) -> str:
        """Where callers reach an entry."""
        return self.fleet.url(self._names[place])

    async def control(self, name: str, **order) -> None:
        """Order a fault of a stand-in."""
        await self.fleet.control(name, **order)

    # Faults of processes

    async def kill(self, place: str) -> None:
        """Kill the process at a place."""
        child = self.child(place)
        self._went_down(place, planned=False)
        self._ended_by_us.append(child)
        await self.fleet.kill(self._names[place])
        self._judge_end(child, KILLED)

    async def planned_stop(self, place: str) -> None:
        """Ask the process at a place to stop; it must end with code 0."""
        child = self.child(place)
        self._went_down(place, planned=True)
        self._ended_by_us.append(child)
        await self.fleet.terminate(self._names[place], STOP_SECONDS)
        self._judge_end(child, 0)

    async def restart(self, place: str) -> None:
        """Start the process at a place anew, with the same name and ports."""
        async with self._changing:
            await self.fleet.restart(self._names[place], seconds=START_SECONDS)
        self._came_up(place)

    async def crash_engine(self, place: str, seconds: float) -> None:
        """Kill the engine at a place, and start it again after some seconds."""
        name = self._engine_of(place)
        engine = self.fleet.children[name]
        if not engine.running:
            return
        self._ended_by_us.append(engine)
        await self.fleet.kill(name)
        await asyncio.sleep(seconds)
        if name == self._engine_of(place) and self.child(place) not in self._reclaimed:
            await self.fleet.restart(name)

    async def reclaim(self, place: str) -> None:
        """Take the instance at a place away, with its engine."""
        name = self._names[place]
        child = self.child(place)
        engine = self.fleet.children[self._engine_of(place)]
        self._ended_by_us += [child, engine]
        self._reclaimed.append(child)
        async with self._changing:
            await self.fleet.reclaim(name)
        self._judge_end(child, KILLED)

    async def replace(self, place: str) -> None:
        """Start another instance at the place of one that was taken away."""
        async with self._changing:
            engine = await self._start_engine()
            self._names[place] = f"i-{place}-{engine}"
            await self._start_agent(place, engine)

    def _engine_of(self, place: str) -> str:
        name = self._names[place]
        return f"e-{name.rsplit('-', 1)[1]}"

    def _went_down(self, place: str, planned: bool) -> None:
        self.downs.append(Down(place, planned, time.monotonic()))

    def _came_up(self, place: str) -> None:
        for down in self.downs:
            if down.place == place:
                down.until = min(down.until, time.monotonic())

    # Ends of processes

    @contextlib.asynccontextmanager
    async def watched(self):
        """A context in which every process that ends by itself is noted."""
        task = asyncio.create_task(self._watch())
        try:
            yield
        finally:
            task.cancel()
            self._judge_ends()

    async def _watch(self) -> None:
        while True:
            self._judge_ends()
            await asyncio.sleep(0.1)

    def _judge_ends(self) -> None:
        for child in self.fleet.children.values():
            by_itself = child not in self._ended_by_us and child not in self._judged
            if child.returncode is not None and by_itself:
                self._judge_end(child, None)

    def _judge_end(self, child, wanted: int | None) -> None:
        self._judged.append(child)
        if child.returncode != wanted:
            text = f"{child.name} ended with {child.returncode}, not {wanted}"
            self.violation(f"{text}\n{child.tail(60)}")

    # The end

    async def heal(self) -> None:
        """Lift every fault that is left."""
        for name in ("kv", LISTED, SERVICE, "weights"):
            await self.control(name, mode="up")
        await self.control("weights", speed=1.0)
        for place in AGENTS + PLAIN + ENTRIES:
            self.child(place).resume()
            for name in ("kv", "rpc", *(["engine"] if place in AGENTS else [])):
                self.link(place, name).set(LinkMode.OPEN)

    async def stop(self) -> None:
        """End everything, and keep its output only if a promise was broken."""
        await self.fleet.stop()
        if not self.violations:
            self.fleet.discard_output()
