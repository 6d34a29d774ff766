"""Refusals by agents, retries of what hasn't run, and calls that run at most once."""

import asyncio
import json
import unittest

from bambootiller_core.membership import Status
from tests.entry.common.backend import greeting
from tests.entry.common.bench import EntryTestCase

KEY = {"Idempotency-Key": "work-7"}


def refusing(code, executed="no", retry_after_ms=500):
    async def script(stream):
        await stream.refused(code, executed, retry_after_ms)

    return script


async def broken(stream):
    await stream.broken()


async def acknowledged(stream):
    await stream.admitted()
    await stream.head(201)
    await stream.data(b"received")
    await stream.done()


async def replayed(stream):
    await stream.head(201, replayed=True)
    await stream.data(b"received")
    await stream.done(replayed=True)


class TestRefusedModelCalls(EntryTestCase):
    async def test_a_call_that_a_leaving_agent_refused_is_served_elsewhere(self):
        self.scripts(refusing("leaving"), greeting)
        status, _ = await self.chat()
        self.assertEqual(status, 200)
        self.assertEqual([len(item.requests) for item in self.agents[:2]], [1, 1])

    async def test_when_all_refuse_the_caller_gets_the_reason_and_when_to_come_back(
        self,
    ):
        self.scripts(refusing("cannot_meet_deadline", retry_after_ms=2300))
        status, headers, body = await self.call(
            "POST", "/v1/chat/completions", json=self.chat_body()
        )
        problem = json.loads(body)
        self.assertEqual(status, 503)
        self.assertEqual(headers["Content-Type"], "application/problem+json")
        self.assertEqual(headers["Retry-After"], "3")
        self.assertEqual(problem["code"], "cannot_meet_deadline")
        self.assertEqual(problem["executed"], "no")
        self.assertEqual(problem["retry_after_ms"], 2300)
        self.assertEqual(len(self.requests), 2)

    async def test_not_run_is_not_said_after_an_attempt_that_broke_off(self):
        """Symptom: a refusal says "not run" of a call that ran.

        Sequence: the first agent dies after it took the call; the second refuses with
        "not run", which is true of itself. Cause: the last refusal was passed on as if
        it were about all attempts.
        """
        self.scripts(broken, refusing("cannot_meet_deadline"))
        _, problem = await self.chat()
        self.assertEqual(problem["code"], "cannot_meet_deadline")
        self.assertEqual(problem["executed"], "unknown")

    async def test_a_code_that_this_program_does_not_know_counts_as_uncertain(self):
        self.hold("tutor", "i-1")
        self.scripts(refusing("from_the_future", executed="no"))
        _, problem = await self.chat(headers={"X-Request-Timeout-Ms": "500"})
        self.assertEqual(problem["executed"], "unknown")

    async def test_leaving_and_dead_agents_get_nothing(self):
        self.announce(self.agents[0], Status.LEAVING)
        for _ in range(5):
            status, _ = await self.chat()
            self.assertEqual(status, 200)
        self.assertEqual(self.agents[0].requests, [])
        self.announce(self.agents[1], Status.DEAD)
        status, problem = await self.chat(headers={"X-Request-Timeout-Ms": "400"})
        self.assertEqual((status, problem["executed"]), (503, "no"))
        self.assertEqual(problem["code"], "no_replica")

    async def test_a_request_waits_for_a_slot_that_is_being_created(self):
        """Symptom: the first requests after a template change are refused.

        Sequence: a model is new in the template; its slots are created a moment later.
        Cause: no holder was taken for a lasting state.
        """
        key = next(iter(self.app.catalogue.tables))
        table = self.app.catalogue.tables.pop(key)
        call = asyncio.create_task(self.chat())
        await self.until(lambda: self.entry._intake.under_way)
        self.app.catalogue.tables[key] = table
        status, _ = await call
        self.assertEqual(status, 200)

    async def test_at_the_deadline_the_caller_is_told_and_the_work_is_freed(self):
        async def slow(stream):
            await stream.admitted()
            await asyncio.Event().wait()

        self.scripts(slow)
        status, problem = await self.chat(headers={"X-Request-Timeout-Ms": "300"})
        self.assertEqual((status, problem["code"]), (504, "deadline_passed"))
        self.assertEqual(problem["executed"], "unknown")
        agent = next(item for item in self.agents if item.requests)
        await asyncio.wait_for(agent.cancelled.wait(), 5)


