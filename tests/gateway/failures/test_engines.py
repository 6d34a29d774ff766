"""An entry's totals of demand and its plans for services of engines."""

import unittest
from unittest import mock

from bambootiller.gateway import message_codec
from bambootiller.gateway.engine_plans import MAX_PLAN_AGE_INTERVALS
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.plan_scheduler import (
    IDLE_PLAN_INTERVAL_S,
    MAX_PLAN_INTERVAL_S,
    PLAN_INTERVAL_S,
)
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core import rendezvous
from bambootiller_core.gateway.demand_collection import responsible_planner
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from bambootiller_core.timers import TimerService
from tests.gateway.common import samples
from tests.gateway.common.samples import engine_state, registration


class App:
    instance = "entry-1"
    time = 10.0

    def now(self):
        return self.time


class FakeGatewayState:
    """A gateway state without a store: two services with an engine each."""

    batch_delay_s = 0.6

    class changed:
        count = 0

        @staticmethod
        def notify():
            pass

    def __init__(self):
        self.config = None
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, registration("b1", "tutor"))
        self.fleet.registry_changed(0.0, registration("b2", "judge"))


def agent_update(instance, demands):
    update = pb.ResidencyUpdate(sender=f"agent-of-{instance}")
    update.engine.CopyFrom(message_codec.engine_message(engine_state(instance)))
    update.total_demand.extend(message_codec.demand_messages(demands))
    return update


class TestTwoServicesOfEngines(unittest.TestCase):
    def test_the_demand_for_one_service_does_not_replace_that_for_the_other(self):
        """Symptom: with two services of engines, loads for the one stop and start.

        Agents of both report the total demand, each for its own service. An entry kept
        one table for all services, so each report replaced those of the other service's
        agents, and plans were made from the last one.
        """
        engines = Engines(
            App(), FakeGatewayState(), None, None, 7, samples.allocator_client()
        )
        engines.received(agent_update("b1", {"poet": Demand(rate=3.0, waiting=2)}))
        engines.received(agent_update("b2", {"critic": Demand(rate=1.0)}))
        self.assertEqual(engines.plans.total_demands("tutor", {})["poet"].waiting, 2)
        self.assertNotIn("critic", engines.plans.total_demands("tutor", {}))
        self.assertEqual(engines.plans.total_demands("judge", {})["critic"].rate, 1.0)

    def test_an_entrys_own_demand_counts_where_it_is_higher(self):
        engines = Engines(
            App(), FakeGatewayState(), None, None, 7, samples.allocator_client()
        )
        engines.received(agent_update("b1", {"poet": Demand(rate=3.0, waiting=2)}))
        merged = engines.plans.total_demands(
            "tutor", {"poet": Demand(rate=1.0, waiting=5)}
        )
        self.assertEqual((merged["poet"].rate, merged["poet"].waiting), (3.0, 5))


