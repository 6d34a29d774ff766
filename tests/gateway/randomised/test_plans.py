"""Plans of loads for random fleets equal the recorded ones.

The records were written by a planner that evaluated each model and engine separately.
The present one computes once per plan what several of them share, and skips candidates
that can't be chosen. Neither may change a decision.
"""

import json
import random
import unittest

from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import fleets
from tests.gateway.randomised import plan_records


class TestPlansOfRandomFleets(unittest.TestCase):
    def test_plans_equal_the_recorded_ones(self):
        recorded = json.loads(plan_records.RECORDS.read_text())
        self.assertEqual(len(recorded), plan_records.SEEDS)
        for seed, expected in enumerate(recorded):
            with self.subTest(seed=seed):
                self.assertEqual(plan_records.digest(seed), expected)

    def test_a_planner_keeps_no_state_between_plans(self):
        """Symptom: a load is planned for an outdated state of the fleet.

        Values that are computed once per plan must not be used for the next one.
        """
        for seed in range(40):
            with self.subTest(seed=seed):
                spec, backends, demands, loads = fleets.random_fleet(seed)
                planner = Planner(spec, loads)
                planner.plan(fleets.NOW, random.Random(seed).sample(backends, 1), {})
                actual = planner.plan(fleets.NOW, backends, demands)
                self.assertEqual(actual, plan_records.plan(seed))

    def test_the_random_fleets_cover_many_cases(self):
        plans = [plan_records.plan(seed) for seed in range(plan_records.SEEDS)]
        loads = [load for plan in plans for load in plan.values()]
        self.assertGreater(sum(load.request_now for load in loads), 100)
        self.assertGreater(sum(not load.from_store for load in loads), 100)
        self.assertGreater(sum(not plan for plan in plans), 10)
