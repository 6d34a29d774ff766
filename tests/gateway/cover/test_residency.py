"""Which engine loads which model next, and which models are evicted for it."""

import functools
import unittest

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.entry_reports import EntryReports
from bambootiller_core.gateway.load_targets import choose_victims, keep_values
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import CALLS_WAITING, LoadRequest
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

NOW = 5.0
STORE_LOADS = 4


engine_backend = functools.partial(samples.engine_backend, NOW)


class TestPlan(unittest.TestCase):
    def setUp(self):
        self.spec = samples.engine(
            samples.model("tutor"), samples.model("poet"), samples.model("clerk")
        )

    def plan(self, backends, **demands):
        return Planner(self.spec, STORE_LOADS).plan(NOW, backends, demands)

    def test_a_model_with_waiting_calls_is_requested_now(self):
        load = self.plan([engine_backend("b1")], tutor=Demand(0.1, 1))["tutor"]
        self.assertTrue(load.request_now)
        self.assertTrue(load.from_store)

    def test_the_engine_with_a_copy_is_preferred(self):
        backends = [
            engine_backend("b1"),
            engine_backend("b2", on_disk=frozenset({"tutor"})),
            engine_backend("b3"),
        ]
        load = self.plan(backends, tutor=Demand(0.1, 1))["tutor"]
        self.assertEqual(load.instance, "b2")
        self.assertLess(load.ready_in_s, 1.0)

    def test_a_copy_behind_a_long_load_is_not_waited_for(self):
        busy = Loading("poet", 9.0, True)
        backends = [
            engine_backend("b1"),
            engine_backend("b2", on_disk=frozenset({"tutor"}), loading=busy),
        ]
        # With two engines the store serves one load, and that is under way.
        load = self.plan(backends, tutor=Demand(0.1, 1))["tutor"]
        self.assertAlmostEqual(load.ready_in_s, 9.85)
        backends += [engine_backend("b3"), engine_backend("b4")]
        load = self.plan(backends, tutor=Demand(0.1, 1))["tutor"]
        self.assertNotEqual(load.instance, "b2")
        self.assertTrue(load.from_store and load.request_now)

    def test_a_held_model_is_not_loaded_again(self):
        plan = self.plan([engine_backend("b1", ["tutor"])], tutor=Demand(0.01, 0))
        self.assertNotIn("tutor", plan)

    def test_a_load_under_way_is_planned_and_not_requested_again(self):
        loading = Loading("tutor", 2.0, True)
        backends = [engine_backend("b1", loading=loading), engine_backend("b2")]
        load = self.plan(backends, tutor=Demand(0.1, 1))["tutor"]
        self.assertFalse(load.request_now)
        self.assertEqual(load.ready_in_s, 2.0)

    def test_no_more_loads_are_requested_than_the_store_serves_at_full_speed(self):
        names = [f"m{n}" for n in range(8)]
        self.spec = samples.engine(*(samples.model(name) for name in names))
        backends = [engine_backend(f"b{n}") for n in range(8)]
        plan = self.plan(backends, **{name: Demand(0.1, 1) for name in names})
        requested = [load for load in plan.values() if load.request_now]
        self.assertEqual(len(requested), STORE_LOADS)
        late = [load.ready_in_s for load in plan.values() if not load.request_now]
        self.assertGreater(min(late), 6.0)

    def test_before_any_call_models_without_a_copy_are_prefetched(self):
        plan = self.plan([engine_backend("b1", ["tutor"])])
        self.assertEqual(set(plan), {"poet", "clerk"})

    def test_before_the_first_call_the_shortest_load_starts_first(self):
        """The shorter load also lets each queued load from the store end sooner."""
        models = [samples.model(f"m{n}", load_s=15.0 - n % 2) for n in range(20)]
        plan = Planner(samples.engine(*models), 1).plan(NOW, [engine_backend("b1")], {})
        self.assertEqual(models[int(next(iter(plan))[1:])].load_s, 14.0)

    def test_while_calls_come_models_without_calls_are_not_prefetched(self):
        plan = self.plan([engine_backend("b1", ["tutor"])], tutor=Demand(0.01, 0))
        self.assertEqual(plan, {})

    def test_a_model_in_high_demand_gets_a_second_engine(self):
        backends = [engine_backend("b1", ["tutor"]), engine_backend("b2")]
        load = self.plan(backends, tutor=Demand(9.0, 0))["tutor"]
        self.assertEqual(load.instance, "b2")

    def test_a_model_that_only_a_lost_engine_holds_is_loaded_elsewhere(self):
        lost = engine_backend("b1", ("tutor",))
        lost.last_received_at = NOW - 2.0
        backends = [lost, engine_backend("b2")]
        demands = {"tutor": Demand(2.0, 3), "poet": Demand(90.0)}
        self.assertNotIn("tutor", self.plan(backends, **demands))
        lost.mark_unreachable(NOW - 0.1)
        load = self.plan(backends, **demands)["tutor"]
        self.assertEqual((load.instance, load.request_now), ("b2", True))

    def test_an_engine_whose_agent_is_silent_gets_no_load(self):
        backend = engine_backend("b1")
        backend.last_received_at = NOW - 60
        self.assertEqual(self.plan([backend], tutor=Demand(0.1, 1)), {})

    def test_no_long_load_starts_where_it_delays_more_calls_than_it_serves(self):
        """The engine is the only one that can load the adapters that calls wait for."""
        backends = [engine_backend("b1", ["tutor"])]
        demands = {
            "tutor": Demand(3.0, 0, adapter_miss_rate=1.0),
            "poet": Demand(0.1, 1),
        }
        self.assertNotIn("poet", self.plan(backends, **demands))
        another = engine_backend("b2", ["tutor"])
        self.assertIn("poet", self.plan([*backends, another], **demands))

    def test_a_long_load_goes_to_the_engine_with_fewer_adapter_misses(self):
        backends = [engine_backend("b1", ["tutor"]), engine_backend("b2", ["coder"])]
        for rates in ((0.1, 0.0), (0.0, 0.1)):
            tutor, coder = [Demand(3.0, 0, adapter_miss_rate=rate) for rate in rates]
            plan = self.plan(backends, tutor=tutor, coder=coder, poet=Demand(0.1, 1))
            expected = "b1" if rates[0] < rates[1] else "b2"
            self.assertEqual(plan["poet"].instance, expected)


