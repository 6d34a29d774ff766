"""One agent while its engine fails, and while its slot writes go wrong."""

import asyncio
import unittest

from bambootiller.agent.engine import order_seconds
from bambootiller_standins.engine import expected_answer
from bambootiller_standins.testing import eventually
from tests.agent.common.bench import AgentTestCase, kinds, question, text_of


class FailureTestCase(AgentTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.place("i-1")


class TestEngine(FailureTestCase):
    async def test_a_load_whose_answer_is_lost_happens_once(self):
        """Symptom: a model is loaded twice, or its memory is counted twice.

        Sequence: the engine takes the order to load and closes the connection before it
        answers. Cause: the sender takes silence for a refusal.
        """
        agent = await self.agent()
        self.engine.orders_to_lose = 1
        events = await agent.serve(question("r-1"))
        self.assertEqual(kinds(events)[-1], "done")
        self.assertEqual(self.engine.orders.counts.loads, 1)
        self.assertEqual(self.engine.state.memory_used, 2**30)

    async def test_an_engine_that_crashes_cuts_the_answer_and_serves_again(self):
        """Symptom: half an answer is taken for a whole one, or nothing is served later.

        Sequence: the engine crashes while it answers, and comes back empty. Cause: the
        end of the connection is taken for the end of the answer.
        """
        self.engine.cfg.token_ms = 20
        agent = await self.agent()
        call = asyncio.create_task(agent.serve(question("r-1", tokens=500)))
        await eventually(lambda: self.engine.requests.tokens > 3, "tokens")
        await self.engine.crash()
        events = await call
        refused = events[-1].refused
        self.assertEqual(
            (refused.code, refused.executed), ("backend_failed", "unknown")
        )
        whole = expected_answer("forge/tutor", "", "why?", 500)
        self.assertTrue(whole.startswith(text_of(events)))

        async def served():
            events = await agent.serve(question("r-2"))
            return kinds(events)[-1] == "done"

        await eventually(served, "the engine serves again")

    async def test_an_engine_that_is_silent_refuses_as_not_run(self):
        """Symptom: callers wait until their deadline for an engine that is gone.

        Sequence: the engine stops answering; requests come. Cause: the agent goes by
        the last state that it read.
        """
        agent = await self.agent()
        await agent.serve(question("r-1"))
        self.engine.faults.set_mode("down")

        async def refused_as_unreachable():
            refused = (await agent.serve(question("r-2")))[-1].refused
            return (refused.code, refused.executed) == ("unreachable", "no")

        await eventually(refused_as_unreachable, "refused at once")

    def test_an_order_is_on_its_way_for_less_than_the_settle_time(self):
        """Symptom: a model is loaded under a slot that has been given away.

        Sequence: an agent dies with an order on its way; the next one waits for the
        settle time, reads the engine and gives the slot back; the order arrives.
        Cause: an order may take longer than the settle time.
        """
        for settle in (0.2, 1.0, 10.0, 600.0):
            self.assertLess(order_seconds(settle), settle)


class TestSlotWrites(FailureTestCase):
    async def test_a_confirmation_whose_answer_is_lost_is_settled_by_reading(self):
        """Symptom: an agent never loads, although it holds a slot.

        Sequence: the slot's confirmation is written, its answer lost. Cause: the agent
        takes its own write for somebody else's.
        """
        self.kv.faults.set_mode("lose_answers", count=1)
        agent = await self.agent()
        events = await agent.serve(question("r-1"))
        self.assertEqual(kinds(events)[-1], "done")

    async def test_a_slot_given_back_with_the_answer_lost_is_given_back_once(self):
        """Symptom: a planned stop hangs until its time is up.

        Sequence: the agent leaves and gives its slot back, the answer is lost. Cause:
        the agent waits for a table that it never reads.
        """
        agent = await self.agent(drain_seconds=20.0)
        await agent.serve(question("r-1"))
        self.kv.faults.set_mode("lose_answers", count=1)
        agent.app.request_stop()
        await agent._task
        self.assertTrue(agent.role.driver.drained.is_set())
        self.assertEqual((await self.table()).holders(), ())

    async def test_a_planned_stop_with_the_service_down_ends_in_its_time(self):
        """Symptom: a deployment hangs in an outage of the key-value service.

        Sequence: the service goes down, the agent is asked to stop. Cause: the slot
        can't be given back. It stays in the instance's name, which the fleet repairs
        once the instance is listed as gone.
        """
        agent = await self.agent(drain_seconds=2.0)
        await agent.serve(question("r-1"))
        self.kv.faults.set_mode("down")
        agent.app.request_stop()
        await agent._task
        self.kv.faults.set_mode("up")
        self.assertEqual((await self.table()).holders(), ("i-1",))
        self.assertEqual(self.engine.state.replicas, {})

    async def test_a_cold_start_goes_on_while_the_service_is_down(self):
        """Symptom: a class waits for its assistant until the key-value service is back.

        Sequence: the slot is held and confirmed, the service goes down, a first request
        comes. Cause: a cold start asks the service.
        """
        agent = await self.agent()
        confirmed = agent.app.decisions.about
        await eventually(lambda: confirmed("model/forge/tutor"), "confirmed")
        self.kv.faults.set_mode("down")
        events = await agent.serve(question("r-1"))
        self.assertEqual(kinds(events)[-1], "done")


if __name__ == "__main__":
    unittest.main()
