"""The rounds of a run, in which every side has its turn."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from bambootiller_standins.overhead._caller import Timing, ask
from bambootiller_standins.overhead._sides import Side

SHORT_TOKENS = 2


@dataclass(frozen=True, slots=True)
class Effort:
    """How much is asked. ``running`` callers ask at a time where work is measured."""

    rounds: int = 5
    timed_requests: int = 20
    timed_tokens: int = 32
    worked_requests: int = 96
    worked_tokens: int = 128
    running: int = 8
    rest_s: float = 1.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Work:
    """Processor seconds of one process for a request and for each token of it."""

    per_request: float
    per_token: float


@dataclass(slots=True)
class Observed:
    """What was seen of one side: timings of all rounds, work by process and round."""

    timings: list[Timing] = field(default_factory=list)
    work: dict[str, list[Work]] = field(default_factory=dict)


async def run(sides: Sequence[Side], effort: Effort) -> dict[str, Observed]:
    """All rounds; the sides take turns in an order that is drawn anew each time."""
    rng = random.Random(effort.seed)
    found = {side.name: Observed() for side in sides}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        for side in sides:
            await _crowd(http, side, effort, effort.running, SHORT_TOKENS)
        for _ in range(effort.rounds):
            for _ in range(effort.timed_requests):
                for side in rng.sample(sides, len(sides)):
                    timing = await ask(http, side.target, effort.timed_tokens)
                    found[side.name].timings.append(timing)
            for side in rng.sample(sides, len(sides)):
                for name, work in (await _work(http, side, effort)).items():
                    found[side.name].work.setdefault(name, []).append(work)
    return found


async def _work(
    http: aiohttp.ClientSession, side: Side, effort: Effort
) -> dict[str, Work]:
    """The work of each process of a side, from short answers and from long ones.

    Work at rest (probes, state polls) is measured beside it and taken off.
    """
    before = side.cpu_seconds()
    await asyncio.sleep(effort.rest_s)
    after = side.cpu_seconds()
    rest = {name: (after[name] - before[name]) / effort.rest_s for name in after}
    count = effort.worked_requests
    short = await _crowd_work(http, side, effort, SHORT_TOKENS, rest)
    long = await _crowd_work(http, side, effort, effort.worked_tokens, rest)
    found = {}
    for name in rest:
        more_tokens = count * (effort.worked_tokens - SHORT_TOKENS)
        per_token = (long[name] - short[name]) / more_tokens
        per_request = short[name] / count - SHORT_TOKENS * per_token
        found[name] = Work(per_request, per_token)
    return found


async def _crowd_work(
    http: aiohttp.ClientSession,
    side: Side,
    effort: Effort,
    tokens: int,
    rest: dict[str, float],
) -> dict[str, float]:
    begun, before = time.perf_counter(), side.cpu_seconds()
    await _crowd(http, side, effort, effort.worked_requests, tokens)
    after, took = side.cpu_seconds(), time.perf_counter() - begun
    return {name: after[name] - before[name] - rest[name] * took for name in after}


async def _crowd(
    http: aiohttp.ClientSession, side: Side, effort: Effort, count: int, tokens: int
) -> None:
    """``count`` requests by callers who each ask again as soon as they are answered."""
    left = iter(range(count))

    async def caller() -> None:
        for _ in left:
            await ask(http, side.target, tokens)

    async with asyncio.TaskGroup() as group:
        for _ in range(effort.running):
            group.create_task(caller())
