"""Callers on plain sockets, and the memory and descriptors of the program they call."""

import asyncio
import contextlib
import socket
from pathlib import Path

#: The most that one caller of a crowd sends. Bytes.
MAX_SENT_BYTES = 64 << 20
#: How long a caller of a crowd waits for the program to read on. Seconds.
SEND_TIMEOUT_S = 30.0
#: Bounds the wait for an answer, far above what any takes. Seconds.
ANSWER_TIMEOUT_S = 40.0
READ_BYTES = 65_536


class Caller:
    """One connection of a crowd.

    ``sent`` counts the bytes that the network has taken. ``is_closed`` is set once the
    other side has closed or reset the connection.

    Example::

        caller = await Caller.connect(address)
        await caller.send(head(content_length=4 << 20), b"x" * 1000)
    """

    def __init__(self, sock):
        self._sock = sock
        self.send_timeout_s = SEND_TIMEOUT_S
        self._loop = asyncio.get_running_loop()
        self.sent = 0
        self.is_closed = False
        self.received = b""

    @classmethod
    async def connect(cls, address, receive_buffer_bytes=None):
        """Connect to the address, HOST:PORT."""
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        caller = cls(sock)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await caller._loop.sock_connect(sock, (host, int(port)))
        except (OSError, TimeoutError):
            caller.is_closed = True
        return caller

    async def send(self, *parts):
        """Send these parts, until the other side closes or reads no more."""
        for part in parts:
            view = memoryview(part)
            while view and not self.is_closed:
                size = await self._send_some(view)
                if size is None:
                    return
                view = view[size:]

    async def repeat(self, part, max_bytes=MAX_SENT_BYTES):
        """Send a part again and again, up to ``max_bytes``."""
        end = self.sent + max_bytes
        while self.sent < end and not self.is_closed:
            before = self.sent
            await self.send(part)
            if self.sent == before:
                return

    async def _send_some(self, view):
        try:
            async with asyncio.timeout(self.send_timeout_s):
                while True:
                    with contextlib.suppress(BlockingIOError):
                        size = self._sock.send(view[:READ_BYTES])
                        self.sent += size
                        # Lets the other callers of the crowd have a turn.
                        await asyncio.sleep(0)
                        return size
                    await self._writable()
        except TimeoutError:
            return None
        except OSError:
            self.is_closed = True
            return None

    async def _writable(self):
        ready = self._loop.create_future()
        self._loop.add_writer(self._sock, lambda: ready.done() or ready.set_result(0))
        try:
            await ready
        finally:
            self._loop.remove_writer(self._sock)

    async def wait_closed(self):
        """Read until the other side closes; TimeoutError if it doesn't."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not self.is_closed:
                try:
                    data = await self._loop.sock_recv(self._sock, READ_BYTES)
                except OSError:
                    data = b""
                self.received += data
                self.is_closed = not data

    def close(self):
        """Close the connection."""
        self._sock.close()


def head(path="/plain/x", method="POST", attempt="crowd", **fields):
    """The head of a request; underscores in names stand for hyphens."""
    lines = [f"{method} {path} HTTP/1.1", "Host: classes.example"]
    lines += [f"X-Request-Attempt: {attempt}", "X-Deadline-Ms: 60000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(size):
    """A chunk of a body."""
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def peak_memory_bytes(pid):
    """The most resident memory that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"pid {pid}: no VmHWM in its status")


def descriptor_count(pid):
    """The number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
