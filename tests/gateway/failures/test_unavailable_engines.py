"""Loads from the weight store that are requested of engines that can't start them."""

import unittest

from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

ENGINES = 6
LOAD_S = 13.2


class TestEnginesThatDoNotRespond(unittest.TestCase):
    """Failure: after a crash of many engines the store was idle for seconds, as each
    load was requested of the next engine that didn't respond to its agent."""

    def planned_load(self, model, on_disk=frozenset()):
        """Returns the planned load of a model while only the last of the engines
        responds; ``on_disk`` are the copies at the first."""
        spec = samples.engine(samples.model(model, load_s=LOAD_S))
        backends = [
            samples.engine_backend(
                0.0,
                f"b{number}",
                silent=number < ENGINES - 1,
                on_disk=on_disk if number == 0 else frozenset(),
            )
            for number in range(ENGINES)
        ]
        planner = Planner(spec, store_loads=1)
        return planner.plan(0.0, backends, {model: Demand(0.5, 3)})[model]

    def test_a_load_is_requested_of_one_that_does(self):
        for number in range(10):
            with self.subTest(model=number):
                load = self.planned_load(f"m{number}")
                self.assertTrue(load.from_store)
                self.assertEqual((load.instance, load.request_now), ("b5", True))

    def test_a_model_with_a_copy_there_does_not_use_the_store(self):
        for number in range(10):
            with self.subTest(model=number):
                model = f"m{number}"
                self.assertFalse(self.planned_load(model, {model}).from_store)
