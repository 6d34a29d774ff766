"""Measures for how long the weight store is idle while calls wait for models that only
the store has.

Example::

    idle = StoreIdleTracker()
    idle_s = idle.observe(now, loads_under_way=0, awaited={"tutor"})
    idle.total_s  # a gauge on the metrics page
"""

from __future__ import annotations

from collections.abc import Collection

#: Idle periods shorter than this aren't reported. Some idle time between two loads is
#: normal: the agent has to detect the end of the first, and an entry has to make a
#: plan. Seconds.
MIN_IDLE_S = 1.0
#: How often an idle period that continues is reported again. Seconds.
REPEAT_S = 5.0
#: The time between two samples counts as idle only if they are no further apart than
#: this. Seconds.
MAX_SAMPLE_GAP_S = 1.0


class StoreIdleTracker:
    """The idle time of one service's weight store, as observed by one process."""

    def __init__(self) -> None:
        #: The total idle time so far. Seconds.
        self.total_s = 0.0
        self._idle_since: float | None = None
        self._observed_at = 0.0
        self._reported_at: float | None = None

    def observe(
        self, now: float, loads_under_way: int, awaited: Collection[str]
    ) -> float | None:
        """Record a sample of the store's state.

        ``awaited`` are the models that calls wait for and no engine has a copy of.
        Returns for how many seconds the store has been idle if that is due to be
        reported, otherwise None.
        """
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
