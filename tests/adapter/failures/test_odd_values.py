"""Numbers of any size and documents of any depth, of engines, callers and records."""

import json
import unittest

from bambootiller_platform_standins.httpd import Reply, Server

from bambootiller.gateway.ports import ReportFailed
from bambootiller_platform.engine import PlatformEngine

LARGE = (2**31, 2**63, 10**30, 10**400)


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
