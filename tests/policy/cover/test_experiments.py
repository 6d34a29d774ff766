"""The experiments' small models, and that a run is repeatable and loses nobody."""

import unittest

from bambootiller_standins.experiments.fleet import RunSpec, simulate
from bambootiller_standins.experiments.measures import figures, percentile, tail
from bambootiller_standins.experiments.policies import OWN, policies, policy
from bambootiller_standins.experiments.records import Ending
from bambootiller_standins.experiments.storemodel import StoreModel
from bambootiller_standins.experiments.virtualtime import VirtualTime
from bambootiller_standins.experiments.world import (
    all_scenarios,
    load_scenario_named,
    load_sizes,
)


class StoreModelTest(unittest.TestCase):
    def test_loads_up_to_the_limit_run_at_full_speed_and_more_share_it(self):
        ended = self.ends_of(2, loads=2)
        self.assertEqual(ended, [1.0, 1.0])
        ended = self.ends_of(2, loads=4)
        self.assertEqual(ended, [2.0, 2.0, 2.0, 2.0])

    def test_a_store_at_a_quarter_of_its_speed_takes_four_times_as_long(self):
        self.assertEqual(self.ends_of(2, loads=1, speed=0.25), [4.0])

    def ends_of(self, full_speed, loads, speed=1.0):
        time = VirtualTime()
        store = StoreModel(time, full_speed)
        store.set_speed(speed)
        ended = []
        for _ in range(loads):
            store.transfer(1.0, lambda: ended.append(round(time.now, 6)))
        time.run(until=100.0)
        return ended


class MeasuresTest(unittest.TestCase):
    def test_percentiles_are_samples_that_occurred(self):
        ordered = [float(number) for number in range(1, 101)]
        self.assertEqual(percentile(ordered, 0.5), 50.0)
        self.assertEqual(percentile(ordered, 0.99), 99.0)
        self.assertIsNone(percentile([], 0.5))

    def test_of_a_few_samples_the_tail_is_the_greatest(self):
        self.assertEqual(tail([3.0, 1.0, 2.0]).p99, 3.0)


class RunTest(unittest.TestCase):
    def run_once(self, name=OWN):
        sizes = load_sizes("regie")
        spec = RunSpec(load_scenario_named("zone-lost"), sizes, policy(name), seed=3)
        return simulate(spec), sizes

    def test_the_same_seed_gives_the_same_figures(self):
        first, second = (figures(*self.run_once()) for _ in range(2))
        self.assertEqual(first, second)

    def test_no_request_is_dropped_or_late_and_no_rule_broken_under_any_policy(self):
        for item in policies():
            with self.subTest(policy=item.name):
                result, _ = self.run_once(item.name)
                endings = {record.ending for record in result.records}
                self.assertLessEqual(endings, {Ending.ANSWERED, Ending.REFUSED})
                self.assertEqual(result.broken, [])

    def test_every_scenario_file_can_be_read(self):
        self.assertEqual(len(all_scenarios()), 9)
