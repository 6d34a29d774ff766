"""Run the whole system once: ``python -m bambootiller_standins.demo``.

Starts the stand-ins, two entries and five agents across four availability zones as
processes of their own, streams a cold and a warm answer, acknowledges one submission
twice over (it runs once), shows status and an explanation, and stops everything by a
planned stop.
"""

from __future__ import annotations

import asyncio
import hashlib
import importlib.resources
import sys
import tempfile
from pathlib import Path

import aiohttp
import click

from bambootiller_standins.demo.callers import Streamed, push, stream_answer
from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet, PlatformOptions

ZONES = ("az-1", "az-2", "az-3", "az-4")
ENTRIES = ("entry-1", "entry-2")
PUPIL_KEY = "demo-pupil-key"
TEACHER_KEY = "demo-teacher-key"
PROMPT = "my assignment does not build: undefined reference to main"
#: On loopback no order stays on its way for long, so that the agents, all of them new,
#: need not wait before their first load as they do in a real fleet.
OPTIONS = PlatformOptions(env={"BAMBOOTILLER_SETTLE_SECONDS": "1"})
MODEL_WAIT_SECONDS = 20.0


def _template() -> str:
    text = importlib.resources.files(__package__).joinpath("forge.toml").read_text()
    for mark, key in (("PUPIL", PUPIL_KEY), ("TEACHER", TEACHER_KEY)):
        text = text.replace(mark, hashlib.sha256(key.encode()).hexdigest())
    return text


async def _start_processes(fleet: Fleet) -> None:
    cfg = EngineConfig(load_ms={"memory": 300, "disk": 900, "remote": 2000})
    engines = [f"engine-{number}" for number in range(1, 5)]
    await asyncio.gather(
        *(fleet.start_engine(name, cfg) for name in engines),
        fleet.start_service("pushes"),
    )
    click.echo(f"stand-ins: {', '.join(fleet.children)}")
    await asyncio.gather(
        *(
            fleet.start_entry(name, zone=zone)
            for name, zone in zip(ENTRIES, ZONES, strict=False)
        ),
        *(
            fleet.start_agent(f"agent-{index + 1}", zone=zone, engine=engines[index])
            for index, zone in enumerate(ZONES)
        ),
        fleet.start_agent("agent-5", zone=ZONES[2], services=["pushes"]),
    )
    click.echo("started: 2 entries and 5 agents in 4 availability zones")


async def _tool(fleet: Fleet, *args: str) -> str:
    result = await fleet.run_tool(*args)
    click.echo(f"\n$ bambootiller {' '.join(args)}")
    click.echo(result.out.rstrip() or result.err.rstrip())
    if result.code:
        raise click.ClickException(f"exit {result.code}: {result.err}")
    return result.out


async def _wait_for_slots(fleet: Fleet) -> None:
    """Slots are placed within a moment of the first template; say so if they aren't."""
    until = asyncio.get_running_loop().time() + MODEL_WAIT_SECONDS
    while asyncio.get_running_loop().time() < until:
        found = await fleet.run_tool("explain", "model", "forge", "tutor", "--json")
        if "in_force" in found.out:
            return
        await asyncio.sleep(0.3)
    raise click.ClickException("no slot of forge/tutor was placed in time")


async def _ask(fleet: Fleet, http: aiohttp.ClientSession, label: str) -> Streamed:
    entry = ENTRIES[0] if label == "cold" else ENTRIES[1]
    told = await stream_answer(http, fleet.url(entry), PUPIL_KEY, "tutor", PROMPT)
    if not told.whole:
        raise click.ClickException(f"the {label} answer isn't whole: {told.text!r}")
    click.echo(
        f"{label:>4} answer through {entry}: first token after "
        f"{told.first_token_ms:.0f} ms, {told.tokens} tokens in {told.total_ms:.0f} ms"
    )
    return told


async def _acknowledge(fleet: Fleet, http: aiohttp.ClientSession) -> None:
    for entry in ENTRIES:
        answer = await push(http, fleet.url(entry), TEACHER_KEY, "lot-42")
        note = "the first answer again" if answer.replayed else "run now"
        click.echo(f"submission lot-42 through {entry}: {answer.status}, {note}")
    runs = (await fleet.counts("pushes", "/control/runs"))["lot-42"]
    click.echo(f"runs of submission lot-42 at the service: {runs}")
    if runs != 1:
        raise click.ClickException(f"the submission ran {runs} times")


async def _stop(fleet: Fleet) -> None:
    names = [name for name in fleet.children if name.startswith(("entry", "agent"))]
    codes = await asyncio.gather(*(fleet.terminate(name) for name in names))
    click.echo(f"\nplanned stop of {len(names)} processes: exit codes {set(codes)}")
    if set(codes) != {0}:
        raise click.ClickException(f"exit codes {dict(zip(names, codes))}")


async def _run() -> None:
    async with Fleet(OPTIONS) as fleet, aiohttp.ClientSession() as http:
        await _start_processes(fleet)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "forge.toml"
            path.write_text(_template(), encoding="utf-8")
            reason = "first template"
            await _tool(
                fleet, "template", "apply", str(path), "--reason", reason, "--wait"
            )
        await _wait_for_slots(fleet)
        cold = await _ask(fleet, http, "cold")
        warm = await _ask(fleet, http, "warm")
        await _acknowledge(fleet, http)
        await _tool(fleet, "status")
        await _tool(fleet, "explain", "request", cold.request_id)
        await _stop(fleet)
        click.echo(
            f"time to first token: cold {cold.first_token_ms:.0f} ms, "
            f"warm {warm.first_token_ms:.0f} ms"
        )


@click.command()
def main() -> None:
    """Show the whole system once, with processes of its own on loopback."""
    asyncio.run(_run())
    sys.stdout.flush()


if __name__ == "__main__":
    main()
