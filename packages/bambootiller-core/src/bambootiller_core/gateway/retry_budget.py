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
USED_SHARE = 0.6
#: How many entries are assumed to share the slack while their number isn't known.
ASSUMED_ENTRIES = 8


class AttemptBudget:
    """Second attempts at one service, as one entry may make them.

    Example::

        budget = AttemptBudget(ratio=0.2, slack=54, window_s=10.0)
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
        self._calls: deque[float] = deque()
        self._spent: deque[float] = deque()

    def called(self, now: float) -> None:
        """A call is sent for the first time."""
        self._calls.append(now)
        self._forget(now)

    def left(self, now: float) -> float:
        """The second attempts that may be made now."""
        self._forget(now)
        share = self._slack / max(1, self.entries)
        allowed = USED_SHARE * (self._ratio * len(self._calls) + share)
        return allowed - len(self._spent)

    def take(self, now: float) -> bool:
        """Spend one second attempt; False if none is left."""
        if self.left(now) < 1.0:
            return False
        self._spent.append(now)
        return True

    def _forget(self, now: float) -> None:
        horizon = now - self._window_s
        for times in (self._calls, self._spent):
            while times and times[0] <= horizon:
                times.popleft()
