"""Bounds what a caller may send as the head of a request, and how long it may take.

The HTTP server reads heads of any length, and waits for the rest of one for ever. A
caller who sends a head without an end, or none at all on thousands of connections,
would use up the memory and the descriptors of an instance that serves others.

Example::

    protocol = limited_protocol(lambda: config.limits, log_refusal, lambda: leaving)
    server = HttpServer(app, address, protocol)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bambootiller_core.gateway.config import CallLimits

#: Each header costs its name, its value, a colon, a space and the line's end.
HEADER_FRAMING_BYTES = 4
#: An idle connection is kept for so many times as long as callers may leave it idle.
KEEP_ALIVE_FACTOR = 1.1
#: After a refusal, what still comes is read and dropped for so long. Seconds.
LINGER_S = 1.0


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """Why a head wasn't read to its end, and what its sender was answered."""

    reason: str
    status: int
    phrase: str


TOO_LARGE = HeadRefusal("head_too_large", 431, "Request Header Fields Too Large")
TOO_SLOW = HeadRefusal("head_too_slow", 408, "Request Timeout")

OnHeadRefused = Callable[[HeadRefusal], None]


def limited_protocol(
    limits: Callable[[], CallLimits],
    refused: OnHeadRefused,
    leaving: Callable[[], bool],
    sheds_connection: Callable[[], bool] = lambda: False,
) -> type[HttpToolsProtocol]:
    """The server's protocol with the limits that are in force when a head comes;
    ``refused`` is told of each head that is left. While ``leaving`` holds, each
    connection is closed with the answer on it; one for which ``sheds_connection`` holds when
    it comes is closed unread."""

    class LimitedProtocol(_LimitedProtocol):
        get_limits = staticmethod(limits)
        on_refused = staticmethod(refused)
        is_leaving = staticmethod(leaving)
        closes_unread = staticmethod(sheds_connection)

    return LimitedProtocol


class _LimitedProtocol(HttpToolsProtocol):
    """One connection of a caller."""

    get_limits: Callable[[], CallLimits]
    on_refused: OnHeadRefused
    is_leaving: Callable[[], bool]
    closes_unread: Callable[[], bool]

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A caller has connected, and is due to send something."""
        super().connection_made(transport)
        self._head_bytes = 0
        self._reading_head = False
        self._in_message = False
        self._refused = False
        self._timer: asyncio.TimerHandle | None = None
        self._set_timeout(self.get_limits().idle_timeout_s)
        if self.closes_unread():
            # Whatever comes on it is dropped unread.
            self._refused = True
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        self._set_timeout(None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Bytes of a request have come."""
        if self._refused:
            return
        # Behind the end of another request, how much of them is head isn't known.
        counts = self._reading_head or not self._in_message
        super().data_received(data)
        if not self._reading_head or not counts:
            return
        self._head_bytes += len(data)
        if self._head_bytes > self.get_limits().max_header_bytes:
            self._refuse(TOO_LARGE)

    def on_message_begin(self) -> None:
        """A request begins."""
        self._reading_head = self._in_message = True
        self._head_bytes = 0
        self._set_timeout(self.get_limits().header_timeout_s)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """A head is whole."""
        self._reading_head = False
        self._set_timeout(None)
        size = len(self.url) + sum(
            len(name) + len(value) + HEADER_FRAMING_BYTES
            for name, value in self.headers
        )
        if size > self.get_limits().max_header_bytes:
            self._refuse(TOO_LARGE)
        if not self._refused:
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """A request is whole; the next may begin."""
        self._in_message = False
        if not self._refused:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """An answer is whole. Callers may use a connection again for most of the time
        that they were told it is kept; closed sooner, a call could cross the close."""
        kept_s = self.get_limits().idle_timeout_s * KEEP_ALIVE_FACTOR
        self.timeout_keep_alive = max(self.timeout_keep_alive, kept_s)
        super().on_response_complete()
        if self.is_leaving():
            # The head of a long answer may have gone out before the stop began, with no
            # word that the connection ends. Left open, it would be closed while the
            # caller's next call is on its way.
            self.shutdown()

    def on_body(self, body: bytes) -> None:
        """A part of a body has come."""
        if not self._refused:
            super().on_body(body)

    def _set_timeout(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self.loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self._in_message:
            self._refuse(TOO_SLOW)
        else:
            self.transport.close()

    def _refuse(self, refusal: HeadRefusal) -> None:
        """Answer with a status that promises that nothing has run, and close."""
        if self._refused:
            return
        self._refused = True
        self._set_timeout(None)
        self.on_refused(refusal)
        if self.cycle is not None and not self.cycle.response_complete:
            # An answer to an earlier request is on its way; another in its middle
            # would spoil it.
            self.transport.close()
            return
        head = (
            f"HTTP/1.1 {refusal.status} {refusal.phrase}",
            "content-length: 0",
            "connection: close",
        )
        self.transport.write("\r\n".join(head).encode() + b"\r\n\r\n")
        self.transport.write_eof()
        # Closed at once, what the caller still sends would be answered by a reset,
        # which takes the answer away before it is read.
        self.loop.call_later(LINGER_S, self.transport.close)