class TestLoadOrder(unittest.TestCase):
    def plan(self, **demands):
        spec = samples.engine(*(samples.model(name) for name in sorted(demands)))
        return list(
            Planner(spec, STORE_LOADS).plan(NOW, [engine_backend("b1")], demands)
        )

    def test_the_calls_that_have_waited_longest_are_served_first(self):
        """Symptom: calls are held for seconds and then refused after all.

        The plan had their model loaded in time, so they were held. Models requested
        later overtook it because their demand was slightly higher.
        """
        plan = self.plan(early=Demand(0.1, 1, 0, 3.0), late=Demand(0.5, 3, 0, 1.0))
        self.assertEqual(plan, ["early", "late"])

    def test_a_model_that_many_calls_wait_for_is_loaded_first(self):
        plan = self.plan(early=Demand(0.1, 1, 0, 3.0), hot=Demand(5.0, 9, 0, 0.5))
        self.assertEqual(plan, ["hot", "early"])


class TestCallsThatCanMeetTheirTarget(unittest.TestCase):
    """Symptom: a call that a load from a copy would serve well within its latency
    target waits behind loads for calls that are late anyway.

    Loads were planned in the order in which calls arrived.
    """

    def setUp(self):
        self.spec = samples.engine(*map(samples.model, ("early", "late", "soon")))
        copies = frozenset({"early", "late", "soon"})
        self.backends = [engine_backend("b1", on_disk=copies)]
        self.late = Demand(0.1, 1, 0, 5.0, 1)

    def plan(self, **demands):
        return list(Planner(self.spec, STORE_LOADS).plan(NOW, self.backends, demands))

    def test_they_precede_calls_that_are_late_already(self):
        early = Demand(0.1, 1, 0, 0.2, 1, next_deadline_s=2.0)
        self.assertEqual(self.plan(late=self.late, early=early), ["early", "late"])

    def test_the_earliest_deadline_is_first(self):
        early = Demand(0.1, 1, 0, 0.9, 1, next_deadline_s=3.0)
        soon = Demand(0.1, 1, 0, 0.1, 1, next_deadline_s=1.0)
        self.assertEqual(self.plan(early=early, soon=soon), ["soon", "early"])

    def test_a_call_that_no_load_can_serve_in_time_gains_no_priority(self):
        early = Demand(0.1, 1, 0, 0.2, 1, next_deadline_s=0.5)
        self.assertEqual(self.plan(late=self.late, early=early), ["late", "early"])

    def test_a_call_that_only_the_store_can_serve_gains_no_priority(self):
        self.backends = [engine_backend("b1", on_disk=frozenset({"late"}))]
        early = Demand(0.1, 1, 0, 0.2, 0, next_deadline_s=3.0)
        self.assertEqual(self.plan(late=self.late, early=early), ["late", "early"])

    def test_an_agent_takes_the_load_requests_of_entries_in_the_same_order(self):
        entry_reports = EntryReports()
        early = Demand(0.1, 1, 0, 0.2, 1, next_deadline_s=2.0)
        entry_reports.load_requested(
            NOW, LoadRequest("late", "", CALLS_WAITING, self.late)
        )
        entry_reports.load_requested(
            NOW, LoadRequest("early", "", CALLS_WAITING, early)
        )
        self.assertEqual(
            [load_request.model for load_request in entry_reports.load_requests()],
            ["early", "late"],
        )


