"""Models and adapters that are asked for and not served.

A caller that is refused comes back, is refused again and goes; each of these calls by
itself looks like any other that came at a bad moment. That the same model has been
refused to everybody for a minute shows only in how long ago its first call came that
nobody has served since.

Example::

    unserved = Unserved()
    unserved.refused(now, "tutor", "")
    unserved.count(now, older_than_s=8.0)
"""

from __future__ import annotations

from dataclasses import dataclass

#: A model that nobody has asked for this long isn't asked for any more. Seconds.
ASKED_LATELY_S = 60.0
#: For how many models and adapters it is kept; those asked for last stay.
MOST_KEPT = 4096


@dataclass(slots=True)
class _Asked:
    since: float
    last: float
    calls: int


class Unserved:
    """The models and adapters of which calls of one entry ended without an answer since
    one was served last; the adapter is empty where a call named none."""

    def __init__(self) -> None:
        self._asked: dict[tuple[str, str], _Asked] = {}

    def refused(self, now: float, model: str, adapter: str) -> None:
        """A call for it ended without an answer."""
        key = (model, adapter)
        asked = self._asked.pop(key, None)
        if asked is None or now - asked.last > ASKED_LATELY_S:
            asked = _Asked(now, now, 0)
        asked.last = now
        asked.calls += 1
        self._asked[key] = asked
        if len(self._asked) > MOST_KEPT:
            del self._asked[next(iter(self._asked))]

    def served(self, model: str, adapter: str) -> None:
        """A call for it was served."""
        self._asked.pop((model, adapter), None)

    def count(self, now: float, older_than_s: float) -> int:
        """How many have had no call served for so long, though one came before that and
        calls still come."""
        return sum(
            now - asked.since >= older_than_s and now - asked.last <= ASKED_LATELY_S
            for asked in self._asked.values()
        )

    def oldest_s(self, now: float) -> float:
        """How long ago the first of these calls came, 0 if there is none. Seconds."""
        ages = [
            now - asked.since
            for asked in self._asked.values()
            if now - asked.last <= ASKED_LATELY_S
        ]
        return max(ages, default=0.0)
