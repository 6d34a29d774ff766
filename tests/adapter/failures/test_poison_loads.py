"""Models whose load crashes every engine that starts it."""

import asyncio
import unittest

from tests.adapter.cover.test_documents import MODEL
from tests.adapter.failures.test_poison_requests import (
    QUARANTINE_CRASHES,
    PoisonedFleet,
)

MODEL_NAME = MODEL["name"]
#: Engines restart after a second, so this is enough for six more loads at two engines.
SECONDS = 8.0


class TestPoisonLoad(unittest.IsolatedAsyncioTestCase):
    async def test_it_ends_no_more_than_three_engines(self):
        async with PoisonedFleet() as fleet:
            fleet.configure()
            for number in range(2):
                host = f"127.0.0.{number + 2}"
                replica = await fleet.replica(host, f"i-{number}", "llm")
                replica.on_disk.add(MODEL_NAME)
                replica.poison_models.add(MODEL_NAME)
                replica.load_s = 1.0
                replica.on_start = fleet.relist_callback(replica)
                await fleet.agent(f"a{number}", replica)
            entry = await fleet.entry("e0")
            await fleet.wait_ready(entry)
            loop = asyncio.get_running_loop()
            end = loop.time() + SECONDS
            while loop.time() < end:
                await fleet.status(entry, b"sound", "s-1")
                await asyncio.sleep(0.2)
            self.assertLessEqual(fleet.crashes(), QUARANTINE_CRASHES)