class TestVictims(unittest.TestCase):
    def setUp(self):
        self.spec = samples.engine(samples.model("tutor"), samples.model("poet"))
        self.held = {"tutor": frozenset(), "poet": frozenset()}

    def victims(self, in_use, values, incoming):
        return choose_victims(self.spec, self.held, 30.0, in_use, values, incoming)

    def test_the_idle_model_in_least_demand_is_evicted(self):
        found = self.victims({}, {"tutor": 2.0, "poet": 0.1}, Demand(0.1, 1))
        self.assertEqual(found.models, ("poet",))

    def test_a_model_in_use_stays_while_another_is_idle(self):
        values = {"tutor": 0.2, "poet": 0.1}
        found = self.victims({"poet": 1}, values, Demand(0.1, 1))
        self.assertEqual(found.models, ("tutor",))
        self.assertFalse(found.busy)

    def test_a_rarely_used_model_is_evicted_even_while_in_use(self):
        values = {"tutor": 9.0, "poet": 0.1}
        in_use = {"tutor": 5, "poet": 1}
        found = self.victims(in_use, values, Demand(0.1, 1))
        self.assertEqual(found.models, ("poet",))
        self.assertTrue(found.busy)

    def test_no_model_in_use_is_evicted_for_one_without_waiting_calls(self):
        in_use = {"tutor": 5, "poet": 1}
        self.assertIsNone(self.victims(in_use, {"poet": 0.1}, Demand(0.1, 0)))

    def test_expected_retries_protect_a_model_from_one_in_similar_demand(self):
        """Symptom: callers retry at the time they were given, and are refused again.

        Their model had been loaded in time, but was evicted a second before the
        retries for another in about the same demand.
        """
        due = {"tutor": Demand(1.0, 6, 1), "poet": Demand(900.0, 0, 1)}
        values = keep_values(("tutor", "poet"), due)
        rival, stronger = Demand(1.3, 8), Demand(1.3, 30)
        holdings = {"tutor": frozenset(), "poet": frozenset()}
        for incoming, should_evict in ((rival, False), (stronger, True)):
            victims = choose_victims(self.spec, holdings, 20.0, {}, values, incoming)
            self.assertEqual(victims is not None, should_evict, incoming)

    def test_a_busy_model_stays_in_a_moment_without_calls(self):
        """Symptom: a model with eight calls per second is evicted for a single caller,
        and loaded again two seconds later.

        Its engine had no call in flight for a moment, and a waiting call counted as
        much as four calls per second.
        """
        demands = {"tutor": Demand(8.0, holders=1), "poet": Demand(0.3, holders=1)}
        values = keep_values(self.held, demands)
        for in_use in ({}, {"poet": 1}):
            with self.subTest(in_use=in_use):
                found = self.victims(in_use, values, Demand(0.2, 2))
                self.assertEqual(found.models, ("poet",))

    def test_no_model_is_evicted_for_one_in_far_lower_demand(self):
        values = {"tutor": 50.0, "poet": 50.0}
        self.assertIsNone(self.victims({}, values, Demand(0.1, 1)))


