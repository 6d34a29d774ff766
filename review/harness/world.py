"""A small deployment on loopback addresses.

The programs are started with the commands of ``deploy/system.toml`` and a settings file
each, as the platform does. Each machine has a loopback address of its own. The store
and the replicas are stand-ins that run in this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from bambootiller_platform_standins.replica import StandinReplica
from harness.stores import CuttableStore

ROOT = Path(__file__).resolve().parents[2]
READY_PATH = "/bambootiller/ready"
#: A process that hasn't become ready by then makes the run void. Seconds.
START_TIMEOUT_S = 30.0
#: As on the sheets of the small deployments. Milliseconds.
HEARTBEAT_MS = 1200
#: The bounds of the sheets of the small deployments.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "loss-slack-ms": 200,
    "config-ms": 2000,
    "rollback-slack-ms": 250,
    "outer-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 56,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "require-fencing": True,
    "lease-ms": 3000,
    "thaw-slack-ms": 300,
    "ceiling-window-s": 5,
    "ceiling-overage": 1.1,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 5000,
    "idle-timeout-ms": 15000,
}
#: Ports of a machine that its processes may use among themselves.
INTERNAL_PORTS = 16


class CannotRun(Exception):
    """The case could not be set up; says nothing about the system."""


def free_port(host: str) -> int:
    """Return a port that nothing listens on at the moment."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Program:
    """One process of the system."""

    def __init__(self, name: str, process: subprocess.Popen, settings: dict, log: Path):
        self.name = name
        self.process = process
        self.settings = settings
        self.log = log

    @property
    def front(self) -> tuple[str, int]:
        """The address for clients."""
        host, _, port = self.settings["listen"]["front"].rpartition(":")
        return host, int(port)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process, if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class World:
    """The store, the replicas and the system's processes.

    Example::

        async with World(record) as world:
            world.configure(routes, services)
            engine = await world.replica("127.0.21.1", "i-a", "llm", ("m0",))
            await world.start_entry("front-1", "127.0.11.1")
            await world.start_agent("side-1", engine)
            await world.wait_ready()
    """

    def __init__(self, note) -> None:
        self._note = note
        self.store = CuttableStore()
        self.replicas: dict[str, StandinReplica] = {}
        self.programs: list[Program] = []
        self._entries: list[Program] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._heartbeats: dict[str, asyncio.Task] = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        base = free_port("127.0.0.1")
        self._internal = [base % 20000 + 20000, base % 20000 + 20000 + INTERNAL_PORTS]

    async def __aenter__(self) -> World:
        await self.store.server.start("127.0.9.1")
        return self

    async def __aexit__(self, *details) -> None:
        for task in self._heartbeats.values():
            task.cancel()
        for program in self.programs:
            program.end()
        for replica in self.replicas.values():
            with contextlib.suppress(Exception):
                await replica.server.stop()
        await self.store.server.stop()
        self._keep_logs()
        self._folder.cleanup()

    def _keep_logs(self) -> None:
        """Copy the logs of the programs to the folder that REVIEW_LOGS names."""
        if folder := os.environ.get("REVIEW_LOGS"):
            for program in self.programs:
                shutil.copy(program.log, folder)

    def configure(self, routes: list[dict], services: list[dict], version: int = 3):
        """Write the configuration, as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def replica(
        self, host: str, instance: str, service: str, models=(), factory=StandinReplica
    ) -> StandinReplica:
        """Start a replica that registers itself and writes heartbeats."""
        replica = factory(instance, service, models)
        await replica.server.start(host)
        self.replicas[instance] = replica
        self.register(replica)
        return replica

    def register(self, replica: StandinReplica) -> None:
        """Begin the heartbeats of a replica."""
        task = asyncio.create_task(self._beat(replica))
        self._heartbeats[replica.instance] = task

    def silence(self, replica: StandinReplica) -> None:
        """End the heartbeats of a replica, without a change of its entry."""
        self._heartbeats.pop(replica.instance).cancel()

    def remove_entry(self, replica: StandinReplica) -> None:
        """Remove a replica's entry, as one that leaves without ``draining`` does."""
        self.silence(replica)
        self.store.remove(f"servers/{replica.instance}")

    async def _beat(self, replica: StandinReplica) -> None:
        number = 0
        while True:
            number += 1
            entry = json.loads(replica.entry())
            entry["seq"] = number
            self.store.put(f"servers/{replica.instance}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def start_entry(self, name: str, host: str) -> Program:
        """Start an entry on a front machine."""
        parts = {part: free_port(host) for part in ("front", "ready", "control")}
        listen = {part: f"{host}:{port}" for part, port in parts.items()}
        seeds = [entry.settings["listen"]["control"] for entry in self._entries]
        fields = {"listen": listen, "seeds": [*seeds, listen["control"]][:3]}
        program = self._start("entry", name, host, "front", fields)
        self._entries.append(program)
        return program

    def restart(self, program: Program) -> Program:
        """Kill a program and start it again with its settings, as the platform does."""
        program.end()
        again = self._launch(program.settings, f"{program.name}-{len(self.programs)}")
        self._entries = [again if item is program else item for item in self._entries]
        return again

    async def start_agent(self, name: str, replica: StandinReplica) -> Program:
        """Start the agent on the machine of a replica."""
        host = replica.server.address.rpartition(":")[0]
        fields = {
            "listen": {},
            "seeds": [entry.settings["listen"]["control"] for entry in self._entries],
            "app": replica.server.address,
            "service": replica.service,
        }
        return self._start("agent", name, host, "side", fields)

    def _start(
        self, role: str, name: str, host: str, machine: str, fields: dict
    ) -> Program:
        settings = {
            "node-name": name,
            "role": role,
            "machine-class": machine,
            "serves": self._roles[role]["serves"],
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "internal-ports": self._internal,
            "bootstrap": True,
            "limits": {"cpu-share": 0.817, "cores": 1, "memory-mb": 300},
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "platform": {
                "address": self.store.server.address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "min-ttl-ms": 1000,
            },
            **fields,
        }
        return self._launch(settings, name)

    def _launch(self, settings: dict, label: str) -> Program:
        """Start the program of these settings; ``label`` names its files."""
        name, role, host = settings["node-name"], settings["role"], settings["ip"]
        folder = Path(self._folder.name)
        file, log = folder / f"{label}.json", folder / f"{label}.log"
        file.write_text(json.dumps(settings))
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with log.open("wb") as out:
            process = subprocess.Popen(
                self._roles[role]["run"].split(" "),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BAMBOOTILLER_NODE_FILE": str(file),
                    "BAMBOOTILLER_METRICS_LISTEN": f"{host}:{free_port(host)}",
                },
            )
        program = Program(name, process, settings, log)
        self.programs.append(program)
        self._note("started", name=name, role=role, ip=host, pid=process.pid)
        return program

    async def wait_ready(self) -> None:
        """Wait until each entry answers its readiness check with 200."""
        end = time.monotonic() + START_TIMEOUT_S
        for entry in self._entries:
            while not await _is_ready(entry):
                if entry.process.poll() is not None or time.monotonic() > end:
                    tail = entry.log.read_text(errors="replace")[-2000:]
                    raise CannotRun(f"{entry.name} isn't ready: {tail}")
                await asyncio.sleep(0.1)
        self._note("ready")


async def _is_ready(entry: Program) -> bool:
    host, _, port = entry.settings["listen"]["ready"].rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            line = f"GET {READY_PATH} HTTP/1.1\r\nHost: {host}\r\n\r\n"
            writer.write(line.encode())
            status = await reader.readline()
            writer.close()
            return b" 200 " in status
    except (OSError, TimeoutError):
        return False
