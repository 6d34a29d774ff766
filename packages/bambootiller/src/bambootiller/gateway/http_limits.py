"""Limits what callers may send, how long they may take, and what they all hold.

The HTTP server itself reads heads, trailers and bodies of any length and waits forever
for the rest of one. A caller that sends without end, or opens thousands of connections
and sends nothing, would exhaust the memory and file descriptors of an instance that
serves others.

Example::

    protocol = limited_protocol(lambda: config.limits, log_refusal, lambda: leaving)
    server = HttpServer(app, address, protocol)
"""

from __future__ import annotations

import asyncio
import math
import select
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from bambootiller.entry.exchange import Application, Receive, Send
from bambootiller.gateway.answer_transport import AnswerTransport
from bambootiller.gateway.connection_memory import ConnectionMemory
from bambootiller.gateway.http_refusals import (
    MALFORMED,
    NO_MEMORY,
    TOO_LARGE,
    TOO_MANY_PARTS,
    TOO_SLOW,
    TRAILER_TOO_LARGE,
    HeadRefusal,
    OnHeadRefused,
)
from bambootiller.gateway.unsent_answer import UnsentAnswer
from bambootiller_core.gateway.caller_connections import (
    CallerConnection,
    CallerConnections,
)
from bambootiller_core.gateway.caller_memory import CallerMemory
from bambootiller_core.gateway.config import CallLimits

#: Counted per header beside its name and value: colon, space and line end. Bytes.
HEADER_FRAMING_BYTES = 4
#: An idle connection is kept open for this multiple of the configured idle timeout,
#: for most of which callers may reuse it.
KEEP_ALIVE_FACTOR = 1.1
#: The most chunks of a request's body, beside one for each ``MIN_PART_BYTES`` of it.
#: Each takes some microseconds, however few bytes it has, so a body of tiny chunks
#: would hold up all other callers.
MAX_SMALL_PARTS = 4096
MIN_PART_BYTES = 64
#: The most bytes of a request beside its head and body, and beside
#: ``max_header_bytes`` for a trailer: what each part of the body takes for the size and
#: the ends of a chunk. Bytes.
CHUNK_FRAMING_BYTES = 32
#: For how long and up to how many bytes received data is read and dropped after a
#: refusal, so that its sender gets the answer. Seconds, bytes.
LINGER_S = 1.0
LINGER_BYTES = 1 << 20
#: How long a timer of a connection is put off while received bytes wait to be read. The
#: event loop reads them in its next turn, some milliseconds later. Seconds.
UNREAD_DELAY_S = 0.02
#: The ASGI scope's extension that holds the :class:`ConnectionEnd` of a request.
CONNECTION_END = "bambootiller.connection_end"


@dataclass(slots=True)
class ConnectionEnd:
    """How a caller's connection ended, filled in once it has.

    ``closed_by`` is ``caller`` (it closed in the ordinary way), ``error`` (a reset or a
    timeout of the network, see ``detail``) or ``entry`` (this process closed it).
    """

    closed_by: str = ""
    detail: str = ""


def limited_protocol(
    limits: Callable[[], CallLimits],
    refused: OnHeadRefused,
    leaving: Callable[[], bool],
    sheds_connection: Callable[[], bool] = lambda: False,
    memory: CallerMemory | None = None,
    connections: CallerConnections | None = None,
) -> type[HttpToolsProtocol]:
    """The server's protocol class with the limits that are in force when a head
    arrives; ``refused`` is called for each refused head. While ``leaving`` holds, each
    connection is closed after its answer. A new connection for which
    ``sheds_connection`` holds is closed unread, to shed load. ``memory`` bounds what
    all connections hold, ``connections`` how many there are; by default nothing does.
    """
    if connections is None:
        connections = CallerConnections(sys.maxsize)
    if memory is None:
        memory = CallerMemory(math.inf, time.monotonic)

    class LimitedProtocol(_LimitedProtocol):
        get_limits = staticmethod(limits)
        on_refused = staticmethod(refused)
        is_leaving = staticmethod(leaving)
        closes_unread = staticmethod(sheds_connection)
        caller_memory = memory
        caller_connections = connections

    return LimitedProtocol


