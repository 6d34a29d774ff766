"""Answers of backend servers whose status line is none of HTTP/1.1."""

import functools
import unittest

from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import MODEL_NAME, EntryHarness
from tests.adapter.cover.test_documents import CONFIG, ROUTE, SERVICE

#: None of them begins a final answer in HTTP/1.1.
ODD_STATUS_LINES = (
    "HTTP/1.1 000 X",
    "HTTP/1.1 000",
    "HTTP/1.1 0 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 -200 X",
    "HTTP/1.1 abc X",
    "HTTP/0.9 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/3.0 200 OK",
    "RTSP/1.0 200 OK",
    "ICE/1.0 200 OK",
    "SIP/2.0 200 OK",
)
NOT_EXECUTED = {"X-Not-Executed": "1"}


def odd_answer(replica, status_line, headers=()):
    """A whole answer of the replica, behind another status line."""

    def answer(request):
        reply = replica.answer(request, headers=dict(headers), close=True)
        reply.status_line = status_line
        return reply

    return answer


class TestPlainCalls(unittest.IsolatedAsyncioTestCase):
    """Guards against forwarding bytes of a faulty backend server as its answer."""

    async def call(self, kind, status_line, headers=()):
        harness = EntryHarness()
        harness.configure(kind=kind, **{"max-attempts": 1})
        replica = await harness.add(StandinReplica("i-1", "plain"))
        replica.next_replies.append(odd_answer(replica, status_line, headers))
        answer = await harness.call()
        await harness.close()
        return answer

    async def test_they_are_not_forwarded(self):
        for kind in ("safe", "unsafe"):
            for status_line in ODD_STATUS_LINES:
                with self.subTest(kind=kind, status_line=status_line):
                    answer = await self.call(kind, status_line)
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"x-response-seal", answer.headers)

    async def test_they_do_not_show_that_a_call_was_not_run(self):
        for status_line in ODD_STATUS_LINES:
            with self.subTest(status_line=status_line):
                answer = await self.call("unsafe", status_line, NOT_EXECUTED)
                self.assertEqual(answer.status, 502)


class TestStreams(unittest.IsolatedAsyncioTestCase):
    """Guards against taking bytes of a faulty engine for a stream or its rest."""

    async def call(self, replies):
        """Call three engines; the first that are called answer with ``replies``."""
        harness = EntryHarness()
        document = {
            **CONFIG,
            "routes": [{**ROUTE, "max-attempts": 3}],
            "services": [SERVICE],
        }
        harness.add_document("op/config", document)
        pending = list(replies)
        for number in range(3):
            replica = StandinReplica(f"i-{number}", "llm", (MODEL_NAME,))
            await harness.add(replica)
            self.script(replica, pending)
        answer = await harness.call(path=b"/a/x", x_model=MODEL_NAME)
        await harness.close()
        self.assertEqual(pending, [])
        return answer

    def script(self, replica, pending):
        def reply(request):
            if not pending:
                return replica.stream(request)
            return pending.pop(0)(replica)(request)

        replica.next_replies.append(reply)

    def assert_whole(self, answer):
        events = [b"id: %d\ndata: %d\n\n" % (each, each) for each in range(1, 6)]
        self.assertEqual((answer.status, answer.body), (200, b"".join(events)))
        self.assertTrue(answer.whole)

    async def test_a_stream_that_begins_so_is_sent_elsewhere(self):
        for status_line in ODD_STATUS_LINES:
            with self.subTest(status_line=status_line):
                odd = functools.partial(odd_answer, status_line=status_line)
                self.assert_whole(await self.call([odd]))

    async def test_a_stream_that_is_resumed_so_is_sent_elsewhere_again(self):
        for status_line in ODD_STATUS_LINES:
            with self.subTest(status_line=status_line):
                odd = functools.partial(odd_answer, status_line=status_line)
                self.assert_whole(await self.call([cut_stream, odd]))


def cut_stream(replica):
    """A stream that breaks off before its last event."""
    return lambda request: replica.stream(request, cut=True)
