"""Which entries make plans of loads, and when."""

import unittest
from unittest import mock

from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller.gateway.gateway_state import ChangeNotifier
from bambootiller_core.gateway.demand_collection import planners
from bambootiller_core.gateway.fleet import AGENT_TIMEOUT_S, Fleet
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from bambootiller_core.timers import TimerService
from tests.gateway.common import samples

SERVICE = "llm"
ENTRIES = tuple([f"e{number}" for number in range(32)])
STEP_S = 0.01


class App:
    """The clock and the timers of one entry."""

    def __init__(self, instance):
        self.instance = instance
        self.at = 10.0
        self.timers = TimerService()

    def now(self):
        return self.at


class FakeGatewayState:
    """One engine, and the configuration of its service."""

    batch_delay_s = 0.6

    def __init__(self, app):
        models = [samples.model(f"m{number}") for number in range(40)]
        service = samples.plain_service(SERVICE, engine=samples.engine(*models))
        self.config = samples.config(services=[service])
        self.changed = ChangeNotifier()
        self.fleet = Fleet()
        self.fleet.registry_changed(app.at, samples.registration("b1", SERVICE))
        self.fleet.engine_reported(app.at, samples.engine_state("b1"))


class TestLostEngines(unittest.TestCase):
    """Symptom: callers of a model that only a lost engine holds count as served."""

    def test_models_that_they_hold_do_not_count_as_held(self):
        app = App("e1")
        gateway_state = FakeGatewayState(app)
        gateway_state.fleet.engine_reported(app.at, samples.engine_state("b1", ["m1"]))
        plans = EnginePlans(app, gateway_state, lambda backend, load_request: True)
        plans.demand(SERVICE).record_call(app.at, "m1")
        self.assertEqual(plans.own_demands(SERVICE)["m1"].holders, 1)
        gateway_state.fleet.get("b1").mark_unreachable(app.at)
        app.at += AGENT_TIMEOUT_S + 0.1
        demand = plans.own_demands(SERVICE)["m1"]
        self.assertEqual((demand.holders, demand.copies), (0, 0))


class TestPlanners(unittest.TestCase):
    """Symptom: entries of a large fleet spend a quarter of their CPU time on plans.

    Each entry that expected a refused caller back made a plan ten times per second,
    though a few entries are responsible for loads and get reports about all callers.
    """

    def start(self, instance):
        self.app = App(instance)
        self.plans = EnginePlans(
            self.app, FakeGatewayState(self.app), lambda backend, load_request: True
        )
        self.plans.entries = ENTRIES
        self.demand = self.plans.demand(SERVICE)
        self.demand.record_call(self.app.at, "m1")
        self.plans.start(self.app.at)

    def plans_in(self, seconds):
        """The number of plans made within so many seconds."""
        with mock.patch.object(Planner, "plan", autospec=True, return_value={}) as plan:
            for _ in range(round(seconds / STEP_S)):
                self.app.at += STEP_S
                self.app.timers.advance(self.app.at)
        return plan.call_count

    @staticmethod
    def other_entry():
        """An entry that is no planner."""
        return next(name for name in ENTRIES if name not in planners(ENTRIES))

    def test_an_entry_with_refused_callers_alone_leaves_plans_to_planners(self):
        self.start(self.other_entry())
        self.demand.refused(self.app.at, "m1", 6.0)
        self.assertEqual(self.plans_in(2.0), 0)

    def test_an_entry_with_a_waiting_call_plans(self):
        self.start(self.other_entry())
        self.demand.begin_waiting(self.app.at, "m1")
        self.assertGreater(self.plans_in(1.0), 5)

    def test_a_planner_plans_for_the_refused_callers_of_others(self):
        self.start(planners(ENTRIES)[0])
        demands = {f"m{number}": Demand(0.1, waiting=1) for number in range(40)}
        self.plans.totals_reported(self.app.at, SERVICE, "10.0.0.1", demands)
        self.assertGreater(self.plans_in(1.0), 5)
