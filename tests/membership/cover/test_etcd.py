"""The key-value port over the JSON gateway: what each failure is taken for."""

import asyncio
import unittest
import unittest.mock
from collections.abc import Callable

import aiohttp
from aiohttp import web

from bambootiller.kv import etcd
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller_core.ports import (
    Changed,
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Put,
    Record,
    Unavailable,
    Unknown,
)
from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.testing import eventually

KEY = "/bambootiller/templates/forge"
PREFIX = "/bambootiller/templates/"
#: Nothing listens on the discard port of loopback.
REFUSING = "http://127.0.0.1:9"


class EtcdTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = KeyValueService()
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.kv = self.client(self.service.url)

    def client(self, *urls: str) -> EtcdKeyValue:
        kv = EtcdKeyValue(urls, None, None)
        self.addAsyncCleanup(kv.close)
        return kv

    async def order(self, **fault: object) -> None:
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self.service.url}/control", json=fault)

    async def put(self, value: bytes, key: str = KEY) -> int:
        outcome = await self.kv.transact([], [Put(key, value)])
        return outcome.revision


class TestCalls(EtcdTestCase):
    async def test_a_record_is_written_read_and_deleted(self):
        self.assertEqual((await self.kv.get(KEY)).records, ())
        revision = await self.put(b"\x00\xff")
        found = await self.kv.get(KEY)
        record = Record(KEY, b"\x00\xff", revision, revision)
        self.assertEqual(found, Found((record,), revision))
        gone = await self.kv.transact([Compare(KEY, revision)], [Delete(KEY)])
        self.assertIsInstance(gone, Committed)
        self.assertEqual((await self.kv.get(KEY)).records, ())

    async def test_a_compare_that_fails_gives_the_present_records(self):
        revision = await self.put(b"1")
        outcome = await self.kv.transact([Compare(KEY, 0)], [Put(KEY, b"2")])
        record = Record(KEY, b"1", revision, revision)
        self.assertEqual(outcome, Conflict((record,), revision))

    async def test_a_prefix_reads_its_own_keys_only(self):
        await self.put(b"1")
        await self.put(b"2", key="/bambootiller/templatesX")
        found = await self.kv.get_prefix(PREFIX)
        self.assertEqual([record.key for record in found.records], [KEY])


class TestFailures(EtcdTestCase):
    async def test_a_refused_connection_had_no_effect(self):
        kv = self.client(REFUSING)
        self.assertIsInstance(await kv.get(KEY), Unavailable)
        outcome = await kv.transact([], [Put(KEY, b"1")])
        self.assertIsInstance(outcome, Unavailable)

    async def test_the_next_endpoint_is_tried_after_a_refusal(self):
        kv = self.client(REFUSING, self.service.url)
        outcome = await kv.transact([Compare(KEY, 0)], [Put(KEY, b"1")])
        self.assertIsInstance(outcome, Committed)
        self.assertIsInstance(await kv.get(KEY), Found)

    async def test_a_lost_answer_of_a_write_is_unknown_and_not_sent_again(self):
        kv = self.client(self.service.url, self.service.url)
        await self.order(mode="lose_answers", count=1)
        outcome = await kv.transact([Compare(KEY, 0)], [Put(KEY, b"1")])
        self.assertIsInstance(outcome, Unknown)
        found = await kv.get(KEY)
        self.assertEqual(found.records[0].value, b"1")

    async def test_an_outage_is_unavailable_for_reads(self):
        await self.order(mode="down")
        self.assertIsInstance(await self.kv.get_prefix(PREFIX), Unavailable)

    async def test_the_answer_tells_whether_a_write_was_turned_away(self):
        turned_away = [
            (429, "etcdserver: too many requests"),
            (400, "etcdserver: request is too large"),
            (503, "etcdserver: no leader"),
        ]
        open_ended = [
            (503, "etcdserver: request timed out"),
            (504, "context deadline exceeded"),
            (500, ""),
            (200, "not json"),
            (200, "null"),
        ]
        for status, text in turned_away + open_ended:
            with self.subTest(status=status, text=text):
                outcome = await self._transact_at(status, text)
                known = (status, text) in turned_away
                self.assertIsInstance(outcome, Unavailable if known else Unknown)

    async def test_a_login_is_made_once_and_its_token_sent(self):
        seen = []

        async def answer(request: web.Request) -> web.Response:
            seen.append((request.path, request.headers.get("Authorization")))
            if request.path.endswith("authenticate"):
                return web.json_response({"token": "t-1"})
            return web.json_response({"header": {"revision": "3"}})

        kv = EtcdKeyValue((await self._server(answer),), "reader", "secret")
        self.addAsyncCleanup(kv.close)
        for _ in range(2):
            self.assertEqual(await kv.get(KEY), Found((), 3))
        ranges = [("/v3/kv/range", "t-1")] * 2
        self.assertEqual(seen, [("/v3/auth/authenticate", None), *ranges])

    async def _transact_at(self, status: int, text: str):
        async def answer(request: web.Request) -> web.Response:
            return web.Response(status=status, text=text)

        kv = self.client(await self._server(answer))
        return await kv.transact([], [Put(KEY, b"1")])

    async def _server(self, answer: Callable) -> str:
        app = web.Application()
        app.router.add_post("/{path:.*}", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return f"http://127.0.0.1:{runner.addresses[0][1]}"


class TestWatch(EtcdTestCase):
    async def test_changes_come_from_the_asked_revision_on(self):
        first = await self.put(b"1")
        second = await self.put(b"2")
        batches = self.kv.watch(PREFIX, first + 1)
        expected = Changed(Record(KEY, b"2", second, first))
        self.assertEqual(await self._next(batches), (expected,))
        await self.kv.transact([], [Delete(KEY)])
        (change,) = await self._next(batches)
        self.assertTrue(change.deleted)
        await batches.aclose()

    async def test_a_compacted_start_ends_the_watch(self):
        first = await self.put(b"1")
        await self.put(b"2")
        last = await self.put(b"3")
        self.service.store.compact(last)
        batches = self.kv.watch(PREFIX, first)
        self.assertIsInstance(await self._next(batches), Unavailable)
        with self.assertRaises(StopAsyncIteration):
            await self._next(batches)

    async def test_a_cut_connection_ends_the_watch(self):
        batches = self.kv.watch(PREFIX, 1)
        await self.put(b"1")
        await self._next(batches)
        await self.order(mode="down")
        self.assertIsInstance(await self._next(batches), Unavailable)

    async def test_a_quiet_watch_is_opened_anew_and_misses_nothing(self):
        """Symptom: a template is changed, and a watcher never hears of it.

        Sequence: the watch's connection dies without a sign, as when a firewall forgets
        it; the change is written; the watcher waits on the dead connection. Cause: a
        watch has no answer that is due. So a quiet one is opened anew from where it
        stood, which the count of opened watches shows here.
        """
        with unittest.mock.patch.object(etcd, "WATCH_QUIET_SECONDS", 0.05):
            batches = self.kv.watch(PREFIX, 1)
            waiting = asyncio.ensure_future(self._next(batches))
            counts = self.service.counts
            await eventually(lambda: counts.watches_opened >= 3)
            revision = await self.put(b"1")
            (change,) = await waiting
        self.assertEqual(change.record.mod_revision, revision)
        await batches.aclose()

    async def _next(self, batches):
        return await asyncio.wait_for(anext(batches), 30)
