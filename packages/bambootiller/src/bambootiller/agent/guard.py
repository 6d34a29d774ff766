"""The guard port: one agent beside one backend server, and no second one.

Slots and the memory ledger are safe because a single process gives orders to an
engine. Two agents would each believe in their own ledger, and together load more than
the accelerator holds; it would show as an engine out of memory. So each agent binds the
same fixed port before it does anything else, and a second one stops. A paused agent
still holds the port: nobody takes over from a process that may wake and act.

The socket is a plain one. gRPC's own listener can't serve as the guard, since it allows
others to share its port by default. Without ``SO_REUSEADDR`` and ``SO_REUSEPORT`` the
kernel refuses a second bind; that this also refuses a bind while connections linger in
TIME_WAIT doesn't matter, because a listener that has never accepted a connection
leaves none behind, and the port is free the moment the process is gone.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"
OFF = 0


@dataclass(slots=True)
class Guard:
    """The held port, or nothing if the guard is off."""

    sock: socket.socket | None

    def release(self) -> None:
        """Let the next agent on this backend server start."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


@dataclass(frozen=True, slots=True)
class GuardTaken:
    """Another agent holds the port, paused or not."""

    detail: str


def hold(port: int) -> Guard | GuardTaken:
    """Take the guard port; 0 turns the guard off, for tests."""
    if port == OFF:
        return Guard(None)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((LOOPBACK, port))
        sock.listen(1)
    except OSError as exc:
        sock.close()
        return GuardTaken(
            f"--guard-port {port} on {LOOPBACK} can't be bound ({exc.strerror}): "
            "another agent runs, or is paused, beside this backend server"
        )
    return Guard(sock)
