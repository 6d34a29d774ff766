"""Notices when a backend server is silent, by the time that this process has run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

T = TypeVar("T")
#: Reads the running time of the process, in seconds; see
#: :mod:`bambootiller_core.gateway.running`.
RunningClock = Callable[[], float]
#: A timer is set no closer than this, so that a wait that is all but over doesn't turn
#: the loop over and over. Seconds.
MIN_TIMER_S = 0.005


class SilenceTimeout(Exception):
    """Nothing has come from a backend server for ``seconds`` of running time."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"silent for {seconds:.2f} s")
        self.seconds = seconds


class WatchedConnection(Protocol):
    """A connection whose silence is watched."""

    #: The running time at which something came last.
    last_received_at: float

    @property
    def awaited(self) -> bool:
        """Whether somebody waits for something to come."""

    def signal_silence(self, seconds: float) -> None:
        """Have whoever waits get :class:`SilenceTimeout`."""


class SilenceDetector:
    """Looks at one connection as long as a call is on it.

    One timer serves all events of a stream. It asks when something came last instead of
    racing with what comes: a timeout around each wait ends in the same turn of the loop
    in which a late process reads its sockets, and wins against the event.

    Example::

        watch = SilenceDetector(conn, 0.7, ran)
        try: ...
        finally: watch.stop()
    """

    def __init__(
        self, conn: WatchedConnection, seconds: float, running_time: RunningClock
    ) -> None:
        self._conn = conn
        self._seconds = seconds
        self._running_time = running_time
        self._timer: asyncio.TimerHandle | None = None
        self._silent_since = 0.0
        self.again()

    def again(self) -> None:
        """Begin anew: what was silent so far has been told."""
        self._silent_since = self._running_time()
        self._arm(self._seconds)

    def recheck_in(self, seconds: float) -> None:
        """Tell the silence once more, if it lasts, in ``seconds``."""
        self._silent_since = self._running_time() - max(0.0, self._seconds - seconds)
        self._arm(seconds)

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self, seconds: float) -> None:
        self.stop()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(seconds, MIN_TIMER_S), self._check)

    def _check(self) -> None:
        self._timer = None
        conn = self._conn
        if not conn.awaited:
            # The caller takes its time; what comes isn't asked for meanwhile.
            self.again()
            return
        silent_s = self._running_time() - max(self._silent_since, conn.last_received_at)
        if silent_s < self._seconds:
            self._arm(self._seconds - silent_s)
            return
        conn.signal_silence(self._seconds)


async def wait_running_time(
    running_time: RunningClock, seconds: float, coroutine: Coroutine[Any, Any, T]
) -> T:
    """Await ``coroutine`` for ``seconds`` of running time at most, else TimeoutError.

    Making a connection takes several turns of the loop. In a process that is starved of
    its processor those alone last longer than a timeout meant for the other side.
    """
    task = asyncio.ensure_future(coroutine)
    end = running_time() + seconds
    try:
        while not task.done():
            left_s = end - running_time()
            if left_s <= 0:
                raise TimeoutError
            await asyncio.wait((task,), timeout=max(left_s, MIN_TIMER_S))
        return task.result()
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))
