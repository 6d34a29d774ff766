"""The bound on retries over all entries, which can't communicate."""

import random
import unittest

from bambootiller_core.gateway.retry_budget import RetryBudget
from tests.common import counting, profiles

RATIO, SLACK, WINDOW_S = 0.2, 54.0, 10.0


def simulate(seed, entries):
    """Returns the times of calls and of retries.

    Each call is retried up to twice if the budget of its entry allows it.
    """
    rng = random.Random(seed)
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(entries)]
    for budget in budgets:
        budget.entries = entries
    calls, retries, now = [], [], 0.0
    for _ in range(3000):
        now += rng.expovariate(40.0 if int(now) // 7 % 2 else 8.0)
        budget = rng.choice(budgets[: rng.randint(1, entries)])
        budget.record_call(now)
        calls.append(now)
        for _ in range(rng.randint(0, 2)):
            if budget.take(now):
                retries.append(now)
    return calls, retries


def count_within(times, begin, end):
    return sum(1 for at in times if begin < at <= end)


class TestSharedBudget(unittest.TestCase):
    def test_no_window_has_more_retries_than_the_platform_allows(self):
        for seed in range(profiles.scale(10, 300)):
            with self.subTest(seed=seed):
                entries = 2 + seed % 7
                calls, retries = simulate(seed, entries)
                counting.add("gateway budget", len(calls))
                for at in retries:
                    begin = at - WINDOW_S
                    allowed = RATIO * count_within(calls, begin, at) + SLACK
                    self.assertLessEqual(count_within(retries, begin, at), allowed)

    def test_retries_are_allowed_from_the_start(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        budget.record_call(0.0)
        self.assertTrue(budget.take(0.0))

    def test_used_retries_are_available_again_after_the_window(self):
        budget = RetryBudget(RATIO, SLACK, WINDOW_S)
        while budget.take(0.0):
            continue
        self.assertFalse(budget.take(WINDOW_S - 0.1))
        self.assertTrue(budget.take(WINDOW_S + 0.1))

    def test_the_error_names_an_invalid_ratio(self):
        with self.assertRaisesRegex(ValueError, "ratio -1"):
            RetryBudget(-1, 1, 1)
