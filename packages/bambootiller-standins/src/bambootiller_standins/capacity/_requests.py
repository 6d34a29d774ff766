"""What requests and tokens cost an entry and an agent, and what open streams hold."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

import aiohttp

from bambootiller_core.documents import TEMPLATES_PREFIX, Document
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.capacity._bench import MIB, Bench, Usage, until
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series, plane
from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet

ENTRY, AGENT, ENGINE = "entry-1", "agent-1", "engine"
MODEL = "assistant"
CUSTOMER = state.customer(0)
KEY = state.caller_key(0, 0)
DATA, DONE = b"data: ", b"[DONE]"
READY_SECONDS = 60.0

#: Requests a second and tokens of each answer, at which the processor time is read. The
#: last is an entry's share of the target's peak.
LOADS = ((4, 2), (16, 2), (4, 64), (8, 64), (8, 128), (16, 32), (4, 369))
LOAD_SECONDS = 12.0
STREAMS = (25, 100, 200, 400)
STREAM_TOKEN_MS = 400.0
STREAM_SECONDS = 6.0


@dataclass(slots=True)
class Tally:
    """What became of the requests of a run; times in seconds."""

    answered: int = 0
    refused: int = 0
    tokens: int = 0
    firsts: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)


@measurement("requests")
async def requests(effort: Effort) -> Figures:
    """Processor time for each request and each token, told apart by several loads."""
    figures = Figures()
    seconds = effort.seconds(LOAD_SECONDS)
    rows: dict[str, list[tuple[float, ...]]] = {ENTRY: [], AGENT: []}
    tallies = []
    async with Fleet() as fleet, aiohttp.ClientSession() as http:
        bench = Bench(fleet)
        await _start(fleet, bench, EngineConfig(max_batch=256, token_ms=20))
        await _warm(fleet, http)
        for rate, tokens in LOADS:
            before = {name: bench.usage(name) for name in rows}
            tally = await _load(fleet, http, rate, tokens, seconds)
            for name in rows:
                passed, cpu = _since(bench, name, before[name])
                rows[name].append((passed, tally.answered, tally.tokens, cpu))
            tallies.append({"rate": rate, "tokens": tokens} | _summary(tally))
        await bench.close()
    for name, found in rows.items():
        second, request, token = plane(found)
        figures.values[name] = {
            "rows": found,
            "cpu_a_second": second,
            "cpu_a_request": request,
            "cpu_a_token": token,
        }
    figures.values["loads"] = tallies
    return figures


@measurement("streams")
async def streams(effort: Effort) -> Figures:
    """Memory of an entry and an agent against the streams that are open."""
    figures = Figures()
    points: dict[str, list[tuple[float, float]]] = {ENTRY: [], AGENT: []}
    async with Fleet() as fleet:
        bench = Bench(fleet)
        cfg = EngineConfig(max_batch=1024, token_ms=STREAM_TOKEN_MS)
        await _start(fleet, bench, cfg)
        for count in (0, *effort.sizes(STREAMS, STREAMS[:2])):
            await _hold(fleet, bench, count, points)
        await bench.close()
    for name, found in points.items():
        series = Series(f"{name}/resident", "open streams", "MiB", tuple(found))
        figures.series.append(series)
    return figures


async def _hold(
    fleet: Fleet, bench: Bench, count: int, points: dict[str, list]
) -> None:
    """Keep so many streams open for a while, and read the memory meanwhile."""
    tokens = round(3 * STREAM_SECONDS * 1000 / STREAM_TOKEN_MS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        tally = Tally()
        tasks = [
            asyncio.create_task(ask(fleet, http, tokens, tally)) for _ in range(count)
        ]
        await asyncio.sleep(STREAM_SECONDS)
        for name, found in points.items():
            found.append((count - tally.refused, bench.usage(name).resident / MIB))
        await asyncio.gather(*tasks)


async def _start(fleet: Fleet, bench: Bench, cfg: EngineConfig) -> None:
    await fleet.start_engine(ENGINE, cfg)
    await asyncio.gather(
        fleet.start_entry(
            ENTRY, zone="az-1", env={"BAMBOOTILLER_ENTRY_STREAMS": "2000"}
        ),
        fleet.start_agent(
            AGENT, zone="az-1", engine=ENGINE, env={"BAMBOOTILLER_GUARD_PORT": "0"}
        ),
    )
    form = {
        "customer": CUSTOMER,
        "version": 1,
        "models": {MODEL: {"replicas": 1, "memory_bytes": "2GiB", "max_running": 1000}},
        "callers": {"caller": {"key_sha256": state.key_digest(0, 0)}},
    }
    key = TEMPLATES_PREFIX + CUSTOMER
    await bench.put(Document(key, 0, json.dumps(form).encode()))
    async with aiohttp.ClientSession() as http:

        async def answers() -> bool:
            tally = Tally()
            await ask(fleet, http, 2, tally)
            return tally.answered == 1

        await until(answers, "the first answer", READY_SECONDS)


async def _warm(fleet: Fleet, http: aiohttp.ClientSession) -> None:
    await _load(fleet, http, rate=8, tokens=8, seconds=3.0)


async def _load(
    fleet: Fleet, http: aiohttp.ClientSession, rate: int, tokens: int, seconds: float
) -> Tally:
    """Send requests at a steady rate, and read all answers to their ends."""
    tally = Tally()
    tasks = []
    for _ in range(round(rate * seconds)):
        tasks.append(asyncio.create_task(ask(fleet, http, tokens, tally)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    return tally


async def ask(
    fleet: Fleet,
    http: aiohttp.ClientSession,
    tokens: int,
    tally: Tally,
    model: str = MODEL,
) -> None:
    """One streamed answer, read to its end."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "why does it not build?"}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    url = f"{fleet.url(ENTRY)}/v1/chat/completions"
    sent = last = time.perf_counter()
    seen = 0
    async with http.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            tally.refused += 1
            return
        async for line in response.content:
            if not line.startswith(DATA) or DONE in line or b'"content"' not in line:
                continue
            now = time.perf_counter()
            (tally.gaps if seen else tally.firsts).append(now - last)
            last, seen = now, seen + 1
    tally.tokens += seen
    tally.answered += seen > 0 and sent > 0


def _since(bench: Bench, name: str, before: Usage) -> tuple[float, float]:
    now = bench.usage(name)
    return now.at - before.at, now.cpu - before.cpu


def _summary(tally: Tally) -> dict[str, float]:
    return {
        "answered": tally.answered,
        "refused": tally.refused,
        "tokens_read": tally.tokens,
        "first_token_p95_ms": _percentile(tally.firsts),
        "between_tokens_p95_ms": _percentile(tally.gaps),
    }


def _percentile(seconds: list[float], share: float = 0.95) -> float:
    if not seconds:
        return 0.0
    return 1000 * sorted(seconds)[min(len(seconds) - 1, int(share * len(seconds)))]
