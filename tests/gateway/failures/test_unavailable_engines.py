"""Loads from the weight store that are requested of engines that can't start them."""

import unittest
from unittest import mock

from bambootiller.gateway.agent import GatewayAgent
from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller_core.gateway.declined_loads import DeclineReason
from bambootiller_core.gateway.demand_collection import planners
from bambootiller_core.gateway.initial_discovery import MAX_STALL_S
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import (
    EngineReport,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.orders import OrderBook
from bambootiller_core.gateway.residency import Planner
from tests.common.fakekv import FakeKeyValue
from tests.gateway.common import samples
from tests.gateway.cover import test_store_permit_holder as permits
from tests.gateway.cover.test_engine_plans import ENTRIES, SERVICE, App
from tests.gateway.failures.test_store_load_requests import GatewayStateWithStore

ENGINES = 6
LOAD_S = 13.2


class TestEnginesThatDoNotRespond(unittest.TestCase):
    """Failure: after a crash of many engines the store was idle for seconds, as each
    load was requested of the next engine that didn't respond to its agent."""

    def planned_load(self, model, on_disk=frozenset()):
        """Returns the planned load of a model while only the last of the engines
        responds; ``on_disk`` are the copies at the first."""
        spec = samples.engine(samples.model(model, load_s=LOAD_S))
        backends = [
            samples.engine_backend(
                0.0,
                f"b{number}",
                silent=number < ENGINES - 1,
                on_disk=on_disk if number == 0 else frozenset(),
            )
            for number in range(ENGINES)
        ]
        planner = Planner(spec, store_loads=1)
        return planner.plan(0.0, backends, {model: Demand(0.5, 3)})[model]

    def test_a_load_is_requested_of_one_that_does(self):
        for number in range(10):
            with self.subTest(model=number):
                load = self.planned_load(f"m{number}")
                self.assertTrue(load.from_store)
                self.assertEqual((load.instance, load.request_now), ("b5", True))

    def test_a_model_with_a_copy_there_does_not_use_the_store(self):
        for number in range(10):
            with self.subTest(model=number):
                model = f"m{number}"
                self.assertFalse(self.planned_load(model, {model}).from_store)


class TestDeclinedLoads(unittest.TestCase):
    """Failure: an agent that couldn't start a requested load didn't reply, and the
    store was idle until the request expired."""

    def setUp(self):
        instances = planners(ENTRIES)
        self.requested = []
        for instance in instances:
            self.start(instance)
            if self.requested:
                return
        self.fail("no entry requests the load")

    def start(self, instance):
        """Starts an entry, and reports a model that no engine has."""
        self.app = App(instance)
        self.gateway_state = GatewayStateWithStore(self.app)
        self.plans = EnginePlans(self.app, self.gateway_state, self.record_request)
        self.plans.entries = ENTRIES
        self.plans.make_plans(self.app.at)
        self.app.at += MAX_STALL_S + 0.1
        for number in range(6):
            self.report(f"b{number}")
        self.make_plans()
        self.requested.clear()
        self.make_plans()

    def record_request(self, backend, load_request):
        self.requested.append(backend.instance)

    def report(self, instance, **fields):
        state = samples.engine_state(instance, **fields)
        self.gateway_state.fleet.engine_reported(self.app.at, state)

    def make_plans(self):
        demands = {"m1": Demand(0.5, 2)}
        self.plans.totals_reported(self.app.at, SERVICE, "10.0.0.1", demands)
        self.plans.make_plans(self.app.at)

    def plan_for(self, seconds):
        """Lets the entry make plans, 0.1 s apart; returns the last engine asked."""
        self.requested.clear()
        for _ in range(round(seconds / 0.1)):
            self.app.at += 0.1
            self.make_plans()
        return self.requested[-1]

    def test_another_engine_is_asked_at_once(self):
        first = self.requested[-1]
        self.app.at += 0.05
        self.report(first, declined="m1")
        self.assertNotEqual(self.plan_for(0.2), first)

    def test_another_engine_is_asked_at_once_if_it_does_not_respond(self):
        first = self.requested[-1]
        self.app.at += 0.05
        self.report(first, silent=True)
        self.assertNotEqual(self.plan_for(0.2), first)

    def test_a_load_that_is_not_declined_is_awaited(self):
        first = self.requested[-1]
        self.report(first, declined="m2")
        self.assertEqual(self.plan_for(0.3), first)


class TestReasonsForDeclining(unittest.TestCase):
    """Failure: no line showed why an agent didn't start a requested load."""

    def setUp(self):
        models = [samples.model(name) for name in ("m1", "m2")]
        spec = samples.engine(*models, memory_mb=50.0)
        self.book = OrderBook(spec)

    def report(self, now, holdings=(), **fields):
        held = {name: frozenset() for name in holdings}
        self.book.reported(now, EngineReport("b1", held, 0, **fields))

    def declined(self, now, model="m1"):
        self.book.load_requested(now, LoadRequest(model))
        order = self.book.next_order(now)
        declined = self.book.declined
        self.assertEqual(self.book.state(now).declined, declined and declined.model)
        return order, declined.reason

    def test_an_order_without_an_answer(self):
        self.report(0.0)
        self.book.load_requested(0.0, LoadRequest("m2"))
        order = self.book.next_order(0.0)
        self.book.order_sent(order)
        self.book.answered(0.0, order, OrderAnswer.UNANSWERED)
        self.report(0.1)
        repeated, reason = self.declined(0.1)
        self.assertEqual(repeated, order)
        self.assertIs(reason, DeclineReason.ORDER_UNANSWERED)

    def test_another_order(self):
        self.report(0.0, busy=True)
        self.assertEqual(self.declined(0.0), (None, DeclineReason.ORDER_IN_PROGRESS))

    def test_a_model_that_was_just_loaded(self):
        self.report(0.0)
        self.book.load_requested(0.0, LoadRequest("m2"))
        order = self.book.next_order(0.0)
        self.book.order_sent(order)
        self.book.answered(0.0, order, OrderAnswer.ACCEPTED)
        self.report(0.3, ["m2"])
        self.assertEqual(self.declined(0.3), (None, DeclineReason.NO_ROOM))

    def test_an_order_for_an_adapter_is_sent_first(self):
        self.report(0.0, ["m2"])
        self.book.load_requested(0.0, LoadRequest("m2", "a1"))
        self.book.load_requested(0.0, LoadRequest("m1"))
        self.assertEqual(self.book.next_order(0.0).adapter, "a1")
        self.assertIsNone(self.book.declined)

    def test_a_load_that_starts_is_not_declined(self):
        self.report(0.0)
        self.book.load_requested(0.0, LoadRequest("m1"))
        self.assertEqual(self.book.next_order(0.0).model, "m1")
        self.assertIsNone(self.book.declined)
        self.assertEqual(self.book.state(0.0).declined, "")


class TestRefusedStoreLoad(unittest.IsolatedAsyncioTestCase):
    """Failure: an engine that had restarted under another name refused the order of a
    load, and its agent kept the store's only permit for half a second."""

    def gateway_agent(self, agent, answer):
        """Returns the gateway's agent over the parts of a test's agent; its engine
        replies to each order with ``answer``."""
        found = GatewayAgent.__new__(GatewayAgent)
        found._app, found._book, found._events = agent.app, agent.book, agent.events
        found._permit_holder = agent.holder
        found._updates, found._engine = mock.Mock(), mock.AsyncMock()
        found._engine.order.return_value = answer
        found._token, found._reported_at, found._loading = 1, agent.app.at, None
        return found

    async def test_its_permit_is_free_at_once(self):
        kv = FakeKeyValue()
        first, second = permits.Agent(kv, "a1"), permits.Agent(kv, "a2")
        order = await first.request_load()
        self.assertIsNone(await second.request_load("m2"))
        refused = self.gateway_agent(first, OrderAnswer.OTHER_INSTANCE)
        await refused._send_order(order, "a1")
        await first.app.settle()
        second.app.at += 1.0
        self.assertIsNotNone(await second.request_load("m2"))

    async def test_a_load_that_may_have_started_keeps_it(self):
        kv = FakeKeyValue()
        first, second = permits.Agent(kv, "a1"), permits.Agent(kv, "a2")
        order = await first.request_load()
        await self.gateway_agent(first, OrderAnswer.UNANSWERED)._send_order(order, "a1")
        await first.app.settle()
        self.assertIsNone(await second.request_load("m2"))

    def test_no_room_is_made_for_it_any_more(self):
        spec = samples.engine(samples.model("m1"), memory_mb=50.0)
        book = OrderBook(spec)
        held = EngineReport("b1", {"old": frozenset()}, 0)
        book.reported(0.0, held)
        with mock.patch.object(book, "_order_for_model") as order_for_model:
            order_for_model.return_value = book._order(0.0, OrderKind.UNLOAD, "old", "")
            book._pending_load = mock.Mock()
            order = book.next_order(0.0)
            book.order_sent(order)
            book.answered(0.0, order, OrderAnswer.OTHER_INSTANCE)
        self.assertFalse(book.uses_store())
