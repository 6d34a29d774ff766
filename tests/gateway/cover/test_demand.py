"""The demand for each model, counted at one entry."""

import unittest

from bambootiller_core.gateway.demand_tracker import (
    DECAY_S,
    MAX_RETURN_WAIT_S,
    RETURN_SLACK_S,
    DemandTracker,
)
from bambootiller_core.gateway.model_demand import UNSERVED_AGING_S


class TestDemand(unittest.TestCase):
    def setUp(self):
        self.demand_tracker = DemandTracker()

    def demand(self, now, model="tutor"):
        return self.demand_tracker.demands(now, {}, {}).get(model)

    def test_a_steady_rate_is_measured(self):
        for number in range(400):
            self.demand_tracker.record_call(number * 0.1, "tutor")
        self.assertAlmostEqual(self.demand(40.0).rate, 10.0, delta=1.0)

    def test_demand_that_ends_is_forgotten(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.assertIsNone(self.demand(20 * DECAY_S))

    def test_waiting_calls_count_until_they_end(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.begin_waiting(0.0, "tutor")
        self.demand_tracker.begin_waiting(1.0, "tutor")
        self.assertEqual(self.demand(2.0).waiting, 2)
        self.assertEqual(self.demand(2.0).oldest_s, 2.0)
        self.demand_tracker.end_waiting(0.0, "tutor")
        self.assertEqual(
            (self.demand(2.0).waiting, self.demand(2.0).oldest_s), (1, 1.0)
        )
        self.demand_tracker.end_waiting(1.0, "tutor")
        self.assertEqual(self.demand(2.0).waiting, 0)

    def test_a_refused_call_counts_as_waiting_for_a_while(self):
        """Symptom: a model that demand has shifted to isn't loaded for ten seconds.

        Its calls are refused at once and so never wait, and models with a single
        waiting caller are loaded before it.
        """
        self.demand_tracker.record_call(0.0, "tutor")
        for number in range(6):
            self.demand_tracker.refused(number * 0.1, "tutor", come_back_s=6.0)
        self.assertEqual(self.demand(1.0).waiting, 6)
        self.assertEqual(self.demand(1.0 + MAX_RETURN_WAIT_S).waiting, 0)

    def test_unserved_calls_count_until_an_engine_holds_the_model(self):
        """Symptom: a model isn't loaded, as its callers never wait but are refused."""
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.unserved(0.0, "tutor")
        self.demand_tracker.unserved(6.0, "tutor", weight=0.5)
        demand = self.demand(9.0)
        self.assertEqual(
            (demand.waiting, demand.unserved, demand.unserved_s), (0, 1.5, 9.0)
        )
        self.assertEqual(demand.awaited, 1.5 + 9.0 / UNSERVED_AGING_S)
        held = self.demand_tracker.demands(9.0, {"tutor": 1}, {})["tutor"]
        self.assertEqual((held.unserved, held.awaited), (0.0, 0))
        self.assertEqual(self.demand(9.5).unserved, 0.0)

    def test_unserved_calls_are_forgotten_with_the_demand(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.unserved(0.0, "tutor")
        self.assertIsNone(self.demand(20 * DECAY_S))
        self.demand_tracker.record_call(21 * DECAY_S, "tutor")
        self.assertEqual(self.demand(21 * DECAY_S).unserved, 0.0)

    def test_a_caller_with_a_short_retry_time_is_not_expected_longer(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.refused(0.0, "tutor", come_back_s=0.3)
        self.assertEqual(self.demand(0.3).waiting, 1)
        self.assertEqual(self.demand(0.4 + RETURN_SLACK_S).waiting, 0)

    def test_the_next_deadline_is_that_of_the_next_call_to_be_late(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.begin_waiting(0.0, "tutor", due=0.5)
        self.demand_tracker.begin_waiting(0.0, "tutor", due=4.0)
        self.demand_tracker.begin_waiting(1.0, "tutor", due=9.0)
        self.assertEqual(self.demand(1.0).next_deadline_s, 3.0)
        self.demand_tracker.end_waiting(0.0, "tutor", due=4.0)
        self.assertEqual(self.demand(1.0).next_deadline_s, 8.0)

    def test_calls_that_are_late_already_have_no_deadline_left(self):
        self.demand_tracker.record_call(0.0, "tutor")
        self.demand_tracker.begin_waiting(0.0, "tutor", due=0.5)
        self.assertEqual(self.demand(1.0).next_deadline_s, 0.0)
