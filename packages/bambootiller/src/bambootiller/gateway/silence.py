"""Detects silent connections, measured in the running time of this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, TypeVar

T = TypeVar("T")
#: Reads the running time of the process, in seconds; see
#: :mod:`bambootiller_core.gateway.running_clock`.
RunningTimeSource = Callable[[], float]
#: Shortest timer, so that a wait that is almost over doesn't keep the event loop
#: spinning. Seconds.
MIN_TIMER_S = 0.005


class SilenceTimeout(Exception):
    """Nothing was received for ``seconds`` of running time."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"silent for {seconds:.2f} s")
        self.seconds = seconds


class WatchedConnection(Protocol):
    """A connection that a :class:`SilenceDetector` watches."""

    #: The running time at which data was last received.
    last_received_at: float

    @property
    def has_waiting_reader(self) -> bool:
        """Whether a reader waits for data."""

    def signal_silence(self, seconds: float) -> None:
        """Raise :class:`SilenceTimeout` in the reader that waits for data."""


class SilenceDetector:
    """Watches one connection while a call uses it.

    One timer serves all events of a stream. It checks when data was last received. A
    timeout around each read would race with the data instead: after a stall it would
    expire in the same iteration of the event loop in which the data is read, and take
    effect first.

    Example::

        detector = SilenceDetector(conn, 0.7, running_time)
        try: ...
        finally: detector.stop()
    """

    def __init__(
        self, conn: WatchedConnection, seconds: float, running_time: RunningTimeSource
    ) -> None:
        self._conn = conn
        self._seconds = seconds
        self._running_time = running_time
        self._timer: asyncio.TimerHandle | None = None
        self._silent_since = 0.0
        self.restart()

    def restart(self) -> None:
        """Start a new silence period: the silence so far has been handled."""
        self._silent_since = self._running_time()
        self._arm(self._seconds)

    def recheck_in(self, seconds: float) -> None:
        """Signal the silence once more in ``seconds``, if it lasts."""
        self._silent_since = self._running_time() - max(0.0, self._seconds - seconds)
        self._arm(seconds)

    def stop(self) -> None:
        """Stop watching."""
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
        if not conn.has_waiting_reader:
            # The caller reads slowly, so nothing is being read from the backend server.
            self.restart()
            return
        silent_s = self._running_time() - max(self._silent_since, conn.last_received_at)
        if silent_s < self._seconds:
            self._arm(self._seconds - silent_s)
            return
        conn.signal_silence(self._seconds)


async def wait_running_time(
    running_time: RunningTimeSource, seconds: float, coroutine: Coroutine[Any, Any, T]
) -> T:
    """Await ``coroutine`` for at most ``seconds`` of running time; raises TimeoutError.

    Connecting takes several iterations of the event loop. In a process that is starved
    of CPU they alone take longer than a timeout meant for the peer.
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
