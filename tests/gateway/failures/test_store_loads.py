"""Loads from the weight store that keep engines from all other orders."""

import unittest
from dataclasses import dataclass

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

LOAD_S = 13.2
ENGINES = 12
STEP_S = 0.5
LENGTH_S = 30.0
#: A load that takes longer than this many times its own time is over so late that its
#: engine had better served others.
MAX_SLOWDOWN = 1.5


@dataclass
class StoreLoad:
    """A load under way; the store's speed is settled as it begins."""

    model: str
    ends_at: float
    stretch: float


class CrowdedStore:
    """A weight store that serves so many loads at full speed, and what a plan for it
    has engines begin."""

    def __init__(self, full, models, waiting):
        self.full = full
        specs = [samples.model(f"m{number}", load_s=LOAD_S) for number in range(models)]
        self.spec = samples.engine(*specs)
        self.demands = {name: Demand(1.5, waiting) for name in self.spec.models}
        self.under_way = {}
        self.begun = []

    def begin(self, now, instance, model):
        stretch = max(1.0, (len(self.under_way) + 1) / self.full)
        load = StoreLoad(model, now + LOAD_S * stretch, stretch)
        self.under_way[instance] = load
        self.begun.append(load)

    def lose(self, instance):
        """The engine crashes or leaves, and its load is over."""
        del self.under_way[instance]

    def run(self):
        for step in range(round(LENGTH_S / STEP_S)):
            self._step(step * STEP_S)

    def _step(self, now):
        for instance, load in list(self.under_way.items()):
            if load.ends_at <= now:
                del self.under_way[instance]
                del self.demands[load.model]
        planner = Planner(
            self.spec, self.full, lambda backend: backend.engine.loading.left_s
        )
        plan = planner.plan(
            now, [self._backend(now, n) for n in range(ENGINES)], self.demands
        )
        for load in plan.values():
            if load.request_now and load.instance not in self.under_way:
                self.begin(now, load.instance, load.model)

    def _backend(self, now, number):
        instance = f"b{number}"
        load = self.under_way.get(instance)
        loading = load and Loading(load.model, load.ends_at - now, True)
        state = samples.engine_state(
            instance, (), loading=loading, busy=loading is not None
        )
        return samples.backend(instance, now, state, service="llm")


class TestEnginesTakenOutByTheStore(unittest.TestCase):
    """Symptom: models with a copy are refused, as their engines wait for the store.

    An engine was lost in the middle of a load from the weight store. What the store had
    slowed as it began went on as slowly, so that beginning beside it seemed sooner than
    waiting for it; each load begun that way made the next one seem so, too.
    """

    def test_no_load_begins_that_the_store_can_only_serve_much_later(self):
        for full in (1, 2, 4):
            with self.subTest(full=full):
                store = CrowdedStore(full, models=10, waiting=8)
                for number in range(full + 1):
                    store.begin(0.0, f"b{number}", f"m{number}")
                store.lose("b0")
                store.begun.clear()
                store.run()
                self.assertTrue(store.begun)
                slowest = max(load.stretch for load in store.begun)
                self.assertLessEqual(slowest, MAX_SLOWDOWN)
