"""The small parts of the agent, each by itself."""

import asyncio
import unittest

from bambootiller.agent.answer_copy import AnswerCopy
from bambootiller.agent.engine_forms import EventReader, Unreadable, read_state
from bambootiller.agent.messages import EventWriter
from bambootiller.agent.outbox import LIMIT, Outbox
from bambootiller.agent.pieces import AnswerHead, Completed, Data, Text
from bambootiller.agent.service_paths import may_not_repeat
from bambootiller_core.claims import LARGEST_KEPT_ANSWER, KeptAnswer
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.template import ServicePolicy
from bambootiller_core.types import LoadFigures
from tests.agent.common.bench import kinds

EVENTS = (
    b'data: {"choices": [{"delta": {"content": "a\\u00e9 "}}]}\r\n\r\n'
    b': a comment\n\ndata: {"choices": []}\n\n'
    b'data: {"choices": [{"text": "b", "finish_reason": "stop"}]}\n\n'
    b"data: [DONE]\n\n"
)


class TestOutbox(unittest.IsolatedAsyncioTestCase):
    async def test_a_full_line_makes_its_writer_wait_for_the_reader(self):
        outbox = Outbox()
        for number in range(LIMIT):
            await outbox.put(Text(str(number), 1))
        late = asyncio.create_task(outbox.put(Text("late", 1)))
        await asyncio.sleep(0)
        self.assertFalse(late.done())
        self.assertEqual(len(await outbox.take()), LIMIT)
        await late
        self.assertEqual(await outbox.take(), [Text("late", 1)])

    async def test_a_closed_line_lets_its_writer_go_on(self):
        outbox = Outbox()
        outbox.close()
        for _ in range(LIMIT + 1):
            await outbox.put(Text("x", 1))
        outbox.end(Completed())
        self.assertEqual(await outbox.take(), [])

    async def test_a_second_final_outcome_breaks_an_invariant(self):
        outbox = Outbox()
        outbox.end(Completed())
        with self.assertRaises(InvariantBroken):
            outbox.end(Completed())


class TestEvents(unittest.TestCase):
    def test_events_read_the_same_however_they_are_cut(self):
        for size in range(1, len(EVENTS) + 1):
            reader = EventReader()
            reads = [
                reader.feed(EVENTS[at : at + size])
                for at in range(0, len(EVENTS), size)
            ]
            self.assertEqual("".join(read.text for read in reads), "aé b", size)
            self.assertEqual(sum(read.count for read in reads), 2, size)
            self.assertEqual([read.done for read in reads].count(True), 1, size)

    def test_what_is_no_event_is_unreadable(self):
        for line in (b"data: {\n", b"data: 3\n", b'data: {"error": "x"}\n'):
            self.assertIsInstance(EventReader().feed(line), Unreadable, line)

    def test_a_call_of_a_tool_is_reported_and_not_left_out(self):
        """Symptom: a caller gets an empty answer with the end mark.

        Events: the engine's deltas hold tool_calls and no content; then its end mark.
        Cause: only the content of a delta was read.
        """
        called = b'data: {"choices": [{"delta": {"tool_calls": [{"index": 0}]}}]}\n'
        read = EventReader().feed(called)
        self.assertIsInstance(read, Unreadable)
        self.assertIn("tool_calls", read.detail)
        none = b'data: {"choices": [{"delta": {"content": "a", "tool_calls": []}}]}\n'
        self.assertEqual(EventReader().feed(none).text, "a")

    def test_a_state_that_breaks_its_form_is_unreadable(self):
        for body in (b"", b"[]", b'{"version": 1}', b"\xff"):
            self.assertIsInstance(read_state(body), Unreadable, body)

    def test_pieces_that_arrive_together_become_one_chunk(self):
        writer = EventWriter("r-1")
        pieces = [Text("a", 1), Text("b", 2)]
        events = list(writer.pieces(pieces, LoadFigures))
        events.append(writer.done(Completed(3, "stop"), LoadFigures()))
        self.assertEqual(kinds(events), ["chunk", "done"])
        self.assertEqual((events[0].chunk.text, events[0].chunk.tokens), ("ab", 3))
        self.assertEqual((events[1].done.chunks, events[1].sequence), (1, 1))


class TestAnswerCopy(unittest.TestCase):
    def test_a_small_answer_is_kept_whole(self):
        copy = AnswerCopy()
        copy.note(AnswerHead(201, (("a", "b"),)))
        copy.note(Data(b"one "))
        copy.note(Data(b"two"))
        kept = KeptAnswer(201, (("a", "b"),), b"one two")
        self.assertEqual(copy.answer(Completed()), kept)

    def test_a_large_answer_is_not_kept_in_part(self):
        copy = AnswerCopy()
        copy.note(Data(b"x" * LARGEST_KEPT_ANSWER))
        copy.note(Data(b"x"))
        self.assertIsNone(copy.answer(Completed()))


class TestServicePaths(unittest.TestCase):
    def test_a_path_is_recognised_in_every_spelling(self):
        policy = ServicePolicy("push", non_idempotent=("/submissions",))
        spellings = (
            "/submissions",
            "/submissions/7?x=1",
            "//submissions",
            "/./submissions",
            "/a/../submissions",
            "/%73ubmissions",
            "/%2573ubmissions",
            "/Submissions",
            "\\submissions",
        )
        for path in spellings:
            self.assertTrue(may_not_repeat(policy, path), path)
        self.assertFalse(may_not_repeat(policy, "/lots/submissions"))
        self.assertFalse(may_not_repeat(None, "/submissions"))


if __name__ == "__main__":
    unittest.main()
