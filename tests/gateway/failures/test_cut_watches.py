"""Backend servers that leave while watches of the store end or calls of it fail."""

import asyncio
import unittest
from types import SimpleNamespace

from bambootiller.gateway.gateway_state import GatewayState, StoreWatcher
from bambootiller.gateway.ports import Bounds
from bambootiller_core.ports import Unavailable
from bambootiller_standins.testing import eventually
from tests.gateway.common.document_exchange import PREFIX, Directory, Store

KEY = f"{PREFIX}b1"
BOUNDS = Bounds(heartbeat_s=10.0, contact_s=30.0)
#: Shorter and longer than what makes a registration expire. Seconds.
SHORT_OUTAGE_S, LONG_OUTAGE_S = 5.0, 25.0


class CutKeyValue:
    """A key-value service that cuts each watch after ``cut_after_s``, and answers lists
    unless it is away."""

    def __init__(self, store):
        self.store = store
        self.cut_after_s = 0.3
        self.end = Unavailable("the connection was closed")
        self.is_away = False
        self.refused = 0

    async def get_prefix(self, prefix):
        if self.is_away:
            self.refused += 1
            return Unavailable("down")
        return self.store.list()

    async def watch(self, prefix, revision):
        await asyncio.sleep(self.cut_after_s)
        yield self.end


class TestCutWatches(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = Store()
        self.store.put(KEY, b"m0")
        self.kv = CutKeyValue(self.store)
        self.skipped_s = 0.0
        events = SimpleNamespace(emit=lambda line: None)
        self.state = GatewayState(
            Directory(), events, self.clock, bounds=lambda: BOUNDS
        )
        watcher = StoreWatcher(
            self.kv, self.state, events, self.clock, bounds=lambda: BOUNDS
        )
        watching = asyncio.ensure_future(watcher.follow(PREFIX))
        self.addCleanup(watching.cancel)
        await eventually(self.is_used, "the backend server is listed")

    def clock(self):
        return asyncio.get_running_loop().time() + self.skipped_s

    def is_used(self):
        return self.state.fleet.get("b1") is not None

    async def is_dropped_in_time(self):
        """Whether the backend server is dropped within the bound after its removal."""
        until = self.clock() + BOUNDS.leaving_s
        while self.clock() < until and self.is_used():
            self.state.fleet.sweep(self.clock())
            await asyncio.sleep(0.02)
        return not self.is_used()

    async def go_away(self, seconds):
        self.kv.is_away = True
        calls = self.kv.refused
        await eventually(lambda: self.kv.refused > calls, "a call was refused")
        self.skipped_s += seconds
        self.kv.is_away = False

    async def test_a_removed_backend_server_is_dropped_though_watches_are_cut(self):
        """A replica that had left was used for as long as the store cut watches: each
        cut counted as an outage, in which a registration may expire."""
        await asyncio.sleep(3 * self.kv.cut_after_s)
        self.store.remove(KEY)
        self.assertTrue(await self.is_dropped_in_time())

    async def test_no_registration_expires_in_a_short_outage(self):
        """A replica that had left was used for longer than allowed after one call of
        the store had been refused."""
        await self.go_away(SHORT_OUTAGE_S)
        self.store.remove(KEY)
        self.assertTrue(await self.is_dropped_in_time())

    async def test_a_registration_may_expire_in_a_long_outage(self):
        """All live backend servers were dropped when the store came back."""
        self.store.remove(KEY)
        await self.go_away(LONG_OUTAGE_S)
        self.assertFalse(await self.is_dropped_in_time())

    async def test_a_watch_that_is_not_answered_is_an_outage(self):
        """Live backend servers were dropped after an outage that ended before the next
        call of the store."""
        self.kv.end = Unavailable("no answer", timed_out=True)
        self.skipped_s += LONG_OUTAGE_S
        self.store.remove(KEY)
        self.assertFalse(await self.is_dropped_in_time())
