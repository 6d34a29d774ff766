"""The project's stand-in of the store, with watches that can be cut."""

from __future__ import annotations

import asyncio
import time

from bambootiller_platform_standins.httpd import Reply, Request
from bambootiller_platform_standins.store import StandinStore


class CuttableStore(StandinStore):
    """A store whose waiting watches can be cut, as the protocol allows.

    A cut closes the connection of the watch in the ordinary way. Everything else goes
    on: reads, writes and new watches are answered at once.
    """

    def __init__(self) -> None:
        super().__init__()
        self._waiting: set[asyncio.Task] = set()
        self.watches_cut = 0
        #: The times at which lists of a prefix were read, by prefix.
        self.lists_read: dict[str, list[float]] = {}

    def cut_watches(self) -> int:
        """Cut the watches that wait now; return their number."""
        waiting = list(self._waiting)
        for task in waiting:
            task.cancel()
        self.watches_cut += len(waiting)
        return len(waiting)

    async def _handle(self, request: Request) -> Reply:
        if request.path.endswith("/kv-range"):
            prefix = request.query["path-prefix"]
            self.lists_read.setdefault(prefix, []).append(time.monotonic())
        if not request.path.endswith("/kv-watch"):
            return await super()._handle(request)
        task = asyncio.ensure_future(super()._handle(request))
        self._waiting.add(task)
        try:
            await asyncio.wait((task,))
            if task.cancelled():
                raise ConnectionError("the watch was cut")
            return task.result()
        finally:
            self._waiting.discard(task)
            task.cancel()
