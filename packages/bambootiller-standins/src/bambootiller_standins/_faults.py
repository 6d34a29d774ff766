"""Faults that a test can order of any stand-in through its ``/control`` path."""

import asyncio
import enum
from collections.abc import Awaitable, Callable

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

MS = 0.001


class FaultMode(enum.StrEnum):
    """How a stand-in treats the calls that reach it."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


class FaultOrder(BaseModel):
    """The body of ``POST /control``; what is left out keeps its value, except that a
    mode resets delay and count.
    """

    model_config = ConfigDict(extra="forbid")

    mode: FaultMode | None = None
    delay_ms: int = Field(default=0, ge=0)
    count: int = Field(default=0, ge=0)
    reset: bool = False


class FaultGate:
    """Decides for each call whether it is served, delayed, closed, or served without an
    answer.

    ``down`` closes the connection without an answer, and cuts streams that are open.
    ``slow`` waits before the call is served.  ``lose_answers`` lets the next *count*
    writes take effect and closes their connections, which is the case in which a writer
    can't tell whether it succeeded.
    """

    def __init__(self) -> None:
        self.mode = FaultMode.UP
        self.delay_ms = 0
        self.answers_to_lose = 0
        self.lost_answers = 0
        self._frozen_until = 0.0
        self._streams: set[asyncio.Task] = set()
        self._cut: set[asyncio.Task] = set()

    def apply(self, order: FaultOrder) -> None:
        """Takes over the mode of an order, if it names one."""
        self.set_mode(order.mode, order.delay_ms, order.count)

    def set_mode(
        self, mode: FaultMode | None, delay_ms: int = 0, count: int = 0
    ) -> None:
        """Takes over a mode; ``down`` cuts the open streams at once."""
        if mode is None:
            return
        mode = FaultMode(mode)
        self.mode = mode
        self.delay_ms = delay_ms
        self.answers_to_lose = count
        if mode is FaultMode.DOWN:
            self.cut_streams()

    def freeze(self, ms: float) -> None:
        """Holds every call back until *ms* milliseconds from now."""
        self._frozen_until = asyncio.get_running_loop().time() + ms * MS

    async def thawed(self) -> None:
        """Waits until a freeze is over; returns at once if there is none."""
        loop = asyncio.get_running_loop()
        while (left := self._frozen_until - loop.time()) > 0:
            await asyncio.sleep(left)

    def release_all(self) -> None:
        """Ends faults and open streams, so that the server can stop."""
        self._frozen_until = 0.0
        self.mode = FaultMode.UP
        self.cut_streams()

    def cut_streams(self) -> None:
        """Closes the connection of every call that is being served."""
        for task in list(self._streams):
            self._cut.add(task)
            task.cancel()

    async def pause(self) -> None:
        """Waits as long as ``slow`` asks; streams call it before each message."""
        await self.thawed()
        if self.mode is FaultMode.SLOW:
            await asyncio.sleep(self.delay_ms * MS)

    async def guard(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Serves one call under the present fault."""
        await self.pause()
        if self.mode is FaultMode.DOWN:
            return hang_up(request)
        task = asyncio.current_task()
        self._streams.add(task)
        try:
            return await handler(request)
        except asyncio.CancelledError:
            # A cut of ours ends as a closed connection; any other cancellation (the
            # caller has gone, the server stops) has to go on as one, or the server
            # would wait for an answer that nobody can take.
            if task in self._cut:
                return hang_up(request)
            raise
        except ConnectionError:
            # The caller closed its connection while a part of the answer was written.
            return hang_up(request)
        finally:
            self._streams.discard(task)
            self._cut.discard(task)

    def loses_answer(self) -> bool:
        """Tells whether the write that has just taken effect is to be left without an
        answer.
        """
        if self.mode is not FaultMode.LOSE_ANSWERS or self.answers_to_lose <= 0:
            return False
        self.answers_to_lose -= 1
        self.lost_answers += 1
        if self.answers_to_lose == 0:
            self.mode = FaultMode.UP
        return True


def hang_up(request: web.Request) -> web.Response:
    """Closes the connection of *request*; the response reaches nobody."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
