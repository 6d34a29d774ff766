"""Connections to backend servers that are silent, closed while idle or abandoned."""

import asyncio
import socket
import unittest

from bambootiller.gateway.backend_connection import ConnectionLost
from bambootiller.gateway.connection_pool import CannotConnect, ConnectionPool

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"


class Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.extra_headers = b""
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
            writer.write(ANSWER + self.extra_headers + b"\r\nok")

    async def make_call(self, now=0.0):
        conn = await self.pool.acquire(now, 1.0)
        conn.send(REQUEST, b"")
        await conn.head(lambda head: False)
        body = await conn.chunk()
        self.pool.release(conn, now)
        return conn, body


class TestReusedConnections(Case):
    async def test_a_connection_is_reused_within_its_idle_timeout(self):
        first, body = await self.make_call(0.0)
        self.assertEqual(body, b"ok")
        second, _ = await self.make_call(0.1)
        self.assertIs(second, first)

    async def test_a_connection_is_not_reused_close_to_its_idle_timeout(self):
        """Symptom: now and then the outcome of a non-idempotent call is unknown.

        The backend server closes an idle connection just as a call is sent on it, so it
        can't be known whether the call was read.
        """
        self.extra_headers = b"keep-alive: timeout=5\r\n"
        first, _ = await self.make_call(0.0)
        second, _ = await self.make_call(2.9)
        third, _ = await self.make_call(6.0)
        self.assertIs(second, first)
        self.assertIsNot(third, first)

    async def test_a_connection_marked_close_is_not_reused(self):
        self.extra_headers = b"connection: close\r\n"
        first, _ = await self.make_call(0.0)
        second, _ = await self.make_call(0.0)
        self.assertIsNot(second, first)

    async def test_a_connection_closed_while_idle_is_not_reused(self):
        first, _ = await self.make_call(0.0)
        self.writers[0].close()
        await asyncio.sleep(0.05)
        second, _ = await self.make_call(0.1)
        self.assertIsNot(second, first)


class TestSilence(Case):
    async def test_the_kernel_detects_a_silent_peer(self):
        """Symptom: calls hang until their deadline on connections that look open.

        The network path was cut while the connection was idle, so no reset arrives.
        """
        conn, _ = await self.make_call()
        sock = conn._transport.get_extra_info("socket")
        self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
        user_timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertGreater(user_timeout_ms, 0)


class TestAbandonedCalls(unittest.IsolatedAsyncioTestCase):
    async def test_an_abandoned_call_resets_its_connection(self):
        """Symptom: a backend server gets a call six seconds after its caller left.

        The network path was cut when the call was sent. After the caller had left, the
        connection was closed without a reset, so the kernel still delivered the data in
        its send buffer once the path was restored.
        """
        second_read = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            await reader.read(1000)
            try:
                second_read.set_result(await reader.read(1000))
            except ConnectionError as exc:
                second_read.set_result(exc)
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
        self.assertIsInstance(await second_read, ConnectionResetError)
        server.close()


class TestLimits(Case):
    async def test_no_more_connections_are_opened_than_allowed(self):
        for _ in range(2):
            await self.pool.acquire(0.0, 1.0)
        with self.assertRaises(CannotConnect):
            await self.pool.acquire(0.0, 1.0)

    async def test_a_truncated_answer_raises_connection_lost(self):
        conn = await self.pool.acquire(0.0, 1.0)
        self.extra_headers = b"transfer-encoding: chunked\r\n"
        conn.send(REQUEST, b"")
        with self.assertRaises(ConnectionLost):
            await conn.head(lambda head: False)
            while await conn.chunk() is not None:
                continue
