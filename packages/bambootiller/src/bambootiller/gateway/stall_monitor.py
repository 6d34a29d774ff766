"""Notices and tells when this process stands still, and keeps the time it has run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.eventlog import EventLog
from bambootiller_core.gateway.log_lines import StoodStill
from bambootiller_core.gateway.running import TICK_S, RunningTime

#: StallMonitor shorter than this aren't told: they delay an event of a stream by no more
#: than the pause that most routes allow between two. Seconds.
MIN_REPORTED_STALL_S = 0.1


#: A call that met silence while this process stood still for so long is asked again
#: before the silence is believed. Seconds; half of the shortest time for one.
MIN_STALL_S = 0.25


@dataclass(frozen=True, slots=True)
class TimeReading:
    """A time, and how long the process had run by then."""

    at: float
    running_time: float


class StallCheck:
    """Tells whether a silence may be the process's own.

    Example::

        began = own.now()
        if await ask() is None and not own.was_stalled(began):
            lost()
    """

    def __init__(
        self, clock: Callable[[], float], running_time_at: Callable[[float], float]
    ) -> None:
        self._clock = clock
        self._running_time_at = running_time_at

    def now(self) -> TimeReading:
        """The present moment."""
        at = self._clock()
        return TimeReading(at, self._running_time_at(at))

    def was_stalled(self, since: TimeReading) -> bool:
        """Whether the process stood still for a good part of the time ``since``."""
        now = self.now()
        stalled_s = (now.at - since.at) - (now.running_time - since.running_time)
        return stalled_s >= MIN_STALL_S


class StallMonitor:
    """Ticks the running time of the process.

    Example::

        standstills = StallMonitor(app, events)
        standstills.start()
        began = standstills.ran()
    """

    def __init__(self, app: Application, events: EventLog) -> None:
        self._app = app
        self._events = events
        self._running = RunningTime(app.now())
        self._listeners: list[Callable[[float], None]] = []
        self.stall_check = StallCheck(app.now, self._running.running_time)

    def start(self) -> None:
        """Begin to tick."""
        now = self._app.now()
        self._running.tick(now)
        self._app.timers.every("running time", TICK_S, now, self._tick)

    def on_tick(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with how late each tick is, in seconds."""
        self._listeners.append(listener)

    def running_time(self) -> float:
        """How long the process has run. Seconds; only differences mean something."""
        return self._running.running_time(self._app.now())

    def running_time_at(self, now: float) -> float:
        """The same at a given time, not before the last tick."""
        return self._running.running_time(now)

    def _tick(self, now: float) -> None:
        stalled_s = self._running.tick(now)
        for listener in self._listeners:
            listener(stalled_s)
        if stalled_s >= MIN_REPORTED_STALL_S:
            self._events.emit(StoodStill(round(stalled_s, 3)))
