"""Refusal in time, and the estimates behind it."""

import unittest

from bambootiller_core.admission import (
    Accept,
    Estimate,
    EstimateInput,
    LoadTimes,
    ServiceTimes,
    decide,
    estimate,
)
from bambootiller_core.outcomes import Code, Executed
from bambootiller_core.types import ModelKey, Tier
from tests.policy.requests import a_request

KEY = ModelKey("forge", "hints")


class EstimateTest(unittest.TestCase):
    def test_a_free_place_at_a_loaded_replica_means_no_wait(self):
        est = estimate(EstimateInput(loaded=True, running=7, max_running=8))
        self.assertEqual((est.wait_s, est.cold), (0.0, False))

    def test_a_cold_replica_means_the_load_and_the_queue_behind_it(self):
        given = EstimateInput(
            loaded=False, load_s=6.0, ahead=16, max_running=8, service_s=2.0
        )
        est = estimate(given)
        self.assertTrue(est.cold)
        self.assertAlmostEqual(est.wait_s, 6.0 + 9 * 2.0 / 8)

    def test_the_part_of_a_load_that_is_over_no_longer_counts(self):
        begun = EstimateInput(loaded=False, load_s=6.0, load_age_s=4.0)
        self.assertAlmostEqual(estimate(begun).wait_s, 2.0)

    def test_a_load_that_outlives_its_estimate_is_still_expected_to_take_a_while(self):
        overdue = EstimateInput(loaded=False, load_s=6.0, load_age_s=60.0)
        self.assertGreater(estimate(overdue).wait_s, 0.0)


class DecideTest(unittest.TestCase):
    def test_what_can_be_answered_by_its_deadline_is_accepted(self):
        est = Estimate(wait_s=5.0, cold=True, service_s=2.0)
        self.assertIsInstance(decide(0.0, a_request(deadline=7.5), est), Accept)

    def test_behind_a_long_queue_a_longer_answer_than_the_mean_has_to_fit(self):
        """Work lost on answers that their deadline cuts.

        Symptom: under overload most refusals are of calls that ran. Sequence: the queue
        grows until its end can just be answered on the mean, answers longer than that
        are cut at their deadline. Cause: the mean taken for a bound.
        """
        est = Estimate(wait_s=20.0, cold=False, service_s=2.0, queue_s=20.0)
        self.assertIsInstance(decide(0.0, a_request(deadline=26.5), est), Accept)
        refused = decide(0.0, a_request(deadline=24.0), est)
        self.assertEqual(refused.code, Code.TOO_LATE)

    def test_what_can_not_is_refused_truthfully_with_a_time_to_come_back(self):
        est = Estimate(wait_s=5.0, cold=True, service_s=2.0)
        refused = decide(0.0, a_request(deadline=6.0), est)
        self.assertEqual(refused.code, Code.TOO_LATE)
        self.assertEqual(refused.executed, Executed.NO)
        self.assertEqual(refused.retry_after_ms, 5000)

    def test_a_deadline_that_has_passed_is_named_as_such(self):
        refused = decide(9.0, a_request(deadline=8.0), Estimate(0.0, False))
        self.assertEqual(refused.code, Code.DEADLINE_PASSED)


class LearnedTimesTest(unittest.TestCase):
    def test_a_measured_load_replaces_the_operators_estimate(self):
        times = LoadTimes(prior=10.0)
        times.set_prior(KEY, 8.0)
        self.assertEqual(times.expected(KEY, Tier.REMOTE), 8.0)
        times.observe(KEY, Tier.REMOTE, 4.0)
        self.assertEqual(times.expected(KEY, Tier.REMOTE), 4.0)

    def test_a_nearer_tier_is_expected_to_load_sooner(self):
        times = LoadTimes(prior=10.0)
        expected = [times.expected(KEY, tier) for tier in Tier]
        self.assertEqual(expected, sorted(expected))

    def test_service_times_follow_what_is_measured(self):
        times = ServiceTimes(prior=1.0)
        self.assertEqual(times.expected(KEY), 1.0)
        for _ in range(40):
            times.observe(KEY, 3.0)
        self.assertAlmostEqual(times.expected(KEY), 3.0)
