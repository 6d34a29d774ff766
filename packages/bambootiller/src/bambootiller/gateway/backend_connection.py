"""Connections to backend servers, on which answers are told apart with care.

A client library that hides its connections can't be used here. Whether a call was sent
at all decides if it may be sent again; an answer that belongs to an earlier call has to
be skipped, not returned; and bytes behind a whole answer make a connection useless for
the next call. So this is a small client on the parser that the HTTP server uses too.

Example::

    conn = await pool.acquire(timeout_s)
    conn.send(head, body)
    head = await conn.head(is_stray)
    while (data := await conn.chunk()) is not None: ...
    pool.release(conn)
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from bambootiller.gateway.ports import AnswerHead
from bambootiller.gateway.silence import RunningClock, SilenceTimeout

#: A kept connection is used again only within this part of the time for which the
#: backend server says it keeps it. Closer to the end, a call could cross its close, and
#: nobody could tell whether it ran.
KEEP_SHARE = 0.6
#: The same where the backend server doesn't say: times below a second aren't stated.
#: Seconds.
KEEP_UNSTATED_S = 0.3
#: An idle connection is probed after this time and then as often; after so many
#: unanswered probes it is closed. Seconds, the least that the kernel takes.
PROBE_IDLE_S = 1
PROBES = 2
#: Bytes that the other side hasn't acknowledged within this time end the connection.
#: Milliseconds; far above any delay between availability zones.
UNACKNOWLEDGED_MS = 1500
#: Linger for no time: closing a socket sends a reset and drops what is unsent.
_RESET = struct.pack("ii", 1, 0)
#: Reading pauses while more than this waits to be passed on. Bytes.
MOST_HELD = 256 * 1024
#: Answers to other calls that are skipped before a connection is given up, and the
#: bytes of all of them.
MOST_STRAYS = 4
MOST_STRAY_BYTES = 256 * 1024
#: So much may come without a whole head or a part of a body: heads, informational
#: answers, trailers, extensions of chunks. More of it isn't an answer. Bytes.
MOST_FRUITLESS = 64 * 1024


class ConnectionLost(Exception):
    """The answer broke off or isn't HTTP.

    ``closed_cleanly`` tells an ordinary close from a reset; ``any_byte`` whether
    anything of an answer had come.
    """

    def __init__(self, detail: str, closed_cleanly: bool, any_byte: bool) -> None:
        super().__init__(detail)
        self.closed_cleanly = closed_cleanly
        self.any_byte = any_byte


@dataclass(slots=True)
class _Answer:
    """An answer being read; ``data`` are the parts of its body not taken yet."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    data: deque[bytes] = field(default_factory=deque)
    has_head: bool = False
    whole: bool = False
    keep_alive: bool = True


