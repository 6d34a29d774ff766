"""What keeping costs against the best fixed time in hindsight."""

import random
import unittest

from bambootiller_core.keepalive import KeepAlive
from bambootiller_core.template import Weights
from bambootiller_core.types import ModelKey
from tests.common.profiles import scale

KEY = ModelKey("forge", "hints")
LOAD_S = 6.0
CHOICES = (0.0, 1.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0, 1800.0, 3600.0, 14_400.0)


def cost_of(gap: float, kept: float, weights: Weights) -> float:
    """What one idle gap costs if the model is kept for ``kept`` seconds in it."""
    idle = min(gap, kept) * weights.idle_second
    return idle + (0.0 if gap <= kept else LOAD_S * weights.cold_second)


def gaps_of(rng: random.Random, count: int) -> list[float]:
    inside = rng.uniform(5.0, 90.0)
    between = rng.uniform(600.0, 40_000.0)
    share = rng.uniform(0.1, 0.9)
    return [
        rng.expovariate(1.0 / (inside if rng.random() < share else between))
        for _ in range(count)
    ]


class KeepAliveCostTest(unittest.TestCase):
    def test_it_costs_little_more_than_the_best_fixed_time_in_hindsight(self):
        for seed in range(scale(20, 300)):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                weights = Weights(1.0, rng.choice([0.005, 0.02, 0.05]))
                gaps = gaps_of(rng, 400)
                keep, now, cost = KeepAlive(), 0.0, 0.0
                keep.arrived(now, KEY)
                for gap in gaps:
                    keep.idle_since(now, KEY)
                    kept = keep.unload_at(now, KEY, weights, LOAD_S) - now
                    cost += cost_of(gap, kept, weights)
                    now += gap
                    keep.arrived(now, KEY)
                best = min(
                    sum(cost_of(gap, kept, weights) for gap in gaps) for kept in CHOICES
                )
                self.assertLessEqual(cost, 1.4 * best)
