"""Measures how long a process has run, as opposed to how long the clock has.

A process that gets no processor time, or is stopped for a while, doesn't read its
sockets, and messages that arrive meanwhile stay unread. Measured by the clock alone,
all its peers have then been silent: backend servers, agents, other entries, the
key-value store. Streams would be given up although their events have arrived, and all
connections opened again, which costs the process the little processor time that it
gets.

So timeouts on the silence of peers count only the time during which this process could
have received messages.

Example::

    running = RunningClock(now)
    timers.every("running time", TICK_S, now, running.tick)
    started = running.running_time(now)
    ...
    silent_s = running.running_time(later) - started
"""

from __future__ import annotations

#: Seconds between readings of the clock while the process runs; an eighth of the
#: shortest silence that is measured.
TICK_S = 0.1
#: Delay of a tick that isn't a stall, in seconds: timers of a running process fire some
#: milliseconds late, and later during one long piece of work.
TICK_TOLERANCE_S = 0.03


class RunningClock:
    """A clock that stops while its process doesn't run."""

    def __init__(self, now: float) -> None:
        self._last_tick = now
        self._stalled_s = 0.0

    def tick(self, now: float) -> float:
        """Record that the process runs. Returns the seconds for which it had stalled
        before, 0 if it hadn't."""
        late_s = self._late_s(now)
        self._stalled_s += late_s
        self._last_tick = now
        return late_s

    def running_time(self, now: float) -> float:
        """A reading of the clock, in seconds. Only differences are meaningful."""
        return now - self._stalled_s - self._late_s(now)

    def _late_s(self, now: float) -> float:
        return max(0.0, now - self._last_tick - TICK_S - TICK_TOLERANCE_S)
