"""HTTP/1.1 client connections to backend servers.

A client library that hides its connections can't be used here. Whether a call was sent
at all decides if it may be sent again; an answer that belongs to an earlier call has to
be skipped, not returned; and bytes after a complete answer make a connection unusable
for the next call. So this is a small client on the same parser as the HTTP server's.

Example::

    conn = await pool.acquire(now, timeout_s)
    conn.send(head, body)
    head = await conn.head(is_stray)
    while (data := await conn.chunk()) is not None: ...
    pool.release(conn, now)
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
from bambootiller.gateway.silence import RunningTimeSource, SilenceTimeout
from bambootiller.gateway.work_queue import WorkQueue

#: An idle connection is reused only within this fraction of the keep-alive timeout that
#: the backend server states. Later, the server might close the connection while a call
#: is on its way, and it would be unknown whether the call ran.
KEEP_ALIVE_FRACTION = 0.6
#: How long an idle connection is reused if the backend server states no timeout: the
#: header can't express timeouts below a second. Seconds.
DEFAULT_KEEP_ALIVE_S = 0.3
#: TCP keep-alive: an idle connection is probed after this time and at this interval,
#: and closed after this many unanswered probes. Where TCP_USER_TIMEOUT is supported, it
#: replaces the number of probes. Seconds, the kernel's minimum.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
#: The kernel closes a connection if sent bytes, or probes, aren't acknowledged, or the
#: peer takes no more, within this time. Milliseconds; more than the second or two for
#: which the machine of a sound backend server may be silent.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
#: SO_LINGER with a timeout of 0: closing sends a reset and drops unsent data.
_LINGER_ZERO = struct.pack("ii", 1, 0)
#: Reading from the socket pauses while more than this is buffered, and no more is read
#: at a time. Bytes.
MAX_UNREAD_BYTES = 64 * 1024
#: How much is parsed between two checks of what it has cost. Bytes.
SLICE_BYTES = 4096
#: A connection begins no further slice after so many parts of answers (heads, headers,
#: chunks) at once; what has been received beyond waits in the work queue. A part takes
#: some microseconds.
MAX_PARTS_AT_ONCE = 256
#: How many answers to other calls are skipped before a connection is given up, and how
#: many bytes of them in total.
MAX_STRAY_ANSWERS = 4
MAX_STRAY_BYTES = 256 * 1024
#: A call whose body is up to this size is sent in one piece. Bytes.
MAX_JOINED_BYTES = 64 * 1024
#: How much may be received without a complete head or a part of a body: heads,
#: informational answers, trailers, chunk extensions. Bytes; guards against answers that
#: send these endlessly.
MAX_BYTES_WITHOUT_PROGRESS = 64 * 1024
#: The parser lets other versions through, and the protocols RTSP and ICE, whose status
#: lines look the same.
HTTP_VERSIONS = ("1.0", "1.1")


class ConnectionLost(Exception):
    """The answer broke off or isn't valid HTTP.

    ``closed_cleanly`` is whether the connection was closed without a reset,
    ``received_any`` whether any byte of an answer was received.
    """

    def __init__(self, detail: str, closed_cleanly: bool, received_any: bool) -> None:
        super().__init__(detail)
        self.closed_cleanly = closed_cleanly
        self.received_any = received_any


@dataclass(slots=True)
class _Answer:
    """An answer being read; ``data`` is the part of its body not read yet."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    data: bytearray = field(default_factory=bytearray)
    has_head: bool = False
    complete: bool = False
    keep_alive: bool = True


