"""The budget of second attempts that all entries share.

The platform bounds, over any window of some seconds, the arrivals at a service beyond
the first of each call: a share of the calls, plus a fixed slack. Each entry spends its
part without asking the others, so the bound holds while they can't talk. The share goes
with an entry's own calls; the slack is divided by the number of entries.
"""

from __future__ import annotations

from collections import deque

#: The part of the allowance that is used. The rest covers entries that start or that
#: aren't known yet, and windows that begin in the middle of a burst.
USABLE_FRACTION = 0.6
#: How many entries are assumed to share the slack while their number isn't known.
ASSUMED_ENTRIES = 8


class RetryBudget:
    """Second attempts at one service, as one entry may make them.

    Example::

        budget = RetryBudget(ratio=0.2, slack=54, window_s=10.0)
        budget.called(now)
        if budget.take(now): ...    # send it to another backend server
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
        """A call is sent for the first time."""
        self._first_attempts.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """The second attempts that may be made now."""
        self._expire(now)
        share = self._slack / max(1, self.entries)
        allowed = USABLE_FRACTION * (self._ratio * len(self._first_attempts) + share)
        return allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Spend one second attempt; False if none is left."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        horizon = now - self._window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= horizon:
                times.popleft()
