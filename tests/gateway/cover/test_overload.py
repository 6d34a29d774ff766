"""Which fraction of new connections is rejected under overload."""

import unittest

from bambootiller_core.gateway.overload import (
    BUSY_S,
    MAX_REJECTED_FRACTION,
    SUSTAINED_TICKS,
    Overload,
)


class TestOverload(unittest.TestCase):
    def setUp(self):
        self.overload = Overload()

    def ticks(self, count, late_s):
        for _ in range(count):
            self.overload.tick(late_s)

    def test_a_pause_rejects_nobody(self):
        """An instance that resumed after a suspension rejected all callers."""
        self.ticks(1, 8.0)
        self.ticks(5, 0.0)
        self.ticks(SUSTAINED_TICKS - 1, 2 * BUSY_S)
        self.assertEqual(self.overload.rejected_fraction, 0.0)
        self.assertTrue(self.overload.is_ready)

    def test_sustained_overload_rejects_more_and_more(self):
        self.ticks(SUSTAINED_TICKS, 2 * BUSY_S)
        first = self.overload.rejected_fraction
        self.assertGreater(first, 0.0)
        self.ticks(4, 2 * BUSY_S)
        self.assertGreater(self.overload.rejected_fraction, first)
        self.ticks(40, 2 * BUSY_S)
        self.assertEqual(self.overload.rejected_fraction, MAX_REJECTED_FRACTION)
        self.assertFalse(self.overload.is_ready)

    def test_rejection_ends_with_the_overload(self):
        self.ticks(40, 2 * BUSY_S)
        self.ticks(40, 0.0)
        self.assertEqual(self.overload.rejected_fraction, 0.0)