class TestPlansOfAnEntry(unittest.TestCase):
    """Symptom: an entry uses a tenth of a core and more for plans that nobody uses.

    Calls for a model are waiting somewhere nearly always, and meanwhile each of 32
    entries made a plan twenty times per second. Only those with a waiting call and the
    planner responsible for the model request loads.
    """

    def setUp(self):
        self.app, self.gateway_state = App(), FakeGatewayState()
        spec = samples.engine(samples.model("poet"), samples.model("critic"))
        service = samples.ServiceSpec("tutor", None, spec)
        self.gateway_state.config = samples.config(services=[service])
        self.engines = Engines(
            self.app, self.gateway_state, None, None, 7, samples.allocator_client()
        )
        self.plans = []
        original_plan = Planner.plan

        def plan(planner, now, backends, demands):
            self.plans.append(now)
            return original_plan(planner, now, backends, demands)

        patched = mock.patch.object(Planner, "plan", plan)
        patched.start()
        self.addCleanup(patched.stop)
        self.engines.plans.make_plans(10.0)
        self.timers = TimerService()
        self.engines.plans._scheduler.start(self.timers, 10.0)

    def report_demand(self, model, entries):
        update = agent_update("b1", {model: Demand(rate=3.0, waiting=2)})
        update.entries.extend(entries)
        self.engines.received(update)

    def count_plans(self, intervals):
        """Returns how many plans are made within some plan intervals, of which up to
        four are shorter than the idle interval."""
        before = len(self.plans)
        for _ in range(intervals):
            self.app.time += PLAN_INTERVAL_S
            self.timers.advance(self.app.time)
        return len(self.plans) - before

    def entries_with_other_planner(self):
        """Returns a model and entries of which another one is the responsible planner
        for the model and for the weight store."""
        for number in range(9999):
            model, other = f"m{number}", f"other-{number}"
            names = ("entry-1", other)
            subjects = (model, "weight store of tutor")
            if all(responsible_planner(name, names) == other for name in subjects):
                return model, names
        raise AssertionError("no planner of both a model and the weight store")

    def test_an_entry_that_requests_nothing_plans_only_when_idle(self):
        model, names = self.entries_with_other_planner()
        self.report_demand(model, names)
        self.engines.plans.make_plans(self.app.time)
        self.assertEqual(self.count_plans(3), 0)
        self.app.time += IDLE_PLAN_INTERVAL_S
        self.assertEqual(self.count_plans(1), 1)

    def entries_without_planning(self):
        """Returns entries among which this one is no planner of any model."""
        for first in range(99):
            others = tuple(f"other-{number}" for number in range(first, first + 20))
            names = ("entry-1", *others)
            if "entry-1" not in rendezvous.ranked("planner", names)[:4]:
                return names
        raise AssertionError("no entries among which this one isn't a planner")

    def test_an_entry_that_is_no_planner_makes_no_plans(self):
        """Symptom: the more entries there are, the more plans are made for nothing.

        Each of 68 entries was responsible for a few models, so all of them made the
        plan of all models four times per second, even without a waiting call of their
        own. That took more processor time than the calls and their events.
        """
        self.report_demand("poet", self.entries_without_planning())
        before = len(self.plans)
        for _ in range(4):
            self.app.time += IDLE_PLAN_INTERVAL_S
            self.timers.advance(self.app.time)
        self.assertEqual(len(self.plans) - before, 0)

    def test_an_entry_that_makes_no_plans_reports_its_demand(self):
        self.report_demand("poet", self.entries_without_planning())
        self.engines.plans.demand("tutor").record_call(self.app.time, "critic")
        self.app.time += IDLE_PLAN_INTERVAL_S
        self.timers.advance(self.app.time)
        self.assertIn("critic", self.engines.plans.own_demands("tutor"))

    def test_the_responsible_planner_plans_at_each_interval(self):
        self.report_demand("poet", ("entry-1",))
        self.engines.plans.make_plans(self.app.time)
        self.assertEqual(self.count_plans(3), 3)

    def test_an_entry_with_a_waiting_call_plans_at_each_interval(self):
        model, names = self.entries_with_other_planner()
        self.report_demand(model, names)
        self.engines.plans.demand("tutor").record_call(self.app.time, "poet")
        self.engines.plans.demand("tutor").begin_waiting(self.app.time, "poet")
        self.assertEqual(self.count_plans(3), 3)

    def test_in_a_large_fleet_plans_are_made_less_often(self):
        """Symptom: with 39 engines and 186 models an entry that refuses a call now and
        then spends a tenth of a core on plans.

        Refused callers count as waiting until they are expected back, and meanwhile the
        plan was made twenty times per second, however long it took to make.
        """
        models = [samples.model(f"m{number}") for number in range(186)]
        spec = samples.engine(samples.model("poet"), *models)
        service = samples.ServiceSpec("tutor", None, spec)
        self.gateway_state.config = samples.config(services=[service])
        for number in range(39):
            address = f"10.0.1.{number}:1"
            record = registration(f"i{number}", "tutor", address)
            self.gateway_state.fleet.registry_changed(0.0, record)
        self.engines.plans.demand("tutor").record_call(self.app.time, "poet")
        self.engines.plans.demand("tutor").begin_waiting(self.app.time, "poet")
        self.engines.plans.make_plans(self.app.time)
        self.assertLessEqual(
            self.count_plans(20), 20 * PLAN_INTERVAL_S / MAX_PLAN_INTERVAL_S + 1
        )

    def test_an_entry_that_expects_refused_callers_plans_at_each_interval(self):
        model, names = self.entries_with_other_planner()
        self.report_demand(model, names)
        self.engines.plans.demand("tutor").record_call(self.app.time, "poet")
        self.engines.plans.demand("tutor").refused(self.app.time, "poet", 3.0)
        self.engines.plans.make_plans(self.app.time)
        self.assertEqual(self.count_plans(3), 3)

    def test_a_call_gets_a_current_plan(self):
        self.engines.received(agent_update("b1", {}))
        demand = self.engines.plans.demand("tutor")
        demand.record_call(self.app.time, "poet")
        demand.begin_waiting(self.app.time, "poet")
        before = len(self.plans)
        for _ in range(5):
            self.assertEqual(
                self.engines.plans.plan_for("tutor", "poet").instance, "b1"
            )
        self.assertEqual(len(self.plans) - before, 1)
        self.app.time += MAX_PLAN_AGE_INTERVALS * PLAN_INTERVAL_S + 0.01
        self.engines.plans.plan_for("tutor", "poet")
        self.assertEqual(len(self.plans) - before, 2)

    def test_a_model_that_no_engine_can_load_causes_one_plan(self):
        demand = self.engines.plans.demand("tutor")
        demand.record_call(self.app.time, "unheard")
        demand.begin_waiting(self.app.time, "unheard")
        before = len(self.plans)
        for _ in range(5):
            self.assertIsNone(self.engines.plans.plan_for("tutor", "unheard"))
        self.assertEqual(len(self.plans) - before, 1)

    def test_a_further_call_for_an_unplanned_model_causes_a_new_plan(self):
        """Symptom: calls are refused one after the other, though together they justify
        a load.

        A plan that left a model out while one refused caller was expected back was used
        for all further calls as well, and there was such a plan nearly always.
        """
        demand = self.engines.plans.demand("tutor")
        demand.record_call(self.app.time, "unheard")
        demand.refused(self.app.time, "unheard", 3.0)
        self.engines.plans.make_plans(self.app.time)
        before = len(self.plans)
        for number in (1, 2):
            demand.begin_waiting(self.app.time, "unheard")
            for _ in range(3):
                self.engines.plans.plan_for("tutor", "unheard")
            self.assertEqual(len(self.plans) - before, number)
