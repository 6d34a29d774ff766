"""Connections of callers: when they can be made, and how fast small pieces travel."""

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


if __name__ == "__main__":
    unittest.main()
