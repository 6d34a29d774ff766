"""A short run of the soak."""

import unittest

from tests.soak.run import soak

SECONDS = 8.0


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_promises_are_kept_while_faults_come_and_go(self):
        report = await soak(11, SECONDS, "out/soak")
        self.assertEqual(report.broken, [], report)
        self.assertGreater(report.answered, 20, report)

    async def test_a_request_that_ends_engines_is_kept_from_them(self):
        report = await soak(11, SECONDS, "out/soak", ("poison",), engines=3)
        self.assertEqual(report.broken, [], report)
