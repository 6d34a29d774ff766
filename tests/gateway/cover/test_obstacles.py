"""Why no engine can load a model, as refusals report it."""

import unittest

from bambootiller_core.gateway.log_lines import Obstacles, PlanSnapshot
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples
from tests.gateway.common.samples import engine_backend

NOW = 5.0


class TestObstacles(unittest.TestCase):
    def find_obstacles(self, *backends, demands=None):
        """The obstacles to a load of ``tutor``, for which a call waits."""
        names = ("tutor", "poet", "coder")
        spec = samples.engine(*[samples.model(name) for name in names])
        demands = {"tutor": Demand(0.2, 1), **(demands or {})}
        planner = Planner(spec, 1)
        planner.plan(NOW, backends, demands)
        return planner.obstacles("tutor", demands["tutor"])

    def test_an_engine_whose_agent_is_silent_takes_no_orders(self):
        silent = engine_backend(NOW - 60.0, "b1")
        self.assertEqual(self.find_obstacles(silent), Obstacles(no_orders=1))

    def test_an_engine_full_of_models_in_higher_demand_has_no_room(self):
        full = engine_backend(
            NOW,
            "b1",
            ("poet", "coder"),
            in_use={"poet": 3, "coder": 3},
            keep_values={"poet": 9.0, "coder": 9.0},
        )
        self.assertEqual(self.find_obstacles(full), Obstacles(no_room=1))

    def test_an_engine_with_room_waits_for_the_store_alone(self):
        self.assertEqual(
            self.find_obstacles(engine_backend(NOW, "b1")), Obstacles(able=1)
        )

    def test_a_model_missing_from_the_configuration_has_none(self):
        planner = Planner(samples.engine(), 1)
        self.assertIsNone(planner.obstacles("nobody", Demand()))

    def test_a_refusal_lists_them(self):
        line = samples.refused(PlanSnapshot(obstacles=Obstacles(no_room=2)))
        expected = {"no_orders": 0, "kept_for_adapters": 0, "no_room": 2, "able": 0}
        self.assertEqual(line.to_json()["plan"]["obstacles"], expected)
