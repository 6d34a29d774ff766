"""Requests that end each engine that runs them, and come again at any entry."""

import asyncio
import unittest

import aiohttp

from tests.adapter.common.fleet import Fleet, until
from tests.adapter.cover.test_documents import MODEL

MODEL_NAME = MODEL["name"]
POISON = b"ends the engine"
#: The crash after which a request that was at each is to reach no engine any more.
MOST_CRASHES = 3
#: The pause between two tries of a caller: entries have told each other by then. An
#: engine is down for longer, so tries meet different engines. Seconds.
PAUSE_S = 0.3


class PoisonedFleet(Fleet):
    """Entries before engines that a request with the body :data:`POISON` ends."""

    def __init__(self):
        super().__init__()
        self.entries = []

    async def begin(self, entries=2, engines=4):
        """Start all of it; each engine holds the model."""
        self.configure()
        for number in range(engines):
            host = f"127.0.0.{number + 2}"
            replica = await self.replica(host, f"i-{number}", "llm", (MODEL_NAME,))
            replica.on_disk.add(MODEL_NAME)
            replica.poison = POISON
            replica.on_start = self._lists_again(replica)
            await self.agent(f"a{number}", replica)
        for number in range(entries):
            self.entries.append(await self.entry(f"e{number}"))
        for entry in self.entries:
            await self.wait_ready(entry)
        for entry in self.entries:
            await self.wait_served(entry)

    async def wait_served(self, entry):
        """Wait until the entry has calls of the model answered."""

        async def served():
            status, _ = await self.call(entry, MODEL_NAME, body=b"first")
            return status == 200

        await until(served, f"{entry.form['node-name']} serves")

    async def tries(self, count, entries, body=POISON):
        """Call ``count`` times, at one entry after the other; returns the statuses."""
        statuses = []
        for number in range(count):
            entry = entries[number % len(entries)]
            statuses.append(await self.status(entry, body, f"p-{number}"))
            await asyncio.sleep(PAUSE_S)
        return statuses

    async def status(self, entry, body, attempt):
        """The status of one call, None if it was cut."""
        try:
            status, _ = await self.call(entry, MODEL_NAME, attempt=attempt, body=body)
        except aiohttp.ClientError:
            return None
        return status

    def poison_runs(self):
        """How many runs of it have begun."""
        return sum(
            run.body == POISON
            for replica in self.replicas.values()
            for run in replica.runs
        )

    def crashes(self):
        """How often an engine has ended."""
        return sum(replica.crashes for replica in self.replicas.values())

    def _lists_again(self, replica):
        def put():
            self.store.put(f"servers/{replica.instance}", replica.entry())

        return put


class TestPoisonRequest(unittest.IsolatedAsyncioTestCase):
    async def test_it_reaches_no_engine_after_its_third_crash(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            statuses = await fleet.tries(12, fleet.entries)
            self.assertLessEqual(fleet.poison_runs(), MOST_CRASHES, statuses)
            self.assertEqual(set(statuses[2:]), {503}, statuses)
            self.assertEqual(fleet.crashes(), MOST_CRASHES)
