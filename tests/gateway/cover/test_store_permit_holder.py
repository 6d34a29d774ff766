"""An agent's permit for the weight store, over a key-value service in memory."""

import asyncio
import unittest
from unittest import mock

from bambootiller.gateway import store_permit_holder
from bambootiller.gateway.store_permit_holder import (
    ACQUIRE_TIMEOUT_S,
    START_TIMEOUT_S,
    StorePermitHolder,
)
from bambootiller_core.gateway.order_messages import (
    EngineReport,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.orders import OrderBook
from bambootiller_core.gateway.store_permit_gate import StorePermitGate
from bambootiller_core.gateway.store_permit_record import prefix_of
from tests.common.fakekv import FakeKeyValue, Fault
from tests.gateway.common import samples

SERVICE = "llm"
ENGINE = samples.engine(*[samples.model(f"m{number}") for number in range(3)])


def report(instance, models=(), accepted=0, **fields):
    held = {name: frozenset() for name in models}
    return EngineReport(instance, held, accepted, **fields)


class App:
    """The clock and the tasks of one agent."""

    def __init__(self, instance):
        self.instance = instance
        self.at = 10.0
        self.tasks = []
        self.renewals = []

    def now(self):
        return self.at

    def spawn(self, name, coroutine):
        task = asyncio.create_task(coroutine, name=name)
        lasts = name.startswith("lease of")
        (self.renewals if lasts else self.tasks).append(task)

    async def settle(self):
        """Waits for all tasks apart from renewals of leases."""
        while self.tasks:
            await self.tasks.pop()


class Events:
    """Records the log lines that are emitted."""

    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)


class Agent:
    """An order book behind its gate, and the holder of its permit."""

    def __init__(self, kv, instance):
        self.app, self.events = App(instance), Events()
        self.gate = StorePermitGate()
        self.book = OrderBook(ENGINE, self.gate)
        self.holder = StorePermitHolder(
            self.app, kv, SERVICE, self.gate, self.events, lambda: None, self.app.now
        )
        self.book.reported(self.app.at, report(instance))

    async def request_load(self, model="m1", store_permits=1):
        """Requests a load, acquires a permit if necessary, and returns the order."""
        self.book.load_requested(
            self.app.at, LoadRequest(model, store_permits=store_permits)
        )
        order = self.book.next_order(self.app.at)
        if order is None:
            self.holder.acquire(self.app.at)
            await self.app.settle()
            order = self.book.next_order(self.app.at)
        return order

    async def release_if_unused(self, load_in_progress=False):
        """Lets the holder release a permit without a load; waits until it has."""
        self.holder.release_if_unused(self.app.at, load_in_progress)
        await self.app.settle()


