"""Ports for processes that start a little later.

Two things must not happen between choosing a port and binding it: that the kernel
gives it to an outgoing connection, and that another test process chooses it too. Either
way the program ends with "can't be bound", as if another one ran in its place. So the
ports lie outside the kernel's range, and each is claimed by a lock that ends with its
process.
"""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

from bambootiller_standins.harness._cut import LOOPBACK

#: The ports that the kernel gives to outgoing connections, and for port 0.
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
#: Where the kernel doesn't tell: what Linux has by default.
USUAL_RANGE = "32768 60999"
#: Above the ports that well-known services listen on.
FIRST_PORT = 20_000
LAST_PORT = 65_535
#: Fewer wouldn't do for a run of all tests, which takes some hundred.
LEAST_PORTS = 1000
TRIES = 2000


def ephemeral_ports() -> range:
    """Returns the ports that the kernel gives out of itself."""
    try:
        text = RANGE_FILE.read_text()
    except OSError:
        text = USUAL_RANGE
    low, high = map(int, text.split())
    return range(low, high + 1)


def quiet_ports(ephemeral: range) -> range:
    """Returns the larger of the ranges below and above the kernel's own.

    >>> quiet_ports(range(32_768, 61_000))
    range(20000, 32768)
    """
    below = range(FIRST_PORT, ephemeral.start)
    above = range(ephemeral.stop, LAST_PORT + 1)
    found = max(below, above, key=len)
    if len(found) < LEAST_PORTS:
        raise RuntimeError(
            f"{RANGE_FILE} is {ephemeral.start} to {ephemeral.stop - 1}, which leaves "
            f"less than {LEAST_PORTS} ports above {FIRST_PORT} for tests"
        )
    return found


class _Claims:
    """The ports of this process, each a locked byte of a file that all tests share.

    The kernel drops the locks when the process ends, however it ends. The file is
    opened once, because closing any of its descriptors drops the locks, too.
    """

    def __init__(self) -> None:
        self._file: int | None = None
        self._mine: set[int] = set()

    def take(self, port: int) -> bool:
        """Claims the port; False if this or another process has it."""
        if port in self._mine:
            return False
        if self._file is None:
            path = Path(tempfile.gettempdir(), f"bambootiller-ports-{os.getuid()}")
            flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            self._file = os.open(path, flags, 0o600)
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        except OSError:
            return False
        self._mine.add(port)
        return True


_claims = _Claims()


def quiet_port(host: str = LOOPBACK, ports: range | None = None) -> int:
    """Returns a port of this process's own that stays free until it is bound.

    >>> quiet_port() in ephemeral_ports()
    False
    """
    found = quiet_ports(ephemeral_ports()) if ports is None else ports
    rng = random.SystemRandom()
    for port in rng.sample(found, min(TRIES, len(found))):
        if _can_bind(host, port) and _claims.take(port):
            return port
    raise RuntimeError(f"no free port among {found}")


def _can_bind(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
