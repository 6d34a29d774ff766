"""Callers that make an entry hold more than the memory of its machine."""

import asyncio

from tests.misbehaving.common.crowd import chunk, head
from tests.misbehaving.common.entries import (
    MAX_BODY_BYTES,
    MEBIBYTE,
    MisbehavingCallersTestCase,
)

CHUNKED = head(transfer_encoding="chunked")
#: How much of a body is missing when its caller stops.
MISSING_BYTES = 100


class TestTrailers(MisbehavingCallersTestCase):
    async def test_fields_without_end(self):
        """Guards against trailer fields being kept for as long as a caller sends."""
        fields = b"X-A: b\r\n" * 8192

        async def behave(caller):
            await caller.send(CHUNKED, chunk(1), b"0\r\n")
            await caller.repeat(fields)

        await self.assert_survives(await self.gather_callers(4, behave))

    async def test_one_field_without_end(self):
        """Guards against a trailer field that never ends being buffered."""

        async def behave(caller):
            await caller.send(CHUNKED, chunk(1), b"0\r\nX-A: ")
            await caller.repeat(b"a" * 65_536)

        await self.assert_survives(await self.gather_callers(4, behave))

    async def test_fields_without_end_where_nothing_is_served(self):
        """Guards against the same on a connection whose request has its answer."""

        async def behave(caller):
            await caller.send(head("/absent/x", transfer_encoding="chunked"), chunk(1))
            await caller.send(b"0\r\n")
            await caller.repeat(b"X-A: b\r\n" * 8192)

        await self.assert_survives(await self.gather_callers(4, behave))


class TestUnfinishedBodies(MisbehavingCallersTestCase):
    async def test_announced_bodies(self):
        """Guards against the sum of bodies that stop just short of their end."""
        body = b"x" * (MAX_BODY_BYTES - MISSING_BYTES)

        async def behave(caller):
            await caller.send(head(content_length=MAX_BODY_BYTES), body)

        await self.assert_survives(await self.gather_callers(100, behave))

    async def test_bodies_in_large_chunks(self):
        """Guards against the same in chunks of 64 KiB."""
        part = chunk(65_536)

        async def behave(caller):
            await caller.send(CHUNKED)
            for _ in range(MAX_BODY_BYTES // 65_536 - 1):
                await caller.send(part)

        await self.assert_survives(await self.gather_callers(100, behave))

    async def test_bodies_in_small_chunks(self):
        """Guards against the same in chunks of 80 bytes."""
        part = chunk(80) * 512

        async def behave(caller):
            await caller.send(CHUNKED)
            for _ in range(MAX_BODY_BYTES // (80 * 512) - 1):
                await caller.send(part)

        await self.assert_survives(await self.gather_callers(80, behave))

    async def test_they_are_ended(self):
        """Guards against a body that stops arriving being waited for forever."""

        async def behave(caller):
            await caller.send(
                head(content_length=MAX_BODY_BYTES).replace(b"60000", b"3000"), b"x"
            )

        callers = await self.gather_callers(4, behave)
        for caller in callers:
            await caller.wait_closed()
            self.assertTrue(caller.received.startswith(b"HTTP/1.1 408 "))
        self.assertEqual(self.plain.runs, [])
        await self.assert_answers()


class TestWholeBodies(MisbehavingCallersTestCase):
    async def test_many_at_once_to_a_slow_service(self):
        """Guards against the sum of complete bodies that wait for a slow service."""
        body = b"x" * MAX_BODY_BYTES
        self.plain.server.pause()
        self.addCleanup(self.plain.server.resume)

        async def behave(caller):
            await caller.send(head(content_length=MAX_BODY_BYTES), body)

        await self.assert_survives(await self.gather_callers(100, behave))

    async def test_callers_that_leave_do_not_free_what_is_still_held(self):
        """Guards against bodies of calls that go on without their caller not being
        counted."""
        body = b"x" * MAX_BODY_BYTES
        self.plain.server.pause()
        self.addCleanup(self.plain.server.resume)

        async def behave(caller):
            await caller.send(head(content_length=MAX_BODY_BYTES), body)
            await asyncio.sleep(0.5)
            caller.close()

        for _ in range(5):
            await self.gather_callers(20, behave)
        await self.assert_survives([])

    async def test_one_of_the_largest_size_is_served(self):
        """Guards against the bounds keeping out a request within the limits."""
        status, _ = await self.fleet.call(
            self.entry, None, "/other/x", "large", b"x" * MAX_BODY_BYTES
        )
        self.assertEqual(status, 200)
        self.assertEqual(len(self.other.runs[0].body), MAX_BODY_BYTES)
        self.assert_bounded()


class TestOversizedBodies(MisbehavingCallersTestCase):
    """Guards against a body over the limit being read on after its refusal."""

    #: Beyond the limit, what the buffers of both systems take.
    MAX_READ_BYTES = MAX_BODY_BYTES + 16 * MEBIBYTE

    async def check(self, start, part):
        async def behave(caller):
            await caller.send(start)
            await caller.repeat(part, 2 * self.MAX_READ_BYTES)

        callers = await self.gather_callers(20, behave)
        for caller in callers:
            self.assertLess(caller.sent, self.MAX_READ_BYTES)
        await self.assert_survives(callers)

    async def test_announced(self):
        await self.check(head(content_length=1 << 40), b"x" * 65_536)

    async def test_sent_in_chunks(self):
        await self.check(CHUNKED, chunk(65_536))

    async def test_an_extension_of_a_chunk_without_end(self):
        await self.check(CHUNKED + b"1;a=", b"x" * 65_536)


class TestHeads(MisbehavingCallersTestCase):
    async def test_unfinished_heads_of_tiny_fields(self):
        """Guards against fields that cost many times their length in memory."""
        fields = b"a:\r\n" * 15_000

        async def behave(caller):
            await caller.send(head()[:-2], fields)

        await self.assert_survives(await self.gather_callers(80, behave))

    async def test_many_requests_behind_one_another(self):
        """Guards against the sum of requests that wait on connections in use."""
        requests = b"GET /plain/x HTTP/1.1\r\n\r\n" * 10_000
        self.plain.server.pause()
        self.addCleanup(self.plain.server.resume)

        async def behave(caller):
            caller.send_timeout_s = 5.0
            await caller.send(head(content_length=1), b"x")
            await asyncio.sleep(0.2)
            await caller.send(requests)

        await self.assert_survives(await self.gather_callers(40, behave))


class TestUnreadAnswers(MisbehavingCallersTestCase):
    async def test_callers_that_do_not_read(self):
        """Guards against the sum of answers that wait for callers to read them."""
        answer = b"y" * MEBIBYTE

        def reply(request):
            return self.plain.answer(request, answer)

        self.plain.next_replies = [reply] * 200

        async def behave(caller):
            await caller.send(head(content_length=1), b"x")
            async with asyncio.timeout(10):
                while len(self.plain.runs) < 1:
                    await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)

        callers = await self.gather_callers(150, behave, receive_buffer_bytes=4096)
        await self.assert_survives(callers)
