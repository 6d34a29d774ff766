"""One HTTP exchange as the ASGI server sees it: is the caller still there?

Falcon hands a request's body to its handler but doesn't tell when the caller closes the
connection. Without that, an engine would go on generating for nobody, and a body that
was cut off would look like a shorter one. So each exchange keeps the server's
``receive`` and watches it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bambootiller_core.invariants import InvariantBroken

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]

#: Where an exchange stands in its request's ASGI scope.
SCOPE_KEY = "bambootiller.exchange"


class AnswerCut(Exception):
    """An answer that has begun can't be finished.

    Raised to leave the ASGI application without the closing event. The server then cuts
    the connection, the one way in HTTP/1.1 to tell a caller that a body isn't whole.
    """


class Exchange:
    """The life of one request's connection, as far as its handler is concerned."""

    def __init__(self, receive: Receive) -> None:
        self.gone = False
        self._receive = receive
        self._watcher: asyncio.Task[None] | None = None
        self._cleanups: list[Callable[[], None]] = []
        self._async_cleanups: list[Callable[[], Awaitable[None]]] = []

    async def receive(self) -> dict[str, Any]:
        """The server's next event; notes when the caller has gone."""
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.gone = True
        return event

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call ``on_gone`` once when the caller closes; the body is read by then."""
        self._watcher = asyncio.create_task(self._watch(on_gone))

    def at_end(self, cleanup: Callable[[], None]) -> None:
        """Call ``cleanup`` when the exchange ends, however it ends."""
        self._cleanups.append(cleanup)

    def await_at_end(self, cleanup: Callable[[], Awaitable[None]]) -> None:
        """Await ``cleanup`` when the exchange ends, before those of :meth:`at_end`."""
        self._async_cleanups.append(cleanup)

    async def close(self) -> None:
        """Release everything; the exchange is over."""
        if self._watcher is not None:
            self._watcher.cancel()
        try:
            for cleanup in reversed(self._async_cleanups):
                await cleanup()
        finally:
            for callback in reversed(self._cleanups):
                callback()

    async def _watch(self, on_gone: Callable[[], None]) -> None:
        while not self.gone:
            await self.receive()
        on_gone()


class TrackedApplication:
    """Wraps an ASGI application so that each request has its :class:`Exchange`."""

    def __init__(
        self, app: Application, on_broken: Callable[[BaseException], None]
    ) -> None:
        self._app = app
        self._on_broken = on_broken

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send):
        """Serve one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        exchange = scope[SCOPE_KEY] = Exchange(receive)
        try:
            await self._app(scope, exchange.receive, send)
        except AnswerCut:
            return
        except InvariantBroken as exc:
            self._on_broken(exc)
        finally:
            await exchange.close()
