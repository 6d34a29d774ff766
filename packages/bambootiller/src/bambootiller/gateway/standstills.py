"""Notices and tells when this process stands still, and keeps the time it has run."""

from __future__ import annotations

from bambootiller.app import Application
from bambootiller.gateway.eventlog import EventLog
from bambootiller_core.gateway.log_lines import StoodStill
from bambootiller_core.gateway.running import TICK_S, RunningTime

#: Standstills shorter than this aren't told: they delay an event of a stream by no more
#: than the pause that most routes allow between two. Seconds.
TOLD_S = 0.1


class Standstills:
    """Ticks the running time of the process.

    Example::

        standstills = Standstills(app, events)
        standstills.start()
        began = standstills.ran()
    """

    def __init__(self, app: Application, events: EventLog) -> None:
        self._app = app
        self._events = events
        self._running = RunningTime(app.now())

    def start(self) -> None:
        """Begin to tick."""
        now = self._app.now()
        self._running.tick(now)
        self._app.timers.every("running time", TICK_S, now, self._tick)

    def ran(self) -> float:
        """How long the process has run. Seconds; only differences mean something."""
        return self._running.ran(self._app.now())

    def ran_at(self, now: float) -> float:
        """The same at a given time, not before the last tick."""
        return self._running.ran(now)

    def _tick(self, now: float) -> None:
        stood_still_s = self._running.tick(now)
        if stood_still_s >= TOLD_S:
            self._events.emit(StoodStill(round(stood_still_s, 3)))
