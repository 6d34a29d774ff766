"""How long a process has run, as against how long the clock has.

A process that is starved of its processor, or stopped for a while, doesn't look at its
sockets. What others sent meanwhile lies there unread. Measured by the clock alone,
everybody else has then been silent: backend servers, agents, other entries, the store.
Streams are given up although their events have come, and all connections are opened
anew, which costs the process the little time that it gets.

So whoever judges the silence of others measures it in the time during which this
process could have heard them.

Example::

    running = RunningClock(now)
    timers.every("running time", TICK_S, now, running.tick)
    began = running.ran(now)
    ...
    silent_s = running.ran(later) - began
"""

from __future__ import annotations

#: A process that runs looks at the clock this often. Seconds; an eighth of the shortest
#: silence that is judged.
TICK_S = 0.1
#: A look that comes no later than this is in order: timers of a process that runs fire
#: some milliseconds late, more while it carries out one piece of work. Seconds.
TICK_TOLERANCE_S = 0.03


class RunningClock:
    """A clock that stands still while its process does."""

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._stalled_s = 0.0

    def tick(self, now: float) -> float:
        """The process runs. Returns for how long it had stood still before, 0 if it
        hadn't. Seconds."""
        late_s = self._late_s(now)
        self._stalled_s += late_s
        self._last_tick = now
        return late_s

    def running_time(self, now: float) -> float:
        """A reading of the clock, in seconds. Only differences mean something."""
        return now - self._stalled_s - self._late_s(now)

    def _late_s(self, now: float) -> float:
        return max(0.0, now - self._last_tick - TICK_S - TICK_TOLERANCE_S)
