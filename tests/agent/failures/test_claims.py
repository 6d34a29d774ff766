"""Non-idempotent calls at two agents, while answers get lost and services fail."""

import asyncio
import json
import unittest

from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_standins.testing import eventually
from tests.agent.common.bench import AgentTestCase, certificate, data_of, kinds


def outcome(events):
    refused = events[-1].refused
    return refused.code, refused.executed


class ClaimTestCase(AgentTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.first = await self.agent("i-1")
        self.second = await self.agent("i-2")

    def assert_ran(self, times):
        self.assertEqual(self.service.runs["k-1"], times)


class TestOutages(ClaimTestCase):
    async def test_a_claim_whose_answer_is_lost_runs_once(self):
        """Symptom: the call is refused although it is claimed, or runs a second time.

        Sequence: the key-value service writes the claim and closes the connection
        before it answers. Cause: the writer took silence for a failure.
        """
        self.kv.faults.set_mode("lose_answers", count=1)
        events = await self.first.serve(certificate("r-1", "k-1"))
        self.assertEqual(kinds(events)[-1], "done")
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertTrue(events[-1].done.replayed)
        self.assert_ran(1)

    async def test_with_the_service_down_the_call_is_refused_as_not_run(self):
        """Symptom: "not run" is said of a call that runs later, or a repeat is blocked.

        Sequence: the key-value service goes down, the call comes and is refused; the
        service comes back, the caller repeats. Cause: a claim in doubt was left behind.
        """
        self.kv.faults.set_mode("down")
        events = await self.first.serve(certificate("r-1", "k-1"))
        self.assertEqual(outcome(events), ("claim_unavailable", "no"))
        self.assertGreater(events[-1].refused.retry_after_ms, 0)
        self.assert_ran(0)
        self.kv.faults.set_mode("up")
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(kinds(events)[-1], "done")
        self.assert_ran(1)

    async def test_a_claim_left_in_doubt_is_released_for_the_repeat(self):
        """Symptom: every repeat is told "unknown" of a call that never ran.

        Sequence: the claim is written, its answer is lost, and the service goes down
        before it can be read back; the call is refused as not run. Cause: the claim
        stays in the name of an attempt that never runs.
        """
        self.kv.faults.set_mode("lose_answers", count=1)
        lost = self.kv.faults.loses_answer

        def lose_and_go_down():
            if lose := lost():
                self.kv.faults.set_mode("down")
            return lose

        self.kv.faults.loses_answer = lose_and_go_down
        events = await self.first.serve(certificate("r-1", "k-1"))
        self.assertEqual(outcome(events), ("claim_unavailable", "no"))
        self.kv.faults.loses_answer = lost
        self.kv.faults.set_mode("up")
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(kinds(events)[-1], "done")
        self.assert_ran(1)


class TestWaitingForTheService(ClaimTestCase):
    when_store_down = "wait"

    async def test_a_call_that_may_wait_runs_when_the_service_is_back(self):
        """Symptom: a call is refused although its customer prefers to wait.

        Sequence: the key-value service is down when the call comes, and back before the
        deadline. Cause: the claim was tried only once.
        """
        self.kv.faults.set_mode("down")
        call = asyncio.create_task(self.first.serve(certificate("r-1", "k-1")))
        await asyncio.sleep(0.3)
        self.assertFalse(call.done())
        self.kv.faults.set_mode("up")
        self.assertEqual(kinds(await call)[-1], "done")
        self.assert_ran(1)

    async def test_a_call_that_waits_past_its_deadline_is_refused_as_not_run(self):
        """Symptom: a caller is told "unknown" of a call that was never sent.

        Sequence: the key-value service stays down until the deadline. Cause: the call
        counts as started, because its claim is part of it.
        """
        self.kv.faults.set_mode("down")
        request = certificate("r-1", "k-1")
        request.timeout_ms = 500
        _, executed = outcome(await self.first.serve(request))
        self.assertEqual(executed, "no")
        self.kv.faults.set_mode("up")
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(kinds(events)[-1], "done")
        self.assert_ran(1)


class TestRepeats(ClaimTestCase):
    async def test_a_repeat_at_another_agent_gets_the_first_answer(self):
        """Symptom: one lot, two certificates.

        Sequence: the answer is lost between the caller and its entry, and the caller
        repeats the call, which reaches another agent. Cause: nothing tells the second
        agent of the first run.
        """
        first = await self.first.serve(certificate("r-1", "k-1"))
        second = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(data_of(first), data_of(second))
        self.assertTrue(second[1].head.replayed)
        self.assert_ran(1)

    async def test_two_at_the_same_moment_run_once_and_get_one_answer(self):
        """Symptom: as above.

        Sequence: the caller's two connections send the call to two agents at the same
        time. Cause: both look for an earlier run, and find none, before either begins.
        """
        self.service.before_ms = 100
        first, second = await asyncio.gather(
            self.first.serve(certificate("r-1", "k-1")),
            self.second.serve(certificate("r-2", "k-1")),
        )
        self.assertEqual(data_of(first), data_of(second))
        self.assert_ran(1)

    async def test_a_repeat_whose_time_ends_while_the_first_runs_is_unknown(self):
        """Symptom: a caller is told "not run" of a certificate that is being issued.

        Sequence: the first call runs for long; a repeat with a short deadline waits for
        its answer elsewhere until its time is up. Cause: only the repeat's own attempt
        was looked at, and that has certainly not run.
        """
        self.service.after_ms = 3000
        call = asyncio.create_task(self.first.serve(certificate("r-1", "k-1")))
        await eventually(lambda: self.service.total, "the call runs")
        request = certificate("r-2", "k-1")
        request.timeout_ms = 1500
        code, executed = outcome(await self.second.serve(request))
        self.assertEqual(executed, "unknown", code)
        self.assertEqual(kinds(await call)[-1], "done")
        self.assert_ran(1)

    async def test_a_repeat_aborted_just_after_its_wait_has_ended_is_unknown(self):
        """Symptom: as above, now and then, most often on a busy machine.

        Sequence: at the repeat's deadline its wait for the first call's answer ends,
        and the call is aborted before its task has taken that in. Cause: the claim book
        was asked, which had just forgotten the attempt.
        """
        self.service.after_ms = 1500
        call = asyncio.create_task(self.first.serve(certificate("r-1", "k-1")))
        await eventually(lambda: self.service.total, "the call runs")
        repeat = asyncio.create_task(self.second.serve(certificate("r-2", "k-1")))
        role = self.second.role
        book, waiting = role._keeper._book, role._keeper._waiting
        await eventually(
            lambda: any(book.waits_for_holder(token) for token in waiting),
            "the repeat waits",
        )
        (waits,) = role.driver._calls.values()
        role._keeper._settle(book.expire(waits.req.deadline))
        late = Refused(Code.DEADLINE_PASSED, Executed.NO, "late")
        self.assertIs(waits.aborted(late).executed, Executed.UNKNOWN)
        self.assertEqual(outcome(await repeat), ("already_claimed", "unknown"))
        self.assertEqual(kinds(await call)[-1], "done")

    async def test_a_caller_that_goes_away_finds_its_answer_later(self):
        """Symptom: a caller whose connection broke is told "unknown" for ever.

        Sequence: the call runs, its caller's connection is cut, the caller repeats the
        call elsewhere. Cause: the run's answer was dropped with the connection.
        """
        self.service.after_ms = 300
        rpc = self.first.stub.Serve(certificate("r-1", "k-1"))
        await rpc.read()
        await eventually(lambda: self.service.total, "the call runs")
        rpc.cancel()
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertTrue(events[-1].done.replayed)
        self.assertEqual(json.loads(data_of(events))["request_id"], "r-1")
        self.assert_ran(1)

    async def test_a_run_whose_answer_is_lost_is_unknown_and_never_repeated(self):
        """Symptom: the call runs a second time after its first answer was lost.

        Sequence: the service runs the call and closes the connection without an answer;
        the caller repeats it. Cause: a cut connection was taken for a call not run.
        """
        self.service.faults.set_mode("lose_answers", count=1)
        events = await self.first.serve(certificate("r-1", "k-1"))
        self.assertEqual(outcome(events), ("backend_failed", "unknown"))
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(outcome(events), ("already_claimed", "unknown"))
        self.assert_ran(1)

    async def test_a_repeat_after_the_holder_is_gone_is_unknown_at_once(self):
        """Symptom: a repeat waits for an answer that nobody can give any more.

        Sequence: an agent claims a call and its instance is reclaimed during the run.
        Cause: the claim alone doesn't tell that its holder is gone.
        """
        self.service.after_ms = 30_000
        call = asyncio.create_task(self.first.serve(certificate("r-1", "k-1")))
        await eventually(lambda: self.service.total, "the call runs")
        self.second.app.gone.add("i-1")
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(outcome(events), ("already_claimed", "unknown"))
        call.cancel()

    async def test_a_key_used_for_another_request_is_refused(self):
        """Symptom: a caller gets the certificate of another lot.

        Sequence: a client with a fault sends two lots under one key. Cause: the key
        alone was taken to name the request.
        """
        await self.first.serve(certificate("r-1", "k-1"))
        events = await self.second.serve(certificate("r-2", "k-1", body=b"lot 8"))
        self.assertEqual(outcome(events), ("already_claimed", "no"))
        self.assert_ran(1)

    async def test_a_service_that_cannot_be_reached_leaves_no_claim_behind(self):
        """Symptom: a call that never left the agent can't be repeated.

        Sequence: the service restarts; the call is claimed, but no connection is made.
        Cause: the claim was closed as if the call had been sent.
        """
        port = self.service.port
        await self.service.stop()
        events = await self.first.serve(certificate("r-1", "k-1"))
        self.assertEqual(outcome(events), ("backend_failed", "no"))
        self.service.port = port
        await self.service.start()
        events = await self.second.serve(certificate("r-2", "k-1"))
        self.assertEqual(kinds(events)[-1], "done")
        self.assert_ran(1)


class TestClientLibrary(AgentTestCase):
    async def test_a_connection_closed_after_the_call_arrived_is_not_tried_again(self):
        """Symptom: a non-idempotent GET arrives twice at its service.

        Sequence: a first call leaves a kept connection; the second is read by the
        service, which dies before it answers. Cause: the client library takes the
        closed connection for an idle one and sends the request again by itself.
        """
        arrived = []

        async def handle(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                arrived.append(head.split()[1])
                if len(arrived) > 1:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
            writer.close()

        async def quietly(reader, writer):
            try:
                await handle(reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(quietly, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        agent = await self.agent(service_url=f"http://127.0.0.1:{port}")
        for key in ("k-1", "k-2"):
            request = certificate(f"r-{key}", key, f"/issue/{key}", b"", "GET")
            events = await agent.serve(request)
        self.assertEqual(outcome(events), ("backend_failed", "unknown"))
        self.assertEqual(arrived, [b"/issue/k-1", b"/issue/k-2"])


if __name__ == "__main__":
    unittest.main()
