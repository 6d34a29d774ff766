"""Measures one thing at one size, in a process of its own, and prints one JSON line.

``python -m bambootiller_standins.capacity.child memory members 3790`` builds the state
and prints what it takes; ``... traced members 3790`` the same as the interpreter counts
it; ``... work rest_second 3790`` the processor time of one piece of work; ``... imports
NAME`` what a process holds after importing a role's modules; ``... channels PORTS``
what connections take. Memory that a process has
freed stays with it, so sizes measured one after the other in one process would hide
each other.
"""

from __future__ import annotations

import gc
import importlib
import json
import sys
import time
import tracemalloc
from types import SimpleNamespace

import psutil

#: What each stage of a role's start imports, on top of the stage before.
IMPORTS = {
    "bare": (),
    "asyncio": ("asyncio",),
    "grpcio": ("asyncio", "grpc.aio"),
    "aiohttp": ("asyncio", "aiohttp"),
    "pydantic": ("asyncio", "pydantic"),
    "frame": ("bambootiller.daemon", "bambootiller.app", "bambootiller.kv.etcd"),
    "agent": (
        "bambootiller.daemon",
        "bambootiller.app",
        "bambootiller.kv.etcd",
        "bambootiller.peers",
        "bambootiller.agent",
    ),
    "entry": (
        "bambootiller.daemon",
        "bambootiller.app",
        "bambootiller.kv.etcd",
        "bambootiller.peers",
        "bambootiller.slotkeeping",
        "bambootiller.entry",
    ),
    "operators": ("bambootiller.cli.main",),
}

LEAST_SECONDS = 0.4
MOST_REPEATS = 20_000
ROUNDS = 5
#: Longer than an unused connection stays open.
IDLE_SECONDS = 80.0


def resident() -> int:
    """This process's resident memory, in bytes."""
    return psutil.Process().memory_info().rss


def imports(name: str) -> dict[str, float]:
    """What the imports of a stage take, as resident memory and processor time."""
    before = resident()
    begun = time.process_time()
    for module in IMPORTS[name]:
        importlib.import_module(module)
    return {
        "whole": resident(),
        "added": resident() - before,
        "cpu": time.process_time() - begun,
        "modules": len(sys.modules),
    }


def memory(name: str, size: int) -> dict[str, float]:
    """What a holding takes, as growth of resident memory."""
    from bambootiller_standins.capacity._holdings import HOLDINGS

    HOLDINGS[name](0 if name != "outbox" else 1)
    gc.collect()
    before = resident()
    held = HOLDINGS[name](size)
    gc.collect()
    return {"bytes": resident() - before, "kept": bool(held)}


def traced(name: str, size: int) -> dict[str, float]:
    """What a holding takes, as the interpreter counts it."""
    from bambootiller_standins.capacity._holdings import HOLDINGS

    HOLDINGS[name](0 if name != "outbox" else 1)
    gc.collect()
    tracemalloc.start()
    held = HOLDINGS[name](size)
    gc.collect()
    return {"bytes": tracemalloc.get_traced_memory()[0], "kept": bool(held)}


def work(name: str, size: int) -> dict[str, float]:
    """The processor time of one piece of work, in seconds: the least of some rounds.

    The least is what the work costs; the rest is what else the machine was doing.
    """
    from bambootiller_standins.capacity._works import WORKS

    run = WORKS[name](size)
    run()
    gc.collect()
    rounds = [_round(run) for _ in range(ROUNDS)]
    longest = max(one[1] for one in rounds)
    return {"seconds": min(one[0] for one in rounds), "longest": longest}


def _round(run: object) -> tuple[float, float]:
    """The mean processor time, and the longest single run by the wall clock."""
    longest = 0.0
    begun, repeats = time.process_time(), 0
    while repeats < MOST_REPEATS:
        started = time.perf_counter()
        run()
        longest = max(longest, time.perf_counter() - started)
        repeats += 1
        if time.process_time() - begun > LEAST_SECONDS / ROUNDS:
            break
    return (time.process_time() - begun) / repeats, longest


def channels(ports: str) -> dict[str, float]:
    """What connections to these local ports take, each used for one call."""
    # Not at the top: a process that measures imports must not have made them already.
    import asyncio

    addresses = [f"127.0.0.1:{port}" for port in ports.split(",")]
    return {"bytes": asyncio.run(_open(addresses, 0.0))["last"]}


def idle_channels(ports: str) -> dict[str, float]:
    """The same for the second half of the ports, once the first half has been idle for
    so long that its connections are closed."""
    import asyncio

    addresses = [f"127.0.0.1:{port}" for port in ports.split(",")]
    return asyncio.run(_open(addresses, IDLE_SECONDS))


async def _open(addresses: list[str], pause: float) -> dict[str, float]:
    """Open connections, the second half after a pause; bytes that each half took."""
    import asyncio

    from bambootiller.rpc import bambootiller_pb2 as pb
    from bambootiller.rpc.channels import Channels

    opened = Channels(SimpleNamespace(tls_cert=None, tls_key=None, tls_ca=None))

    async def use(part: list[str]) -> int:
        before = resident()
        for address in part:
            await opened.peer(address).Status(pb.StatusRequest())
        await asyncio.sleep(1.0)
        return resident() - before

    await opened.peer(addresses[0]).Status(pb.StatusRequest())
    rest = addresses[1:]
    if not pause:
        return {"last": await use(rest)}
    first = await use(rest[: len(rest) // 2])
    await asyncio.sleep(pause)
    return {"first": first, "last": await use(rest[len(rest) // 2 :])}


#: The kinds that need no size.
NAMED = {"imports": imports, "channels": channels, "idle_channels": idle_channels}


def main(arguments: list[str]) -> None:
    """Carry out what the arguments name."""
    kind, name = arguments[:2]
    if kind in NAMED:
        figures = NAMED[kind](name)
    else:
        figures = {"memory": memory, "traced": traced, "work": work}[kind](
            name, int(arguments[2])
        )
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
