"""Distinguishes an outage of the store from a store that turns one process away.

In an outage registrations of live backend servers expire, so those that are missing
afterwards can't be taken for removed at once. But a process whose own calls fail can't
tell whether the store is down: the store may refuse this process alone, and then what
is missing has really been removed. So each process reports to its peers how long ago
the store is known to have answered anybody. Only a gap in that is an outage.

Example::

    continuity = StoreContinuity()
    continuity.confirm(now, running_now, age_s=0.0, min_outage_s=2.4)
    ...
    if continuity.confirm(now, running_now, peer_age_s, min_outage_s=2.4): ...
"""

from __future__ import annotations


class StoreContinuity:
    """When the store last answered any process, as far as this one knows."""

    def __init__(self) -> None:
        self._answered_at: float | None = None
        #: The same in this process's running time: a stall of this process isn't a gap.
        self._answered_at_running = 0.0
        self._has_failed = False

    def failed(self) -> None:
        """Record that a call of this process failed."""
        self._has_failed = True

    def confirm(
        self, now: float, running_now: float, age_s: float, min_outage_s: float
    ) -> bool:
        """Record that the store answered a process ``age_s`` seconds ago. Returns
        whether that is the end of an outage of at least ``min_outage_s``.

        A process that knows of no earlier answer takes the time before for an outage if
        its own calls have failed.
        """
        answered_at, answered_at_running = now - age_s, running_now - age_s
        if self._answered_at is None:
            is_outage = self._has_failed
        elif answered_at <= self._answered_at:
            return False
        else:
            gap_s = answered_at_running - self._answered_at_running
            is_outage = gap_s >= min_outage_s
        self._answered_at = answered_at
        self._answered_at_running = answered_at_running
        return is_outage

    def age_s(self, now: float) -> float | None:
        """How long ago the store last answered a process, in seconds; None if no answer
        is known."""
        return None if self._answered_at is None else max(0.0, now - self._answered_at)