class BackendConnection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self, running_time: RunningTimeSource, work_queue: WorkQueue) -> None:
        self._running_time = running_time
        self._work_queue = work_queue
        #: Received bytes that haven't been parsed yet, and what ended the connection
        #: behind them.
        self._unparsed = b""
        self._end_after_unparsed: Callable[[], None] | None = None
        self._parts_parsed = 0
        self._progressed = False
        #: The running time at which the answer last progressed, and how often it has.
        self.last_received_at = 0.0
        self.progress_count = 0
        self._silence_s: float | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        #: The answers received for the current call, strays first; the last one is
        #: being parsed.
        self._answers: deque[_Answer] = deque()
        self._unread_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._loss: ConnectionLost | None = None
        self._in_call = False
        self._received_any = False
        #: Bytes received since the last complete head, body part or end of an answer.
        self._bytes_without_progress = 0
        self._unusable = False
        self._paused = False
        self.reused = False
        self.keep_alive_s: float = DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        self._transport = transport
        transport.max_size = MAX_UNREAD_BYTES
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; outside of a call they make the connection unusable."""
        if not self._in_call:
            self._unusable = True
            return
        self._received_any = True
        waits_for_turn = bool(self._unparsed)
        self._unparsed += data
        if not waits_for_turn:
            self._parse()

    def _parse(self) -> None:
        """Parse what has been received, up to a bounded number of parts; the rest waits
        in the work queue, and nothing more is read meanwhile."""
        self._parts_parsed = 0
        received = memoryview(self._unparsed)
        parsed = 0
        while parsed < len(received) and self._parts_parsed < MAX_PARTS_AT_ONCE:
            if not self._in_call or self._loss is not None:
                parsed = len(received)
                break
            self._parse_slice(received[parsed : parsed + SLICE_BYTES])
            parsed += SLICE_BYTES
        self._unparsed = bytes(received[parsed:])
        self._record_progress()
        if self._unparsed:
            self._work_queue.add(self._parse_when_due)
        self._update_reading()
        self._notify()

    def _parse_when_due(self) -> None:
        if not self._unparsed:
            return
        self._parse()
        if not self._unparsed and self._end_after_unparsed is not None:
            end, self._end_after_unparsed = self._end_after_unparsed, None
            end()

    def _parse_slice(self, data: memoryview) -> None:
        self._bytes_without_progress += len(data)
        if not self._answers and _begins_unlike_http(data):
            self._unusable = True
            self._mark_lost("the answer doesn't begin with HTTP", False)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._unusable = True
            if not self._is_complete():
                self._mark_lost(f"the answer isn't valid HTTP: {exc}", False)
        if (
            self._bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS
            and not self._is_complete()
        ):
            self._mark_lost(
                f"{self._bytes_without_progress} bytes without progress", False
            )
            self._unusable = True
            self._transport.abort()

    def _mark_progress(self) -> None:
        """Mark that the answer has progressed. Received bytes alone don't show that the
        backend server works: a head can go on forever, a byte at a time."""
        self._progressed = True
        self._bytes_without_progress = 0

    def _record_progress(self) -> None:
        """Record once for all parts parsed together that the answer has progressed."""
        if not self._progressed:
            return
        self._progressed = False
        self.last_received_at = self._running_time()
        self.progress_count += 1
        self._silence_s = None

    def _update_reading(self) -> None:
        """Pause reading while too much is buffered or waits to be parsed."""
        pause = self._unread_bytes > MAX_UNREAD_BYTES or bool(self._unparsed)
        if pause == self._paused:
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """The peer closes the connection, which ends an answer without a length."""
        if self._unparsed:
            self._end_after_unparsed = self._on_eof
            return False
        self._on_eof()
        return False

    def _on_eof(self) -> None:
        self._unusable = True
        if self._in_call and not self._is_complete():
            last = self._answers[-1] if self._answers else None
            if last is not None and last.has_head and _ends_with_connection(last):
                last.complete = True
            else:
                self._mark_lost(
                    "the connection was closed before the answer's end", True
                )
        self._notify()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        if not self._unparsed:
            self._on_lost(exc)
            return
        before = self._end_after_unparsed

        def end() -> None:
            if before is not None:
                before()
            self._on_lost(exc)

        self._end_after_unparsed = end

    def _on_lost(self, exc: Exception | None) -> None:
        self._unusable = True
        if self._in_call and not self._is_complete():
            self._mark_lost(f"the connection was lost: {exc!r}", exc is None)
        self._notify()

    # -- httptools callbacks

    def on_message_begin(self) -> None:
        """An answer begins; the relay decides which one belongs to the call."""
        self._parts_parsed += 1
        if not self._answers or self._answers[-1].complete:
            self._answers.append(_Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the answer; trailers are dropped."""
        self._parts_parsed += 1
        answer = self._answers[-1]
        if not answer.has_head:
            answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is complete; those of informational answers are dropped."""
        answer = self._answers[-1]
        version = self._parser.get_http_version()
        if version not in HTTP_VERSIONS:
            self._unusable = True
            self._mark_lost(f"the answer is of HTTP/{version}", False)
            return
        answer.status = self._parser.get_status_code()
        if 100 <= answer.status < 200:
            answer.headers.clear()
            return
        answer.has_head = True
        self._mark_progress()
        answer.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._parts_parsed += 1
        self._mark_progress()
        self._answers[-1].data += data
        self._unread_bytes += len(data)

    def on_message_complete(self) -> None:
        """The answer is complete, unless it is an informational one."""
        answer = self._answers[-1]
        answer.complete = answer.has_head
        if answer.complete:
            self._mark_progress()

    # -- for the relay

    def send(self, head: bytes, body: bytes) -> None:
        """Send a call. The connection must be idle."""
        self._in_call = True
        self._received_any = False
        self._bytes_without_progress = 0
        self._silence_s = None
        self._answers.clear()
        self._unread_bytes = 0
        if self._transport.is_closing():
            self._mark_lost("the connection was closed while idle", True)
            return
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            # Joined, a large body would be in memory once more.
            self._transport.write(head)
            self._transport.write(body)

    @property
    def has_waiting_reader(self) -> bool:
        """Whether the relay waits for data from this connection."""
        return self._waiter is not None

    def has_changed_since(self, seen_count: int) -> bool:
        """Whether the answer has progressed or ended since :attr:`progress_count` was
        ``seen_count``. It is counted because running time doesn't advance while the
        process stalls."""
        return (
            self.progress_count > seen_count
            or self._loss is not None
            or self._is_complete()
        )

    @property
    def loss(self) -> ConnectionLost | None:
        """Why the connection was lost before the end of the answer, None if it
        wasn't."""
        return self._loss

    def signal_silence(self, seconds: float) -> None:
        """Raise :class:`SilenceTimeout` in the relay that waits for data."""
        self._silence_s = seconds
        self._notify()

    async def head(self, is_stray: Callable[[AnswerHead], bool]) -> AnswerHead:
        """The head of the answer; answers for which ``is_stray`` holds are skipped.

        Raises :class:`ConnectionLost`, and :class:`SilenceTimeout` if it is signalled.
        """
        skipped = 0
        for _ in range(MAX_STRAY_ANSWERS):
            while not (self._answers and self._answers[0].has_head):
                await self._wait_for_more()
            answer = self._answers[0]
            head = AnswerHead(answer.status, tuple(answer.headers))
            if not is_stray(head):
                return head
            while (data := await self.chunk()) is not None:
                skipped += len(data)
                if skipped > MAX_STRAY_BYTES:
                    raise ConnectionLost(
                        "too many bytes of answers to other calls", False, True
                    )
            self._answers.popleft()
        raise ConnectionLost("too many answers to other calls", False, True)

    async def chunk(self) -> bytes | None:
        """The next part of the body, None once the answer is complete; raises the same
        errors as :meth:`head`."""
        answer = self._answers[0]
        while not answer.data:
            if answer.complete:
                return None
            await self._wait_for_more()
        data = bytes(answer.data)
        answer.data.clear()
        self._unread_bytes = 0
        self._update_reading()
        return data

    def finish(self, now: float) -> bool:
        """End the call; returns whether the connection can be reused."""
        usable = (
            self._in_call
            and len(self._answers) == 1
            and self._is_complete()
            and self._answers[0].keep_alive
            and not self._unusable
            and not self._unparsed
            and self._loss is None
            and not self._transport.is_closing()
        )
        if usable:
            self.keep_alive_s = _reuse_time_s(self._answers[0])
            usable = self.keep_alive_s > 0
        self.idle_since = now
        self.reused = True
        if not usable:
            self.close()
        self._in_call = False
        return usable

    def can_be_reused(self, now: float) -> bool:
        """Whether an idle connection may still be reused."""
        if self._unusable or self._transport is None or self._transport.is_closing():
            return False
        return now - self.idle_since < self.keep_alive_s

    def close(self) -> None:
        """Close immediately, so that the backend server drops the call.

        During a call the connection is reset. After an ordinary close, bytes held up by
        a network partition would still be delivered once it heals, and the backend
        server would begin to work for a caller that left seconds before.
        """
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if self._in_call and sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self._in_call = False
        self._unparsed = b""
        self._end_after_unparsed = None
        self._transport.abort()

    def _is_complete(self) -> bool:
        return bool(self._answers) and self._answers[-1].complete

    async def _wait_for_more(self) -> None:
        if self._loss is not None:
            raise self._loss
        if self._silence_s is not None:
            seconds, self._silence_s = self._silence_s, None
            raise SilenceTimeout(seconds)
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _mark_lost(self, detail: str, cleanly: bool) -> None:
        if self._loss is None:
            self._loss = ConnectionLost(detail, cleanly, self._received_any)

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _begins_unlike_http(data: memoryview) -> bool:
    """Whether the first bytes of an answer are those of another protocol."""
    first = bytes(data).lstrip(b"\r\n")[:1]
    return first not in (b"", b"H")


def _enable_keepalive(sock: socket.socket) -> None:
    """Configure the kernel to close a connection whose peer silently disappeared.

    A broken link, or a connection-tracking table that dropped the entry, sends no
    reset. Without this, a call sent on such an idle connection hangs until its
    deadline, and its caller gets an unknown outcome although the call never arrived.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _reuse_time_s(answer: _Answer) -> float:
    """For how long the connection may be reused, in seconds; 0 if not at all."""
    for name, value in answer.headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.lower() == b"timeout" and number.strip().isdigit():
                    return float(number) * KEEP_ALIVE_FRACTION
    return DEFAULT_KEEP_ALIVE_S


def _ends_with_connection(answer: _Answer) -> bool:
    for name, value in answer.headers:
        if name == b"content-length":
            return False
        if name == b"transfer-encoding" and b"chunked" in value.lower():
            return False
    return True
