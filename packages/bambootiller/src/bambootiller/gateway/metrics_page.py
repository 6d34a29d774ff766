"""Serves the metrics page on a port of its own.

The agent has no HTTP server for calls, and one for a page that is read every few
seconds would take a fifth more memory. So this module implements the part of HTTP/1.1
that a scraper needs: one GET per connection. Any other request gets an error at once,
and the connection of a slow sender is closed.

Example::

    page = MetricsPage(meters.page, Address("10.0.0.1", 9464), "/metrics")
    app.add(page)
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from bambootiller import logs
from bambootiller.settings import Address

#: A connection without a complete request after this time is closed. Seconds.
READ_TIMEOUT_S = 2.0
#: A connection that hasn't accepted the page after this time is reset. Seconds.
WRITE_TIMEOUT_S = 5.0
#: The longest request head that is accepted. Bytes.
MAX_HEAD_BYTES = 8192
#: The most concurrent connections; further ones are closed at once.
MAX_CONNECTIONS = 8
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

log = logs.logger("gateway.metrics")


class MetricsPage:
    """One page at one path, as a component of the application; other paths are 404."""

    name = "metrics page"

    def __init__(self, page: Callable[[], bytes], listen: Address, path: str) -> None:
        self._page = page
        self._listen = listen
        self._path = path
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """The bound port."""
        return self._server.sockets[0].getsockname()[1]

    async def prepare(self) -> None:
        """Do nothing: there is no resource to acquire before the start."""

    async def drain(self, seconds: float) -> None:
        """Do nothing: a page is built in one step, so no work is pending."""

    async def start(self) -> None:
        """Listen. If the port can't be bound there are no metrics, but calls are still
        served."""
        host, port = self._listen.host, self._listen.port
        try:
            self._server = await asyncio.start_server(
                self._serve, host, port, limit=MAX_HEAD_BYTES
            )
        except OSError as exc:
            log.warning("cannot bind the metrics page to {}:{}: {}", host, port, exc)

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            await self._answer(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The scraper has disconnected or is too slow. It reports that itself, and
            # tries again.
            writer.transport.abort()
        finally:
            self._connections.discard(writer)
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            status, body = "431 Request Header Fields Too Large", b""
        else:
            status, body = self._respond(head)
        lines = (
            f"HTTP/1.1 {status}",
            f"Content-Type: {CONTENT_TYPE}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await writer.drain()

    def _respond(self, head: bytes) -> tuple[str, bytes]:
        request_line = head.split(b"\r\n", 1)[0].split(b" ")
        if len(request_line) != 3 or not request_line[2].startswith(b"HTTP/1."):
            return "400 Bad Request", b""
        if request_line[0] != b"GET":
            return "405 Method Not Allowed", b""
        if request_line[1].partition(b"?")[0] != self._path.encode():
            return "404 Not Found", b""
        return "200 OK", self._page()
