"""Connections to backend servers that go silent or are closed while idle."""

import asyncio
import socket
import unittest

from bambootiller.gateway.backend_connection import ConnectionLost
from bambootiller.gateway.connection_pool import CannotConnect, ConnectionPool

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"


class Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.extra = b""
        self.writers = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.pool = ConnectionPool(
            f"127.0.0.1:{port}",
            max_open=2,
            running_time=asyncio.get_running_loop().time,
        )

    async def asyncTearDown(self):
        self.pool.close()
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while await reader.read(1000):
            writer.write(ANSWER + self.extra + b"\r\nok")

    async def use(self, now=0.0):
        conn = await self.pool.acquire(now, 1.0)
        conn.send(REQUEST, b"")
        await conn.head(lambda head: False)
        body = await conn.chunk()
        self.pool.release(conn, now)
        return conn, body


class TestReusedConnections(Case):
    async def test_a_connection_is_reused_within_its_idle_timeout(self):
        first, body = await self.use(0.0)
        self.assertEqual(body, b"ok")
        second, _ = await self.use(0.1)
        self.assertIs(second, first)

    async def test_a_connection_is_not_reused_close_to_its_idle_timeout(self):
        """Symptom: a non-idempotent call ends with an unknown outcome now and then.

        The backend server closes an idle connection at the moment at which a call is
        sent on it, and nobody can tell whether the call was read.
        """
        self.extra = b"keep-alive: timeout=5\r\n"
        first, _ = await self.use(0.0)
        second, _ = await self.use(2.9)
        third, _ = await self.use(6.0)
        self.assertIs(second, first)
        self.assertIsNot(third, first)

    async def test_a_connection_marked_close_is_not_reused(self):
        self.extra = b"connection: close\r\n"
        first, _ = await self.use(0.0)
        second, _ = await self.use(0.0)
        self.assertIsNot(second, first)

    async def test_a_connection_closed_while_idle_is_not_reused(self):
        first, _ = await self.use(0.0)
        self.writers[0].close()
        await asyncio.sleep(0.05)
        second, _ = await self.use(0.1)
        self.assertIsNot(second, first)


class TestSilence(Case):
    async def test_the_kernel_detects_a_silent_peer(self):
        """Symptom: calls hang until their deadline on connections that look open.

        The path was cut while the connection was idle; no reset ever comes.
        """
        conn, _ = await self.use()
        sock = conn._transport.get_extra_info("socket")
        self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
        option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertGreater(option, 0)


class TestAbandonedCalls(unittest.IsolatedAsyncioTestCase):
    async def test_an_abandoned_call_resets_its_connection(self):
        """Symptom: a backend server gets a call six seconds after its caller left.

        The path to it was cut when the call was sent. The caller leaves, the connection
        is closed in the ordinary way, and the kernel delivers what it still holds once
        the path is whole.
        """
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.read(1000)
            try:
                ended.set_result(await reader.read(1000))
            except ConnectionError as exc:
                ended.set_result(exc)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(
            f"127.0.0.1:{port}",
            max_open=2,
            running_time=asyncio.get_running_loop().time,
        )
        conn = await pool.acquire(0.0, 1.0)
        conn.send(REQUEST, b"")
        await asyncio.sleep(0.05)
        pool.discard(conn)
        self.assertIsInstance(await ended, ConnectionResetError)
        server.close()


class TestLimits(Case):
    async def test_no_more_connections_are_opened_than_allowed(self):
        for _ in range(2):
            await self.pool.acquire(0.0, 1.0)
        with self.assertRaises(CannotConnect):
            await self.pool.acquire(0.0, 1.0)

    async def test_a_truncated_answer_raises_connection_lost(self):
        conn = await self.pool.acquire(0.0, 1.0)
        self.extra = b"transfer-encoding: chunked\r\n"
        conn.send(REQUEST, b"")
        with self.assertRaises(ConnectionLost):
            await conn.head(lambda head: False)
            while await conn.chunk() is not None:
                continue
