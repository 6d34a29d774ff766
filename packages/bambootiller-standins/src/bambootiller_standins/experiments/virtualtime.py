"""A queue of events in place of a clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualTime:
    """Calls functions in the order of the times they were set for.

    Example::

        time = VirtualTime()
        time.at(3.0, print, "three seconds in")
        time.run(until=10.0)
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = itertools.count()

    def at(self, when: float, call: Callable[..., Any], *args: Any) -> None:
        """Call ``call(*args)`` at ``when``, or next if that has passed."""
        when = max(when, self.now)
        heapq.heappush(self._heap, (when, next(self._count), call, args))

    def after(self, seconds: float, call: Callable[..., Any], *args: Any) -> None:
        """Call ``call(*args)`` in ``seconds`` from now."""
        self.at(self.now + seconds, call, *args)

    def run(self, until: float) -> None:
        """Make all calls that are due by ``until`` and set the time to it."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now = until
