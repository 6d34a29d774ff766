"""Slow loads from the weight store, during which engines accept no other orders."""

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
#: A load that is slowed down by more than this factor ends so late that its engine had
#: better served other models.
MAX_SLOWDOWN = 1.5


@dataclass
class SimulatedLoad:
    """A load in progress; its slowdown is fixed when it starts."""

    model: str
    ends_at: float
    slowdown: float


class SimulatedStore:
    """A weight store that serves some loads at full speed, and engines that start the
    loads that are planned for them."""

    def __init__(self, full_speed_loads, models, waiting):
        self.full_speed_loads = full_speed_loads
        specs = [samples.model(f"m{number}", load_s=LOAD_S) for number in range(models)]
        self.spec = samples.engine(*specs)
        self.demands = {name: Demand(1.5, waiting) for name in self.spec.models}
        self.under_way = {}
        self.started_loads = []

    def start_load(self, now, instance, model):
        slowdown = max(1.0, (len(self.under_way) + 1) / self.full_speed_loads)
        load = SimulatedLoad(model, now + LOAD_S * slowdown, slowdown)
        self.under_way[instance] = load
        self.started_loads.append(load)

    def lose_engine(self, instance):
        """Ends an engine's load, as when it crashes or leaves."""
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
            self.spec,
            self.full_speed_loads,
            lambda backend: backend.engine.loading.left_s,
        )
        plan = planner.plan(
            now, [self._backend(now, n) for n in range(ENGINES)], self.demands
        )
        for load in plan.values():
            if load.request_now and load.instance not in self.under_way:
                self.start_load(now, load.instance, load.model)

    def _backend(self, now, number):
        instance = f"b{number}"
        load = self.under_way.get(instance)
        loading = load and Loading(load.model, load.ends_at - now, True)
        state = samples.engine_state(
            instance, (), loading=loading, busy=loading is not None
        )
        return samples.backend(instance, now, state, service="llm")


class TestOverloadedStore(unittest.TestCase):
    """Symptom: calls for models with a copy are refused, as the engines that have the
    copies are loading other models from the store.

    An engine was lost during its load from the weight store. Loads that had started
    slowed down stayed as slow, so that a load beside them seemed to end sooner than one
    that waits for them. Each load started that way made the next one seem so, too.
    """

    def test_no_load_starts_that_would_be_slowed_down_much(self):
        for full_speed_loads in (1, 2, 4):
            with self.subTest(full_speed_loads=full_speed_loads):
                store = SimulatedStore(full_speed_loads, models=10, waiting=8)
                for number in range(full_speed_loads + 1):
                    store.start_load(0.0, f"b{number}", f"m{number}")
                store.lose_engine("b0")
                store.started_loads.clear()
                store.run()
                self.assertTrue(store.started_loads)
                slowest = max(load.slowdown for load in store.started_loads)
                self.assertLessEqual(slowest, MAX_SLOWDOWN)
