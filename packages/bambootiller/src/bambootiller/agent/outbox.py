"""The way of an answer from the task that runs a call to the one that serves it."""

from __future__ import annotations

import asyncio
from collections import deque

from bambootiller.agent.pieces import Final, Piece
from bambootiller_core.invariants import ensure

#: Pieces that may wait here. A slow caller then slows the backend server's answer, by
#: the flow control of its connection, instead of filling this process's memory.
LIMIT = 64


class Outbox:
    """A bounded line of pieces and, behind them, one final outcome.

    Example::

        await outbox.put(Text("Hello", 1))
        outbox.end(Completed(1, "stop"))
        await outbox.take()     # [Text("Hello", 1)]
        await outbox.take()     # []: read ``final``
    """

    def __init__(self) -> None:
        self.final: Final | None = None
        self._pieces: deque[Piece] = deque()
        self._news = asyncio.Event()
        self._room = asyncio.Event()
        self._room.set()
        self._closed = False

    async def put(self, piece: Piece) -> None:
        """Append a piece, once there is room for it."""
        while len(self._pieces) >= LIMIT and not self._closed:
            self._room.clear()
            await self._room.wait()
        self.put_now(piece)

    def put_now(self, piece: Piece) -> None:
        """Append a piece even if the line is full; for what comes once a request."""
        if not self._closed and self.final is None:
            self._pieces.append(piece)
            self._news.set()

    def end(self, final: Final) -> None:
        """State how the request ended. There is one final outcome, never two."""
        ensure(
            self.final is None,
            "one-final-outcome",
            f"{final} after {self.final}",
        )
        self.final = final
        self._news.set()

    def close(self) -> None:
        """Nobody reads any more: drop what waits and what comes."""
        self._closed = True
        self._pieces.clear()
        self._room.set()

    async def take(self) -> list[Piece]:
        """All pieces that have arrived; empty only once the final outcome stands."""
        while not self._pieces and self.final is None:
            self._news.clear()
            await self._news.wait()
        taken = list(self._pieces)
        self._pieces.clear()
        self._room.set()
        return taken
