"""What waking a model costs at the key-value service: slots at rest need no call.

Two models take turns on one backend server that has room for one of them, so that each
request is a cold start.
"""

from __future__ import annotations

import asyncio
import json

import aiohttp

from bambootiller_core.documents import TEMPLATES_PREFIX, Document
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.capacity._bench import Bench, until
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._requests import Tally, ask
from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.harness import Fleet

MODELS = ("first", "second")
TURNS = 5
GIB = 2**30
READY_SECONDS = 60.0
PAUSE_SECONDS = 2.0


@measurement("wakes")
async def wakes(effort: Effort) -> Figures:
    """Calls of the key-value service for each cold start, the first ones apart."""
    figures = Figures()
    async with Fleet() as fleet, aiohttp.ClientSession() as http:
        bench = Bench(fleet)
        await _start(fleet, bench)
        for model in MODELS:
            await until(
                lambda: _answered(fleet, http, model),
                f"the first answer of {model}",
                READY_SECONDS,
            )
        rows = []
        for turn in range(TURNS * len(MODELS)):
            await asyncio.sleep(PAUSE_SECONDS)
            rows.append(await _wake(fleet, bench, http, MODELS[turn % len(MODELS)]))
        await bench.close()
    figures.values = {"wakes": rows}
    return figures


async def _wake(
    fleet: Fleet, bench: Bench, http: aiohttp.ClientSession, model: str
) -> dict[str, float]:
    orders = await _orders(fleet)
    before = await bench.key_value()
    answered = await _answered(fleet, http, model)
    after = await bench.key_value()
    return {
        "answered": answered,
        "orders": await _orders(fleet) - orders,
        "reads": after["reads"] - before["reads"],
        "writes": after["writes"] - before["writes"],
    }


async def _answered(fleet: Fleet, http: aiohttp.ClientSession, model: str) -> bool:
    tally = Tally()
    await ask(fleet, http, 2, tally, model)
    return tally.answered == 1


async def _orders(fleet: Fleet) -> int:
    """How many orders the engine has taken: an unload and a load for each wake."""
    return len((await fleet.counts("engine", "/state"))["orders"])


async def _start(fleet: Fleet, bench: Bench) -> None:
    await fleet.start_engine("engine", EngineConfig(memory_total=3 * GIB))
    await asyncio.gather(
        fleet.start_entry("entry-1", zone="az-1"),
        fleet.start_agent(
            "agent-1",
            zone="az-1",
            engine="engine",
            env={"BAMBOOTILLER_GUARD_PORT": "0"},
        ),
    )
    customer = state.customer(0)
    form = {
        "customer": customer,
        "version": 1,
        "models": {
            name: {"replicas": 1, "memory_bytes": "2GiB", "load_ms": 500}
            for name in MODELS
        },
        "callers": {"caller": {"key_sha256": state.key_digest(0, 0)}},
        # Idle memory costs nothing here, so a model goes only when the other needs it.
        "weights": {"cold_second": 1.0, "idle_second": 0.0},
    }
    await bench.put(Document(TEMPLATES_PREFIX + customer, 0, json.dumps(form).encode()))
