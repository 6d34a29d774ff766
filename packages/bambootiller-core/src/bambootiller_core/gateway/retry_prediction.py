"""Predicts whether a refused caller retries, and when.

Callers follow a retry-after time up to a fraction of the time that they have left, and
most of them retry once. A call contains no attempt number, but the retry of a refused
caller has less time left than other calls of its route.

Example::

    predictor = RetryPredictor()
    predictor.record_call(call)
    seconds = predictor.expected_retry_in_s(call, now, retry_after_s=8.0)
"""

from __future__ import annotations

from bambootiller_core.gateway.calls import Call

#: A caller waits at most this fraction of the time that it has left.
MAX_RETRY_DELAY_FRACTION = 1 / 3
#: A call with less than this fraction of the longest time of its route's calls counts
#: as a retry.
FIRST_TRY_FRACTION = 0.9


class RetryPredictor:
    """Predicts the retries of one service's refused callers at one entry."""

    def __init__(self) -> None:
        self._max_allowed_s: dict[str, float] = {}

    def record_call(self, call: Call) -> None:
        """Record a call, to learn how much time callers of its route have."""
        allowed_s, route = _time_allowed_s(call), call.route.name
        self._max_allowed_s[route] = max(allowed_s, self._max_allowed_s.get(route, 0.0))

    def expected_retry_in_s(
        self, call: Call, now: float, retry_after_s: float
    ) -> float | None:
        """In how many seconds the refused caller is expected to retry, None if it isn't
        expected to. ``retry_after_s`` is the retry-after time in its refusal."""
        max_allowed_s = self._max_allowed_s.get(call.route.name, 0.0)
        if call.route.timeout_s is not None:
            # The operator may have shortened the timeout since.
            max_allowed_s = min(max_allowed_s, call.route.timeout_s)
        if _time_allowed_s(call) < FIRST_TRY_FRACTION * max_allowed_s:
            return None
        return min(
            retry_after_s, max(0.0, call.deadline - now) * MAX_RETRY_DELAY_FRACTION
        )


def _time_allowed_s(call: Call) -> float:
    return call.deadline - call.arrived
