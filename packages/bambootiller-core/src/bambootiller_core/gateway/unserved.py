"""Models and adapters that are asked for and not served.

A caller that is refused comes back, is refused again and goes; each of these calls by
itself looks like any other that came at a bad moment. That the same model has been
refused to everybody for a minute shows only in how long ago its first call came that
nobody has served since.

Example::

    unserved = UnservedTracker()
    unserved.refused(now, "tutor", "")
    unserved.count(now, older_than_s=8.0)
"""

from __future__ import annotations

from dataclasses import dataclass

#: A model that nobody has asked for this long isn't asked for any more. Seconds.
RECENT_CALL_S = 60.0
#: For how many models and adapters it is kept; those asked for last stay.
MAX_TRACKED = 4096


@dataclass(slots=True)
class _UnservedCalls:
    since: float
    last: float
    calls: int


class UnservedTracker:
    """The models and adapters of which calls of one entry ended without an answer since
    one was served last; the adapter is empty where a call named none."""

    def __init__(self) -> None:
        self._unserved_calls: dict[tuple[str, str], _UnservedCalls] = {}

    def refused(self, now: float, model: str, adapter: str) -> None:
        """A call for it ended without an answer."""
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
        """A call for it was served."""
        self._unserved_calls.pop((model, adapter), None)

    def count(self, now: float, older_than_s: float) -> int:
        """How many have had no call served for so long, though one came before that and
        calls still come."""
        return sum(
            now - unserved_calls.since >= older_than_s
            and now - unserved_calls.last <= RECENT_CALL_S
            for unserved_calls in self._unserved_calls.values()
        )

    def oldest_s(self, now: float) -> float:
        """How long ago the first of these calls came, 0 if there is none. Seconds."""
        ages = [
            now - unserved_calls.since
            for unserved_calls in self._unserved_calls.values()
            if now - unserved_calls.last <= RECENT_CALL_S
        ]
        return max(ages, default=0.0)
