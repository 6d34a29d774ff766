"""The client of the platform's store."""

import asyncio
import unittest

from bambootiller_platform_standins.store import FailureMode, StandinStore

from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Delete,
    Put,
    Unavailable,
    Unknown,
)
from bambootiller_platform.store import PlatformKeyValue


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StandinStore()
        await self.store.server.start()
        self.kv = PlatformKeyValue(f"http://{self.store.server.address}")

    async def asyncTearDown(self):
        await self.kv.close()
        await self.store.server.stop()


class TestReads(StoreTestCase):
    async def test_an_absent_key_has_no_records(self):
        self.assertEqual((await self.kv.get("k")).records, ())

    async def test_a_key_comes_with_its_revision(self):
        revision = self.store.put("k", b"\x00v")
        (record,) = (await self.kv.get("k")).records
        self.assertEqual((record.value, record.mod_revision), (b"\x00v", revision))

    async def test_a_prefix_of_several_pages_is_read_completely(self):
        for number in range(1100):
            self.store.put(f"p/{number:04}", b"v")
        self.store.put("q", b"v")
        found = await self.kv.get_prefix("p/")
        self.assertEqual(len({record.key for record in found.records}), 1100)


class TestWrites(StoreTestCase):
    async def test_a_transaction_whose_compare_holds_is_committed(self):
        done = await self.kv.transact([Compare("k", 0)], [Put("k", b"v")])
        self.assertIsInstance(done, Committed)
        done = await self.kv.transact([Compare("k", done.revision)], [Delete("k")])
        self.assertIsInstance(done, Committed)
        self.assertEqual((await self.kv.get("k")).records, ())

    async def test_a_failed_compare_returns_the_current_records(self):
        self.store.put("k", b"other")
        done = await self.kv.transact([Compare("k", 0)], [Put("k", b"v")])
        self.assertIsInstance(done, Conflict)
        self.assertEqual(done.records[0].value, b"other")

    async def test_a_rejected_write_is_unavailable(self):
        self.store.failure_mode = FailureMode.BUSY
        done = await self.kv.transact([], [Put("k", b"v")])
        self.assertIsInstance(done, Unavailable)

    async def test_a_lost_response_leaves_the_outcome_unknown(self):
        self.store.failure_mode = FailureMode.DROPS_RESPONSES
        done = await self.kv.transact([], [Put("k", b"v")])
        self.assertIsInstance(done, Unknown)
        self.store.failure_mode = FailureMode.NONE
        self.assertEqual(len((await self.kv.get("k")).records), 1)


class TestWatches(StoreTestCase):
    async def test_changes_arrive_in_order_from_the_given_revision(self):
        found = await self.kv.get_prefix("p/")
        self.store.put("p/a", b"1")
        self.store.put("q", b"1")
        self.store.remove("p/a")
        batch = await anext(self.kv.watch("p/", found.revision + 1))
        self.assertEqual([change.deleted for change in batch], [False, True])

    async def test_a_waiting_watch_receives_a_change(self):
        found = await self.kv.get_prefix("p/")
        waiting = asyncio.ensure_future(anext(self.kv.watch("p/", found.revision + 1)))
        await asyncio.sleep(0.05)
        self.store.put("p/a", b"1")
        self.assertEqual((await waiting)[0].record.key, "p/a")

    async def test_a_compacted_history_ends_the_watch(self):
        """Symptom: a process keeps an outdated configuration.

        The store compacts its history. A watch that resumes from an older revision
        misses the changes in between.
        """
        found = await self.kv.get_prefix("p/")
        self.store.put("p/a", b"1")
        self.store.compact_history()
        batch = await anext(self.kv.watch("p/", found.revision + 1))
        self.assertIsInstance(batch, Unavailable)
