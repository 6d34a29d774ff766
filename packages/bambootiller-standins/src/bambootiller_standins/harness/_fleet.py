"""A fleet on loopback: named stand-ins and processes of the product, and faults."""

import asyncio
import shutil
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp

from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import _names as names, _platform as platform
from bambootiller_standins.harness._cut import LOOPBACK, Cut
from bambootiller_standins.harness._journals import Journals
from bambootiller_standins.harness._members import (
    LEAVING,
    LIVE,
    Addresses,
    Member,
    listing,
    member_settings,
)
from bambootiller_standins.harness._names import Role, Setting
from bambootiller_standins.harness._ports import quiet_port
from bambootiller_standins.harness._process import (
    READY_SECONDS,
    STOP_SECONDS,
    ChildProcess,
    ProcessFailed,
    ProcessSpec,
)
from bambootiller_standins.harness._tool import ToolResult, run_tool

CONTROL_SECONDS = 30.0
#: The product's exit code for a guard port that is taken.
EXIT_GUARD = 69
GUARD_TRIES = 5


class Fleet:
    """Starts, names, disturbs and cleans up the processes of a test or a demonstration.

    Used as a context, it starts the key-value service and the instance list (and, if
    asked, the weight store and the metrics sink) and ends everything on leaving, also
    after a failure, whose output it then shows. Processes are named; the product's by
    their instance.

    >>> async with Fleet() as fleet:
    ...     await fleet.start_engine("e-1")
    ...     await fleet.start_agent("i-1", zone="az-1", engine="e-1")
    ...     await fleet.start_entry("n-1", zone="az-2")
    ...     await fleet.kill("i-1")
    """

    def __init__(
        self,
        options: platform.PlatformOptions | None = None,
        *,
        region: str = "r1",
    ) -> None:
        self.options = options or platform.PlatformOptions()
        self.region = region
        self.folder = Path(tempfile.mkdtemp(prefix="bambootiller-fleet-"))
        self.children: dict[str, ChildProcess] = {}
        self._members: dict[str, Member] = {}
        self._guard_ports: dict[str, int] = {}
        self._journals = Journals(self.folder)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        try:
            await self.start()
        except BaseException:
            await self._fail()
            raise
        return self

    async def __aexit__(self, kind: type | None, exc: object, trace: object) -> None:
        if kind is None:
            await self.stop()
            self.discard_output()
        else:
            await self._fail()

    async def start(self) -> None:
        """Starts the platform."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        specs = platform.platform_specs(self.options)
        await asyncio.gather(*(self._spawn(spec) for spec in specs))
        await self.publish()

    async def stop(self) -> None:
        """Kills what still runs and closes the links; the output stays."""
        await asyncio.gather(
            *(child.kill() for child in self.children.values() if child.running)
        )
        for member in self._members.values():
            for cut in member.links.values():
                await cut.stop()
        self._members.clear()
        if self._session is not None:
            await self._session.close()

    def discard_output(self) -> None:
        """Removes the folder with settings, journals and output."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def show_output(self) -> None:
        """Prints the last output of every process to standard error."""
        for child in self.children.values():
            print(f"=== {child.name}, exit {child.returncode}", file=sys.stderr)
            print(child.tail(), file=sys.stderr)
        print(f"=== all of it is in {self.folder}", file=sys.stderr)

    async def _fail(self) -> None:
        await self.stop()
        self.show_output()

    async def _spawn(
        self, spec: ProcessSpec, seconds: float = READY_SECONDS
    ) -> ChildProcess:
        if spec.name in self.children and self.children[spec.name].running:
            raise ValueError(f"name {spec.name!r} is taken by a process that runs")
        child = ChildProcess(spec, self.folder)
        self.children[spec.name] = child
        await child.start(seconds)
        return child

    # Addresses

    def port(self, name: str) -> int:
        """Returns a stand-in's port."""
        return int(self.children[name].ready[names.READY_PORT])

    def url(self, name: str) -> str:
        """Returns the base address of a stand-in, or of an entry for callers."""
        key = names.READY_PORT
        if name in self._members:
            key = names.READY_HTTP_PORT
        return f"http://{LOOPBACK}:{self.children[name].ready[key]}"

    def rpc_address(self, instance: str) -> str:
        """Returns where other processes reach an instance."""
        cut = self._members[instance].links.get("rpc")
        if cut is not None:
            return cut.address
        return f"{LOOPBACK}:{self._rpc_port(instance)}"

    def _rpc_port(self, instance: str) -> int:
        return int(self.children[instance].ready[names.READY_RPC_PORT])

    def link(self, instance: str, name: str) -> Cut:
        """Returns the link of an instance that was asked for at its start."""
        return self._members[instance].links[name]

    # Stand-ins beside the product

    async def start_engine(
        self, name: str, cfg: EngineConfig | None = None
    ) -> ChildProcess:
        """Starts a model engine; it uses the fleet's weight store if there is one."""
        cfg = (cfg or EngineConfig()).model_copy()
        cfg.journal = str(self._journals.add(name))
        if self.options.weight_store and cfg.weight_store is None:
            cfg.weight_store = self.url(platform.WEIGHT_STORE)
        return await self._spawn(platform.engine_spec(name, cfg, self.folder))

    async def start_service(
        self, name: str, *, before_ms: float = 0, after_ms: float = 0
    ) -> ChildProcess:
        """Starts a plain service."""
        return await self._spawn(platform.service_spec(name, before_ms, after_ms))

    # The product's processes

    async def start_entry(
        self,
        instance: str,
        *,
        zone: str,
        env: Mapping[str, str] | None = None,
        links: Sequence[str] = (),
        listed: bool = True,
        seconds: float = READY_SECONDS,
    ) -> ChildProcess:
        """Starts an entry and lists it; *links* names those to be put through a cut."""
        member = Member(instance, Role.ENTRY, zone, self.region, listed=listed)
        return await self._start_member(member, env, links, seconds)

    async def start_agent(
        self,
        instance: str,
        *,
        zone: str,
        engine: str | None = None,
        services: Sequence[str] = (),
        beside: str | None = None,
        env: Mapping[str, str] | None = None,
        links: Sequence[str] = (),
        listed: bool = True,
        seconds: float = READY_SECONDS,
    ) -> ChildProcess:
        """Starts an agent beside an engine, plain services or both, and lists it.

        *links* may name ``kv``, ``list``, ``engine`` and ``rpc``. *beside* is another
        instance on the same backend server, whose guard port the agent shares.
        """
        member = Member(
            instance,
            Role.AGENT,
            zone,
            self.region,
            engine=engine,
            services=tuple(services),
            listed=listed,
        )
        if beside is not None:
            self._guard_ports[instance] = self._guard_ports[beside]
        return await self._start_member(member, env, links, seconds)

    async def _start_member(
        self,
        member: Member,
        env: Mapping[str, str] | None,
        links: Sequence[str],
        seconds: float,
    ) -> ChildProcess:
        await self._make_links(member, links)
        self._members[member.instance] = member
        for _ in range(GUARD_TRIES - 1):
            try:
                return await self._spawn_member(member, env, seconds)
            except ProcessFailed:
                if not self._lost_its_guard_port(member):
                    raise
                del self._guard_ports[member.instance]
        return await self._spawn_member(member, env, seconds)

    async def _spawn_member(
        self, member: Member, env: Mapping[str, str] | None, seconds: float
    ) -> ChildProcess:
        settings = self._settings(member) | self.options.env | dict(env or {})
        spec = ProcessSpec(member.instance, names.daemon_command(member.role), settings)
        child = await self._spawn(spec, seconds)
        await self._after_start(member)
        return child

    def _lost_its_guard_port(self, member: Member) -> bool:
        """Whether somebody else got the guard port between our choice and its use.

        The kernel names a free port, but the agent has to bind it itself. On a busy
        machine a connection may get the number in between; the agent then ends with the
        exit code for a taken guard port, which is the truth but not what was to be
        tested. Agents that are to share a port on purpose are left alone.
        """
        port = self._guard_ports.get(member.instance)
        alone = list(self._guard_ports.values()).count(port) == 1
        return alone and self.children[member.instance].returncode == EXIT_GUARD

    async def _after_start(self, member: Member) -> None:
        if "rpc" in member.links:
            member.links["rpc"].target_port = self._rpc_port(member.instance)
        await self.publish()

    async def _make_links(self, member: Member, links: Sequence[str]) -> None:
        targets = {
            "kv": platform.KEY_VALUE,
            "list": platform.INSTANCE_LIST,
            "engine": member.engine,
        }
        for name in links:
            # The RPC port isn't known before the process runs; the link gets it then.
            port = 0 if name == "rpc" else self.port(targets[name])
            cut = Cut(port)
            await cut.start()
            member.links[name] = cut

    def _settings(self, member: Member) -> dict[str, str]:
        addresses = Addresses(
            key_value=self._linked(member, "kv", platform.KEY_VALUE),
            instance_list=self._linked(member, "list", platform.INSTANCE_LIST),
            services={name: self.url(name) for name in member.services},
        )
        if platform.STATSD in self.children:
            port = self.children[platform.STATSD].ready[names.READY_UDP_PORT]
            addresses.statsd = f"{LOOPBACK}:{port}"
        if member.engine is not None:
            addresses.engine = self._linked(member, "engine", member.engine)
        if member.role is Role.AGENT:
            addresses.guard_port = self._guard_port(member.instance)
        return member_settings(member, addresses)

    def _linked(self, member: Member, link: str, standin: str) -> str:
        if link in member.links:
            return member.links[link].url
        return self.url(standin)

    def _guard_port(self, instance: str) -> int:
        if instance not in self._guard_ports:
            self._guard_ports[instance] = quiet_port()
        return self._guard_ports[instance]

    # The instance list

    async def publish(self, *, lag: bool = True) -> None:
        """Sets the true instance list to the members that are listed."""
        body = [
            listing(member, self.rpc_address(member.instance)).model_dump()
            for member in self._members.values()
            if member.listed and self.children[member.instance].ready
        ]
        url = self.url(platform.INSTANCE_LIST) + "/control/instances"
        params = {} if lag else {"lag": "no"}
        async with self._session.put(url, json=body, params=params) as response:
            response.raise_for_status()

    async def mark_leaving(self, instance: str) -> None:
        """Lists an instance as leaving."""
        self._members[instance].state = LEAVING
        await self.publish()

    async def delist(self, instance: str) -> None:
        """Takes an instance off the list."""
        self._members[instance].listed = False
        await self.publish()

    async def reclaim(self, instance: str) -> None:
        """Takes an instance away: its process, its engine and services, and its
        listing.
        """
        member = self._members[instance]
        beside = [member.engine] if member.engine else []
        for name in (instance, *beside, *member.services):
            await self.kill(name)
        await self.delist(instance)

    # Faults

    async def kill(self, name: str) -> None:
        """Kills a process (SIGKILL)."""
        await self.children[name].kill()
        self._journals.note_killed(name)

    def pause(self, name: str) -> None:
        """Stops a process where it stands (SIGSTOP)."""
        self.children[name].pause()

    def resume(self, name: str) -> None:
        """Lets a paused process go on (SIGCONT)."""
        self.children[name].resume()

    async def terminate(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Asks for a planned stop (SIGTERM) and waits for it; returns the exit code."""
        return await self.children[name].terminate(seconds)

    async def restart(
        self,
        name: str,
        *,
        env: Mapping[str, str] | None = None,
        seconds: float = READY_SECONDS,
    ) -> ChildProcess:
        """Starts a process again, after killing it if it runs.

        A stand-in comes back on its old port. A process of the product gets new ones,
        and is listed under them as live.
        """
        old = self.children[name]
        if old.running:
            await self.kill(name)
        if name not in self._members:
            return await self._spawn(platform.on_port(old.spec, self.port(name)))
        spec = ProcessSpec(name, old.spec.command, {**old.spec.env, **(env or {})})
        child = await self._spawn(spec, seconds)
        member = self._members[name]
        member.state = LIVE
        member.listed = True
        await self._after_start(member)
        return child

    async def control(self, name: str, **order: Any) -> dict[str, Any]:
        """Orders a fault of a stand-in: ``await fleet.control("kv", mode="down")``."""
        url = self.url(name) + "/control"
        async with self._session.post(url, json=order) as response:
            response.raise_for_status()
            return await response.json()

    async def counts(self, name: str, path: str = "/control") -> dict[str, Any]:
        """Returns what a stand-in counts."""
        async with self._session.get(self.url(name) + path) as response:
            response.raise_for_status()
            return await response.json()

    # What the engines' journals prove

    def most_replicas(self, model: str) -> int:
        """Returns how many engines held a model at the same moment at most."""
        return self._journals.most_replicas(model)

    def overcommitted(self) -> list[str]:
        """Returns the engines whose memory was overcommitted at any time."""
        return self._journals.overcommitted()

    # The operators' command line

    async def run_tool(
        self, *args: str, env: Mapping[str, str] | None = None, stdin: bytes = b""
    ) -> ToolResult:
        """Runs ``bambootiller`` with *args* against this fleet."""
        settings = {
            Setting.KV_URL: self.url(platform.KEY_VALUE),
            Setting.INSTANCES_URL: self.url(platform.INSTANCE_LIST)
            + names.INSTANCES_PATH,
        }
        settings |= dict(env or {})
        return await run_tool(args, settings, stdin)
