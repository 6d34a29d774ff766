"""Permits to load from a weight store that serves one load at a time."""

import asyncio
import unittest

from bambootiller_platform_standins.weights import StandinWeightStore

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, SERVICE

ENGINES = 5
MODELS = tuple([f"m{number}" for number in range(6)])
#: The configured duration of a load, chosen so that the store's concurrency is assumed
#: to be 1, and the actual duration in these tests. Seconds.
CONFIGURED_LOAD_S, LOAD_S = 14.0, 2.5
CALL_S = 0.3
#: One load beyond the store's known concurrency is started as a probe.
MAX_PROBES = 1


class StorePermitFleet(Fleet):
    """Engines without cached weights, and a store that serves one load at a time."""

    def __init__(self):
        super().__init__()
        self.weights = StandinWeightStore(full_speed_loads=1, load_s=LOAD_S)

    async def begin(self):
        models = [
            {**MODEL, "name": name, "load-s": CONFIGURED_LOAD_S, "adapters": 0}
            for name in MODELS
        ]
        engine = {**SERVICE["engine"], "models": models}
        self.configure(services=[{**SERVICE, "engine": engine}])
        for number in range(ENGINES):
            host = f"127.0.0.{number + 2}"
            replica = await self.replica(host, f"i-{number}", "llm")
            replica.weights = self.weights
            await self.agent(f"a{number}", replica)
        entry = await self.entry("e0")
        await self.wait_ready(entry)
        return entry

    async def call_all_models(self, entry, pause_s=CALL_S):
        """Call all models every ``pause_s`` seconds, as refused callers do."""
        number = 0
        while True:
            for model in MODELS:
                number += 1
                asyncio.create_task(self.call(entry, model, attempt=f"r-{number}"))
            await asyncio.sleep(pause_s)

    def in_progress(self):
        return [load for load in self.weights.loads if load.ended is None]

    def loading(self, load):
        """The replica that runs ``load``."""
        for replica in self.replicas.values():
            if replica.weight_load is load:
                return replica
        raise AssertionError(f"no replica loads {load.model}")

    def started_concurrently(self):
        loads = self.weights.loads
        return [
            load
            for load in loads
            if any(
                other is not load
                and other.began <= load.began
                and (other.ended is None or other.ended > load.began)
                for other in loads
            )
        ]


class TestLoadAtUnlistedEngine(unittest.IsolatedAsyncioTestCase):
    """Failure: the registry dropped an engine that went on loading, and two more loads
    started beside its load; they took twice and three times as long.
    """

    async def test_its_permit_is_not_given_away(self):
        async with StorePermitFleet() as fleet:
            entry = await fleet.begin()
            calling = asyncio.create_task(fleet.call_all_models(entry))

            async def two_in_progress():
                return len(fleet.in_progress()) == 2

            await wait_until(two_in_progress, "a probe load starts beside the first")
            first, probe = fleet.in_progress()
            dropped = fleet.loading(probe)
            fleet.store.remove(f"servers/{dropped.instance}")

            async def has_ended():
                return probe.ended is not None

            await wait_until(has_ended, "the load at the dropped engine is over")
            calling.cancel()
            concurrent = fleet.started_concurrently()
            self.assertLessEqual(len(concurrent), MAX_PROBES, concurrent)


class TestEngineThatIsGone(unittest.IsolatedAsyncioTestCase):
    """Failure: the store was idle for seconds after an engine had crashed in its load,
    because the permit was held until the registry dropped the engine or the engine was
    back.
    """

    DOWN_S = 6.0
    #: The interval of the calls: too few of them to start a probe load. Seconds.
    CALL_S = 2.0
    #: How long the store may be idle between two loads while calls wait. Seconds.
    IDLE_S = 2.0

    async def test_its_turn_is_free_at_once(self):
        async with StorePermitFleet() as fleet:
            entry = await fleet.begin()
            calling = asyncio.create_task(fleet.call_all_models(entry, self.CALL_S))

            async def one_in_progress():
                return len(fleet.in_progress()) == 1

            await wait_until(one_in_progress, "a load is in progress")
            (load,) = fleet.in_progress()
            replica = fleet.loading(load)
            replica.down_s = self.DOWN_S
            crash = asyncio.create_task(replica.crash())

            async def another_in_progress():
                return any(other is not load for other in fleet.in_progress())

            await wait_until(
                another_in_progress, "another load is in progress", pause_s=0.02
            )
            idle_s = min(other.began for other in fleet.in_progress()) - load.ended
            calling.cancel()
            await crash
            self.assertLessEqual(idle_s, self.IDLE_S)
