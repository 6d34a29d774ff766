"""The count of registered agents, over a key-value service in memory."""

import unittest

from bambootiller.gateway.agent_census import HOLDERS_PREFIX, AgentCensus
from bambootiller_core.ports import Put
from tests.common.fakekv import FakeKeyValue


class TestAgentCensus(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.kv = FakeKeyValue()
        self.census = AgentCensus(None, self.kv, lambda: True)

    async def register(self, *names):
        writes = [Put(HOLDERS_PREFIX + name, name.encode()) for name in names]
        await self.kv.transact([], writes)

    async def test_registered_agents_are_counted(self):
        await self.register("a1", "a2")
        await self.census.read()
        self.assertEqual(self.census.count, 2)

    async def test_the_last_count_holds_while_the_service_is_away(self):
        await self.census.read()
        self.assertEqual(self.census.count, 0)
        await self.register("a1")
        self.kv.down = True
        await self.census.read()
        self.assertEqual(self.census.count, 0)