class BackendConnection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self, running_time: RunningClock) -> None:
        self._running_time = running_time
        #: The running time at which bytes came last, and how often some have come.
        self.heard_at = 0.0
        self.arrivals = 0
        self._silence_s: float | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        #: The answers to the present call, strays first; the last is being parsed.
        self._answers: deque[_Answer] = deque()
        self._held = 0
        self._wake: asyncio.Future[None] | None = None
        self._lost: ConnectionLost | None = None
        self._active = False
        self._any_byte = False
        #: Bytes since a whole head, a part of a body or an end of an answer came last.
        self._fruitless = 0
        self._spoiled = False
        self._paused = False
        self.reused = False
        self.keep_s: float = KEEP_UNSTATED_S
        self.idle_since = 0.0

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _notice_silence(sock)

    def data_received(self, data: bytes) -> None:
        """Bytes have come; outside of a call they spoil the connection."""
        if not self._active:
            self._spoiled = True
            return
        self._any_byte = True
        self._fruitless += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._spoiled = True
            if not self._all_whole():
                self._lose(f"the answer isn't HTTP: {exc}", False)
        if self._fruitless > MOST_FRUITLESS and not self._all_whole():
            self._lose(f"{self._fruitless} bytes that bring nothing", False)
            self._spoiled = True
            self._transport.abort()
        self._notify()

    def _bore_fruit(self) -> None:
        """Something of an answer has come. Bytes alone don't show that the backend
        server does anything: a head can go on for ever, a byte at a time."""
        self._fruitless = 0
        self.heard_at = self._running_time()
        self.arrivals += 1
        self._silence_s = None

    def eof_received(self) -> bool:
        """The other side closes: an answer without a length ends with that."""
        self._spoiled = True
        if self._active and not self._all_whole():
            last = self._answers[-1] if self._answers else None
            if last is not None and last.has_head and _ends_with_connection(last):
                last.whole = True
            else:
                self._lose("the connection was closed before the answer's end", True)
        self._notify()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        self._spoiled = True
        if self._active and not self._all_whole():
            self._lose(f"the connection was lost: {exc!r}", exc is None)
        self._notify()

    # -- httptools callbacks

    def on_message_begin(self) -> None:
        """An answer begins; more than one on a call are told apart by the relay."""
        if not self._answers or self._answers[-1].whole:
            self._answers.append(_Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the answer; trailers are dropped."""
        answer = self._answers[-1]
        if not answer.has_head:
            answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is there."""
        answer = self._answers[-1]
        answer.status = self._parser.get_status_code()
        if 100 <= answer.status < 200:
            answer.headers.clear()
            return
        answer.has_head = True
        self._bore_fruit()
        answer.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._bore_fruit()
        self._answers[-1].data.append(data)
        self._held += len(data)
        if self._held > MOST_HELD and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was an informational one."""
        answer = self._answers[-1]
        answer.whole = answer.has_head
        if answer.whole:
            self._bore_fruit()

    # -- for the relay

    def send(self, head: bytes, body: bytes) -> None:
        """Send a call. The connection must be idle."""
        self._active = True
        self._any_byte = False
        self._fruitless = 0
        self._silence_s = None
        self._answers.clear()
        self._held = 0
        if self._transport.is_closing():
            self._lose("the connection was closed while idle", True)
            return
        self._transport.write(head + body)

    @property
    def awaited(self) -> bool:
        """Whether the relay waits for something to come."""
        return self._wake is not None

    def has_news(self, heard: int) -> bool:
        """Whether something has come since :attr:`arrivals` was ``heard``, an end
        included. Counted, because running time stands still with the process."""
        return self.arrivals > heard or self._lost is not None or self._all_whole()

    @property
    def loss(self) -> ConnectionLost | None:
        """What became of the connection if it is lost before its answer's end."""
        return self._lost

    def note_silence(self, seconds: float) -> None:
        """Have the relay, which waits, get :class:`SilenceTimeout`."""
        self._silence_s = seconds
        self._notify()

    async def head(self, is_stray: Callable[[AnswerHead], bool]) -> AnswerHead:
        """The head of the answer; answers for which ``is_stray`` holds are skipped."""
        skipped = 0
        for _ in range(MOST_STRAYS):
            while not (self._answers and self._answers[0].has_head):
                await self._more()
            answer = self._answers[0]
            head = AnswerHead(answer.status, tuple(answer.headers))
            if not is_stray(head):
                return head
            while (data := await self.chunk()) is not None:
                skipped += len(data)
                if skipped > MOST_STRAY_BYTES:
                    raise ConnectionLost("an answer to another call", False, True)
            self._answers.popleft()
        raise ConnectionLost("too many answers to other calls", False, True)

    async def chunk(self) -> bytes | None:
        """The next part of the body; None once the answer is whole."""
        answer = self._answers[0]
        while not answer.data:
            if answer.whole:
                return None
            await self._more()
        data = b"".join(answer.data)
        answer.data.clear()
        self._held = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        return data

    def finish(self, now: float) -> bool:
        """End the call; True if the connection can carry another one."""
        usable = (
            self._active
            and len(self._answers) == 1
            and self._all_whole()
            and self._answers[0].keep_alive
            and not self._spoiled
            and self._lost is None
            and not self._transport.is_closing()
        )
        if usable:
            self.keep_s = _stated_keep(self._answers[0])
            usable = self.keep_s > 0
        self.idle_since = now
        self.reused = True
        if not usable:
            self.close()
        self._active = False
        return usable

    def fresh(self, now: float) -> bool:
        """Whether an idle connection may still be used."""
        if self._spoiled or self._transport is None or self._transport.is_closing():
            return False
        return now - self.idle_since < self.keep_s

    def close(self) -> None:
        """Close at once, which has the backend server drop the call.

        A call that is given up resets its connection. Closed in the ordinary way, bytes
        that a cut path has held up would still be delivered once the path is whole, and
        a backend server would begin to work for a caller who left seconds before.
        """
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if self._active and sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._active = False
        self._transport.abort()

    def _all_whole(self) -> bool:
        return bool(self._answers) and self._answers[-1].whole

    async def _more(self) -> None:
        if self._lost is not None:
            raise self._lost
        if self._silence_s is not None:
            seconds, self._silence_s = self._silence_s, None
            raise SilenceTimeout(seconds)
        self._wake = asyncio.get_running_loop().create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _lose(self, detail: str, cleanly: bool) -> None:
        if self._lost is None:
            self._lost = ConnectionLost(detail, cleanly, self._any_byte)

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


def _notice_silence(sock: socket.socket) -> None:
    """Have the kernel close a connection whose other end has gone without a word.

    A link that was cut, or a table that forgot the connection, sends no reset. Without
    this, a call sent on such a kept connection hangs until its deadline, and its caller
    is told that the outcome isn't known, although the call never arrived.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_IDLE_S),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _stated_keep(answer: _Answer) -> float:
    """For how long the connection may be used again. Seconds."""
    for name, value in answer.headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    return int(number) * KEEP_SHARE
    return KEEP_UNSTATED_S


def _ends_with_connection(answer: _Answer) -> bool:
    for name, value in answer.headers:
        if name == b"content-length":
            return False
        if name == b"transfer-encoding" and b"chunked" in value.lower():
            return False
    return True