class TestEvictionsThatWaitForCalls(unittest.TestCase):
    """Symptom: a model with 59 waiting calls is loaded 11 s after the request, six of
    which its engine spent on evicting two models with many calls in flight.

    The wait for calls in flight was estimated to be the same for one call as for all
    calls of two models.
    """

    def test_an_engine_with_fewer_calls_to_wait_for_is_preferred(self):
        spec = samples.engine(
            samples.model("tutor", size_mb=80.0),
            samples.model("poet", size_mb=50.0),
            samples.model("clerk", size_mb=50.0),
        )
        held = ["poet", "clerk"]
        values = keep_values(held, {name: Demand(0.1, 0, 1) for name in held})
        fields = {"memory_mb_used": 100.0, "keep_values": values}
        backends = [
            engine_backend("b1", held, in_use={"poet": 9, "clerk": 9}, **fields),
            engine_backend("b2", held, in_use={"poet": 1, "clerk": 1}, **fields),
            engine_backend("b3", held, in_use={"poet": 8, "clerk": 2}, **fields),
        ]
        plan = Planner(spec, STORE_LOADS).plan(NOW, backends, {"tutor": Demand(1.0, 3)})
        self.assertEqual(plan["tutor"].instance, "b2")
        self.assertGreater(plan["tutor"].ready_in_s, 6.0 + 2 * 1.5)


class TestModelsWithFullHolders(unittest.TestCase):
    """Symptom: calls of the busiest model are refused for want of capacity, while
    engines with a copy of it are idle.

    Both of its holders were full. A further engine got a model only if it had one
    holder at most.
    """

    def setUp(self):
        self.spec = samples.engine(samples.model("tutor"), samples.model("poet"))

    def backends(self, running):
        return [
            engine_backend("b1", ["tutor"], running=running),
            engine_backend("b2", ["tutor"], running=running),
            engine_backend("b3", on_disk=frozenset({"tutor"})),
        ]

    def plan(self, running):
        demands = {"tutor": Demand(9.0, 0, holders=2, copies=3)}
        return Planner(self.spec, STORE_LOADS).plan(
            NOW, self.backends(running), demands
        )

    def test_one_more_engine_gets_a_model_whose_holders_are_full(self):
        load = self.plan(running=4)["tutor"]
        self.assertEqual((load.instance, load.request_now), ("b3", True))

    def test_while_its_holders_have_room_no_engine_is_added(self):
        self.assertEqual(self.plan(running=2), {})

    def test_a_model_without_holders_and_waiting_calls_gets_no_engine(self):
        backends = [engine_backend("b3", on_disk=frozenset({"tutor"}))]
        demands = {"tutor": Demand(9.0, 0, copies=1)}
        self.assertEqual(
            Planner(self.spec, STORE_LOADS).plan(NOW, backends, demands), {}
        )


