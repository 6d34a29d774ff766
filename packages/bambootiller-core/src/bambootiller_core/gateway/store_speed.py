"""How many loads the weight store serves at full speed, learnt from the loads.

Nothing states it. Beyond that number all loads become slower in proportion, so a store
that is asked for too many at a time delivers the first of them as late as the last; one
that is asked for too few is idle while calls wait.

Example::

    speed = StoreSpeed()
    speed.observe(now, backends, engine)
    most = speed.loads
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.fleet import Backend

#: What is assumed at the start: stated by the first users for their sites.
ASSUMED_LOADS = 4
#: A load that takes this many times its stated time is slowed by others.
SLOWED = 1.15
#: One that takes no longer than this ran at full speed.
FULL_SPEED = 1.08
#: A store that serves a fraction more than a whole number still counts as serving it.
ROUNDING = 0.25
#: One slow load may be its engine's doing; so many at different engines aren't.
AGREEING = 2


@dataclass(slots=True)
class _Watched:
    """A load under way: ``shared`` adds up the loads under way over its time."""

    stated_s: float
    began: float
    seen_at: float
    shared: float = 0.0

    @property
    def mean_loads(self) -> float:
        """The loads under way, on average over the time that it was watched."""
        seconds = self.seen_at - self.began
        return self.shared / seconds if seconds > 0 else 1.0


class StoreSpeed:
    """The estimate for one service."""

    def __init__(self, loads: int = ASSUMED_LOADS) -> None:
        self.loads = loads
        self._watched: dict[tuple[str, str], _Watched] = {}

    def observe(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> None:
        """Take a look at the loads under way; to be called several times a second."""
        current = self._current(now, backends, engine)
        for key, watched in list(self._watched.items()):
            watched.shared += len(self._watched) * (now - watched.seen_at)
            watched.seen_at = now
            if key not in current:
                del self._watched[key]
                self._ended(watched)
        for key, stated_s in current.items():
            if key not in self._watched:
                self._watched[key] = _Watched(stated_s, now, now)
        self._lower()

    def _current(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> dict[tuple[str, str], float]:
        found = {}
        for backend in backends:
            loading = backend.engine.loading if backend.engine is not None else None
            if loading is None or not loading.from_store:
                continue
            spec = engine.models.get(loading.model)
            if spec is not None and backend.agent_heard(now):
                found[(backend.instance, loading.model)] = spec.load_s
        return found

    def _ended(self, watched: _Watched) -> None:
        seconds = watched.seen_at - watched.began
        at_full_speed = seconds <= FULL_SPEED * watched.stated_s
        whole = seconds >= watched.stated_s / FULL_SPEED
        if whole and at_full_speed:
            self.loads = max(self.loads, math.floor(watched.mean_loads + ROUNDING))

    def _lower(self) -> None:
        """Take the estimate down as soon as loads are overdue: the longer they are, the
        lower is the number that explains it."""
        bounds = []
        for watched in self._watched.values():
            seconds = watched.seen_at - watched.began
            if seconds > SLOWED * watched.stated_s:
                bounds.append(watched.mean_loads * watched.stated_s / seconds)
        if len(bounds) < AGREEING:
            return
        bound = math.floor(statistics.median(bounds) + ROUNDING)
        self.loads = max(1, min(self.loads, bound))
