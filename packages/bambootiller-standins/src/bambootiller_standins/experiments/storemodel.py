"""A model of the weight store: a few transfers at full speed, more share that speed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .virtualtime import VirtualTime


@dataclass(slots=True, eq=False)
class _Transfer:
    left: float
    done: Callable[[], None]


class StoreModel:
    """Serves transfers; each has a length in seconds that it takes at full speed.

    Up to ``full_speed`` transfers run at full speed. With more, all get an equal part
    of what the store gives in total. ``set_speed`` changes the whole store's speed.
    """

    def __init__(self, time: VirtualTime, full_speed: int = 4) -> None:
        self._time = time
        self._full_speed = full_speed
        self._speed = 1.0
        self._transfers: list[_Transfer] = []
        self._updated = 0.0
        self._epoch = 0
        self.most_at_once = 0

    @property
    def running(self) -> int:
        """The transfers under way."""
        return len(self._transfers)

    def transfer(self, seconds: float, done: Callable[[], None]) -> Callable[[], None]:
        """Start a transfer, call ``done`` at its end; returns a function to stop it."""
        self._advance()
        item = _Transfer(seconds, done)
        self._transfers.append(item)
        self.most_at_once = max(self.most_at_once, len(self._transfers))
        self._schedule()
        return lambda: self._stop(item)

    def set_speed(self, speed: float) -> None:
        """Run at ``speed`` times the ordinary speed from now on."""
        self._advance()
        self._speed = speed
        self._schedule()

    def _stop(self, item: _Transfer) -> None:
        if item in self._transfers:
            self._advance()
            self._transfers.remove(item)
            self._schedule()

    def _rate(self) -> float:
        crowd = len(self._transfers)
        return self._speed * min(1.0, self._full_speed / max(1, crowd))

    def _advance(self) -> None:
        passed = (self._time.now - self._updated) * self._rate()
        for item in self._transfers:
            item.left -= passed
        self._updated = self._time.now

    def _schedule(self) -> None:
        self._epoch += 1
        if not self._transfers or self._speed <= 0:
            return
        shortest = min(item.left for item in self._transfers)
        wait = max(0.0, shortest) / self._rate()
        self._time.after(wait, self._finish, self._epoch)

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        over = [item for item in self._transfers if item.left <= 1e-9]
        self._transfers = [item for item in self._transfers if item.left > 1e-9]
        self._schedule()
        for item in over:
            item.done()
