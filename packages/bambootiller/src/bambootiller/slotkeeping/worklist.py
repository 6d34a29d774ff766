"""Which models need a look, and when.

Examining every model each time that anything changes would cost an entry more than its
share of a core at a thousand models. So changes mark models as due, each at the time at
which this entry's rank lets it act, and a slow sweep marks all of them as a safety net.
"""

from __future__ import annotations

from collections.abc import Iterable

from bambootiller_core.rendezvous import weight
from bambootiller_core.types import ModelKey

#: What an entry waits for each entry that goes before it, in seconds. Longer than a
#: compare-and-swap with its surveys takes, so that usually one entry does the work.
RANK_DELAY = 2.0

#: An entry further down the ranking doesn't count on its turn; the sweep brings it
#: back.
MAX_RANK = 4


class Worklist:
    """Models that are due, by the time at which this entry may act."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._due: dict[ModelKey, float] = {}

    def mark(self, now: float, key: ModelKey, entries: Iterable[str]) -> None:
        """Note that a model needs a look; an earlier due time stays."""
        rank = self._rank(key, entries)
        if rank >= MAX_RANK:
            return
        due = now + rank * RANK_DELAY
        self._due[key] = min(due, self._due.get(key, due))

    def postpone(self, key: ModelKey, until: float) -> None:
        """Look at a model again, not before ``until``."""
        self._due[key] = until

    def take(self, now: float, limit: int) -> list[ModelKey]:
        """Remove and return up to ``limit`` models that are due, earliest first."""
        ready = [(due, key) for key, due in self._due.items() if due <= now]
        chosen = [key for _, key in sorted(ready)[:limit]]
        for key in chosen:
            del self._due[key]
        return chosen

    def __len__(self) -> int:
        return len(self._due)

    def _rank(self, key: ModelKey, entries: Iterable[str]) -> int:
        """How many entries go before this one, counted up to :data:`MAX_RANK`.

        Sorting all entries for each model would cost the sweep of a thousand models
        half a second on one core; mostly a few comparisons settle it.
        """
        subject = str(key)
        mine = (-weight(subject, self._me), self._me)
        before = 0
        for name in entries:
            if name != self._me and (-weight(subject, name), name) < mine:
                before += 1
                if before == MAX_RANK:
                    break
        return before
