"""Which loads from the weight store a plan starts, and which loads precede them."""

import functools
import unittest
from unittest import mock

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.load_targets import LoadTarget
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

NOW = 5.0
#: What is left of a load of 6 s that has just started, beside which a probe may start.
JUST_STARTED_S = 5.8
STORE_LOADS = 4


engine_backend = functools.partial(samples.engine_backend, NOW)


class TestQueuedStoreLoads(unittest.TestCase):
    """Symptom: models with copies on engines aren't loaded for tens of seconds, though
    engines are idle and calls wait.

    The store served one load at a time. Each model queued for it was assigned to an
    engine in the plan, and an assigned engine got no other order.
    """

    def test_they_block_no_engine_from_loading_a_copy(self):
        names = [f"m{number}" for number in range(4)]
        spec = samples.engine(*map(samples.model, names), samples.model("poet"))
        loading = Loading("m0", 5.0, True)
        backends = [
            engine_backend("b1", loading=loading),
            engine_backend("b2", on_disk=frozenset({"poet"})),
            engine_backend("b3", on_disk=frozenset({"poet"})),
        ]
        demands = {name: Demand(1.0, 3, 0, 2.0) for name in names}
        demands["poet"] = Demand(0.1, 1, 0, 0.1, 2)
        plan = Planner(spec, 1).plan(NOW, backends, demands)
        self.assertTrue(plan["poet"].request_now)
        self.assertEqual([plan[name].request_now for name in names], [False] * 4)


class TestProbesInAPlan(unittest.TestCase):
    """Symptom: loads of models without a copy take twice their time.

    Probes for a higher concurrency of the store were started for models without
    calls, shortly before the load under way ended, or beside two other probes.
    """

    def setUp(self):
        names = ("tutor", "poet", "clerk", "critic")
        self.spec = samples.engine(*map(samples.model, names))

    def started_models(self, left_s, demands=None, probe_allowed=True):
        """The models that a plan loads now, with ``left_s`` of loads under way left."""
        loading = ("tutor", "poet")
        backends = [
            engine_backend(f"l{n}", loading=Loading(name, seconds, True), busy=True)
            for n, (name, seconds) in enumerate(zip(loading, left_s, strict=False))
        ]
        backends += [engine_backend(f"b{n}") for n in range(6)]
        if demands is None:
            demands = {"clerk": Demand(0.5, 9), "critic": Demand(0.1, 1)}
        planner = Planner(self.spec, 1, allows_probe=probe_allowed)
        plan = planner.plan(NOW, backends, demands)
        return [load.model for load in plan.values() if load.request_now]

    def test_a_probe_starts_where_the_queue_is_long(self):
        self.assertEqual(self.started_models([JUST_STARTED_S]), ["clerk"])

    def test_no_probe_starts_where_the_store_is_free_soon(self):
        self.assertEqual(self.started_models([1.0]), [])

    def test_no_probe_starts_beside_another(self):
        self.assertEqual(self.started_models([JUST_STARTED_S, 6.0]), [])

    def test_no_probe_starts_once_the_concurrency_is_known(self):
        self.assertEqual(self.started_models([JUST_STARTED_S], probe_allowed=False), [])

    def test_no_probe_starts_for_callers_who_have_left(self):
        """Such a probe took an engine for 26 s and ended after the last one left."""
        demands = {"clerk": Demand(0.5, 0, unserved=9.0, callers=1.0)}
        self.assertEqual(self.started_models([JUST_STARTED_S], demands), [])
        demands = {"clerk": Demand(0.5, 0, unserved=9.0, callers=8.0)}
        self.assertEqual(self.started_models([JUST_STARTED_S], demands), ["clerk"])

    def test_a_probe_starts_where_calls_stay_unserved_for_long(self):
        """Where each model has few callers, no probe would ever start, and a higher
        concurrency would never be learnt."""
        few = {"unserved": 2.0, "callers": 1.0}
        demands = {"clerk": Demand(0.1, 0, unserved_s=20.0, **few)}
        self.assertEqual(self.started_models([JUST_STARTED_S], demands), [])
        demands = {"clerk": Demand(0.1, 0, unserved_s=25.0, **few)}
        self.assertEqual(self.started_models([JUST_STARTED_S], demands), ["clerk"])

    def test_no_probe_starts_for_models_without_calls(self):
        self.assertEqual(self.started_models([JUST_STARTED_S], demands={}), [])


