"""Numbers of any size and documents of any depth, of engines, callers and records."""

import json
import unittest

from bambootiller_platform_standins.httpd import Reply, Server

from bambootiller.gateway.backend_connection import _Answer, _reuse_time_s
from bambootiller.gateway.ports import Incoming, ReportFailed, Unreadable
from bambootiller_core.gateway import quarantine_record, quota_record
from bambootiller_core.gateway.store_permit_record import StorePermitRecord
from bambootiller_platform.dialect import PlatformDialect
from bambootiller_platform.engine import PlatformEngine

DEEPLY_NESTED = b"[" * 100_000
LARGE = (2**31, 2**63, 10**30, 10**400)
KEY = f"{quarantine_record.PREFIX}f1"
RUN = {"instance": "b1", "started_ms": 5, "progressed": False, "lost_at": 90.0}
#: More digits than Python converts to a number.
MANY_DIGITS = b"9" * 5000


class TestReports(unittest.IsolatedAsyncioTestCase):
    async def read(self, **fields):
        async def handle(request):
            body = json.dumps({"models": [], **fields}).encode()
            return Reply(headers={}, pieces=(body,))

        server = Server(handle)
        await server.start("127.0.0.2")
        engine = PlatformEngine(server.address, "a1")
        report = await engine.report()
        await engine.close()
        await server.stop()
        return report

    async def test_a_count_that_no_message_can_carry_is_not_accepted(self):
        """The agent's streams to all entries ended with each report."""
        for name in ("running", "queued"):
            for number in (-1, *LARGE):
                with self.subTest(name=name, number=str(number)[:40]):
                    report = await self.read(**{name: number})
                    self.assertIsInstance(report, ReportFailed)

    async def test_a_start_time_that_no_message_can_carry_is_not_accepted(self):
        """The agent's streams to all entries ended with each report."""
        for name in ("born", "seq"):
            for number in (-1, *LARGE[1:]):
                with self.subTest(name=name, number=str(number)[:40]):
                    report = await self.read(**{name: number})
                    self.assertIsInstance(report, ReportFailed)

    async def test_the_reason_is_short(self):
        """Each of many faults in a report was written to the log."""
        report = await self.read(models=[7] * 10_000)
        self.assertLess(len(report.detail), 200)


class TestHeaders(unittest.TestCase):
    def read(self, *headers):
        scope = {
            "method": "GET",
            "raw_path": b"/a/",
            "query_string": b"",
            "headers": [(b"host", b"h"), *headers],
        }
        return PlatformDialect().read(scope)

    def test_token_counts_that_overflow_together_are_read(self):
        """A caller got a 500 for numbers whose sum is infinite."""
        incoming = self.read((b"x-token-usage", b"1e308,1e308"), (b"x-model", b"m0"))
        self.assertIsInstance(incoming, Incoming)

    def test_an_event_id_of_many_digits_is_rejected(self):
        """A caller got a 500 for an id that can't be converted."""
        self.assertIsInstance(self.read((b"last-event-id", MANY_DIGITS)), Unreadable)

    def test_a_keep_alive_time_of_many_digits_is_read(self):
        """The answer of a backend server was lost to the time for which its connection
        may be reused."""
        for digits in (MANY_DIGITS, b"9" * 400):
            answer = _Answer()
            answer.headers = [(b"keep-alive", b"timeout=" + digits)]
            self.assertGreater(_reuse_time_s(answer), 0)


class TestRecords(unittest.TestCase):
    """A record of another writer ended each process that read it, at each start."""

    def test_a_quarantine_record_is_unreadable(self):
        for document in (
            DEEPLY_NESTED,
            *[json.dumps([{**RUN, "lost_at": number}]) for number in LARGE[3:]],
            *[json.dumps([{**RUN, "started_ms": number}]) for number in LARGE[1:]],
            json.dumps([{**RUN, "started_ms": float("inf")}]),
            json.dumps([{**RUN, "instance": "\ud800"}]),
        ):
            with self.subTest(document=document[:80]), self.assertRaises(ValueError):
                quarantine_record.decode(KEY, document, 100.0, 100.0)

    def test_a_quota_record_is_unreadable(self):
        for document in (
            DEEPLY_NESTED,
            json.dumps({"e1": ["a", {"c1": 10**400}]}).encode(),
        ):
            with self.assertRaises(quota_record.UnreadableRecord):
                quota_record.decode(document)

    def test_a_permit_record_is_unreadable(self):
        self.assertIsNone(StorePermitRecord.decode(DEEPLY_NESTED))
