"""The retry budget that all entries share.

The platform bounds how many retries may arrive at a service in any window of some
seconds: a fraction of the calls, plus a fixed slack. Each entry spends its own part
without coordination, so the bound holds even while entries can't reach each other.
An entry's part is that fraction of its own calls, plus the slack divided by the number
of entries.
"""

from __future__ import annotations

from collections import deque

#: The fraction of the allowance that is used. The rest covers entries that are starting
#: or not known yet, and windows that begin in the middle of a burst.
USABLE_FRACTION = 0.6
#: The number of entries that are assumed to share the slack until it is known.
ASSUMED_ENTRIES = 8


class RetryBudget:
    """The part of the retry budget of one service that one entry may spend.

    In any ``window_s`` seconds all entries together may retry the fraction ``ratio`` of
    the calls, and ``slack`` calls more. Raises :class:`ValueError` if ``ratio`` or
    ``slack`` is negative or ``window_s`` isn't positive.

    Example::

        budget = RetryBudget(ratio=0.2, slack=54, window_s=10.0)
        budget.record_call(now)
        if budget.take(now): ...    # send the call to another backend server
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        if ratio < 0 or slack < 0 or window_s <= 0:
            raise ValueError(
                f"ratio {ratio} and slack {slack} must be at least 0, "
                f"window_s {window_s} above 0"
            )
        self.entries = ASSUMED_ENTRIES
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Record the first attempt of a call."""
        self._first_attempts.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """Return how many retries may be made now."""
        self._expire(now)
        share = self._slack / max(1, self.entries)
        allowed = USABLE_FRACTION * (self._ratio * len(self._first_attempts) + share)
        return allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Spend one retry. Returns False if none remains."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def reserve(self, now: float) -> float | None:
        """Spend a retry that may turn out not to be needed. Returns when it was
        reserved, for :meth:`release`, or None if no retry remains."""
        return now if self.take(now) else None

    def release(self, reserved_at: float) -> None:
        """Return a reserved retry that wasn't made."""
        if reserved_at in self._retries:
            self._retries.remove(reserved_at)

    def spend(self, reserved_at: float, now: float) -> None:
        """Record that a reserved retry is made now: it counts from now on."""
        self.release(reserved_at)
        self._retries.append(now)

    def _expire(self, now: float) -> None:
        horizon = now - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= horizon:
                times.popleft()
