"""One agent beside an engine and a plain service."""

import asyncio
import json
import unittest

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core import slots
from bambootiller_standins.engine import expected_answer
from bambootiller_standins.testing import eventually
from tests.agent.common.bench import (
    TEMPLATE_KEY,
    TUTOR,
    AgentTestCase,
    certificate,
    data_of,
    kinds,
    question,
    template,
    text_of,
)


def answer(tokens, prompt="why?"):
    return expected_answer("forge/tutor", "", prompt, tokens)


class TestModelCalls(AgentTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.place("i-1")

    async def test_a_cold_call_loads_the_model_and_gives_the_whole_answer(self):
        agent = await self.agent()
        events = await agent.serve(question("r-1", tokens=40))
        self.assertEqual(kinds(events)[0], "admitted")
        self.assertTrue(events[0].admitted.cold)
        self.assertEqual(text_of(events), answer(40))
        done = events[-1].done
        self.assertEqual(done.chunks, kinds(events).count("chunk"))
        self.assertEqual(done.tokens, 40)
        self.assertEqual(done.finish_reason, "length")
        self.assertTrue(done.load.loaded)

    async def test_a_call_of_an_adapter_is_answered_through_it(self):
        agent = await self.agent()
        events = await agent.serve(question("r-1", adapter="java"))
        wanted = expected_answer("forge/tutor", "java", "why?", 6)
        self.assertEqual(text_of(events), wanted)

    async def test_crossed_calls_each_get_their_own_answer(self):
        agent = await self.agent()
        prompts = [f"question {number}" for number in range(20)]
        calls = [
            agent.serve(question(f"r-{number}", prompt=prompt))
            for number, prompt in enumerate(prompts)
        ]
        for prompt, events in zip(prompts, await asyncio.gather(*calls), strict=True):
            self.assertEqual(text_of(events), answer(6, prompt))

    async def test_two_attempts_of_one_name_do_not_get_each_others_events(self):
        agent = await self.agent()
        calls = [agent.serve(question("r-1", prompt=prompt)) for prompt in ("a", "b")]
        first, second = await asyncio.gather(*calls)
        self.assertEqual(text_of(first), answer(6, "a"))
        self.assertEqual(text_of(second), answer(6, "b"))

    async def test_a_cut_answer_goes_on_behind_what_was_passed_on(self):
        agent = await self.agent()
        self.engine.cuts.left, self.engine.cuts.after = 1, 4
        events = await agent.serve(question("r-1", tokens=10))
        refused = events[-1].refused
        self.assertEqual(
            (refused.code, refused.executed), ("backend_failed", "unknown")
        )
        got = text_of(events)
        tokens = sum(event.chunk.tokens for event in events)
        events = await agent.serve(question("r-1", 10, got, tokens))
        self.assertEqual(got + text_of(events), answer(10))

    async def test_a_cancelled_call_ends_at_the_engine(self):
        self.engine.cfg.token_ms = 20
        agent = await self.agent()
        rpc = agent.stub.Serve(question("r-1", tokens=1000))
        async for event in rpc:
            if event.WhichOneof("event") == "chunk":
                break
        rpc.cancel()
        await eventually(lambda: self.engine.requests.cancelled == 1, "cancelled")
        await eventually(agent.role.driver.core.idle, "the core is idle")

    async def test_a_call_decided_on_a_newer_table_waits_for_that_table(self):
        agent = await self.agent(documents=False)
        agent.app.documents.offer(self.documents[0])
        found = await self.admin.get(slots.document_key(TUTOR))
        request = question("r-1")
        request.slots_revision = found.records[0].mod_revision
        events = await agent.serve(request)
        self.assertEqual(kinds(events)[-1], "done")

    async def test_a_body_that_is_no_object_is_refused_as_not_run(self):
        agent = await self.agent()
        request = question("r-1")
        request.model.body = b"[]"
        refused = (await agent.serve(request))[-1].refused
        self.assertEqual((refused.code, refused.executed), ("bad_request", "no"))

    async def test_the_survey_tells_what_placement_needs(self):
        agent = await self.agent()
        await agent.serve(question("r-1"))
        request = pb.SurveyRequest(customer="forge", model="tutor")
        survey = await agent.stub.Survey(request)
        self.assertEqual((survey.instance, survey.zone), ("i-1", "az-1"))
        self.assertEqual((survey.slots, survey.tier), (1, "memory"))
        self.assertLess(survey.memory_free, survey.memory_total)


class TestServiceCalls(AgentTestCase):
    async def test_a_call_is_forwarded_and_its_answer_passed_on(self):
        agent = await self.agent()
        events = await agent.serve(certificate("r-1", path="/lots/7?full=1"))
        self.assertEqual(kinds(events), ["admitted", "head", "chunk", "done"])
        self.assertEqual(events[1].head.status, 200)
        answer = json.loads(data_of(events))
        self.assertEqual(answer["path"], "/lots/7")
        self.assertEqual(answer["request_id"], "r-1")
        self.assertEqual(answer["echo"], "lot 7")

    async def test_a_service_that_is_not_here_is_refused_as_not_run(self):
        agent = await self.agent()
        request = certificate("r-1")
        request.service.service = "other"
        refused = (await agent.serve(request))[-1].refused
        self.assertEqual((refused.code, refused.executed), ("not_holder", "no"))

    async def test_a_non_idempotent_path_needs_a_key_however_it_is_spelled(self):
        agent = await self.agent()
        for path in ("/issue/7", "//issue/7", "/%69ssue/7", "/lots/../issue/7"):
            refused = (await agent.serve(certificate("r-1", path=path)))[-1].refused
            self.assertEqual(refused.code, "idempotency_key_required", path)
        self.assertEqual(self.service.total, 0)

    async def test_a_path_cannot_name_another_host(self):
        agent = await self.agent()
        refused = (await agent.serve(certificate("r-1", path="@other/")))[-1].refused
        self.assertEqual((refused.code, refused.executed), ("bad_request", "no"))

    async def test_a_newer_template_is_fetched_before_the_call_is_decided(self):
        agent = await self.agent()
        outcome = await self.admin.transact([], [])
        self.assertTrue(outcome.revision)
        newer = template(version=2).replace(b'"/issue"', b'"/lots"')
        revision = await self.store(TEMPLATE_KEY, newer)
        request = certificate("r-1", path="/lots/7")
        request.template_revision = revision
        refused = (await agent.serve(request))[-1].refused
        self.assertEqual(refused.code, "idempotency_key_required")


class TestDrain(AgentTestCase):
    async def test_a_planned_stop_cuts_nothing_and_gives_the_slot_back(self):
        await self.place("i-1")
        self.service.after_ms = 300
        agent = await self.agent(drain_seconds=20.0)
        await agent.serve(question("r-0"))
        self.engine.cfg.token_ms = 10
        calls = [
            asyncio.create_task(agent.serve(question("r-1", tokens=50))),
            asyncio.create_task(agent.serve(certificate("r-2", key="k-2"))),
        ]
        await eventually(lambda: self.engine.requests.requests == 2, "runs")
        await eventually(lambda: self.service.arrived, "arrived")
        agent.app.request_stop()
        await eventually(lambda: agent.app.announced, "announced")
        refused = (await agent.serve(question("r-3")))[-1].refused
        self.assertEqual((refused.code, refused.executed), ("leaving", "no"))
        for events in await asyncio.gather(*calls):
            self.assertEqual(kinds(events)[-1], "done")
        await agent._task
        self.assertEqual((await self.table()).holders(), ())
        self.assertEqual(self.engine.state.replicas, {})

    async def test_what_cannot_end_in_time_is_told_the_truth(self):
        await self.place("i-1")
        self.engine.cfg.token_ms = 50
        agent = await self.agent(drain_seconds=1.0)
        call = asyncio.create_task(agent.serve(question("r-1", tokens=1000)))
        await eventually(lambda: self.engine.requests.tokens, "runs")
        agent.app.request_stop()
        refused = (await call)[-1].refused
        self.assertEqual((refused.code, refused.executed), ("leaving", "unknown"))


if __name__ == "__main__":
    unittest.main()
