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

    async def test_a_limit_holds_among_entries_that_start_and_freeze(self):
        faults = ("limit", "kill", "pause", "store")
        report = await soak(21, SECONDS, "out/soak", faults, engines=3)
        self.assertEqual(report.broken, [], report)

    async def test_a_bad_part_is_kept_out_among_them_too(self):
        faults = ("poison part", "kill", "pause", "store")
        report = await soak(22, SECONDS, "out/soak", faults, engines=4)
        self.assertEqual(report.broken, [], report)

    async def test_silent_replicas_that_go_on_cost_no_answer(self):
        """Streams not begun were given up as their engine's agent reported silence."""
        report = await soak(500, 12.0, "out/soak", ("config", "silence"))
        self.assertEqual(report.broken, [], report)

    async def test_a_replica_that_restarts_while_it_leaves_gets_no_calls(self):
        """The report of its agent undid its leave."""
        faults = ("leave and restart",)
        report = await soak(700, SECONDS, "out/soak", faults, engines=3)
        self.assertEqual(report.broken, [], report)
