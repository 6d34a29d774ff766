"""Answers that end in the middle of their head or body, wherever they are read.

Others had seen callers get a 200 with an empty or short body, framed as whole, after a
replica had stopped in its answer's head.
"""

import json
import unittest
from collections import Counter

from bambootiller_platform_standins.httpd import Reply, Server
from bambootiller_platform_standins.replica import StandinReplica

from bambootiller.gateway.ports import ReportFailed
from bambootiller_core.gateway.order_messages import (
    EngineOrder,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.ports import Compare, Put, Unavailable, Unknown
from bambootiller_platform.engine import PlatformEngine
from bambootiller_platform.store import PlatformKeyValue
from tests.adapter.common.entry import MODEL_NAME, EntryHarness

#: Beyond the head of any answer here, and into its body.
LONGEST_CUT = 320
#: Cuts tried on an entry, one in so many bytes.
CUT_STEP = 5
#: How an answer shows its end.
FRAMINGS = {
    "length": {"length": True},
    "chunks": {"length": False},
    "close": {"length": False, "close": True},
}
#: The head of an answer that ends with its connection.
UNFRAMED_HEAD_BYTES = len("HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n")
#: Cuts tried on clients of the store and the engine; the last but one is behind the
#: head of an unframed answer.
CUTS = (*range(0, 140, 3), UNFRAMED_HEAD_BYTES, UNFRAMED_HEAD_BYTES + 1)
ORDER = EngineOrder(OrderKind.LOAD, "m0", "", 0)


class TestCutAnswersOfReplicas(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure(**{"max-attempts": 2})
        for number in range(2):
            for service, models in (("llm", (MODEL_NAME,)), ("plain", ())):
                replica = StandinReplica(f"i-{service}-{number}", service, models)
                await self.harness.add(replica)

    async def asyncTearDown(self):
        await self.harness.close()

    def cut_next(self, cut_at, framing):
        """Have the next answer, of whichever replica, end after so many bytes."""

        def cut_reply(replica):
            def cut(request):
                for other in self.harness.replicas:
                    other.next_replies.clear()
                if request.headers.get("x-model"):
                    reply = replica.stream(request)
                else:
                    reply = replica.answer(request)
                for name, value in FRAMINGS[framing].items():
                    setattr(reply, name, value)
                reply.cut_at = cut_at
                return reply

            return cut

        for replica in self.harness.replicas:
            replica.next_replies = [cut_reply(replica)]

    async def check(self, framing, **call):
        """Each answer after a cut one is the whole of what an uncut call gets, or
        visibly not whole."""
        expected = await self.harness.call(**call)
        self.assertTrue(expected.whole and expected.status == 200)
        seen = Counter()
        for cut_at in range(0, LONGEST_CUT, CUT_STEP):
            # The next call, on a connection that has carried an answer before.
            self.cut_next(cut_at, framing)
            answer = await self.harness.call(**call)
            is_right = answer.status == 200 and len(answer.body) == len(expected.body)
            if answer.status == 200 and answer.whole:
                self.assertTrue(is_right, (framing, cut_at, answer.body))
            seen[is_right and answer.whole] += 1
            await self.harness.call(**call)
        return seen

    async def test_a_cut_stream_is_never_passed_off_as_whole(self):
        for framing in ("chunks", "close"):
            with self.subTest(framing=framing):
                seen = await self.check(framing, path=b"/a/x", x_model=MODEL_NAME)
                self.assertGreater(seen[True], 0)

    async def test_a_cut_plain_answer_is_never_passed_off_as_whole(self):
        for framing in ("length", "chunks"):
            with self.subTest(framing=framing):
                await self.check(framing)


class TestCutAnswersToProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def handle(request):
            return self.reply

        server = Server(handle)
        await server.start("127.0.0.2")
        self.addAsyncCleanup(server.stop)
        self.engine = PlatformEngine(server.address, "a1")
        self.addAsyncCleanup(self.engine.close)
        self.kv = PlatformKeyValue(f"http://{server.address}")
        self.addAsyncCleanup(self.kv.close)

    async def cut_outcomes(self, call, status, document):
        """Yield what ``call`` returns for each cut of the answer, and the cut."""
        body = json.dumps(document).encode()
        for framing in FRAMINGS.values():
            for cut_at in CUTS:
                headers = {"content-type": "application/json"}
                self.reply = Reply(status, headers, (body,), cut_at=cut_at, **framing)
                outcome = await call()
                yield outcome, cut_at

    async def test_a_cut_report_is_no_report(self):
        document = {"models": [], "seq": 3, "busy": False, "padding": "x" * 60}
        async for outcome, cut_at in self.cut_outcomes(
            self.engine.report, 200, document
        ):
            self.assertIsInstance(outcome, ReportFailed, cut_at)

    async def test_a_cut_answer_to_an_order_in_its_head_is_none(self):
        async for outcome, cut_at in self.cut_outcomes(
            lambda: self.engine.order(ORDER, "i-1", 1), 202, {}
        ):
            if cut_at < UNFRAMED_HEAD_BYTES:
                self.assertIs(outcome, OrderAnswer.UNANSWERED, cut_at)

    async def test_a_cut_list_is_not_taken_for_an_empty_one(self):
        document = {"items": [], "store-revision": 9, "padding": "x" * 60}
        async for outcome, cut_at in self.cut_outcomes(
            lambda: self.kv.get_prefix("p/"), 200, document
        ):
            self.assertIsInstance(outcome, Unavailable, cut_at)

    async def test_a_cut_answer_to_a_write_leaves_it_unknown(self):
        """An agent or entry ended when the answer to a write had no body."""

        def write():
            return self.kv.transact([Compare("k", 0)], [Put("k", b"v")])

        for status in (200, 412):
            document = {"revision": 9, "items": [], "padding": "x" * 60}
            async for outcome, cut_at in self.cut_outcomes(write, status, document):
                self.assertIsInstance(outcome, Unknown, (status, cut_at))
