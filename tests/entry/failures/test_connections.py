"""Connections of callers: when they can be made, and how fast small pieces travel."""

import asyncio
import socket
import unittest

from bambootiller.entry.httpserver import HttpServer
from bambootiller.settings import Address
from tests.entry.common.bench import EntryTestCase


class TestConnections(EntryTestCase):
    async def test_pieces_do_not_wait_for_the_callers_acknowledgement(self):
        """Symptom: the first token comes some 40 ms later than the engine sent it.

        Sequence: the response's head and first event are written one after the other.
        Cause: the listening socket was made without its protocol; asyncio then doesn't
        set TCP_NODELAY, and the second write waits for the first's acknowledgement.
        """
        await self.chat()
        connections = self.entry._server._server.server_state.connections
        sock = next(iter(connections)).transport.get_extra_info("socket")
        self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), 1)

    async def test_a_caller_can_connect_as_soon_as_the_port_is_known(self):
        """Symptom: the first requests after a start find the port closed.

        Sequence: the process says that it has started, a caller connects. Cause: the
        port was bound, but listening was left to a task that hadn't run yet.
        """
        server = HttpServer(None, Address("127.0.0.1", 0))
        server.bind()
        self.addCleanup(server.close)
        caller = socket.create_connection(("127.0.0.1", server.port), timeout=5)
        caller.close()


async def greet(scope, receive, send):
    """Answers every request."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


class TestThePortThatCloses(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_comes_in_its_last_turn_is_served(self):
        """A caller had connected, and its first call was answered by a reset: the
        kernel had taken the connection, and the entry closed its port before it looked
        for new ones again. It goes on from its last look before that turn's accepts,
        so each planned stop had such a turn; seen once in a test beside load."""
        server = HttpServer(greet, Address("127.0.0.1", 0), "httptools")
        server.bind()
        serving = asyncio.ensure_future(server.serve())
        while not server._server.started:
            await asyncio.sleep(0.01)
        closing = server.close_listener()
        closing.send(None)
        closing.send(None)
        caller = socket.create_connection(("127.0.0.1", server.port), timeout=5)
        with self.assertRaises(StopIteration):
            closing.send(None)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await asyncio.wait_for(loop.sock_recv(caller, 4096), 5.0)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        caller.close()
        await server.stop(1.0)
        await serving


if __name__ == "__main__":
    unittest.main()