class TestCallersThatGo(EntryTestCase):
    async def gone_after(self, stream):
        async def script(events):
            await events.admitted()
            if stream:
                await events.text("Hello")
            await asyncio.Event().wait()

        self.scripts(script)
        call = asyncio.create_task(self.chat(stream=stream))
        await self.until(lambda: self.requests)
        await asyncio.sleep(0.05)
        call.cancel()
        agent = next(item for item in self.agents if item.requests)
        await asyncio.wait_for(agent.cancelled.wait(), 5)
        await self.until(lambda: self.entry._intake.under_way == 0)
        self.assertEqual(self.entry._intake._drivers, set())

    async def test_a_caller_gone_while_it_waits_frees_the_engine(self):
        """Symptom: engines are busy with answers that nobody reads.

        Sequence: the caller closes before the first token. Cause: the handler waits
        for the agent and doesn't look at the caller's connection.
        """
        await self.gone_after(stream=False)

    async def test_a_caller_gone_in_mid_stream_frees_the_engine(self):
        """Symptom and cause as above; the caller closes after the first token."""
        await self.gone_after(stream=True)


class TestNonIdempotentCalls(EntryTestCase):
    async def submit(self, headers=KEY, path="/services/push/submissions"):
        status, headers, body = await self.call(
            "POST", path, headers=headers, data=b"work"
        )
        return status, headers, body

    async def test_without_a_key_nothing_is_sent(self):
        status, _, body = await self.submit(headers={})
        self.assertEqual(status, 400)
        self.assertEqual(json.loads(body)["code"], "idempotency_key_required")
        self.assertEqual(self.requests, [])

    async def test_the_agent_is_told_of_the_claim(self):
        self.scripts(acknowledged)
        status, _, body = await self.submit()
        self.assertEqual((status, body), (201, b"received"))
        (request,) = self.requests
        self.assertTrue(request.non_idempotent)
        self.assertEqual(request.idempotency_key, "work-7")

    async def test_other_spellings_of_the_path_do_not_get_round_the_claim(self):
        for path in ("submissions/4", "Submissions", "%73ubmissions", "submissions%2f"):
            status, _, body = await self.submit({}, f"/services/push/{path}")
            self.assertEqual(json.loads(body)["code"], "idempotency_key_required", path)
        for path in ("x/../submissions", "/submissions", "x/%2e%2e/submissions"):
            status, _, body = await self.submit({}, f"/services/push/{path}")
            self.assertEqual(json.loads(body)["code"], "bad_request", path)
        self.assertEqual(self.requests, [])

    async def test_after_a_broken_attempt_the_claim_is_asked_and_its_answer_replayed(
        self,
    ):
        """Symptom: a submission is acknowledged twice, or not at all.

        Sequence: the agent dies after it took the call. Cause: the entry either ran
        the call again by itself, or gave up although the first answer was known.
        """
        self.scripts(broken, replayed)
        status, headers, body = await self.submit()
        self.assertEqual((status, body), (201, b"received"))
        self.assertEqual(headers["X-Bambootiller-Replayed"], "true")
        first, second = self.requests
        self.assertEqual(first.idempotency_key, second.idempotency_key)
        self.assertTrue(second.non_idempotent)

    async def test_a_claim_without_a_known_answer_ends_as_unknown(self):
        self.scripts(broken, refusing("already_claimed", "unknown"))
        status, _, body = await self.submit()
        self.assertEqual(status, 409)
        self.assertEqual(json.loads(body)["executed"], "unknown")
        self.assertEqual(len(self.requests), 2)

    async def test_a_refusal_that_may_have_run_is_not_tried_again(self):
        self.scripts(refusing("backend_failed", "unknown"), acknowledged)
        status, _, body = await self.submit()
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["executed"], "unknown")
        self.assertEqual(len(self.requests), 1)

    async def test_a_refusal_that_has_not_run_is_tried_elsewhere(self):
        self.scripts(refusing("leaving"), acknowledged)
        status, _, _ = await self.submit()
        self.assertEqual(status, 201)

    async def test_half_a_submission_is_never_passed_on(self):
        """Symptom: half a submission is acknowledged.

        Sequence: the pupil's connection breaks in the middle of the upload. Cause: the
        end of what arrived was taken for the end of the body.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.app.http_port)
        head = (
            "POST /services/push/submissions HTTP/1.1\r\nHost: e\r\n"
            "Authorization: Bearer pupil-key\r\nIdempotency-Key: k\r\n"
            "X-Request-Id: upload-4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
        )
        writer.write(head.encode())
        await writer.drain()
        await self.until(lambda: self.entry._intake.under_way)
        writer.close()
        await self.until(lambda: self.entry._intake.under_way == 0)
        notes = self.app.decisions.about("request/upload-4")
        self.assertEqual([item.outcome for item in notes], ["caller_gone"])
        self.assertEqual(self.requests, [])


if __name__ == "__main__":
    unittest.main()
