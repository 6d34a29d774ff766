"""A replica that goes dark: its machine answers nothing any more."""

from __future__ import annotations

import contextlib
import socket

from bambootiller_platform_standins.replica import StandinReplica


class DarkPort:
    """Holds a port at which connections hang, as behind a machine without power.

    A listening socket with a full queue of new connections leaves further opening
    packets without an answer.
    """

    #: More than the queue of the listening socket takes.
    FILLERS = 4

    def __init__(self, host: str, port: int) -> None:
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(0)
        for _ in range(self.FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Release the port."""
        for sock in self._sockets:
            sock.close()


def go_dark(replica: StandinReplica) -> DarkPort:
    """Make a replica silent: open connections hang, new ones aren't established."""
    server = replica.server
    server.pause()
    server._server.close()
    host, _, port = server.address.rpartition(":")
    return DarkPort(host, int(port))