class TestLongPrefetches(unittest.TestCase):
    """Symptom: calls of a busy model are refused for most of a minute from the first
    call on.

    Before the first call, a model without a copy was prefetched to the only engine
    that held the busy one, which was evicted for it. The load took 40 s, and until it
    ended the engine accepted no other order.
    """

    def plan(self, load_s, holders):
        poet = samples.model("poet", size_mb=80.0, load_s=load_s)
        spec = samples.engine(samples.model("tutor", size_mb=80.0), poet)
        backends = []
        for number in range(holders):
            value = keep_values(["tutor"], {"tutor": Demand(holders=holders)})
            backends.append(
                engine_backend(
                    f"b{number}", ["tutor"], memory_mb_used=80.0, keep_values=value
                )
            )
        return Planner(spec, STORE_LOADS).plan(NOW, backends, {})

    def test_a_model_with_few_holders_is_not_evicted(self):
        self.assertEqual(self.plan(13.2, holders=2), {})

    def test_one_of_three_holders_may_evict_it(self):
        self.assertIn("poet", self.plan(13.2, holders=3))

    def test_a_short_load_may_evict_a_model_with_one_holder(self):
        self.assertIn("poet", self.plan(6.0, holders=1))


class TestPrefetchesAndReplicatedModels(unittest.TestCase):
    """Symptom: in the first seconds of traffic calls of the busiest models are refused,
    or wait for a load, though engines held these models a moment before.

    Before the first call, engines prefetched models without demand and evicted the
    model with the most holders for them, as the most redundant one. But the platform
    places the most used models on many engines.
    """

    def plan(self, holders, **demands):
        spec = samples.engine(
            samples.model("tutor", size_mb=80.0), samples.model("poet", size_mb=80.0)
        )
        values = keep_values(["tutor"], {"tutor": Demand(holders=holders)})
        backends = [
            engine_backend(
                f"b{number}", ["tutor"], memory_mb_used=80.0, keep_values=values
            )
            for number in range(holders)
        ]
        return Planner(spec, STORE_LOADS).plan(NOW, backends, demands)

    def test_no_holder_evicts_it_for_a_model_without_calls(self):
        for holders in (2, 3, 5):
            with self.subTest(holders=holders):
                self.assertEqual(self.plan(holders), {})

    def test_a_holder_evicts_it_for_a_model_with_waiting_calls(self):
        self.assertIn("poet", self.plan(2, poet=Demand(0.1, 1)))


class TestBusyModelsWithOneHolder(unittest.TestCase):
    """Symptom: a quarter of the calls of the busiest model get their first event late,
    and all of them fail when its engine crashes.

    One engine held it, though others had copies. A second holder had lower priority
    than any model with a single waiting call, and there was always one.
    """

    def setUp(self):
        self.spec = samples.engine(
            samples.model("tutor"), samples.model("poet"), samples.model("clerk")
        )
        self.demands = {
            "tutor": Demand(9.0, 0, holders=1, copies=2),
            "poet": Demand(0.2, 1, copies=1, oldest_s=0.5),
        }

    def plan(self, **fields):
        backends = [
            engine_backend("b1", ["tutor"], loading=Loading("clerk", 9.0, True)),
            engine_backend("b2", on_disk=frozenset({"poet", "tutor"}), **fields),
        ]
        return Planner(self.spec, STORE_LOADS).plan(NOW, backends, self.demands)

    def test_a_second_engine_precedes_a_single_waiting_call(self):
        plan = self.plan()
        self.assertEqual(
            (plan["tutor"].instance, plan["tutor"].request_now), ("b2", True)
        )
        self.assertFalse(plan["poet"].request_now)

    def test_it_does_not_precede_a_model_with_many_waiting_calls(self):
        self.demands["poet"] = Demand(0.2, 6, copies=1, oldest_s=0.5)
        plan = self.plan()
        self.assertTrue(plan["poet"].request_now)

    def test_it_does_not_come_from_the_store_while_others_wait(self):
        backends = [
            engine_backend("b1", ["tutor"]),
            engine_backend("b2", on_disk=frozenset({"poet"})),
        ]
        plan = Planner(self.spec, STORE_LOADS).plan(NOW, backends, self.demands)
        self.assertEqual(
            (plan["poet"].instance, plan["poet"].request_now), ("b2", True)
        )
