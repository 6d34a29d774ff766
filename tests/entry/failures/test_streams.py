"""Streams between agent and entry that are cut, crossed, doubled or silent."""

import asyncio
import unittest

from bambootiller.entry.relay import driver
from bambootiller_core.membership import Status
from tests.entry.common.backend import greeting
from tests.entry.common.bench import EntryTestCase


async def cut_after_two(stream):
    await stream.admitted()
    await stream.text("Hello", ", ")
    await stream.broken()


async def rest(stream):
    await stream.text("pupil")
    await stream.done()


async def hang(stream):
    await stream.admitted()
    await stream.text("Hello", ", ")
    await asyncio.Event().wait()


class TestCutStreams(EntryTestCase):
    async def assert_gone_on_with(self, request):
        self.assertEqual(request.model.continue_text, "Hello, ")
        self.assertEqual(request.model.continue_tokens, 2)

    async def test_an_answer_cut_by_a_dying_agent_goes_on_at_another_replica(self):
        """Symptom: a pupil's answer stops in the middle of a sentence.

        Sequence: two pieces are passed on, then the agent's process dies. Cause: the
        stream ends with an error instead of a last event.
        """
        self.scripts(cut_after_two, rest)
        text, events = await self.stream()
        self.assertEqual(text, "Hello, pupil")
        self.assertEqual(events[-1], "data: [DONE]")
        first, second = self.requests
        self.assertEqual(first.model.continue_text, "")
        await self.assert_gone_on_with(second)
        self.assertEqual([len(item.requests) for item in self.agents[:2]], [1, 1])

    async def test_an_answer_that_ends_without_a_last_event_is_not_called_whole(self):
        """Symptom: a certificate's text lacks its end, and the caller isn't told.

        Sequence: the agent ends the stream in good order, but early. Cause: a stream's
        end was taken for the answer's.
        """

        async def early(stream):
            await stream.text("Hello", ", ")

        self.scripts(early, rest)
        self.assertEqual((await self.stream())[0], "Hello, pupil")
        await self.assert_gone_on_with(self.requests[1])

    async def test_an_answer_with_fewer_pieces_than_were_sent_is_not_called_whole(self):
        """Symptom: a word is missing in an answer that looks whole.

        Sequence: the agent counts three pieces, two arrive. Cause: a piece got lost
        before it was numbered.
        """

        async def short(stream):
            await stream.text("Hello", ", ")
            await stream.done(chunks=3)

        self.scripts(short, rest)
        status, answer = await self.chat()
        self.assertEqual(answer["choices"][0]["message"]["content"], "Hello, pupil")
        await self.assert_gone_on_with(self.requests[1])

    async def test_the_only_holder_is_asked_again_after_its_connection_was_cut(self):
        """Symptom: a cut cable ends the answers of all models with one replica.

        Sequence: the connection to the only holder breaks, and comes back. Cause: a
        place that was tried once was never tried again.
        """
        self.hold("tutor", "i-1")
        self.scripts(cut_after_two, rest)
        self.assertEqual((await self.stream())[0], "Hello, pupil")
        self.assertEqual(len(self.agents[0].requests), 2)

    async def test_when_no_replica_can_go_on_the_stream_ends_with_an_error_event(self):
        """Symptom: a stream just stops; the caller's client waits or takes it as whole.

        Sequence: every agent breaks off. Cause: nobody told the caller.
        """
        self.scripts(cut_after_two)
        _, events = await self.stream(headers={"X-Request-Timeout-Ms": "3000"})
        self.assertTrue(events[-1].startswith("event: error\ndata: "))
        self.assertIn('"executed": "yes"', events[-1])
        self.assertNotIn("data: [DONE]", events)

    async def test_an_agent_declared_dead_in_mid_stream_is_left_at_once(self):
        """Symptom: after a backend server froze, its answers hang until the deadline.

        Sequence: two pieces are passed on, then the agent is paused; its connection
        stays up. Membership declares it dead. Cause: only the connection was watched.
        """
        self.scripts(hang, rest)
        call = asyncio.create_task(self.stream())
        await self.until(lambda: self.requests)
        frozen = next(item for item in self.agents if item.requests)
        await self.until(lambda: self.entry._intake._drivers)
        await asyncio.sleep(0.05)
        self.announce(frozen, Status.DEAD)
        text, _ = await call
        self.assertEqual(text, "Hello, pupil")
        await asyncio.wait_for(frozen.cancelled.wait(), 5)

    async def test_an_agent_that_says_nothing_at_all_is_left_after_a_while(self):
        """Symptom: requests sent to a paused agent hang until their deadline.

        Sequence: the agent takes the call and never answers; its death isn't known
        yet. Cause: the entry waited for a first event without a bound.
        """

        async def silent(stream):
            await asyncio.Event().wait()

        before = driver.SILENCE_S
        driver.SILENCE_S = 0.1
        self.addCleanup(setattr, driver, "SILENCE_S", before)
        self.scripts(silent, greeting)
        status, answer = await self.chat()
        self.assertEqual(status, 200)
        self.assertEqual(len(self.requests), 2)

    async def test_a_long_service_answer_that_is_cut_cuts_the_callers_connection(self):
        """Symptom: half an archive is taken for the whole.

        Sequence: a body longer than what is held back breaks off. Cause: the response
        was closed in good order.
        """

        async def cut_body(stream):
            await stream.head()
            await stream.data(*[bytes(100_000)] * 5)
            await stream.broken()

        self.scripts(cut_body)
        with self.assertRaises(Exception) as caught:
            await self.call("GET", "/services/push/archive")
        self.assertIn("payload", str(caught.exception).lower())

    async def test_an_answer_whose_status_is_unset_is_fetched_anew(self):
        """Guards against answering a caller with a status that the agent didn't set."""

        async def begins_without_status(stream):
            await stream.head(0)
            await stream.data(b"rest")
            await stream.done()

        async def answers(stream):
            await stream.head()
            await stream.data(b"whole")
            await stream.done()

        self.scripts(begins_without_status, answers)
        status, _, body = await self.call("GET", "/services/push/list")
        self.assertEqual((status, body), (200, b"whole"))
        first, second = self.requests
        # Otherwise the test's client has sent the call again.
        self.assertEqual(first.request_id, second.request_id)

    async def test_a_short_service_answer_that_is_cut_is_fetched_anew(self):
        """Symptom: a teacher's list of work breaks off after its first page.

        Sequence: the agent dies after the first bytes. Cause: they were passed on at
        once, so that nothing could be mended any more.
        """

        async def cut_list(stream):
            await stream.head(404)
            await stream.data(b"half")
            await stream.broken()

        async def whole_list(stream):
            await stream.head()
            await stream.data(b"whole")
            await stream.done()

        self.scripts(cut_list, whole_list)
        status, _, body = await self.call("GET", "/services/push/list")
        self.assertEqual((status, body), (200, b"whole"))


