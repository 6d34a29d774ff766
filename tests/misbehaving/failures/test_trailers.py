"""Fields of a trailer that are taken for fields of the head."""

from tests.misbehaving.common.crowd import head
from tests.misbehaving.common.entries import MisbehavingCallersTestCase

TRAILER = (
    b"X-Deadline-Ms: 3\r\nX-Request-Attempt: trailing\r\nX-Other: a\r\n"
    b"Host: other.example\r\nConnection: x-kept\r\n"
)


class TestTrailerFields(MisbehavingCallersTestCase):
    """Guards against a trailer changing how its request is read or forwarded."""

    async def check(self, *pieces):
        caller = await self.connect()
        for piece in pieces:
            await caller.send(piece)
        await caller.send(b"GET /absent/x HTTP/1.1\r\nConnection: close\r\n\r\n")
        await caller.wait_closed()
        self.assertTrue(caller.received.startswith(b"HTTP/1.1 200 "), caller.received)
        (run,) = self.other.runs
        self.assertEqual(run.headers["x-request-attempt"], "crowd")
        self.assertEqual(run.headers["host"], "classes.example")
        self.assertEqual(run.headers["x-kept"], "1")
        self.assertNotIn("x-other", run.headers)
        self.assertGreater(int(run.headers["x-deadline-ms"]), 3)
        self.assertEqual(run.body, b"x")

    start = head("/other/x", transfer_encoding="chunked", x_kept="1")
    body = b"1\r\nx\r\n0\r\n"

    async def test_in_one_piece(self):
        await self.check(self.start + self.body + TRAILER + b"\r\n")

    async def test_after_the_head(self):
        await self.check(self.start, self.body + TRAILER + b"\r\n")

    async def test_after_the_body(self):
        await self.check(self.start + self.body, TRAILER + b"\r\n")
