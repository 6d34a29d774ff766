"""Detects and logs stalls of this process, and keeps its running time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.event_log import EventLog
from bambootiller_core.gateway.log_lines import StoodStill
from bambootiller_core.gateway.running_clock import TICK_S, RunningClock

#: Stalls shorter than this aren't logged: they delay an event of a stream by no more
#: than the gap between events that most routes allow. Seconds.
MIN_REPORTED_STALL_S = 0.1


#: After a stall this long, a request that got no answer is repeated before the peer is
#: considered silent. Seconds; half of the shortest timeout of such a request.
MIN_STALL_S = 0.25


@dataclass(frozen=True, slots=True)
class TimeReading:
    """A clock reading and the running time at that moment. Seconds."""

    at: float
    running_time: float


class StallCheck:
    """Determines whether a missing answer may be due to a stall of this process.

    Example::

        began = stall_check.now()
        if await send_request() is None and not stall_check.was_stalled(began):
            handle_silent_peer()
    """

    def __init__(
        self, clock: Callable[[], float], running_time_at: Callable[[float], float]
    ) -> None:
        self._clock = clock
        self._running_time_at = running_time_at

    def now(self) -> TimeReading:
        """The current time."""
        at = self._clock()
        return TimeReading(at, self._running_time_at(at))

    def was_stalled(self, since: TimeReading) -> bool:
        """Whether the process stalled for at least :data:`MIN_STALL_S` in the time
        ``since``."""
        now = self.now()
        stalled_s = (now.at - since.at) - (now.running_time - since.running_time)
        return stalled_s >= MIN_STALL_S


class StallMonitor:
    """Measures the running time of the process by regular ticks.

    Example::

        stall_monitor = StallMonitor(app, events)
        stall_monitor.start()
        began = stall_monitor.running_time()
    """

    def __init__(self, app: Application, events: EventLog) -> None:
        self._app = app
        self._events = events
        self._running = RunningClock(app.now())
        self._listeners: list[Callable[[float], None]] = []
        self.stall_check = StallCheck(app.now, self._running.running_time)

    def start(self) -> None:
        """Start ticking."""
        now = self._app.now()
        self._running.tick(now)
        self._app.timers.every("running time", TICK_S, now, self._tick)

    def on_tick(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` at each tick with its delay in seconds."""
        self._listeners.append(listener)

    def running_time(self) -> float:
        """The running time. Seconds; only differences are meaningful."""
        return self._running.running_time(self._app.now())

    def running_time_at(self, now: float) -> float:
        """The running time at ``now``, which must not be before the last tick."""
        return self._running.running_time(now)

    def _tick(self, now: float) -> None:
        stalled_s = self._running.tick(now)
        for listener in self._listeners:
            listener(stalled_s)
        if stalled_s >= MIN_REPORTED_STALL_S:
            self._events.emit(StoodStill(round(stalled_s, 3)))
