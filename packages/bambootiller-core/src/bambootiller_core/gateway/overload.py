"""Decides what fraction of new connections an overloaded entry rejects.

A load balancer may send most of the new connections to one entry. If the entry accepted
all of them, their calls would wait for each other until every one is late. If it closes
some unread, those callers go to other entries at once. The delay with which the event
loop runs its timers shows whether the entry keeps up: a single delay is a pause, and
several in a row mean more work than the loop has time for, if it never had to wait for
work meanwhile. A process that is stopped again and again is late too, but does wait.

Example::

    overload.tick(late_s, idle_s)
    if rng.random() < overload.rejected_fraction: ...  # close the connection unread
"""

from __future__ import annotations

#: A tick is busy if the loop runs its timer this much too late, or more. Seconds.
BUSY_S = 0.06
#: A tick isn't busy if the loop waited for work at least this long before it, however
#: late it is. Seconds; a tenth of the time between ticks.
IDLE_S = 0.01
#: How many busy ticks in a row count as overload.
SUSTAINED_TICKS = 3
#: How much the fraction grows with each tick during overload.
GROWTH = 0.1
#: How much the fraction shrinks with each tick that isn't busy.
DECAY = 0.05
#: The upper bound of the fraction. Some connections are always accepted, as other
#: entries may be overloaded too.
MAX_REJECTED_FRACTION = 0.9
#: From this fraction on, the entry reports that it isn't ready for new connections.
UNREADY_FRACTION = 0.5


class Overload:
    """Measures the overload of one entry."""

    def __init__(self) -> None:
        self._busy_ticks = 0
        #: The fraction of new connections to reject, 0 if the entry keeps up.
        self.rejected_fraction = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may keep sending new connections."""
        return self.rejected_fraction < UNREADY_FRACTION

    def tick(self, late_s: float, idle_s: float = 0.0) -> None:
        """Record that the loop ran its timer, ``late_s`` seconds too late, and that it
        had nothing to do for ``idle_s`` seconds since the last time."""
        busy = late_s >= BUSY_S and idle_s < IDLE_S
        self._busy_ticks = self._busy_ticks + 1 if busy else 0
        if self._busy_ticks >= SUSTAINED_TICKS:
            self.rejected_fraction = min(
                MAX_REJECTED_FRACTION, self.rejected_fraction + GROWTH
            )
        elif not self._busy_ticks:
            self.rejected_fraction = max(0.0, self.rejected_fraction - DECAY)
