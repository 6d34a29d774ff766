"""Requests of loads from the weight store, which serves few of them at a time."""

import unittest

from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller.gateway.plan_scheduler import PLAN_INTERVAL_S
from bambootiller_core.gateway.demand_collection import planners
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.initial_discovery import MAX_STALL_S
from bambootiller_core.gateway.log_lines import StoreLoadAsked
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.store_concurrency import PROBE_RETRY_S
from bambootiller_core.gateway.store_load_requests import (
    REPORT_TIMEOUT_S,
    StoreLoadRequests,
)
from bambootiller_core.gateway.store_queue import StartReason
from tests.gateway.common import samples
from tests.gateway.cover.test_engine_plans import (
    ENTRIES,
    SERVICE,
    App,
    FakeGatewayState,
)

MODELS = ("m1", "m2", "m3", "m4")


class GatewayStateWithStore(FakeGatewayState):
    """Engines without any copy, and a weight store so slow that its estimated
    concurrency is one load."""

    def __init__(self, app):
        super().__init__(app)
        models = [samples.model(name, load_s=20.0) for name in MODELS]
        service = samples.plain_service(SERVICE, engine=samples.engine(*models))
        self.config = samples.config(services=[service])
        self.fleet = Fleet()
        for number in range(6):
            instance, address = f"b{number}", f"10.0.0.{number}:1"
            record = samples.registration(instance, SERVICE, address)
            self.fleet.registry_changed(app.at, record)
            self.fleet.engine_reported(app.at, samples.engine_state(instance))


class TestOneFreeStoreSlot(unittest.TestCase):
    """Symptom: two loads from the store start within 40 ms at two engines.

    The store could serve one more load, and each entry requested one for the first of
    the models for which it is the responsible planner.
    """

    def plan_at_entry(self, instance, demands):
        app = App(instance)
        gateway_state = GatewayStateWithStore(app)
        requested = []

        def request_load(backend, load_request):
            requested.append(load_request.model)

        self.lines = []
        plans = EnginePlans(app, gateway_state, request_load, self.lines.append)
        plans.entries = ENTRIES
        plans.make_plans(app.at)
        app.at += MAX_STALL_S + 0.1
        for number in range(6):
            gateway_state.fleet.engine_reported(
                app.at, samples.engine_state(f"b{number}")
            )
        plans.make_plans(app.at)
        requested.clear()
        plans.totals_reported(app.at, SERVICE, "10.0.0.1", demands)
        plans.make_plans(app.at)
        return app, plans, requested

    def test_exactly_one_entry_requests_the_load(self):
        requesting = set()
        for instance in planners(ENTRIES):
            for first in MODELS:
                demands = dict.fromkeys(MODELS, Demand(0.1, 1))
                demands[first] = Demand(0.5, 2)
                if self.plan_at_entry(instance, demands)[2]:
                    requesting.add(instance)
        self.assertEqual(len(requesting), 1)

    def test_the_log_line_has_the_start_reason(self):
        requests = []
        for instance in planners(ENTRIES):
            self.plan_at_entry(instance, {"m1": Demand(0.5, 2)})
            lines = [line for line in self.lines if isinstance(line, StoreLoadAsked)]
            requests += [line for line in lines if line.model == "m1"]
        (line,) = requests
        self.assertEqual((line.turn, line.full_speed), ("free", 1))

    def test_an_entry_keeps_its_choice_until_the_agent_reports(self):
        for instance in planners(ENTRIES):
            first = {**dict.fromkeys(MODELS, Demand(0.1, 1)), "m1": Demand(0.5, 2)}
            app, plans, requested = self.plan_at_entry(instance, first)
            initially_requested = set(requested)
            for model in MODELS:
                later = {**first, model: Demand(0.9, 3)}
                plans.totals_reported(app.at, SERVICE, "10.0.0.1", later)
                app.at += PLAN_INTERVAL_S
                plans.make_plans(app.at)
            self.assertEqual(set(requested), initially_requested)


