"""Answers with neither a content length nor chunked encoding: the end of the connection
is the end of the answer."""

import unittest

from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import MODEL_NAME, EntryHarness

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 6)]
ALL_EVENTS = b"".join(EVENTS)


class TestUnframedStreams(unittest.IsolatedAsyncioTestCase):
    """Failure: a stream cut in the middle of an event was taken for a complete one."""

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure()
        for number in range(2):
            replica = StandinReplica(f"i-{number}", "llm", (MODEL_NAME,))
            await self.harness.add(replica)

    async def asyncTearDown(self):
        await self.harness.close()

    def script_first_answer(self, *pieces, reset=False):
        """Have the first answer, of whichever replica, end after ``pieces``.

        The replica then closes the connection, or resets it if ``reset``.
        """

        def unframed_reply(replica):
            def unframed(request):
                for other in self.harness.replicas:
                    other.next_replies.clear()
                reply = replica.answer(request, length=False, close=True)
                reply.pieces, reply.reset = pieces, reset
                return reply

            return unframed

        for replica in self.harness.replicas:
            replica.next_replies.append(unframed_reply(replica))

    async def call(self):
        return await self.harness.call(path=b"/a/x", x_model=MODEL_NAME)

    def runs(self):
        return sum(len(replica.runs) for replica in self.harness.replicas)

    async def test_one_that_ends_after_its_last_event_is_whole(self):
        self.script_first_answer(*EVENTS)
        answer = await self.call()
        self.assertEqual((answer.body, answer.whole), (ALL_EVENTS, True))
        self.assertEqual(self.runs(), 1)

    async def test_one_that_ends_within_an_event_is_resumed_elsewhere(self):
        for cut in (
            b"id",
            b"id: 3",
            b"id: 3\n",
            b"id: 3\ndata: 3",
            b"id: 3\ndata: 3\n",
        ):
            with self.subTest(cut=cut):
                before = self.runs()
                self.script_first_answer(*EVENTS[:2], cut)
                answer = await self.call()
                self.assertEqual((answer.body, answer.whole), (ALL_EVENTS, True))
                self.assertEqual(self.runs() - before, 2)

    async def test_one_that_is_reset_between_two_events_is_resumed_too(self):
        self.script_first_answer(*EVENTS[:2], reset=True)
        answer = await self.call()
        self.assertEqual((answer.body, answer.whole), (ALL_EVENTS, True))
        self.assertEqual(self.runs(), 2)

    async def test_one_that_cannot_be_resumed_does_not_look_whole(self):
        for replica in self.harness.replicas:

            def unframed(request, replica=replica):
                reply = replica.answer(request, length=False, close=True)
                reply.pieces = (*EVENTS[:2], b"id: 3")
                return reply

            replica.next_replies = [unframed] * 9
        answer = await self.call()
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, b"".join(EVENTS[:2]))
