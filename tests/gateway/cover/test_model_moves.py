"""Freeing an engine for an awaited model by moving another to where it has a copy."""

import unittest

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples
from tests.gateway.cover.test_residency import NOW, engine_backend

BUSY = {
    "tutor": Demand(3.0, 0, 1, 0.0, 2),
    "poet": Demand(3.5, 0, 1, 0.0, 1),
    # In much higher demand, otherwise the two would get a second engine anyway.
    "others": Demand(100.0, 0, 3, 0.0, 3),
}
AWAITED = Demand(2.0, 6, 0, 1.0, 1)


class TestModelMoves(unittest.TestCase):
    """Moves of a model away from the only engine with a copy of an awaited one.

    The first engine is full of tutor and poet, which are in use, and has the only copy
    of clerk. The second holds scribe, which is idle, and has a copy of tutor.
    """

    def setUp(self):
        names = ("tutor", "poet", "clerk", "scribe", "extra")
        self.spec = samples.engine(*map(samples.model, names))

    def first(self, **fields):
        fields = {
            "on_disk": frozenset({"clerk"}),
            "in_use": {"tutor": 2, "poet": 3},
            "keep_values": {"tutor": 3.0, "poet": 3.5},
            **fields,
        }
        return engine_backend("b1", ("tutor", "poet"), **fields)

    def second(self, holdings=("scribe", "extra"), **fields):
        fields = {"on_disk": frozenset({"tutor"}), **fields}
        return engine_backend("b2", holdings, **fields)

    def plan(self, *backends, clerk=AWAITED, **demands):
        demands = {**BUSY, "clerk": clerk, **demands}
        return Planner(self.spec, 4).plan(NOW, backends, demands)

    def test_a_model_that_fills_the_engine_is_loaded_where_it_has_a_copy(self):
        """Symptom: demand shifts to a model, and its calls are refused for 6 seconds.

        Its only copy is at an engine full of busy models, so another engine loads it
        from the weight store. One of the busy models has a copy at another engine,
        which would have loaded it from there in half a second.
        """
        plan = self.plan(self.first(), self.second())
        self.assertEqual(
            (plan["tutor"].instance, plan["tutor"].request_now), ("b2", True)
        )
        self.assertFalse(plan["tutor"].from_store)
        self.assertEqual(
            (plan["clerk"].instance, plan["clerk"].request_now), ("b1", False)
        )
        self.assertLess(plan["clerk"].ready_in_s, 3.5)

    def test_while_it_is_being_moved_nothing_comes_from_the_store(self):
        loading = Loading("tutor", 0.4, False)
        second = self.second(("scribe",), loading=loading, busy=True)
        plan = self.plan(self.first(), second)
        self.assertFalse(plan["clerk"].from_store)
        self.assertEqual(plan["clerk"].instance, "b1")

    def test_models_without_a_copy_do_not_prevent_the_move(self):
        """The store was reserved for one of these, and the move wasn't made."""
        names = ("tutor", "poet", "clerk", "scribe", "extra", "new")
        self.spec = samples.engine(*map(samples.model, names))
        demands = {**BUSY, "clerk": AWAITED, "new": Demand(0.1, 0)}
        for ends_in_s in ([], [9.0]):
            planner = Planner(self.spec, 1, other_load_ends=ends_in_s)
            plan = planner.plan(NOW, [self.first(), self.second()], demands)
            self.assertEqual(plan["clerk"].instance, "b1")
            self.assertFalse(plan["clerk"].from_store)

    def test_once_it_has_two_holders_it_is_evicted(self):
        first = self.first(keep_values={"tutor": 0.4, "poet": 3.5})
        demands = {"tutor": Demand(3.0, 0, 2, 0.0, 2)}
        plan = self.plan(first, self.second(("scribe", "tutor")), **demands)
        self.assertEqual(
            (plan["clerk"].instance, plan["clerk"].request_now), ("b1", True)
        )

    def test_a_single_call_moves_nothing(self):
        plan = self.plan(self.first(), self.second(), clerk=Demand(0.1, 1, 0, 0.1, 1))
        self.assertNotIn("tutor", plan)
        self.assertTrue(plan["clerk"].from_store)

    def test_without_a_copy_elsewhere_it_comes_from_the_store(self):
        plan = self.plan(self.first(), self.second(on_disk=frozenset()))
        self.assertTrue(plan["clerk"].from_store)

    def test_a_model_that_many_calls_use_is_not_moved(self):
        demands = {"tutor": Demand(30.0, 0, 1, 0.0, 2)}
        plan = self.plan(self.first(), self.second(), **demands)
        self.assertTrue(plan["clerk"].from_store)


class TestLongLoads(unittest.TestCase):
    def test_a_long_load_goes_to_the_engine_with_the_fewest_unique_copies(self):
        """Symptom: a model gets calls, and its only copy can't be used for seconds.

        Its engine is loading another model from the weight store and accepts no order,
        though an engine without such copies was free as well.
        """
        spec = samples.engine(*(samples.model(f"m{n}") for n in range(9)))
        copies = frozenset({"m1", "m2", "m3"})
        for first, second in (("b1", "b2"), ("b2", "b1")):
            backends = [
                engine_backend(first, on_disk=copies),
                engine_backend(second),
            ]
            plan = Planner(spec, 4).plan(NOW, backends, {"m0": Demand(0.1, 1)})
            self.assertEqual(plan["m0"].instance, second)

    def test_copies_that_others_have_as_well_do_not_count(self):
        spec = samples.engine(*(samples.model(f"m{n}") for n in range(9)))
        copies = frozenset({"m1", "m2", "m3"})
        backends = [engine_backend("b1", on_disk=copies)]
        backends.append(engine_backend("b2", on_disk=copies | {"m4"}))
        plan = Planner(spec, 4).plan(NOW, backends, {"m0": Demand(0.1, 1)})
        self.assertEqual(plan["m0"].instance, "b1")


class TestKeepValues(unittest.TestCase):
    def test_of_equals_the_one_with_a_copy_elsewhere_is_evicted_first(self):
        alone, copied = Demand(0.0, 0, 1, 0.0, 1), Demand(0.0, 0, 1, 0.0, 2)
        self.assertGreater(alone.value_per_holder, copied.value_per_holder)

    def test_an_unknown_number_of_copies_counts_as_one(self):
        self.assertEqual(
            Demand(1.0, 0, 1).value_per_holder,
            Demand(1.0, 0, 1, 0.0, 1).value_per_holder,
        )
