"""The choice among the holders of a model."""

import random
import unittest

from bambootiller_core.membership import Status
from bambootiller_core.routing import Candidate, rank
from bambootiller_core.types import LoadFigures
from tests.policy.requests import a_request


def holder(name, status=Status.ALIVE, zone="az-1", **fields):
    return Candidate(instance=name, zone=zone, status=status, **fields)


def warm(name, queue_ms=0, **fields):
    running = fields.pop("running", 0)
    figures = LoadFigures(running=running, queue_ms=queue_ms, loaded=True)
    return holder(name, figures=figures, **fields)


def cold(name, queue_ms=8000):
    return holder(name, figures=LoadFigures(queue_ms=queue_ms, loaded=False))


def first(candidates, seed=1):
    ranked = rank(a_request(), "az-1", candidates, random.Random(seed))
    return ranked[0].instance


class RankTest(unittest.TestCase):
    def test_a_loaded_replica_goes_before_a_cold_one(self):
        self.assertEqual(first([cold("a"), warm("b"), cold("c")]), "b")

    def test_entries_that_know_nothing_choose_the_same_cold_holder(self):
        names = ["a", "b", "c", "d"]
        chosen = set()
        for seed in range(20):
            shuffled = list(names)
            random.Random(seed).shuffle(shuffled)
            chosen.add(first([holder(name) for name in shuffled], seed))
        self.assertEqual(len(chosen), 1)

    def test_a_second_replica_is_loaded_once_waiting_takes_longer_than_its_load(self):
        self.assertEqual(first([warm("a", queue_ms=5000), cold("b", 8000)]), "a")
        self.assertEqual(first([warm("a", queue_ms=15000), cold("b", 8000)]), "b")

    def test_own_requests_that_the_figures_can_not_include_are_added(self):
        busy = warm("a", in_flight=30)
        self.assertEqual(first([busy, warm("b")]), "b")

    def test_affinity_decides_between_equals_and_gives_way_to_load(self):
        near = warm("a", affinity=1.0)
        self.assertEqual({first([near, warm("b")], seed) for seed in range(9)}, {"a"})
        loaded = warm("a", queue_ms=3000, affinity=1.0)
        self.assertEqual(first([loaded, warm("b")]), "b")

    def test_leaving_and_dead_holders_are_left_out_and_suspected_ones_come_last(self):
        candidates = [
            warm("a", status=Status.SUSPECT),
            warm("b", status=Status.LEAVING),
            warm("c", status=Status.DEAD),
            cold("d"),
        ]
        ranked = rank(a_request(), "az-1", candidates, random.Random(1))
        self.assertEqual([cand.instance for cand in ranked], ["d", "a"])

    def test_equal_loaded_replicas_share_the_requests(self):
        equals = [warm("a"), warm("b"), warm("c")]
        chosen = {first(equals, seed) for seed in range(40)}
        self.assertEqual(chosen, {"a", "b", "c"})