class TestStoreLoadsOfModelsWithoutACopy(unittest.TestCase):
    """Symptom: the weight store serves a model with a copy on an engine, while calls of
    twenty models without a copy are refused all day.

    The engine with the copy was full of models in use at that moment, so a load from
    the store was estimated to end sooner.
    """

    def setUp(self):
        self.spec = samples.engine(
            *map(samples.model, ("tutor", "poet", "much", "used"))
        )
        busy = ("much", "used")
        self.backends = [
            engine_backend(
                "b1",
                busy,
                on_disk=frozenset({"tutor", *busy}),
                in_use=dict.fromkeys(busy, 5),
                keep_values=dict.fromkeys(busy, 9.0),
                memory_mb_used=100.0,
            ),
            *(engine_backend(f"b{number}") for number in range(2, 6)),
        ]

    def started_models(self, store_loads=1, **demands):
        demands = {name: Demand(9.0, 0, 1) for name in ("much", "used")} | demands
        plan = Planner(self.spec, store_loads).plan(NOW, self.backends, demands)
        self.assertIn("tutor", plan)
        return [load.model for load in plan.values() if load.request_now]

    def test_the_model_without_a_copy_is_loaded_first(self):
        self.assertEqual(
            self.started_models(tutor=Demand(2.0, 9), poet=Demand(0.2, 1)), ["poet"]
        )

    def test_a_model_whose_copy_is_on_a_full_engine_does_not_starve(self):
        self.backends[0].engine.keep_values.update(much=99.0, used=99.0)
        tutor = Demand(2.0, 9, unserved=9.0, unserved_s=8.0)
        self.assertEqual(
            self.started_models(tutor=tutor, poet=Demand(0.2, 1)), ["tutor"]
        )

    def test_a_model_that_fits_no_engine_blocks_no_other(self):
        """Models with a copy yielded the store to it for ever."""
        models = [*self.spec.models.values(), samples.model("huge", size_mb=500.0)]
        self.spec = samples.engine(*models)
        self.assertEqual(
            self.started_models(tutor=Demand(2.0, 9), huge=Demand(0.1, 1)), ["tutor"]
        )

    def test_a_store_with_a_concurrency_of_two_serves_both(self):
        started_models = self.started_models(
            2, tutor=Demand(2.0, 9), poet=Demand(0.2, 1)
        )
        self.assertEqual(started_models, ["tutor", "poet"])

    def test_where_all_have_a_copy_the_store_is_used(self):
        self.assertEqual(self.started_models(tutor=Demand(2.0, 9)), ["tutor"])


class TestCopiesBehindALongLoad(unittest.TestCase):
    """Symptom: callers get a retry time of minutes, that of the store's queue.

    Their model had a copy at an engine that would be free again in seconds.
    """

    def plan(self, left_s, others, store_loads=1):
        names = [f"m{number}" for number in range(others + 1)]
        models = [samples.model(name, load_s=13.0) for name in ("tutor", *names)]
        loading = Loading("m0", left_s, True)
        backends = [
            engine_backend(
                "b1", loading=loading, busy=True, on_disk=frozenset({"tutor"})
            ),
            *(engine_backend(f"b{number}") for number in range(2, 8)),
        ]
        demands = dict.fromkeys(names[1:], Demand(0.2, 1, callers=1.0))
        demands["tutor"] = Demand(0.5, 2, copies=1, callers=2.0)
        spec = samples.engine(*models)
        return Planner(spec, store_loads).plan(NOW, backends, demands)["tutor"]

    def test_the_load_is_planned_where_the_copy_is(self):
        load = self.plan(16.0, others=5)
        self.assertEqual((load.instance, load.from_store), ("b1", False))
        self.assertLess(load.ready_in_s, 18.0)

    def test_the_store_is_used_where_it_is_sooner(self):
        load = self.plan(40.0, others=0, store_loads=2)
        self.assertTrue(load.from_store and load.request_now)