class TestLoadsThatDoNotStart(unittest.TestCase):
    """Symptom: no model without a copy is loaded for the rest of the day.

    The load of the first model in the queue didn't start, and each plan requested it
    again.
    """

    def requested_models(self, admits):
        app = App(ENTRIES[0])
        gateway_state, requested = GatewayStateWithStore(app), []
        plans = EnginePlans(
            app,
            gateway_state,
            lambda backend, load_request: requested.append(load_request.model),
            admits=admits,
        )
        plans.entries = (app.instance,)
        demands = {"m1": Demand(0.9, 3), "m2": Demand(0.5, 2)}
        for _ in range(round((MAX_STALL_S + 12.0) / PLAN_INTERVAL_S)):
            app.at += PLAN_INTERVAL_S
            for number in range(6):
                gateway_state.fleet.engine_reported(
                    app.at, samples.engine_state(f"b{number}")
                )
            plans.totals_reported(app.at, SERVICE, "10.0.0.1", demands)
            plans.make_plans(app.at)
        return requested

    def test_a_load_that_is_not_admitted_takes_no_slot(self):
        requested = self.requested_models(admits=lambda model: model != "m1")
        self.assertEqual(set(requested), {"m2"})

    def test_a_load_that_does_not_start_is_not_requested_again_at_once(self):
        self.assertEqual(
            set(self.requested_models(admits=lambda model: True)), {"m1", "m2"}
        )


class TestStoreLoadRequests(unittest.TestCase):
    def setUp(self):
        self.load_requests = StoreLoadRequests()

    def choose(self, now, *models, reported=()):
        planned = [PlannedLoad(model, "b1", 6.0, True, True) for model in models]
        chosen = self.load_requests.choose(
            now, planned, lambda load: load.model in reported
        )
        return [load.model for load in chosen]

    def test_a_requested_load_takes_a_slot(self):
        self.assertEqual(self.choose(1.0, "m1"), ["m1"])
        self.assertEqual(self.choose(1.1, "m2"), ["m1"])
        self.assertEqual(self.choose(1.2, "m2", "m3"), ["m1", "m2"])

    def test_a_reported_load_takes_no_slot_of_requests(self):
        self.choose(1.0, "m1")
        self.assertEqual(self.choose(1.1, "m2", reported={"m1"}), ["m2"])

    def test_a_request_expires_if_its_load_does_not_start(self):
        self.choose(1.0, "m1")
        self.assertEqual(self.choose(1.1 + REPORT_TIMEOUT_S, "m2"), ["m2"])


class TestProbeAtRemovedEngine(unittest.TestCase):
    """Symptom: a second probe of the store's concurrency starts beside the first.

    The registry removed the engine of the first probe before its load was reported, and
    further probes were started again and again.
    """

    def setUp(self):
        self.load_requests = StoreLoadRequests()
        self.listed = {"b1", "b2"}

    def choose(self, now, model, instance, reported=()):
        load = PlannedLoad(model, instance, 6.0, True, True, StartReason.PROBE)
        chosen = self.load_requests.choose(
            now,
            [load],
            lambda load: load.model in reported,
            lambda load: load.instance in self.listed,
        )
        return [load.model for load in chosen]

    def test_no_second_probe_starts_beside_it(self):
        self.assertEqual(self.choose(1.0, "m1", "b1"), ["m1"])
        self.listed.remove("b1")
        self.assertEqual(self.choose(1.1, "m2", "b2"), [])
        self.assertFalse(self.load_requests.may_probe(1.1))
        self.assertTrue(self.load_requests.may_probe(1.1 + PROBE_RETRY_S))

    def test_no_second_probe_starts_if_the_first_was_reported(self):
        self.choose(1.0, "m1", "b1")
        self.choose(1.1, "m1", "b1", reported={"m1"})
        self.listed.remove("b1")
        self.assertEqual(self.choose(1.2, "m2", "b2"), [])

    def test_an_ended_probe_does_not_block_the_next(self):
        self.choose(1.0, "m1", "b1")
        self.choose(1.1, "m1", "b1", reported={"m1"})
        self.choose(7.0, "m2", "b2")
        self.listed.remove("b1")
        self.choose(8.0, "m2", "b2")
        self.assertTrue(self.load_requests.may_probe(8.0))
