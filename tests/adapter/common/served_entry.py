"""An entry's HTTP front behind the real HTTP server, on a socket of the test's loop."""

import asyncio
import contextlib
import math
import sys

import httptools

from bambootiller.entry.httpserver import HttpServer
from bambootiller.gateway.http_limits import limited_protocol
from bambootiller.settings import Address
from bambootiller_core.gateway.caller_connections import CallerConnections
from bambootiller_core.gateway.caller_memory import CallerMemory
from bambootiller_core.gateway.config import CallLimits
from bambootiller_core.timers import TimerService
from tests.adapter.common.entry import EntryHarness

#: Far above what any call of a test takes. Seconds.
ANSWER_TIMEOUT_S = 15.0


class ServedEntry(EntryHarness):
    """An entry to which tests connect.

    Example::

        entry = ServedEntry()
        await entry.serve()
        caller = await entry.connect()
        caller.send(request_bytes("r-1"))
        answer = await caller.answer()
    """

    #: What callers may make the entry hold, in bytes, and how many connections.
    memory_bytes = math.inf
    max_connections = sys.maxsize

    def __init__(self):
        super().__init__()
        self.refused_heads = []
        self.context.caller_memory = CallerMemory(
            self.memory_bytes, asyncio.get_running_loop().time
        )
        self.caller_connections = CallerConnections(self.max_connections)
        protocol = limited_protocol(
            self._limits,
            self.refused_heads.append,
            lambda: self.leaving,
            memory=self.context.caller_memory,
            connections=self.caller_connections,
        )
        self.server = HttpServer(self.front, Address("127.0.0.1", 0), protocol)
        self._serving = None
        self.quotas.start(TimerService(), asyncio.get_running_loop().time())

    def _limits(self):
        config = self.gateway_state.config
        return config.limits if config is not None else CallLimits()

    async def serve(self):
        """Listen, and serve until :meth:`close`."""
        self.server.bind()
        self._serving = asyncio.ensure_future(self.server.serve())

    async def close(self):
        """Stop the server and the replicas."""
        await self.server.stop(2.0)
        await self._serving
        await super().close()

    async def connect(self):
        """Open a connection of a caller."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        return CallerConnection(reader, writer)


class CallerConnection:
    """A connection of a caller, which takes answers by their framing."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self._parser = httptools.HttpResponseParser(self)
        self._answers = []
        self._complete = 0
        self.answered = 0
        self.ended = None

    def send(self, data):
        self.writer.write(data)

    def close(self):
        with contextlib.suppress(Exception):
            self.writer.close()

    def on_message_begin(self):
        self._answers.append(CallerAnswer())

    def on_header(self, name, value):
        self._answers[-1].headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self._answers[-1].status = self._parser.get_status_code()

    def on_body(self, data):
        self._answers[-1].body += data

    def on_message_complete(self):
        if self._answers[-1].status >= 200:
            self._answers[-1].whole = True
        else:
            self._answers.pop()

    async def answer(self, timeout_s=ANSWER_TIMEOUT_S):
        """The next answer; not ``whole`` if the connection ended before its end."""
        async with asyncio.timeout(timeout_s):
            while True:
                if len(self._answers) > self.answered:
                    found = self._answers[self.answered]
                    if found.whole or self.ended is not None:
                        self.answered += 1
                        return found
                elif self.ended is not None:
                    return CallerAnswer()
                await self._read()

    async def _read(self):
        try:
            data = await self.reader.read(65_536)
        except ConnectionError as exc:
            self.ended = repr(exc)
            return
        if not data:
            self.ended = "closed"
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.ended = repr(exc)


class CallerAnswer:
    """What a caller received; ``status`` is None if that was nothing."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False

    def __repr__(self):
        return f"<{self.status} whole={self.whole} {self.body[:60]!r}>"


def request_bytes(attempt, path="/plain/x", method="POST", body=b"b", **headers):
    """A request as a caller sends it."""
    lines = [f"{method} {path} HTTP/1.1", "host: classes.example"]
    lines.append(f"x-request-attempt: {attempt}")
    fields = {"content_length": len(body), **headers}
    lines += [
        f"{name.replace('_', '-')}: {value}"
        for name, value in fields.items()
        if value is not None
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
