"""Callers that make an entry hold more connections than its machine has descriptors."""

import asyncio

from tests.misbehaving.common.crowd import head
from tests.misbehaving.common.entries import MisbehavingCallersTestCase

CROWD = 600


class TestConnections(MisbehavingCallersTestCase):
    max_descriptors = 400

    async def connect_crowd(self, data):
        callers = []
        for _ in range(CROWD):
            caller = await self.connect()
            await caller.send(data)
            callers.append(caller)
        await asyncio.sleep(0.5)
        return callers

    async def test_idle_connections(self):
        """Guards against idle connections taking the descriptors of everyone else."""
        await self.assert_survives(await self.connect_crowd(b""))

    async def test_unfinished_heads(self):
        """Guards against the same by connections whose requests never get complete."""
        await self.assert_survives(await self.connect_crowd(head()[:-2]))

    async def test_unfinished_bodies(self):
        """Guards against the same by bodies that never get complete."""
        await self.assert_survives(
            await self.connect_crowd(head(content_length=2) + b"x")
        )
