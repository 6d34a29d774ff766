"""Malformed and abusive requests, sent to an entry process over real sockets."""

import asyncio
import unittest

from tests.adapter.common.fleet import HOST, Fleet
from tests.adapter.cover.test_documents import MODEL, ROUTE, SERVICE
from tests.adapter.failures.test_explained import PLAIN_ROUTE

MODEL_NAME = MODEL["name"]
LIMITS = {
    "max-body-bytes": 1000,
    "max-header-bytes": 4096,
    "header-timeout-ms": 400,
    "idle-timeout-ms": 800,
}
HEAD = f"POST /p/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Attempt: r-1\r\n".encode()


class TestBadInput(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        services = [SERVICE, {"name": "plain"}]
        routes = [ROUTE, PLAIN_ROUTE]
        self.fleet.configure(routes=routes, services=services, limits=LIMITS)
        self.replica = await self.fleet.replica("127.0.0.2", "i-1", "plain")
        self.entry = await self.fleet.entry("e1")
        await self.fleet.wait_ready(self.entry)

    async def asyncTearDown(self):
        await self.fleet.__aexit__()

    async def connect(self):
        host, _, port = self.entry.document["listen"]["front"].rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def answer(self, *pieces, gap_s=0.0):
        """Send ``pieces`` and return the bytes received until the entry closes.

        Raises TimeoutError if the connection is open 5 s after the last piece.
        """
        reader, writer = await self.connect()
        data = b""
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(gap_s)
            async with asyncio.timeout(5.0):
                while part := await reader.read(65_536):
                    data += part
        except ConnectionError:
            pass
        finally:
            writer.close()
        return data

    async def assert_others_served(self):
        """Assert that other calls are served and that no malformed request has run."""
        runs = len(self.replica.runs)
        status, _ = await self.fleet.call(self.entry, "", path="/p/ok", attempt="r-ok")
        self.assertEqual(status, 200)
        self.assertEqual([run.target for run in self.replica.runs[runs:]], ["/p/ok"])

    async def test_malformed_requests_are_answered_400(self):
        for data in (
            b"nonsense\r\n\r\n",
            b"GET  HTTP/1.1\r\n\r\n",
            b"\x16\x03\x01\x02\x00",
        ):
            answer = await self.answer(data)
            self.assertIn(b" 400 ", answer.split(b"\r\n")[0], data)
        self.assertEqual(self.replica.runs, [])
        await self.assert_others_served()

    async def test_a_head_is_refused_once_it_is_too_large(self):
        """Guards against one caller exhausting the memory of an entry.

        The caller sends a head that doesn't end, and the entry buffers all of it.
        """
        line = b"X-Filler: " + b"a" * 1000 + b"\r\n"
        answer = await self.answer(HEAD, *[line] * 50)
        self.assertIn(b" 431 ", answer.split(b"\r\n")[0])
        whole = HEAD + line * 6 + b"\r\n"
        self.assertIn(b" 431 ", (await self.answer(whole)).split(b"\r\n")[0])
        self.assertEqual(self.replica.runs, [])
        await self.assert_others_served()

    async def test_a_head_that_never_ends_is_answered_in_time(self):
        """Guards against an entry running out of file descriptors.

        Callers begin a head and then send a byte from time to time, so that each holds
        a connection; a few calls per second are enough.
        """
        answer = await self.answer(HEAD, *[b"X"] * 20, gap_s=0.05)
        self.assertIn(b" 408 ", answer.split(b"\r\n")[0])
        (line,) = self.entry.events("refused")
        self.assertEqual((line["reason"], line["status"]), ("head_too_slow", 408))
        await self.assert_others_served()

    async def test_a_connection_on_which_nothing_comes_is_closed(self):
        reader, writer = await self.connect()
        async with asyncio.timeout(5.0):
            self.assertEqual(await reader.read(), b"")
        writer.close()

    async def test_a_kept_connection_is_kept_for_as_long_as_callers_use_it(self):
        reader, writer = await self.connect()
        request = HEAD + b"Content-Length: 1\r\n\r\nb"
        for _ in range(2):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 200 ", head)
            await reader.readexactly(len(b"done"))
            await asyncio.sleep(0.64)
        writer.close()

    async def test_a_body_that_is_too_large_is_refused(self):
        data = HEAD + b"Content-Length: 5000\r\n\r\n" + b"b" * 5000
        reader, writer = await self.connect()
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 413 ", head)
        writer.close()
        self.assertEqual(self.replica.runs, [])
        await self.assert_others_served()

    async def test_a_body_in_too_many_parts_is_refused(self):
        """Guards against a body in chunks of one byte, whose parsing holds up all other
        callers."""
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        few, many = (b"1\r\nb\r\n" * count for count in (900, 50_000))
        reader, writer = await self.connect()
        writer.write(HEAD + chunked + few + b"0\r\n\r\n")
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
        writer.close()
        runs = len(self.replica.runs)
        answer = await self.answer(HEAD + chunked + many)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertIn(b" 413 ", answer)
        self.assertEqual(len(self.replica.runs), runs)
        await self.assert_others_served()

    async def test_callers_do_not_wait_for_a_costly_body(self):
        """Six callers sent bodies of tiny chunks; others waited for 1.8 s."""
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        costly = HEAD + chunked + b"1\r\nb\r\n" * 200_000
        sending = [asyncio.create_task(self.answer(costly)) for _ in range(6)]
        clock = asyncio.get_running_loop().time
        latencies = []
        while not all(task.done() for task in sending):
            began = clock()
            await self.fleet.call(self.entry, "", "/p/ok", f"r-{len(latencies)}")
            latencies.append(clock() - began)
        await asyncio.gather(*sending)
        self.assertLess(max(latencies), 1.0)

    async def test_ambiguous_lengths_smuggle_no_request(self):
        """Guards against request smuggling.

        If two parties on the path take the length of a body from different headers,
        one of them reads the end of the body as another request, and a backend server
        runs a request that no caller sent.
        """
        inner = b"POST /p/smuggled HTTP/1.1\r\nHost: classes.example\r\n\r\n"
        chunks = b"0\r\n\r\n" + inner
        for framing in (
            b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n" % len(chunks),
            b"Content-Length: 5\r\nContent-Length: %d\r\n" % len(chunks),
            b"Transfer-Encoding: chunked, identity\r\n",
            b"Content-Length: +5\r\n",
        ):
            await self.answer(HEAD + framing + b"\r\n" + chunks)
        targets = {run.target for run in self.replica.runs}
        self.assertNotIn("/p/smuggled", targets)
        await self.assert_others_served()

    async def test_concurrent_calls_with_one_id_are_not_mixed_up(self):
        answers = []
        # Ten at a time: the only backend server has eight slots, and of more than
        # twelve concurrent calls the entry refuses the rest as overloaded.
        for first in (0, 10):
            calls = [
                self.fleet.call(self.entry, "", path=f"/p/{number}", attempt="r-same")
                for number in range(first, first + 10)
            ]
            answers += await asyncio.gather(*calls)
        self.assertEqual({status for status, _ in answers}, {200})
        targets = sorted(run.target for run in self.replica.runs)
        self.assertEqual(targets, sorted(f"/p/{number}" for number in range(20)))

    async def test_unknown_hosts_and_paths_are_answered_404(self):
        for head in (
            b"GET /p/x HTTP/1.1\r\nHost: unknown.example\r\n\r\n",
            b"GET /none HTTP/1.1\r\nHost: classes.example\r\n\r\n",
        ):
            reader, writer = await self.connect()
            writer.write(head)
            answer = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 404 ", answer.split(b"\r\n")[0], head)
            writer.close()
