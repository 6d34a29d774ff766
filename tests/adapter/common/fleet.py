"""Runs the real programs as processes, with stand-ins for the store and the replicas.

Each machine has its own loopback address, as entries find an agent by the address of
its replica.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from bambootiller_platform_standins.replica import StandinReplica
from bambootiller_platform_standins.store import StandinStore

from bambootiller_standins.harness import quiet_port
from tests.adapter import PLATFORM
from tests.adapter.cover.test_documents import CONFIG, ROUTE, SERVICE

#: Generous, so that a busy machine alone doesn't fail a test. Seconds.
WAIT_TIMEOUT_S = 40.0
#: For one readiness request; a suspended process never responds.
READINESS_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
#: Number of last lines of a program's output shown in a failure.
LOG_TAIL_LINES = 30
HOST = "classes.example"


class NotReady(AssertionError):
    """An entry didn't get ready; the text has the state and output of all programs."""


async def wait_until(condition, what, pause_s=0.05, seconds=WAIT_TIMEOUT_S):
    """Wait until ``await condition()`` is true, or fail after ``seconds``."""
    end = asyncio.get_running_loop().time() + seconds
    while not await condition():
        if asyncio.get_running_loop().time() > end:
            raise AssertionError(f"{what}: not within {seconds} s")
        await asyncio.sleep(pause_s)


@dataclass
class Program:
    """A running program.

    ``document`` is its decoded settings, ``metrics`` the HOST:PORT of its metrics.
    """

    process: asyncio.subprocess.Process
    document: dict
    log: Path
    metrics: str

    def lines(self):
        """Return the log lines that it has written."""
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def events(self, kind):
        """Return its log lines of one event."""
        return [line for line in self.lines() if line.get("event") == kind]

    def status_summary(self):
        """Return whether it runs, and the last lines of its output."""
        code = self.process.returncode
        state = "running" if code is None else f"exit code {code}"
        output = self.log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        return "\n".join((f"{self.document['node-name']}: {state}", *output))

    async def stop(self, signum=signal.SIGTERM):
        """Send it a signal and wait for its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signum)
        return await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S)


class Fleet:
    """Runs entries, agents, replicas and the store.

    Example::

        async with Fleet() as fleet:
            fleet.configure()
            await fleet.replica("127.0.0.2", "i-1", "llm", ("tutor",))
            entry = await fleet.entry("e1")
    """

    #: The bounds that the platform sets, as in the settings file.
    bounds = {"grace-s": 6}

    def __init__(self):
        self.store = StandinStore()
        self.replicas = {}
        self._programs = []
        self._folder = tempfile.TemporaryDirectory()
        self._ports = (quiet_port(), 0)
        self.session = None

    async def __aenter__(self):
        await self.store.server.start()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        return self

    async def __aexit__(self, *details):
        for program in self._programs:
            await program.stop(signal.SIGKILL)
        await self.session.close()
        for replica in self.replicas.values():
            await replica.server.stop()
        await self.store.server.stop()
        self._folder.cleanup()

    def configure(self, version=1, **fields):
        """Write a configuration to the store, as the operator does."""
        document = {
            **CONFIG,
            "version": version,
            "routes": [ROUTE],
            "services": [SERVICE],
            **fields,
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def replica(self, host, instance, service, models=()):
        """Start a replica and add it to the registry."""
        replica = StandinReplica(instance, service, models)
        await replica.server.start(host)
        self.replicas[instance] = replica
        self.store.put(f"servers/{instance}", replica.entry())
        return replica

    async def entry(
        self, name, seeds=(), stdout=None, front_port=None, **settings_fields
    ):
        """Start an entry; its ``document`` contains its addresses."""
        host = "127.0.0.1"
        ports = {
            "front": front_port or quiet_port(),
            "ready": quiet_port(),
            "control": quiet_port(),
        }
        listen = {part: f"{host}:{port}" for part, port in ports.items()}
        fields = {"listen": listen, "seeds": list(seeds), **settings_fields}
        document = self._settings_document(name, host, fields)
        return await self.start("entry", document, stdout=stdout)

    async def agent(self, name, replica):
        """Start the agent beside a replica."""
        host = replica.server.address.rpartition(":")[0]
        engine_fields = {"app": replica.server.address, "service": replica.service}
        return await self.start(
            "agent", self._settings_document(name, host, engine_fields)
        )

    async def is_ready(self, entry):
        """Whether the entry reports that it is ready."""
        url = f"http://{entry.document['listen']['ready']}/bambootiller/ready"
        try:
            async with self.session.get(url, timeout=READINESS_TIMEOUT) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_ready(self, entry, seconds=WAIT_TIMEOUT_S):
        """Wait until the entry is ready; raises ``NotReady`` if it doesn't get ready.

        The error contains the logs of all programs, as the files are removed with the
        fleet.
        """
        what = f"{entry.document['node-name']} ready"

        async def is_ready():
            if entry.process.returncode is not None:
                raise AssertionError(f"{what}: the program has ended")
            return await self.is_ready(entry)

        try:
            await wait_until(is_ready, what, seconds=seconds)
        except AssertionError as exc:
            accounts = [program.status_summary() for program in self._programs]
            raise NotReady("\n--- ".join((str(exc), *accounts))) from exc

    async def call(
        self, entry, model, path="/a/x", attempt="r-1", body=b"b", headers=()
    ):
        """Send a request as a client; returns the status and the body."""
        headers = {
            "Host": HOST,
            "X-Request-Attempt": attempt,
            "X-Deadline-Ms": "12000",
            **dict(headers),
        }
        if model:
            headers["X-Model"] = model
        url = f"http://{entry.document['listen']['front']}{path}"
        async with self.session.post(url, headers=headers, data=body) as response:
            return response.status, await response.read()

    async def metrics(self, program):
        """Return its metrics by name with labels, as written on the metrics page."""
        async with self.session.get(f"http://{program.metrics}/metrics") as response:
            text = await response.text()
        lines = [line for line in text.splitlines() if not line.startswith("#")]
        return {line.rpartition(" ")[0]: float(line.split()[-1]) for line in lines}

    def _settings_document(self, name, host, fields):
        return {
            "node-name": name,
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "internal-ports": list(self._ports),
            "bounds": self.bounds,
            "platform": {"address": self.store.server.address},
            "unknown-field": 1,
            **fields,
        }

    async def start(self, role, document, metrics=None, stdout=None):
        """Start a program.

        ``metrics`` is the HOST:PORT at which it serves its metrics, ``stdout`` a file
        descriptor to write output to instead of the log file.
        """
        folder = Path(self._folder.name)
        file = folder / f"{document['node-name']}-{len(self._programs)}.json"
        file.write_text(json.dumps(document))
        log = file.with_suffix(".log")
        if metrics is None:
            host = document.get("ip", "127.0.0.1")
            metrics = f"{host}:{quiet_port(host)}"
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PLATFORM / "launch.py"),
                role,
                stdout=out if stdout is None else stdout,
                stderr=out if stdout is None else stdout,
                env={
                    **os.environ,
                    "BAMBOOTILLER_NODE_FILE": str(file),
                    "BAMBOOTILLER_METRICS_LISTEN": metrics,
                },
            )
        program = Program(process, document, log, metrics)
        self._programs.append(program)
        return program
