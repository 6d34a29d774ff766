"""Which part of its new connections an entry turns away while it can't keep up.

A balancer may hand one entry most of the new connections. Taken all, their calls wait
for each other until each is late; turned away unread, callers go to other entries at
once. How late the loop gets to its timers tells whether it keeps up: once is a pause,
several times in a row is more work than there is time for.

Example::

    overload.tick(late_s)
    if rng.random() < overload.share: ...  # close the connection unread
"""

from __future__ import annotations

#: A loop that gets to a timer this much late is busy. Seconds.
BUSY_S = 0.06
#: So many times in a row make an overload.
SUSTAINED_TICKS = 3
#: How fast the share grows while the loop is busy, and shrinks while it isn't, a tick.
GROWTH = 0.1
DECAY = 0.05
#: Some connections are always taken: others may have no room either.
MAX_SHARE = 0.9
#: From this share on no new connections are wanted at all.
UNREADY_SHARE = 0.5


class Overload:
    """The share of one entry."""

    def __init__(self) -> None:
        self._busy_ticks = 0
        #: The part of new connections to turn away, 0 if the entry keeps up.
        self.share = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may go on sending new connections."""
        return self.share < UNREADY_SHARE

    def tick(self, late_s: float) -> None:
        """The loop got to its timer, so much late."""
        self._busy_ticks = self._busy_ticks + 1 if late_s >= BUSY_S else 0
        if self._busy_ticks >= SUSTAINED_TICKS:
            self.share = min(MAX_SHARE, self.share + GROWTH)
        elif not self._busy_ticks:
            self.share = max(0.0, self.share - DECAY)