class _LimitedProtocol(HttpToolsProtocol):
    """A connection of a caller."""

    get_limits: Callable[[], CallLimits]
    on_refused: OnHeadRefused
    is_leaving: Callable[[], bool]
    closes_unread: Callable[[], bool]
    caller_memory: CallerMemory
    caller_connections: CallerConnections

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A caller has connected; start the idle timeout."""
        super().connection_made(transport)
        self._head_bytes = self._field_bytes = 0
        self._body_parts = self._body_bytes = self._framing_bytes = 0
        self._reading_head = False
        self._in_message = False
        #: Set once a refusal is decided on; received bytes are dropped from then on.
        self._refused = False
        self._dropped_bytes = 0
        #: A refusal that waits for the end of the answers before it.
        self._put_off: HeadRefusal | None = None
        #: The request whose body is being received, and the one before it.
        self._receiving: RequestResponseCycle | None = None
        self._previous: RequestResponseCycle | None = None
        #: Whether the connection stays open after the answer to the former.
        self._keeps_alive = True
        self._end = ConnectionEnd()
        self._caller_closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._held = ConnectionMemory(self.caller_memory, self._evict)
        self._unsent = UnsentAnswer(
            transport,
            self.caller_memory,
            lambda: self.get_limits().idle_timeout_s,
            self.loop,
        )
        self._set_timeout(self.get_limits().idle_timeout_s)
        #: None if the connection is closed unread.
        self._open_connection: CallerConnection | None = None
        if not self.closes_unread():
            self._open_connection = self.caller_connections.open(self._close_at_once)
        if self._open_connection is None or not self._held.connect():
            # Makes data_received drop whatever still arrives.
            self._refused = True
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self._set_timeout(None)
        if exc is not None:
            self._end.closed_by, self._end.detail = "error", repr(exc)
        else:
            self._end.closed_by = "caller" if self._caller_closed else "entry"
        super().connection_lost(exc)
        self._unsent.resumed()
        if self._open_connection is not None:
            self._open_connection.closed()
        for request, _ in self.pipeline:
            self._held.release(request)
        self._held.close()

    def eof_received(self) -> None:
        """The caller closes the connection."""
        self._caller_closed = True
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count those of an unfinished head."""
        if self._refused:
            self._drop(data)
            return
        # If the bytes begin inside a previous request it is unknown how many of them
        # belong to the next head.
        counts = self._reading_head or not self._in_message
        was_idle = self.timeout_keep_alive_task is not None
        receiving, body_bytes = self._receiving, self._body_bytes
        super().data_received(data)
        if was_idle and not self._in_message and self._answers_are_complete():
            # Only a line end, which begins no request.
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )
        if receiving is not None and receiving is self._receiving:
            self._count_framing(len(data) - (self._body_bytes - body_bytes))
        if not self._reading_head:
            return
        if counts:
            self._head_bytes += len(data)
        if self._head_bytes > self.get_limits().max_header_bytes:
            self._refuse(TOO_LARGE)
            return
        size = max(self._head_bytes, self._field_bytes)
        if not self._held.receive_head(size, len(self.headers)):
            self._refuse(NO_MEMORY)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Application) -> None:
        """Serve a request, and release what it held once its task ends, which may be
        long after its connection has."""

        async def serve(scope: dict[str, Any], receive: Receive, send: Send) -> None:
            try:
                await app(scope, receive, send)
            finally:
                self._held.release(cycle)

        super()._start_asgi_task(cycle, serve)

    def pause_writing(self) -> None:
        """The network takes the answer more slowly than it is made."""
        super().pause_writing()
        self._unsent.paused()

    def resume_writing(self) -> None:
        """The network has taken most of the answer."""
        self._unsent.resumed()
        super().resume_writing()

    def _close_at_once(self) -> None:
        """Close the connection at once, in favour of a new one."""
        self._refused = True
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def _evict(self) -> None:
        """Hold as little as possible, in favour of others."""
        if self._reading_head:
            self._refuse(NO_MEMORY)
        elif self._receiving is not None:
            self._refuse_receiving(NO_MEMORY)
        else:
            self._refused = True
            self.transport.close()
            self._held.close()

    def on_message_begin(self) -> None:
        """A request begins; start the head's timeout."""
        self._reading_head = self._in_message = True
        self._head_bytes = self._field_bytes = 0
        self._body_parts = self._body_bytes = self._framing_bytes = 0
        if not self._refused:
            self._set_timeout(self.get_limits().header_timeout_s)
            self._held.begin_head()
            self._open_connection.receiving()
        super().on_message_begin()
        self.scope["extensions"] = {CONNECTION_END: self._end}

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field is complete, of the head or of a trailer.

        The fields of a trailer are dropped. Merged into the head, they could change how
        the request is read (RFC 9110, section 6.5.1), and a caller could send them
        without end.
        """
        if self._reading_head:
            self._field_bytes += len(name) + len(value) + HEADER_FRAMING_BYTES
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """A head is complete."""
        self._reading_head = False
        self._set_timeout(None)
        if len(self.url) + self._field_bytes > self.get_limits().max_header_bytes:
            self._refuse(TOO_LARGE)
        elif not self._refused and not self._held.begin_request(
            self._field_bytes, len(self.headers)
        ):
            self._refuse(NO_MEMORY)
        if self._refused:
            return
        previous = self.cycle
        super().on_headers_complete()
        self._receiving, self._previous = self.cycle, previous
        if self.cycle is not previous:
            self._held.serve(self.cycle)
            self._close_if_answered_early(self.cycle)

    def on_message_complete(self) -> None:
        """A request is complete; the next may begin."""
        self._in_message = False
        if self._refused:
            return
        receiving = self._receiving
        if receiving is not None and not receiving.response_started:
            receiving.keep_alive = self._keeps_alive
        super().on_message_complete()
        self._receiving = self._previous = None
        self._held.received()
        self._open_connection.served()

    def _close_if_answered_early(self, request: RequestResponseCycle) -> None:
        """Have the connection closed if a request is answered before its body is
        complete, instead of reading on for as long as its caller sends."""
        self._keeps_alive, request.keep_alive = request.keep_alive, False
        request.transport = AnswerTransport(self.transport, self._close_after_answer)

    def _close_after_answer(self) -> None:
        if self._receiving is None:
            self.transport.close()
        else:
            self._linger()

    def on_response_complete(self) -> None:
        """An answer is complete. Callers may reuse a connection for most of the idle
        timeout; if it were closed sooner, a call could already be on its way."""
        kept_s = self.get_limits().idle_timeout_s * KEEP_ALIVE_FACTOR
        self.timeout_keep_alive = max(self.timeout_keep_alive, kept_s)
        super().on_response_complete()
        if self._put_off is not None:
            self._send_when_due(self._put_off)
        elif self._refused:
            self._unset_keepalive_if_required()
        elif self._answers_are_complete() and not self._in_message:
            self._held.idle()
            self._open_connection.idle()
        if self.is_leaving() and self._put_off is None and not self._refused:
            # The head of a long answer may have been sent before the stop began,
            # without "connection: close". Left open, the connection would be closed
            # later, while the caller's next call is on its way.
            self.shutdown()

    def on_body(self, body: bytes) -> None:
        """A part of a body was received."""
        if self._refused:
            return
        self._body_parts += 1
        self._body_bytes += len(body)
        if self._body_parts > MAX_SMALL_PARTS + self._body_bytes // MIN_PART_BYTES:
            self._refuse_receiving(TOO_MANY_PARTS)
        elif not self._held.receive_body(self._receiving, len(body)):
            self._refuse_receiving(NO_MEMORY)
        else:
            super().on_body(body)

    def _count_framing(self, size: int) -> None:
        """Count bytes of the request that is being received beside its body."""
        if self._refused:
            return
        self._framing_bytes += size
        allowed = CHUNK_FRAMING_BYTES * (self._body_parts + 1)
        if self._framing_bytes > self.get_limits().max_header_bytes + allowed:
            self._refuse_receiving(TRAILER_TOO_LARGE)

    def _refuse_receiving(self, refusal: HeadRefusal) -> None:
        """Refuse the request whose body is being received."""
        if self._receiving is None or self._receiving.response_started:
            # The request has its answer; a second one would belong to none.
            self._refused = True
            self.transport.close()
        else:
            self._withdraw_receiving()
            self._refuse(refusal)

    def _answers_are_complete(self) -> bool:
        return self.cycle is None or self.cycle.response_complete

    def _set_timeout(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self.loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self.flow.read_paused:
            # Requests wait for the answer in progress, so nothing is read: it isn't the
            # caller that is slow.
            self._set_timeout(self.get_limits().header_timeout_s)
        elif self._has_unread_bytes():
            self._set_timeout(UNREAD_DELAY_S)
        elif self._in_message:
            self._refuse(TOO_SLOW)
        else:
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """The idle timeout after an answer has ended."""
        if self._has_unread_bytes():
            self.timeout_keep_alive_task = self.loop.call_later(
                UNREAD_DELAY_S, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def _has_unread_bytes(self) -> bool:
        """Whether received bytes, or the end of the connection, wait to be read.

        A process that was stopped for a while, or got no processor time, may run its
        timers before it reads its sockets. Callers whose requests arrived in time would
        then be closed off without an answer, for a delay that isn't theirs.
        """
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def send_400_response(self, msg: str) -> None:
        """The server can't parse what it received."""
        if not self._refused:
            self._withdraw_receiving()
            self._refuse(MALFORMED)

    def _withdraw_receiving(self) -> None:
        """Take back a request whose body is refused, unless its answer has begun."""
        request = self._receiving
        if request is None or request.response_started:
            return
        request.body = bytearray()
        self._held.release(request)
        if any(request is waiting for waiting, _ in self.pipeline):
            self.pipeline.popleft()
        else:
            # As if the caller had gone: what still waits for the body ends.
            request.disconnected = True
            request.message_event.set()
        self.cycle = self._previous

    def _refuse(self, refusal: HeadRefusal) -> None:
        """Answer with a status that guarantees that nothing has run, and close; but
        only after the answers to the requests before it.

        What follows a request on its connection says nothing about that request, whose
        answer may be in progress. A refusal at once would be written into that answer
        or cut it off, though its call has run. Until then received bytes are dropped,
        not buffered, and reading goes on, which shows if the caller leaves.
        """
        if self._refused:
            return
        self._refused = True
        self._set_timeout(None)
        if self._reading_head:
            self.headers.clear()
        self._held.drop_head()
        self.on_refused(refusal)
        self._send_when_due(refusal)

    def _send_when_due(self, refusal: HeadRefusal) -> None:
        """Send a refusal, unless an answer before it isn't complete yet."""
        if not self._answers_are_complete():
            self._put_off = refusal
            return
        self._put_off = None
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self.transport.write(refusal.answer())
        self._linger()

    def _linger(self) -> None:
        """Close the connection, but not at once: data that the caller still sends would
        be answered by a reset, which discards the answer before it is read."""
        self._refused = True
        self._set_timeout(None)
        if self.transport.is_closing():
            return
        self._open_connection.idle()
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def _drop(self, data: bytes) -> None:
        if self._put_off is not None:
            # Reading goes on, which shows if the caller leaves.
            return
        self._dropped_bytes += len(data)
        if self._dropped_bytes > LINGER_BYTES:
            self.flow.pause_reading()
