"""Whether a refused caller comes back, and when.

Callers follow a come-back time up to a part of the time that they have left, and most
of them come back once. Nothing in a call says whether it is the first try, but a caller
who has been refused before has less time left than others of its route.

Example::

    returning = RetryPredictor()
    seconds = returning.expected_retry_in_s(call, now, retry_after_s=8.0)
"""

from __future__ import annotations

from bambootiller_core.gateway.calls import Call

#: A caller doesn't stay away for longer than this part of the time that it has left.
MAX_RETRY_DELAY_FRACTION = 1 / 3
#: A call with less than this part of the longest time that calls of its route are given
#: is taken for a second try.
FIRST_TRY_FRACTION = 0.9


class RetryPredictor:
    """The refused callers of one service at one entry."""

    def __init__(self) -> None:
        self._max_allowed_s: dict[str, float] = {}

    def asked(self, call: Call) -> None:
        """A call has come; its time tells how much callers of its route have."""
        allowed_s, route = _time_allowed_s(call), call.route.name
        self._max_allowed_s[route] = max(allowed_s, self._max_allowed_s.get(route, 0.0))

    def expected_retry_in_s(
        self, call: Call, now: float, retry_after_s: float
    ) -> float | None:
        """When the caller is back who is refused now, None if it isn't expected.
        Seconds."""
        max_allowed_s = self._max_allowed_s.get(call.route.name, 0.0)
        if call.route.timeout_s is not None:
            # The operator may have shortened it since.
            max_allowed_s = min(max_allowed_s, call.route.timeout_s)
        if _time_allowed_s(call) < FIRST_TRY_FRACTION * max_allowed_s:
            return None
        return min(
            retry_after_s, max(0.0, call.deadline - now) * MAX_RETRY_DELAY_FRACTION
        )


def _time_allowed_s(call: Call) -> float:
    return call.deadline - call.arrived
