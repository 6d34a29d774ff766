"""Faults of the engine: cancelled callers, crash, lost orders, failing loads."""

import asyncio

import aiohttp

from bambootiller_standins._faults import FaultMode
from bambootiller_standins.engine import Engine, EngineConfig, most_replicas
from bambootiller_standins.testing import StandInTestCase, eventually
from bambootiller_standins.weightstore import WeightStore


class EngineFaultTests(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        times = {"memory": 1, "disk": 1, "remote": 1}
        self.cfg = EngineConfig.model_validate({"load_ms": times})
        self.engine = await self.started(Engine(self.cfg))

    async def control(self, **order):
        return await self.post(self.engine.url + "/control", order)

    async def order(self, order_id, kind="load"):
        body = {"order_id": order_id, "kind": kind, "model": "m", "memory_bytes": 1}
        return await self.post(self.engine.url + "/orders", body)

    async def settled(self, order_id):
        orders = self.engine.state.orders
        return await eventually(
            lambda: orders.get(order_id) if orders.get(order_id) != "pending" else None
        )

    async def stream(self, tokens):
        body = {"model": "m", "prompt": "p", "max_tokens": tokens, "stream": True}
        url = self.engine.url + "/v1/completions"
        response = await self.session.post(url, json=body)
        self.addCleanup(response.close)
        return response

    async def test_a_closed_connection_frees_the_engine_of_its_request(self):
        """
        Symptom: a request whose caller has gone still takes a place in the batch.
        Sequence: a stream begins, its caller closes the connection.
        Cause: the close must reach the batch as a cancel.
        """
        await self.order("l")
        await self.settled("l")
        response = await self.stream(1_000_000)
        await response.content.readline()
        response.close()
        await eventually(lambda: self.engine.state.running == 0, "nothing runs")
        self.assertEqual(self.engine.requests.cancelled, 1)

    async def test_a_crash_cuts_answers_and_starts_a_new_incarnation(self):
        """
        Symptom: a stream ends in the middle; the engine holds nothing any more.
        Sequence: a stream runs, the engine crashes and is started again.
        Cause: ordered by ``crash``.
        """
        await self.order("l")
        await self.settled("l")
        response = await self.stream(1_000_000)
        await response.content.readline()
        before = self.engine.state.incarnation
        await self.control(crash=True)
        with self.assertRaises(aiohttp.ClientError):
            while await asyncio.wait_for(response.content.readline(), 30):
                pass
        state = await self.get(self.engine.url + "/state")
        self.assertNotEqual(state["incarnation"], before)
        self.assertEqual(state["models"], [])

    async def test_an_order_outlives_the_sender_that_gave_up_on_it(self):
        """
        Symptom: a model is loaded although nobody seems to have ordered it.
        Sequence: an order is sent, its sender dies, and the order arrives.
        Cause: an order on the wire isn't bound to the life of its sender.
        """
        await self.control(order_delay_ms=100)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.order("l"), 0.02)
        await eventually(lambda: "m" in self.engine.state.replicas, "it was loaded")

    async def test_an_order_whose_answer_is_lost_is_carried_out(self):
        """
        Symptom: the sender sees a closed connection, the engine loads all the same.
        Sequence: the engine accepts, the connection closes before the answer.
        Cause: ordered by ``lose_orders``; the engine's state settles the case.
        """
        await self.control(lose_orders=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.order("l")
        self.assertEqual(await self.settled("l"), "done")

    async def test_a_failed_load_gives_its_memory_back(self):
        """
        Symptom: an order ends as failed.
        Sequence: the weight store closes the transfer of a remote checkpoint.
        Cause: the store is down.
        """
        store = await self.started(WeightStore())
        store.faults.set_mode(FaultMode.DOWN)
        self.cfg.weight_store = store.url
        await self.control(tiers={"m": "remote"})
        await self.order("l")
        self.assertEqual(await self.settled("l"), "failed")
        self.assertEqual(self.engine.state.memory_used, 0)

    async def test_a_frozen_engine_goes_on_where_it_stood(self):
        """
        Symptom: an engine answers nothing for a while, and then all of it.
        Sequence: a freeze is ordered; a request for its state arrives meanwhile.
        Cause: ordered by ``freeze_ms``.
        """
        await self.control(freeze_ms=60_000)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.get(self.engine.url + "/state"), 0.05)
        self.engine.faults.freeze(0)
        state = await self.get(self.engine.url + "/state")
        self.assertEqual(state["incarnation"], self.engine.state.incarnation)

    async def test_journals_tell_when_two_engines_held_a_model_at_once(self):
        """
        Symptom: two replicas where one was decided.
        Sequence: a second engine loads before the first has unloaded.
        Cause: here ordered by the test; the journals must show it.
        """
        second = await self.started(Engine(self.cfg.model_copy()))
        journals = [self.engine.journal.lines, second.journal.lines]
        await self.order("l")
        await self.settled("l")
        self.assertEqual(most_replicas(journals, "m"), 1)
        body = {"order_id": "x", "kind": "load", "model": "m", "memory_bytes": 1}
        await self.post(second.url + "/orders", body)
        await eventually(lambda: "m" in second.state.replicas)
        self.assertEqual(most_replicas(journals, "m"), 2)
