"""How long the weight store serves nobody while callers wait for what only it has.

Example::

    idle = StoreIdleTracker()
    spell = idle.observe(now, loads_under_way=0, awaited={"tutor"})
    idle.total_s  # a level for the metrics page
"""

from __future__ import annotations

from collections.abc import Collection

#: A load begins some moments after the one before has ended: the agent has to see the
#: end, and an entry to plan. A spell shorter than this is no finding. Seconds.
MIN_IDLE_S = 1.0
#: A spell that goes on is told again after this time. Seconds.
REPEAT_S = 5.0
#: Looks that lie further apart than this say nothing of the time between. Seconds.
MAX_SAMPLE_GAP_S = 1.0


class StoreIdleTracker:
    """The weight store of one service, as one process sees it."""

    def __init__(self) -> None:
        #: All idle time so far. Seconds.
        self.total_s = 0.0
        self._idle_since: float | None = None
        self._observed_at = 0.0
        self._reported_at: float | None = None

    def observe(
        self, now: float, loads_under_way: int, awaited: Collection[str]
    ) -> float | None:
        """Take a look; ``awaited`` are models that no engine has a copy of. Returns how
        long the store has been idle where that is to be told, in seconds."""
        if loads_under_way or not awaited:
            self._idle_since = self._reported_at = None
            return None
        if self._idle_since is None or now - self._observed_at > MAX_SAMPLE_GAP_S:
            self._idle_since = self._observed_at = now
            self._reported_at = None
        self.total_s += now - self._observed_at
        self._observed_at = now
        reported_at = self._reported_at
        due_at = (
            self._idle_since + MIN_IDLE_S
            if reported_at is None
            else reported_at + REPEAT_S
        )
        if now < due_at:
            return None
        self._reported_at = now
        return now - self._idle_since