class TestCrossedEvents(EntryTestCase):
    async def assert_mended(self, wrong):
        self.scripts(wrong, rest)
        text, events = await self.stream()
        self.assertEqual((text, events[-1]), ("Hello, pupil", "data: [DONE]"))
        await TestCutStreams.assert_gone_on_with(self, self.requests[1])

    async def test_a_piece_of_another_requests_answer_is_never_passed_on(self):
        """Symptom: a pupil reads a line of another pupil's answer.

        Sequence: an event with a foreign request id arrives between two of our own.
        Cause: the stream was trusted to carry one request's events only.
        """

        async def crossed(stream):
            await stream.text("Hello", ", ")
            await stream.text("your grade is", request_id="another")
            await stream.done()

        await self.assert_mended(crossed)

    async def test_a_doubled_piece_is_never_passed_on_twice(self):
        """Symptom: a word stands twice in an answer.

        Sequence: an event arrives again. Cause: events weren't numbered or the numbers
        not checked.
        """

        async def doubled(stream):
            await stream.text("Hello", ", ")
            await stream.text(", ", sequence=1)
            await stream.done(chunks=2)

        await self.assert_mended(doubled)

    async def test_behind_a_lost_piece_nothing_is_passed_on(self):
        """Symptom: a sentence lacks its "not".

        Sequence: an event gets lost, the next one arrives. Cause: as above.
        """

        async def gap(stream):
            await stream.text("Hello", ", ")
            await stream.text("pupil", sequence=3)
            await stream.done()

        await self.assert_mended(gap)

    async def test_an_end_that_belongs_to_another_request_does_not_end_the_answer(self):
        """Symptom: an answer is short although nothing failed.

        Sequence: another request's end arrives on this stream. Cause: as above.
        """

        async def foreign_end(stream):
            await stream.text("Hello", ", ")
            await stream.done(request_id="another")

        await self.assert_mended(foreign_end)


if __name__ == "__main__":
    unittest.main()
