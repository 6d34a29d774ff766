"""Where a prompt's beginning is probably still cached.

Engines cache prompt prefixes, and their own events about it are late and have gaps.
What this entry sent where is a cheaper hint, and a fresher one. It is only a hint: a
wrong one costs the time to read a prompt again.
"""

from __future__ import annotations

from collections import OrderedDict

#: How many prefixes are remembered.
MOST_PREFIXES = 4096
#: After this time a cached prefix has probably been evicted. Seconds.
LIFE_S = 600.0


class PrefixAffinity:
    """The agent that served each recent prefix last."""

    def __init__(self, most: int = MOST_PREFIXES, life: float = LIFE_S) -> None:
        self._most = most
        self._life = life
        self._served: OrderedDict[int, tuple[str, float]] = OrderedDict()

    def served(self, now: float, prefix: int, instance: str) -> None:
        """``instance`` has read a prompt that begins with ``prefix``."""
        if not prefix:
            return
        self._served[prefix] = (instance, now)
        self._served.move_to_end(prefix)
        if len(self._served) > self._most:
            self._served.popitem(last=False)

    def of(self, now: float, prefix: int, instance: str) -> float:
        """How much of the prefix is likely to be cached there, 0 to 1."""
        last, at = self._served.get(prefix, ("", 0.0))
        if last != instance or now - at > self._life:
            return 0.0
        return 1.0 - (now - at) / self._life
