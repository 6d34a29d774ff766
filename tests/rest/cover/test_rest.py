"""The meter of fleets at rest."""

import unittest

from tests.rest.run import RestingFleet, Row, Taken, slope


class TestFigures(unittest.TestCase):
    def test_a_slope_is_what_one_more_adds(self):
        self.assertAlmostEqual(slope([(1, 0.1), (2, 0.3), (3, 0.5)]), 0.2)

    def test_a_single_size_has_no_slope(self):
        self.assertIsNone(slope([(1, 0.1), (1, 0.3)]))

    def test_a_row_has_the_mean_and_the_highest_peak(self):
        taken = [Taken(0.1, 10, 50), Taken(0.3, 20, 70)]
        row = Row.mean("agent", 1, 2, taken)
        self.assertAlmostEqual(row.cpu_s, 0.2)
        self.assertEqual((row.wakes, row.peak_mb), (15, 70))


class TestRun(unittest.IsolatedAsyncioTestCase):
    async def test_real_programs_are_measured(self):
        async with RestingFleet() as fleet:
            await fleet.grow(1, 1)
            rows = await fleet.measure(0.5)
        self.assertEqual([row.role for row in rows], ["entry", "agent"])
        for row in rows:
            self.assertGreater(row.cpu_s, 0.0)
            self.assertGreater(row.wakes, 0.0)
            self.assertGreater(row.peak_mb, 10.0)
