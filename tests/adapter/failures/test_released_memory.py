"""What callers hold is released, however their connections end."""

import asyncio
import random
import unittest

from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.served_entry import ServedEntry, request_bytes

CALLERS = 30
STEPS = 6
CHUNKED = request_bytes(
    "r-1", body=b"", content_length=None, transfer_encoding="chunked"
)
#: What a caller may send next, whatever it has sent before.
PIECES = (
    request_bytes("r-1"),
    request_bytes("r-1") * 5,
    request_bytes("r-1", content_length=900, body=b"short"),
    request_bytes("r-1", content_length=1 << 30),
    request_bytes("r-1", path="/absent/x"),
    request_bytes("r-1")[:40],
    CHUNKED + b"5\r\nhello\r\n",
    CHUNKED + b"5\r\nhello\r\n0\r\nX-A: b\r\n\r\n",
    b"x" * 500,
    b"\r\n",
)


class SmallEntry(ServedEntry):
    memory_bytes = 400_000
    max_connections = 12


class TestRelease(unittest.IsolatedAsyncioTestCase):
    """Guards against what ended callers held being counted forever, until the entry
    refuses everyone."""

    async def act(self, entry, rng):
        caller = await entry.connect()
        for _ in range(rng.randrange(STEPS)):
            caller.send(rng.choice(PIECES))
            await asyncio.sleep(rng.choice((0.0, 0.001, 0.05)))
        if rng.random() < 0.3:
            caller.writer.transport.abort()
        else:
            caller.close()

    async def check(self, seed):
        rng = random.Random(seed)
        entry = SmallEntry()
        entry.configure(**{"timeout-ms": 400})
        replica = await entry.add(StandinReplica("i-1", "plain"))
        await entry.serve()
        try:
            await asyncio.gather(*(self.act(entry, rng) for _ in range(CALLERS)))
            replica.server.pause()
            await asyncio.gather(*(self.act(entry, rng) for _ in range(CALLERS)))
            replica.server.resume()
            async with asyncio.timeout(20.0):
                while entry.caller_connections.count or entry.front.under_way:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.02)
            memory = entry.context.caller_memory
            self.assertEqual((memory.total, set(memory.held.values())), (0, {0}))
            self.assertEqual(memory._holds, {})
        finally:
            await entry.close()

    async def test_random_callers(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                await self.check(seed)
