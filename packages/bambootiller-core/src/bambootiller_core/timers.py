"""The timer service that the parts of a process subscribe to.

It holds no clock of its own: the shell asks when the next subscription is due, sleeps
until then and calls :meth:`TimerService.advance`. Tests and experiments drive the same
object on virtual time.

Example::

    timers = TimerService()
    timers.every("probe", 1.0, now=0.0, callback=probe)
    timers.next_due()      # 1.0
    timers.advance(1.0)    # calls probe(1.0)
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

Callback = Callable[[float], None]


@dataclass(slots=True, eq=False)
class Subscription:
    """A callback that is due at ``due``, and again each ``period`` seconds if not 0."""

    name: str
    due: float
    period: float
    callback: Callback = field(repr=False)
    cancelled: bool = False

    def cancel(self) -> None:
        """Call the callback no more; cancelling twice does no harm."""
        self.cancelled = True


class TimerService:
    """Subscriptions ordered by the time at which they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Subscription]] = []
        self._count = itertools.count()
        #: Called when a new subscription is due before all others, so that a shell that
        #: sleeps until :meth:`next_due` wakes up and looks again.
        self.on_earlier: Callable[[], None] | None = None

    def every(
        self, name: str, period: float, now: float, callback: Callback
    ) -> Subscription:
        """Call ``callback(now)`` each ``period`` seconds, first one period from now."""
        if period <= 0:
            raise ValueError(
                f"period of timer {name!r} is {period}; it must be above 0"
            )
        return self._add(Subscription(name, now + period, period, callback))

    def at(self, name: str, due: float, callback: Callback) -> Subscription:
        """Call ``callback(now)`` once, at ``due`` or at the first advance after it."""
        return self._add(Subscription(name, due, 0.0, callback))

    def next_due(self) -> float | None:
        """When the earliest subscription is due, or None if there is none."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def advance(self, now: float) -> int:
        """Call everything that is due by ``now``; return how many calls were made."""
        calls = 0
        while (due := self.next_due()) is not None and due <= now:
            sub = heapq.heappop(self._heap)[2]
            if sub.period:
                # A process that was paused skips the periods it missed: running them
                # all at once would send a burst of probes or gossip on its return.
                missed = int((now - sub.due) / sub.period)
                sub.due += (missed + 1) * sub.period
                self._add(sub)
            calls += 1
            sub.callback(now)
        return calls

    def _add(self, sub: Subscription) -> Subscription:
        heapq.heappush(self._heap, (sub.due, next(self._count), sub))
        if self.on_earlier is not None and self._heap[0][2] is sub:
            self.on_earlier()
        return sub
