"""Calls for rarely used models replayed on virtual time: what callers get."""

import unittest

from tests.gateway.common.replay import Replay

SEEDS = range(12)


class TestRarelyUsedModels(unittest.TestCase):
    """Symptom: most calls for rarely used models come late or not at all, though some
    engine has a copy of their model that it loads in a fraction of their target.

    Sixty models are called once each within the same minute. Engines load one model at
    a time, and took the calls in the order of their arrival; calls that only the store
    could serve, and that were late whatever was done, stood before those with a copy.
    """

    @classmethod
    def setUpClass(cls):
        cls.told = [Replay(seed).run() for seed in SEEDS]
        cls.plain = [Replay(seed, reports_time_left=False).run() for seed in SEEDS]

    def message(self):
        rows = zip(SEEDS, self.told, self.plain, strict=True)
        lines = [f"seed {seed}: {told}; before: {plain}" for seed, told, plain in rows]
        return "\n" + "\n".join(lines)

    def test_more_calls_are_in_time_than_in_order_of_arrival(self):
        told = sum(outcome.in_time for outcome in self.told)
        plain = sum(outcome.in_time for outcome in self.plain)
        self.assertGreater(told, plain, self.message())

    def test_at_most_one_call_in_a_hundred_is_lost_for_it(self):
        served = sum(outcome.served for outcome in self.told)
        plain = sum(outcome.served for outcome in self.plain)
        calls = plain + sum(outcome.left for outcome in self.plain)
        self.assertGreaterEqual(served, plain - calls / 100, self.message())

    def test_equal_seeds_give_equal_outcomes(self):
        self.assertEqual(Replay(3).run(), Replay(3).run())
