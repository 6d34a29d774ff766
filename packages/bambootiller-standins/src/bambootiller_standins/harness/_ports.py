"""Ports for processes that start a little later."""

import random
import socket

from bambootiller_standins.harness._cut import LOOPBACK

#: Below the ports that the kernel gives out of itself.
QUIET_PORTS = range(20_000, 32_000)
TRIES = 100


def quiet_port() -> int:
    """Returns a free port that stays free until a process binds it.

    One that the kernel gives out may become the near end of anybody's connection
    meanwhile. The agent then ends with "can't be bound", as if another one ran beside
    the same backend server.
    """
    rng = random.SystemRandom()
    for _ in range(TRIES):
        port = rng.choice(QUIET_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free port among {QUIET_PORTS} in {TRIES} tries")