class TestPlansOfManyWaitingModels(unittest.TestCase):
    """Symptom: an entry of a large fleet spends a tenth of a core on its plans.

    Each plan compared all engines for each model that only the weight store can
    load, though the store serves one at a time and the others are queued.
    """

    ENGINES, MODELS = 10, 30

    def setUp(self):
        names = [f"m{number}" for number in range(self.MODELS)]
        self.spec = samples.engine(*map(samples.model, names))
        self.backends = [engine_backend(f"b{n}") for n in range(self.ENGINES)]
        self.demands = {name: Demand(0.1, 1) for name in names}

    def plan(self):
        return Planner(self.spec, 1).plan(NOW, self.backends, self.demands)

    def test_engines_are_compared_for_the_next_model_alone(self):
        with mock.patch.object(
            LoadTarget, "victims", autospec=True, side_effect=LoadTarget.victims
        ) as evaluated:
            self.plan()
        self.assertLessEqual(evaluated.call_count, self.ENGINES + self.MODELS)

    def test_each_model_has_an_end_by_its_place_in_the_queue(self):
        ready = sorted(load.ready_in_s for load in self.plan().values())
        self.assertEqual(len(ready), self.MODELS)
        for position, ready_in_s in enumerate(ready, start=1):
            self.assertAlmostEqual(ready_in_s, 6.0 * position, delta=0.1)

    def test_a_model_that_no_engine_has_room_for_is_not_planned(self):
        held = [("much", "used")] * self.ENGINES
        self.backends = [
            engine_backend(
                f"b{n}",
                names,
                in_use=dict.fromkeys(names, 5),
                keep_values=dict.fromkeys(names, 9.0),
                memory_mb_used=100.0,
            )
            for n, names in enumerate(held)
        ]
        loading = Loading("m0", 5.0, True)
        self.backends.append(engine_backend("b", loading=loading, orderable=False))
        self.assertEqual(set(self.plan()), {"m0"})


class TestCopiesBesideTheStore(unittest.TestCase):
    """Symptom: a model with twenty waiting callers is loaded after seven seconds,
    though an engine with a copy of it accepts orders after the first second.

    Its only holder crashed, and a load from the store started elsewhere. The engine
    restarted with its disk, but the model already counted as being loaded.
    """

    def plan(self, left_s, waiting=6, **fields):
        spec = samples.engine(samples.model("tutor"), samples.model("poet"))
        backends = [
            engine_backend("b1", loading=Loading("tutor", left_s, True)),
            engine_backend("b2", **fields),
        ]
        demands = {"tutor": Demand(5.0, waiting, copies=2, oldest_s=1.0)}
        return Planner(spec, STORE_LOADS).plan(NOW, backends, demands)["tutor"]

    def test_a_copy_that_is_much_sooner_is_loaded_as_well(self):
        load = self.plan(5.5, on_disk=frozenset({"tutor"}))
        self.assertEqual((load.instance, load.request_now), ("b2", True))

    def test_a_copy_that_is_hardly_sooner_is_not_loaded(self):
        self.assertEqual(self.plan(2.0, on_disk=frozenset({"tutor"})).instance, "b1")

    def test_no_second_load_from_the_store_starts(self):
        self.assertEqual(self.plan(30.0).instance, "b1")

    def test_no_copy_is_loaded_for_few_calls(self):
        load = self.plan(5.5, waiting=1, on_disk=frozenset({"tutor"}))
        self.assertEqual(load.instance, "b1")


class TestEnginesReservedForCopies(unittest.TestCase):
    """Symptom: calls that a load from a copy would serve in time wait six seconds.

    Four of six engines were loading from the store, for calls that were late anyway,
    and each of them had the only copies of a dozen models.
    """

    def plan(self, engines, **demands):
        names = [f"m{number}" for number in range(8)]
        spec = samples.engine(*map(samples.model, names))
        backends = [engine_backend(f"b{number}") for number in range(engines)]
        plan = Planner(spec, STORE_LOADS).plan(NOW, backends, demands)
        return sum(load.request_now for load in plan.values())

    def test_while_calls_come_half_of_the_engines_load_from_the_store(self):
        demands = {f"m{number}": Demand(0.1, 1) for number in range(8)}
        self.assertEqual(self.plan(6, **demands), 3)
        self.assertEqual(self.plan(12, **demands), STORE_LOADS)

    def test_a_lone_engine_loads_too(self):
        self.assertEqual(self.plan(1, m0=Demand(0.1, 1)), 1)

    def test_before_any_call_all_engines_may_load_from_the_store(self):
        self.assertEqual(self.plan(6), STORE_LOADS)
