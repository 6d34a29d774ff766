"""Models and adapters that are called but not served.

A caller that is refused comes back, is refused again and gives up; each of these calls
alone looks like any other that arrived at a bad moment. That all calls for a model have
been refused for a minute shows only in the age of the first of them since a call was
last served.

Example::

    unserved = UnservedTracker()
    unserved.refused(now, "tutor", "")
    unserved.count(now, older_than_s=8.0)
"""

from __future__ import annotations

from dataclasses import dataclass

#: Seconds without a call after which a model no longer counts as called.
RECENT_CALL_S = 60.0
#: The most models and adapters that are tracked; those called last are kept.
MAX_TRACKED = 4096


@dataclass(slots=True)
class _UnservedCalls:
    since: float
    last: float
    calls: int


class UnservedTracker:
    """The models and adapters of which calls at one entry ended without an answer since
    one was last served; the adapter is empty for calls that name none."""

    def __init__(self) -> None:
        self._unserved_calls: dict[tuple[str, str], _UnservedCalls] = {}

    def refused(self, now: float, model: str, adapter: str) -> None:
        """Record that a call ended without an answer."""
        key = (model, adapter)
        unserved_calls = self._unserved_calls.pop(key, None)
        if unserved_calls is None or now - unserved_calls.last > RECENT_CALL_S:
            unserved_calls = _UnservedCalls(now, now, 0)
        unserved_calls.last = now
        unserved_calls.calls += 1
        self._unserved_calls[key] = unserved_calls
        if len(self._unserved_calls) > MAX_TRACKED:
            del self._unserved_calls[next(iter(self._unserved_calls))]

    def served(self, model: str, adapter: str) -> None:
        """Record that a call was served."""
        self._unserved_calls.pop((model, adapter), None)

    def count(self, now: float, older_than_s: float) -> int:
        """The number of models and adapters whose first unserved call is at least
        ``older_than_s`` seconds old, and that are still called."""
        return sum(
            now - unserved_calls.since >= older_than_s
            and now - unserved_calls.last <= RECENT_CALL_S
            for unserved_calls in self._unserved_calls.values()
        )

    def oldest_s(self, now: float) -> float:
        """The age of the first unserved call of any model or adapter that is still
        called, in seconds; 0 if there is none."""
        ages = [
            now - unserved_calls.since
            for unserved_calls in self._unserved_calls.values()
            if now - unserved_calls.last <= RECENT_CALL_S
        ]
        return max(ages, default=0.0)
