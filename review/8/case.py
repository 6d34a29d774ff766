"""A part behind the sixteenth of its prompt crashes replicas."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

import world  # noqa: E402
from engine import Engine  # noqa: E402

SERVICE = "assistant"
SIZE_MB, MEMORY_MB = 72_700.0, 200_000.0
MODEL = "m0"
ENGINES = 6
CONTACT_S = world.BOUNDS["contact-ms"] / 1000
#: The parts that all prompts begin with, as those of a long conversation do,
#: a sound part, and the part that crashes replicas.
FIRST_PARTS = [f"5c1e07{number:02x}" for number in range(17)]
SOUND_PART, BAD_PART = "91bd3f06", "e4402b7d"
SOUND_S, BAD_S = 6.0, 22.0
#: Between two requests with one of the parts. Seconds.
GAP_S = 0.5
#: More requests than that break the rule.
ALLOWED = 3

ROUTE = {
    "name": "r-draft",
    "host": world.HOST,
    "path-prefix": "/draft/",
    "kind": "streaming",
    "timeout-ms": 10000,
    "target-latency-ms": 500,
    "priority": 0,
    "service": SERVICE,
    "max-attempts": 2,
    "sticky": True,
    "resumable": True,
    "gap-aim-ms": 300,
}
ENGINE = {
    "slots": 64,
    "kv-tokens": 130872,
    "weights-mb": MEMORY_MB,
    "adapter-slots": 8,
    "loads-per-s": 2.9,
    "models": [{"name": MODEL, "weights-mb": SIZE_MB, "load-s": 1.0, "adapters": 0}],
}


async def call(record, entry, number, part):
    attempt = f"{number:03d}{'b' if part == BAD_PART else 's'}"
    headers = {
        "X-Request-Attempt": attempt,
        "X-Model": MODEL,
        "X-Token-Usage": "600,60",
        "X-Prompt-Prefix": ",".join(
            [f"{name}:20" for name in FIRST_PARTS] + [f"{part}:60", f"{number:08x}:200"]
        ),
        "X-Deadline-Ms": "4000",
    }
    front = entry.settings["listen"]["front"]
    answer = await world.request(
        front, "POST", "/draft/x", headers, b"q%d" % number, 4.0
    )
    reason = answer.body.decode() if answer.status not in (0, 200) else ""
    record(f"client: {attempt} at {entry.name} gets {answer} {reason}")
    return answer.status == 200 and answer.complete


async def case(record):
    async with world.World(record) as here:
        engines = []
        for number in range(ENGINES):
            engine = Engine(
                record,
                f"i-{number:x}f3a91c2",
                SERVICE,
                {MODEL: SIZE_MB},
                MEMORY_MB,
            )
            engine.held = {MODEL: set()}
            await engine.start(here.side_ip(number))
            here.spawn(engine.heartbeats(here.store))
            engines.append(engine)
        here.configure(
            7, [ROUTE], [{"name": SERVICE, "max-connections": 360, "engine": ENGINE}]
        )
        entries = [await here.entry(number) for number in range(2)]
        for number, engine in enumerate(engines):
            await here.agent(number, engine.server.address, SERVICE)
        await here.wait_ready(*entries)
        await asyncio.sleep(2.0)
        tasks = []
        number = 0

        async def traffic(seconds, parts):
            nonlocal number
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                for part in parts:
                    number += 1
                    entry = entries[number // 2 % len(entries)]
                    tasks.append(here.spawn(call(record, entry, number, part)))
                await asyncio.sleep(GAP_S)

        await traffic(SOUND_S, (SOUND_PART,))
        served = sum(await asyncio.gather(*tasks))
        record(f"{served} of {len(tasks)} calls are served")
        if served < 0.9 * len(tasks):
            raise world.CannotRun("calls weren't served before the disruption")
        if world.trouble():
            record(f"part {BAD_PART} crashes replicas; requests with it begin to come")
            for engine in engines:
                engine.bad_parts = {BAD_PART}
        await traffic(BAD_S, (SOUND_PART, BAD_PART))
        await asyncio.gather(*tasks)
        crashes = sorted(at for engine in engines for at in engine.crash_times)
        arrivals = sorted(at for engine in engines for at in engine.bad_arrivals)
        record(f"{len(crashes)} crashes, {len(arrivals)} arrivals that crash")
        if len(crashes) < 5:
            return ""
        late = [at for at in arrivals if at > crashes[4] + CONTACT_S]
        record(
            f"{len(late)} requests with the part reach replicas later than contact-ms"
            f" after the fifth crash; {ALLOWED} are allowed"
        )
        return f"BUDGET: {len(late)} requests" if len(late) > ALLOWED else ""


if __name__ == "__main__":
    sys.exit(world.play(case, FOLDER))
