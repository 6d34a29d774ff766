"""The weight of a call in the demand for its model, by its service level."""

import unittest

from bambootiller_core.gateway.config import CallKind
from bambootiller_core.gateway.customers import Customer
from bambootiller_core.gateway.demand_tracker import DemandTracker
from bambootiller_core.gateway.service_levels import (
    MAX_WEIGHT,
    MIN_WEIGHT,
    ServiceLevel,
    ServiceLevels,
    level_of,
)
from tests.gateway.common import samples

FREQUENT = ServiceLevel(1, 0.3)
RARE = ServiceLevel(2, 2.0)


def weights(rates, seconds=60):
    """The last weight of each level after calls at ``rates`` (calls per second)."""
    levels = ServiceLevels()
    calls = sorted(
        (number / rate, level.target_s, level)
        for level, rate in rates.items()
        for number in range(round(rate * seconds))
    )
    return {level: levels.weigh(at, level) for at, _, level in calls}


class TestServiceLevels(unittest.TestCase):
    def test_calls_of_a_single_level_have_weight_one(self):
        self.assertEqual(ServiceLevels().weigh(0.0, RARE), 1.0)

    def test_the_weight_grows_with_the_square_root_of_the_inverse_rate(self):
        found = weights({FREQUENT: 40.0, RARE: 10.0})
        self.assertAlmostEqual(found[RARE] / found[FREQUENT], 2.0, delta=0.1)

    def test_a_single_caller_of_a_level_has_a_bounded_weight(self):
        found = weights({FREQUENT: 300.0, RARE: 0.05})
        self.assertEqual(found[RARE], MAX_WEIGHT)
        self.assertGreaterEqual(found[FREQUENT], MIN_WEIGHT)

    def test_routes_of_one_priority_and_target_form_a_level(self):
        first = samples.route(CallKind.STREAM, "/a/", priority=2, target_s=2.0)
        second = samples.route(CallKind.STREAM, "/b/", priority=2, target_s=2.0)
        calls = samples.call(first), samples.call(second)
        self.assertEqual([level_of(call) for call in calls], [RARE, RARE])

    def test_a_customers_priority_overrides_its_routes(self):
        first = samples.route(CallKind.STREAM, "/a/", priority=7, target_s=2.0)
        call = samples.call(first, customer=Customer("c1", priority=2))
        self.assertEqual(level_of(call), RARE)


class TestWeightedDemand(unittest.TestCase):
    def test_a_rare_level_does_not_starve_behind_a_frequent_one(self):
        """Symptom: one kind of call is served far less often than all others.

        Its models get a tenth of the calls that those of the frequent kinds get. Loads
        went to the models with most calls, so its models were never loaded.
        """
        demand_tracker = DemandTracker()
        for number in range(8):
            demand_tracker.record_call(number / 8, "tutor", 0.7)
            demand_tracker.refused(number / 8, "tutor", 2.0, 0.7)
        demand_tracker.record_call(1.0, "critic", 6.0)
        demand_tracker.begin_waiting(1.0, "critic", 6.0)
        demands = demand_tracker.demands(1.0, {}, {})
        self.assertGreaterEqual(demands["critic"].waiting, demands["tutor"].waiting)
        demand_tracker.end_waiting(1.0, "critic", 6.0)
        self.assertFalse(demand_tracker.has_waiting_calls)

    def test_a_waiting_call_counts_as_one_at_least(self):
        demand_tracker = DemandTracker()
        demand_tracker.record_call(0.0, "tutor", 0.4)
        demand_tracker.begin_waiting(0.0, "tutor", 0.4)
        self.assertEqual(demand_tracker.demands(0.0, {}, {})["tutor"].waiting, 1)
