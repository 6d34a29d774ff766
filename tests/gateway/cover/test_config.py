"""Matching calls to routes and services; which configuration is newer."""

import unittest

from bambootiller_core.gateway.config import CallKind, ServiceWeight, is_newer
from tests.gateway.common import samples


class TestRouteMatching(unittest.TestCase):
    def setUp(self):
        routes = [
            samples.route(prefix="/a/"),
            samples.route(prefix="/a/b/"),
            samples.route(prefix="/"),
        ]
        self.config = samples.config(routes)

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.config.match(samples.HOST, "/a/b/c").prefix, "/a/b/")
        self.assertEqual(self.config.match(samples.HOST, "/a/x").prefix, "/a/")

    def test_a_prefix_ends_at_a_slash(self):
        self.assertEqual(self.config.match(samples.HOST, "/ab").prefix, "/")

    def test_the_host_is_compared_without_port_and_case(self):
        self.assertIsNotNone(self.config.match("Classes.Example:8080", "/a/"))

    def test_an_unknown_host_has_no_route(self):
        self.assertIsNone(self.config.match("other.example", "/a/"))


class TestServiceWeights(unittest.TestCase):
    def test_a_service_is_picked_by_its_weight(self):
        service_weights = (ServiceWeight("old", 90), ServiceWeight("new", 10))
        route = samples.route(service_weights=service_weights)
        drawn = [route.pick_service(n / 100) for n in range(100)]
        self.assertEqual(drawn.count("new"), 10)

    def test_a_service_without_weight_is_never_picked(self):
        service_weights = (ServiceWeight("old", 0), ServiceWeight("new", 1))
        self.assertEqual(
            samples.route(service_weights=service_weights).pick_service(0.0), "new"
        )

    def test_no_weight_at_all_gives_no_service(self):
        service_weights = (ServiceWeight("old", 0),)
        self.assertIsNone(
            samples.route(service_weights=service_weights).pick_service(0.0)
        )


class TestEventTimeout(unittest.TestCase):
    def test_a_stream_times_out_after_the_longest_of_three_times(self):
        route = samples.route(CallKind.STREAM, target_s=2.5, max_event_gap_s=0.2)
        self.assertEqual(route.event_timeout_s, 10.0)
        route = samples.route(CallKind.STREAM, target_s=0.25, max_event_gap_s=0.2)
        self.assertEqual(route.event_timeout_s, 2.0)

    def test_other_calls_have_no_event_timeout(self):
        self.assertIsNone(samples.route().event_timeout_s)


class TestIsNewer(unittest.TestCase):
    def test_only_a_later_revision_replaces_what_is_in_force(self):
        held = samples.config(version=7, revision=20)
        self.assertTrue(is_newer(None, held))
        self.assertTrue(is_newer(held, samples.config(version=9, revision=21)))
        self.assertFalse(is_newer(held, samples.config(version=9, revision=20)))
        self.assertFalse(is_newer(held, samples.config(version=6, revision=12)))
