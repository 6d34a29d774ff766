"""A short run of the soak."""

import unittest

from tests.soak.run import soak

SECONDS = 8.0


class TestSoak(unittest.IsolatedAsyncioTestCase):
    async def test_promises_are_kept_while_faults_come_and_go(self):
        report = await soak(11, SECONDS, "out/soak")
        self.assertEqual(report.broken, [], report)
        self.assertGreater(report.answered, 20, report)
