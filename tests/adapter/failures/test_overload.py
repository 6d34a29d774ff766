"""An entry that gets more connections from the load balancer than it can serve."""

import asyncio
import contextlib
import unittest

from bambootiller.entry.httpserver import HttpServer
from bambootiller.gateway.http_limits import limited_protocol
from bambootiller.settings import Address
from bambootiller_core.gateway.config import CallLimits

REQUEST = b"POST /a/x HTTP/1.1\r\nhost: classes.example\r\ncontent-length: 1\r\n\r\nx"
LENGTH = [(b"content-length", b"4")]


class TestRejectedConnections(unittest.IsolatedAsyncioTestCase):
    """Guards against losing a call that must not be retried.

    An overloaded entry has to close a new connection before it reads from it: a call
    that was read and then dropped can't be told from one that has run.
    """

    async def asyncSetUp(self):
        self.calls, self.rejects_connections = 0, False
        protocol = limited_protocol(
            CallLimits,
            lambda why: None,
            lambda: False,
            lambda: self.rejects_connections,
        )

        async def app(scope, receive, send):
            self.calls += 1
            start = {"type": "http.response.start", "status": 200, "headers": LENGTH}
            await send(start)
            await send({"type": "http.response.body", "body": b"done"})

        self.server = HttpServer(app, Address("127.0.0.1", 0), protocol)
        self.server.bind()
        self.serving = asyncio.create_task(self.server.serve())

    async def asyncTearDown(self):
        await self.server.stop(1.0)
        await self.serving

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)

    async def send_call(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            writer.write(REQUEST)
            async with asyncio.timeout(5.0):
                return await reader.readuntil(b"done")
        return b""

    async def test_a_new_connection_is_closed_unread(self):
        self.rejects_connections = True
        self.assertEqual(await self.send_call(*await self.connect()), b"")
        self.assertEqual(self.calls, 0)

    async def test_an_accepted_connection_goes_on(self):
        streams = await self.connect()
        self.assertTrue((await self.send_call(*streams)).startswith(b"HTTP/1.1 200"))
        self.rejects_connections = True
        self.assertTrue((await self.send_call(*streams)).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.calls, 2)
