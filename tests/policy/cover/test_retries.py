"""Budgets, breakers, and which refusals are tried again."""

import random
import unittest

from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.retries import (
    MOST_ATTEMPTS,
    Breaker,
    GiveUp,
    RetryAt,
    RetryBudget,
    after_refusal,
)
from tests.policy.requests import a_request


def refusal(code=Code.OVERLOADED, executed=Executed.NO):
    return Refused(code, executed, "for a test")


def next_step(refused, req=None, attempt=1, budget=None, places_left=2):
    return after_refusal(
        req or a_request(),
        refused,
        attempt,
        0.0,
        budget or RetryBudget(),
        random.Random(1),
        places_left,
    )


class AfterRefusalTest(unittest.TestCase):
    def test_a_call_that_has_not_run_is_tried_elsewhere(self):
        self.assertIsInstance(next_step(refusal()), RetryAt)

    def test_a_non_idempotent_call_that_may_have_run_is_never_tried_again(self):
        """A second certificate for one lot.

        Symptom: a call ran twice. Sequence: the call reaches the backend server, the
        stream breaks off, the entry tries another. Cause: "not known" taken for "not
        run".
        """
        unknown = refusal(Code.BACKEND_FAILED, Executed.UNKNOWN)
        once = a_request(non_idempotent=True)
        self.assertIsInstance(next_step(unknown, once), GiveUp)
        self.assertIsInstance(next_step(unknown, a_request()), RetryAt)

    def test_final_refusals_are_not_tried_again(self):
        self.assertIsInstance(next_step(refusal(Code.UNKNOWN_MODEL)), GiveUp)

    def test_without_another_place_or_attempt_the_refusal_stands(self):
        self.assertIsInstance(next_step(refusal(), places_left=0), GiveUp)
        self.assertIsInstance(next_step(refusal(), attempt=MOST_ATTEMPTS), GiveUp)

    def test_a_fleet_that_refuses_gets_no_more_retries_than_the_budget(self):
        """A fleet that stays overloaded after the burst is over.

        Symptom: refusals don't end when load falls. Sequence: agents refuse, each entry
        tries each request at each agent. Cause: retries multiply the load.
        """
        budget = RetryBudget(share=0.1, reserve=5.0)
        retried = 0
        for _ in range(200):
            budget.attempted()
            retried += isinstance(next_step(refusal(), budget=budget), RetryAt)
        self.assertLessEqual(retried, 5 + 200 * 0.1)

    def test_a_refusal_that_points_elsewhere_costs_nothing_of_the_budget(self):
        budget = RetryBudget(share=0.0, reserve=0.0)
        step = next_step(refusal(Code.LEAVING), budget=budget)
        self.assertEqual(step, RetryAt(0.0))


class BreakerTest(unittest.TestCase):
    def test_it_opens_after_failures_in_a_row_and_lets_one_request_try(self):
        breaker = Breaker(threshold=2, open_s=1.0)
        breaker.failed(0.0)
        self.assertTrue(breaker.allows(0.0))
        breaker.failed(0.0)
        self.assertFalse(breaker.allows(0.5))
        self.assertTrue(breaker.allows(1.0))
        breaker.sent(1.0)
        self.assertFalse(breaker.allows(1.0))
        breaker.succeeded(1.2)
        self.assertTrue(breaker.allows(1.2))

    def test_each_failed_trial_keeps_it_open_for_longer(self):
        breaker = Breaker(threshold=1, open_s=1.0, longest_s=4.0)
        for _ in range(8):
            breaker.failed(0.0)
        self.assertFalse(breaker.allows(3.9))
        self.assertTrue(breaker.allows(4.0))
