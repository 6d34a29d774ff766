"""A client of the system that uses plain HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field


@dataclass(slots=True)
class Answer:
    """What a client received. ``status`` is None if no whole head came, ``whole`` is
    whether the body was complete."""

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""


class Client:
    """One connection, which carries one request after the other.

    Example::

        async with Client(entry.front) as client:
            answer = await client.call("POST", "/p/1", {"Host": "h"}, b"x")
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> Client:
        self._reader, self._writer = await asyncio.open_connection(*self._address)
        return self

    async def __aexit__(self, *details) -> None:
        self.leave()

    def leave(self) -> None:
        """Close the connection in the ordinary way."""
        with contextlib.suppress(Exception):
            self._writer.close()

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        fields = dict(headers)
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self._writer.drain()

    async def receive(self) -> Answer:
        """Receive an answer, up to its end or that of the connection."""
        answer = Answer()
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
            answer.status = int(first.split(" ")[1])
            for line in rest:
                name, _, value = line.partition(":")
                answer.headers[name.lower()] = value.strip()
            await self._receive_body(answer)
            answer.whole = True
        except (OSError, asyncio.IncompleteReadError) as exc:
            answer.error = type(exc).__name__
        return answer

    async def _receive_body(self, answer: Answer) -> None:
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await self._reader.readexactly(size)
            return
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            answer.body += (await self._reader.readexactly(size + 2))[:-2]
            if size == 0:
                return

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and receive its answer."""
        await self.send(method, path, headers, body)
        return await self.receive()
