"""How long a model is kept that nobody uses."""

import unittest

from bambootiller_core.keepalive import KeepAlive
from bambootiller_core.template import Weights
from bambootiller_core.types import ModelKey

KEY = ModelKey("forge", "hints")
WEIGHTS = Weights(cold_second=1.0, idle_second=0.01)


def after_gaps(gaps, keep=None):
    """A keep-alive that has seen idle gaps of these lengths, and the time it is."""
    keep = keep or KeepAlive()
    now = 0.0
    keep.arrived(now, KEY)
    for gap in gaps:
        keep.idle_since(now, KEY)
        now += gap
        keep.arrived(now, KEY)
    keep.idle_since(now, KEY)
    return keep, now


class KeepAliveTest(unittest.TestCase):
    def test_while_nothing_is_known_idling_may_cost_as_much_as_the_cold_start(self):
        keep, now = after_gaps([])
        self.assertAlmostEqual(keep.unload_at(now, KEY, WEIGHTS, 6.0), now + 600.0)

    def test_a_model_that_comes_back_soon_is_kept_for_as_long_as_it_usually_takes(self):
        keep, now = after_gaps([50.0] * 30)
        kept = keep.unload_at(now, KEY, WEIGHTS, 6.0) - now
        self.assertGreaterEqual(kept, 50.0)
        self.assertLess(kept, 120.0)

    def test_a_model_that_comes_back_after_hours_is_unloaded_at_once(self):
        keep, now = after_gaps([14_400.0] * 30)
        self.assertLess(keep.unload_at(now, KEY, WEIGHTS, 6.0) - now, 5.0)

    def test_the_gaps_inside_a_session_are_bridged_and_the_hours_after_it_are_not(self):
        keep, now = after_gaps([40.0, 40.0, 40.0, 20_000.0] * 20)
        kept = keep.unload_at(now, KEY, WEIGHTS, 6.0) - now
        self.assertGreaterEqual(kept, 40.0)
        self.assertLess(kept, 100.0)

    def test_a_customer_that_weighs_idling_more_keeps_for_a_shorter_time(self):
        thrifty = Weights(cold_second=1.0, idle_second=0.1)
        gaps = [40.0, 300.0, 300.0, 4000.0] * 10
        keep, now = after_gaps(gaps)
        long = keep.unload_at(now, KEY, WEIGHTS, 6.0)
        short = keep.unload_at(now, KEY, thrifty, 6.0)
        self.assertLess(short, long)

    def test_asking_again_while_idle_does_not_move_the_time(self):
        keep, now = after_gaps([40.0] * 9)
        first = keep.unload_at(now, KEY, WEIGHTS, 6.0)
        self.assertEqual(keep.unload_at(now + 7.0, KEY, WEIGHTS, 6.0), first)
