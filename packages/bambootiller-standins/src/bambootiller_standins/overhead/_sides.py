"""The sides of a comparison: the engine itself, and the whole path before it.

Each path is a fleet of its own (one entry, one agent, one engine). The code that its
processes run may come from another checkout, which is how two states of the product are
compared in one run.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet
from bambootiller_standins.overhead._caller import AnswerBroken, Target, ask

KEY = "overhead-key"
CUSTOMER = "forge"
MODEL = "tutor"
ENGINE, AGENT, ENTRY = "engine", "agent", "entry"
PACKAGES = ("bambootiller-core", "bambootiller")
WARM_TRIES = 60
WARM_PAUSE_S = 0.5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

TEMPLATE = """
customer = "forge"
default_timeout_ms = 60000
# The agent sees nothing of the calls made to the engine directly. By what it knows, the
# model is idle meanwhile; unloaded, it would be missing in the middle of an answer.
[weights]
cold_second = 1.0
idle_second = 0.0
[models.tutor]
replicas = 1
memory_bytes = "1GiB"
load_ms = 500
max_running = {running}
token_ms = 2.0
[callers.pupil]
key_sha256 = "{digest}"
"""


@dataclass(frozen=True, slots=True)
class Side:
    """One side: whom to ask, and the processes whose work counts (name to id)."""

    name: str
    target: Target
    processes: Mapping[str, int]

    def cpu_seconds(self) -> dict[str, float]:
        """Processor time of each process so far, all of its threads together."""
        return {name: cpu_seconds(pid) for name, pid in self.processes.items()}


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used, in user and kernel mode."""
    # The name in parentheses may hold spaces; the numbers follow the last one.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, kernel = int(fields[11]), int(fields[12])
    return (user + kernel) / TICKS_PER_SECOND


def direct(fleet: Fleet) -> Side:
    """The engine of a fleet, asked without entry and agent."""
    target = Target(fleet.url(ENGINE), f"{CUSTOMER}/{MODEL}")
    return Side("direct", target, {ENGINE: fleet.children[ENGINE].pid})


async def start_path(
    fleet: Fleet, name: str, running: int, checkout: Path | None = None
) -> Side:
    """Start the whole path in a fleet, with the code of ``checkout`` if given."""
    env = {"BAMBOOTILLER_SETTLE_SECONDS": "0.5"}
    if checkout is not None:
        sources = [checkout / "packages" / package / "src" for package in PACKAGES]
        env["PYTHONPATH"] = os.pathsep.join(str(source) for source in sources)
    await fleet.start_engine(ENGINE, EngineConfig(max_batch=running))
    agent = await fleet.start_agent(AGENT, zone="az-1", engine=ENGINE, env=env)
    entry_env = {key: env[key] for key in env if key == "PYTHONPATH"}
    entry = await fleet.start_entry(ENTRY, zone="az-1", env=entry_env)
    await _apply_template(fleet, running)
    target = Target(fleet.url(ENTRY), MODEL, KEY)
    await _warm(target)
    return Side(name, target, {ENTRY: entry.pid, AGENT: agent.pid})


async def _apply_template(fleet: Fleet, running: int) -> None:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    path = fleet.folder / "forge.toml"
    path.write_text(TEMPLATE.format(running=running, digest=digest), encoding="utf-8")
    args = ("template", "apply", str(path), "--reason", "measurement", "--wait")
    result = await fleet.run_tool(*args)
    if result.code:
        raise RuntimeError(f"template apply ended with {result.code}: {result.err}")


async def _warm(target: Target) -> None:
    """Ask until the model is loaded, so that no cold start is measured."""
    async with aiohttp.ClientSession() as http:
        for _ in range(WARM_TRIES):
            try:
                await ask(http, target, 2)
                return
            except (AnswerBroken, aiohttp.ClientError):
                await asyncio.sleep(WARM_PAUSE_S)
    raise RuntimeError(f"{target.url} gave no answer")
