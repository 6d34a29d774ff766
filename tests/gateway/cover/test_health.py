"""The health of backend servers, measured by the outcomes of their calls."""

import unittest

from bambootiller_core.gateway.health import Health


class TestHealth(unittest.TestCase):
    def setUp(self):
        self.health = Health()
        for name in ("a", "b", "c"):
            for _ in range(20):
                self.health.succeeded(0.0, name, 0.02)

    def test_a_backend_server_that_fails_more_than_others_costs_more(self):
        for _ in range(5):
            self.health.failed(0.0, "a")
        self.assertGreater(self.health.cost(0.0, "a"), 1.0)
        self.assertEqual(self.health.cost(0.0, "b"), 0.0)

    def test_failures_of_all_backend_servers_alike_cost_nothing(self):
        for name in ("a", "b", "c"):
            for _ in range(5):
                self.health.failed(0.0, name)
        self.assertEqual(self.health.cost(0.0, "a"), 0.0)

    def test_the_score_decays(self):
        for _ in range(5):
            self.health.failed(0.0, "a")
        self.assertLess(self.health.cost(20.0, "a"), self.health.cost(0.0, "a"))

    def test_a_slow_backend_server_costs_more(self):
        for _ in range(30):
            self.health.succeeded(0.0, "a", 0.2)
        self.assertGreater(self.health.cost(0.0, "a"), 0.5)

    def test_an_unreachable_backend_server_is_avoided_longer_each_time(self):
        self.health.unreachable(0.0, "a")
        self.assertTrue(self.health.is_avoided(0.3, "a"))
        self.assertFalse(self.health.is_avoided(0.5, "a"))
        self.health.unreachable(0.5, "a")
        self.assertTrue(self.health.is_avoided(1.2, "a"))