class TestStorePermitHolder(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(store_permit_holder, "RETRY_S", 0.01))
        self.kv = FakeKeyValue()
        self.first, self.second = Agent(self.kv, "a1"), Agent(self.kv, "a2")

    def held(self):
        """The keys of the permits in the key-value service."""
        return [key for key in self.kv.records if key.startswith(prefix_of(SERVICE))]

    async def test_one_agent_holds_the_only_permit(self):
        self.assertEqual((await self.first.request_load()).kind, OrderKind.LOAD)
        self.assertIsNone(await self.second.request_load("m2"))
        self.assertEqual(self.second.events.lines[-1].holders, ("a1",))

    async def test_as_many_loads_start_as_there_are_permits(self):
        third = Agent(self.kv, "a3")
        for agent in (self.first, self.second):
            self.assertIsNotNone(await agent.request_load(store_permits=2))
        self.assertIsNone(await third.request_load(store_permits=2))

    async def test_of_concurrent_attempts_one_gets_the_permit(self):
        attempts = []
        others = [Agent(self.kv, f"b{number}") for number in range(4)]
        for agent in others:
            attempts.append(asyncio.create_task(agent.request_load()))
        orders = await asyncio.gather(*attempts)
        self.assertEqual(len([order for order in orders if order is not None]), 1)

    async def test_the_permit_is_free_after_the_load(self):
        await self.first.request_load()
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertIsNotNone(await self.second.request_load("m2"))

    async def test_a_load_from_a_copy_needs_no_permit(self):
        report_with_copy = report("a1", on_disk=frozenset({"m1"}))
        self.first.book.reported(self.first.app.at, report_with_copy)
        self.assertIsNotNone(await self.first.request_load())
        self.assertEqual(self.held(), [])

    async def test_the_permit_is_held_while_the_load_runs(self):
        await self.first.request_load()
        self.first.app.at += START_TIMEOUT_S + 20.0
        await self.first.release_if_unused(load_in_progress=True)
        self.assertEqual(len(self.held()), 1)

    async def test_the_lease_is_renewed_while_the_permit_is_held(self):
        """The lease lasted as long as a load and restarted when the key-value service
        recovered, so the permit of a dead agent blocked the store for 7 s."""
        self.enterContext(
            mock.patch.object(store_permit_holder, "RENEW_INTERVAL_S", 0.01)
        )
        await self.first.request_load()
        await asyncio.sleep(0.05)
        self.assertTrue(self.kv.kept)
        self.first.holder.load_ended()
        await self.first.app.settle()
        await asyncio.gather(*self.first.app.renewals)
        self.assertLess(store_permit_holder.LEASE_TTL_S, 13.0)

    async def test_the_permit_is_released_if_the_load_does_not_start(self):
        await self.first.request_load()
        self.first.app.at += START_TIMEOUT_S + 0.1
        await self.first.release_if_unused()
        self.assertEqual(self.held(), [])

    def begin_acquiring(self, agent, model="m1"):
        """The agent starts to acquire a permit; doesn't wait for the result."""
        agent.book.load_requested(agent.app.at, LoadRequest(model))
        agent.book.next_order(agent.app.at)
        agent.holder.acquire(agent.app.at)

    async def test_a_load_starts_without_a_permit_during_an_outage(self):
        self.kv.down = True
        self.begin_acquiring(self.first)
        self.first.app.at += ACQUIRE_TIMEOUT_S / 2
        self.begin_acquiring(self.first)
        self.assertFalse(self.first.gate.is_open)
        self.first.app.at += ACQUIRE_TIMEOUT_S
        self.begin_acquiring(self.first)
        self.assertTrue(self.first.gate.is_open)
        self.assertEqual(self.first.events.lines[-1].outcome, "without")
        await self.first.app.settle()

    def run_steps(self, agent, seconds):
        """Runs the agent for ``seconds`` without load requests; returns the first
        order."""
        for _ in range(round(seconds / 0.2)):
            agent.app.at += 0.2
            order = agent.book.next_order(agent.app.at)
            if order is not None:
                return order
            agent.holder.acquire(agent.app.at)
        return None

    async def test_a_load_without_a_permit_needs_no_repeated_request(
        self,
    ):
        """The entry sees the load as planned and doesn't repeat its request; the store
        was idle until the key-value service recovered."""
        self.kv.down = True
        self.begin_acquiring(self.first)
        self.assertIsNotNone(self.run_steps(self.first, ACQUIRE_TIMEOUT_S + 1.0))
        await self.first.app.settle()

    async def test_a_load_starts_without_a_permit_while_the_last_is_unreleased(self):
        await self.first.request_load()
        self.kv.down = True
        self.first.holder.load_ended()
        for _ in range(round((ACQUIRE_TIMEOUT_S + 1.0) / 0.2)):
            self.first.app.at += 0.2
            self.begin_acquiring(self.first, "m2")
        self.assertTrue(self.first.gate.is_open)
        self.kv.down = False
        await self.first.app.settle()

    async def test_a_permit_whose_lease_expired_is_acquired_again(self):
        self.enterContext(
            mock.patch.object(store_permit_holder, "RENEW_INTERVAL_S", 0.01)
        )
        await self.first.request_load()
        (key,) = self.held()
        del self.kv.records[key]
        self.kv.lapsed.add(self.kv.leases)
        await asyncio.sleep(0.05)
        self.assertEqual(self.held(), [key])
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertEqual(self.held(), [])

    async def test_a_late_attempt_does_not_remove_the_next_permit(self):
        answers = asyncio.Event()
        read = self.kv.get_prefix

        async def late(prefix):
            await answers.wait()
            return await read(prefix)

        self.kv.get_prefix = late
        self.begin_acquiring(self.first)
        late_attempt = self.first.app.tasks.pop()
        await asyncio.sleep(0)
        self.kv.get_prefix = read
        self.run_steps(self.first, ACQUIRE_TIMEOUT_S + 1.0)
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertIsNotNone(await self.first.request_load("m2"))
        answers.set()
        await late_attempt
        self.assertEqual(len(self.held()), 1)

    async def test_one_failed_read_does_not_open_the_gate(self):
        """A load started although another agent visibly held the permit."""
        await self.second.request_load()
        self.kv.down = True
        self.begin_acquiring(self.first)
        await asyncio.sleep(0)
        self.kv.down = False
        await self.first.app.settle()
        self.assertFalse(self.first.gate.is_open)

    async def test_while_a_permit_is_acquired_the_load_is_reported(self):
        """Otherwise the entry asks another agent, and two acquire a permit."""
        self.begin_acquiring(self.first)
        loading = self.first.book.state(self.first.app.at).loading
        self.assertEqual((loading.model, loading.from_store), ("m1", True))
        await self.first.app.settle()

    async def test_a_write_whose_answer_is_lost_is_found_again(self):
        self.kv.faults.append(Fault.LOST_AFTER)
        self.assertIsNotNone(await self.first.request_load())
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertEqual(self.held(), [])

    async def test_a_permit_written_late_is_removed_after_a_load_without_one(self):
        """No agent released it, and no load from the store started until it expired."""
        self.kv.faults.append(Fault.LOST_AFTER)
        self.begin_acquiring(self.first)
        await asyncio.sleep(0)
        self.first.app.at += ACQUIRE_TIMEOUT_S + 0.1
        self.begin_acquiring(self.first)
        self.first.app.at += START_TIMEOUT_S + 0.1
        await self.first.release_if_unused()
        self.assertEqual(self.held(), [])

    async def test_the_permit_is_released_once_the_service_answers(self):
        await self.first.request_load()
        self.kv.faults.append(Fault.DOWN)
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertEqual(self.held(), [])

    async def test_a_late_removal_does_not_remove_the_next_permit(self):
        """The agent finds its own key still there and uses it for its next load."""
        await self.first.request_load()
        self.kv.faults.append(Fault.DELAYED)
        self.first.holder.load_ended()
        await self.first.app.settle()
        self.assertIsNotNone(await self.first.request_load("m2"))
        self.kv.land_delayed()
        self.assertEqual(len(self.held()), 1)

    async def test_a_new_process_takes_over_its_predecessors_permit(self):
        await self.first.request_load()
        successor = Agent(self.kv, "a1")
        await successor.holder.recover()
        self.assertTrue(successor.gate.is_open)
        successor.app.at += START_TIMEOUT_S + 0.1
        await successor.release_if_unused()
        self.assertEqual(self.held(), [])

    async def test_an_unreadable_permit_counts_as_held(self):
        await self.first.request_load()
        (key,) = self.held()
        record = self.kv.records[key]
        self.kv.records[key] = type(record)(key, b"\xff", record.mod_revision)
        self.assertIsNone(await self.second.request_load("m2"))


class TestOrdersWithoutAGate(unittest.TestCase):
    def test_a_load_from_the_store_uses_it_until_it_is_over(self):
        book = OrderBook(ENGINE)
        book.reported(1.0, report("b1"))
        book.load_requested(1.0, LoadRequest("m1"))
        order = book.next_order(1.0)
        self.assertFalse(book.uses_store())
        book.order_sent(order)
        self.assertTrue(book.uses_store())
        book.answered(1.0, order, OrderAnswer.ACCEPTED)
        self.assertTrue(book.uses_store())
        book.reported(2.0, report("b1", ["m1"], accepted=1))
        self.assertFalse(book.uses_store())
