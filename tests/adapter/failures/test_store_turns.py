"""Turns of the weight store, of which there is one at a time."""

import asyncio
import unittest

from bambootiller_platform_standins.weights import StandinWeightStore

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, SERVICE

ENGINES = 5
MODELS = tuple([f"m{number}" for number in range(6)])
#: What the configuration states for a load, so that the store is taken to serve one at
#: a time, and how long it takes here. Seconds.
STATED_S, LOAD_S = 14.0, 2.5
CALL_S = 0.3
#: One load more than the store is known to serve is tried once.
MOST_TRIED = 1


class TurnsFleet(Fleet):
    """Engines without any copy, before a store that serves one load at a time."""

    def __init__(self):
        super().__init__()
        self.weights = StandinWeightStore(full_speed_loads=1, load_s=LOAD_S)

    async def begin(self):
        models = [
            {**MODEL, "name": name, "load-s": STATED_S, "adapters": 0}
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

    async def ask_for_all(self, entry, pause_s=CALL_S):
        """Callers of all models, each of whom is refused and comes back."""
        number = 0
        while True:
            for model in MODELS:
                number += 1
                asyncio.create_task(self.call(entry, model, attempt=f"r-{number}"))
            await asyncio.sleep(pause_s)

    def under_way(self):
        return [load for load in self.weights.loads if load.ended is None]

    def loading(self, load):
        """The replica that carries out the load."""
        for replica in self.replicas.values():
            if replica.weight_load is load:
                return replica
        raise AssertionError(f"no replica loads {load.model}")

    def begun_beside_others(self):
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


class TestLoadAtAnEngineListedNoMore(unittest.IsolatedAsyncioTestCase):
    """Two loads began beside that of an engine which the registry had dropped and which
    worked on; they took twice and three times their time."""

    async def test_its_turn_is_not_given_away(self):
        async with TurnsFleet() as fleet:
            entry = await fleet.begin()
            asking = asyncio.create_task(fleet.ask_for_all(entry))

            async def two_under_way():
                return len(fleet.under_way()) == 2

            await wait_until(two_under_way, "a load is tried beside the first")
            first, tried = fleet.under_way()
            dropped = fleet.loading(tried)
            fleet.store.remove(f"servers/{dropped.instance}")

            async def over():
                return tried.ended is not None

            await wait_until(over, "the load at the dropped engine is over")
            asking.cancel()
            beside = fleet.begun_beside_others()
            self.assertLessEqual(len(beside), MOST_TRIED, beside)


class TestEngineThatIsGone(unittest.IsolatedAsyncioTestCase):
    """The store served nobody for seconds after an engine had ended in its load: the
    turn was kept until the registry dropped the engine, or the engine was back."""

    AWAY_S = 6.0
    #: Too few callers for one load more than the store is known to serve. Seconds.
    CALL_S = 2.0
    #: As long as the store may serve nobody between two loads while somebody waits.
    IDLE_S = 2.0

    async def test_its_turn_is_free_at_once(self):
        async with TurnsFleet() as fleet:
            entry = await fleet.begin()
            asking = asyncio.create_task(fleet.ask_for_all(entry, self.CALL_S))

            async def one_under_way():
                return len(fleet.under_way()) == 1

            await wait_until(one_under_way, "a load is under way")
            (load,) = fleet.under_way()
            replica = fleet.loading(load)
            replica.down_s = self.AWAY_S
            crash = asyncio.create_task(replica.crash())

            async def another():
                return any(other is not load for other in fleet.under_way())

            await wait_until(another, "another load is under way", pause_s=0.02)
            idle_s = min(other.began for other in fleet.under_way()) - load.ended
            asking.cancel()
            await crash
            self.assertLessEqual(idle_s, self.IDLE_S)
