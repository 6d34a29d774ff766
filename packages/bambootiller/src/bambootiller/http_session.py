"""The HTTP client session of one adapter, opened on first use and closed for good."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp


class SessionClosed(aiohttp.ClientConnectionError):
    """A call was asked for after the adapter had been closed. It wasn't sent."""


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """The answer has more bytes than any that is expected."""


async def read_bounded(response: aiohttp.ClientResponse, most: int) -> bytes:
    """The body of an answer, of ``most`` bytes at most.

    Whoever answers may be in trouble and send without end. Raises
    :class:`AnswerTooLarge`, and closes the connection.
    """
    parts, size = [], 0
    async for data in response.content.iter_any():
        size += len(data)
        if size > most:
            response.close()
            raise AnswerTooLarge(f"more than {most} bytes")
        parts.append(data)
    return b"".join(parts)


class HttpSession:
    """Owns a client session, which belongs to the loop and so is made on first use.

    Once closed it stays closed. A call that a stopping process still made used to open
    a second session, which nobody closed: the process ended with a line of level error
    ("Unclosed client session") behind the one that told why it ended.

    Example::

        session = HttpSession(lambda: aiohttp.ClientSession())
        async with session.get().get("http://127.0.0.1:2379/version") as response: ...
        await session.close()
    """

    def __init__(self, make: Callable[[], aiohttp.ClientSession]) -> None:
        self._make = make
        self._opened: aiohttp.ClientSession | None = None
        self._closed = False

    def get(self) -> aiohttp.ClientSession:
        """The session; raises :class:`SessionClosed` after :meth:`close`."""
        if self._closed:
            raise SessionClosed("the session has been closed; the call wasn't sent")
        if self._opened is None:
            self._opened = self._make()
        return self._opened

    async def close(self) -> None:
        """Release the connections; calls from now on aren't sent."""
        self._closed = True
        if self._opened is not None:
            await self._opened.close()
            self._opened = None


def unlimited() -> aiohttp.ClientSession:
    """A session without a bound on connections of its own, and without cookies: how
    many calls run is decided by who makes them. Bodies aren't decompressed: a few bytes
    would become as many as memory holds."""
    return aiohttp.ClientSession(
        auto_decompress=False,
        headers={"Accept-Encoding": "identity"},
        connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
