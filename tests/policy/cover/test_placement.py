"""Where slots are put."""

import unittest
from collections import Counter

from bambootiller_core.placement import SurveyFigures, candidates, rank
from bambootiller_core.template import ModelPolicy
from bambootiller_core.types import ModelKey, Tier

POLICY = ModelPolicy("hints", replicas=2, memory_bytes=10)


def server(
    name, zone="az-1", total=100, slots_bytes=0, tier=Tier.REMOTE, leaving=False
):
    return SurveyFigures(name, zone, total, total, 0, slots_bytes, tier, leaving)


class PlacementTest(unittest.TestCase):
    def test_a_zone_without_a_slot_goes_before_a_cached_checkpoint(self):
        near = server("a", "az-1", tier=Tier.MEMORY)
        far = server("b", "az-2")
        self.assertEqual(rank(POLICY, [near, far], Counter({"az-1": 1})), ["b", "a"])

    def test_in_one_zone_the_cached_checkpoint_decides_then_the_crowding(self):
        figures = [
            server("crowded", slots_bytes=90),
            server("empty"),
            server("cached", slots_bytes=20, tier=Tier.MEMORY),
        ]
        order = rank(POLICY, figures, Counter())
        self.assertEqual(order, ["cached", "empty", "crowded"])

    def test_leaving_and_too_small_servers_are_left_out(self):
        figures = [server("leaving", leaving=True), server("small", total=9)]
        self.assertEqual(rank(POLICY, figures, Counter()), [])

    def test_every_process_draws_the_same_sample(self):
        names = [f"i-{number}" for number in range(50)]
        key = ModelKey("forge", "hints")
        drawn = candidates(key, names, 8)
        self.assertEqual(drawn, candidates(key, list(reversed(names)), 8))
        self.assertEqual(len(drawn), 8)
