"""How many loads the weight store serves at full speed, learnt from the loads.

Nothing states it. Beyond that number a load takes longer in proportion to how many are
under way when it begins. A store that is asked for too many at a time keeps engines
busy with loads that end no sooner; one that is asked for too few is idle while calls
wait.

Example::

    speed = StoreConcurrency(initial_loads(engine))
    speed.observe(now, backends, engine)
    planner = Planner(engine, speed.loads, allows_probe=speed.allows_probe)
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.incarnation import Incarnation

#: What is assumed at the start: stated by the first users for their sites.
ASSUMED_LOADS = 4
#: Fewer are assumed if so many loads, one after the other, would take longer than this.
#: A store that serves one at a time keeps four engines from all other orders for four
#: times a load's time: with loads of 13 s the models that they alone had copies of were
#: out of reach for 52 s. Seconds.
MAX_INITIAL_TOTAL_S = 25.0
#: A load that takes this many times its stated time is slowed by others.
SLOW_RATIO = 1.15
#: One that takes no longer than this ran at full speed.
FULL_SPEED_RATIO = 1.08
#: A store that serves a fraction more than a whole number still counts as serving it.
ROUNDING_MARGIN = 0.25
#: One slow load may be its engine's doing; so many at different engines aren't.
MIN_SLOW_LOADS = 2
#: Loads that are seen to begin within this time may have begun in any order. Seconds;
#: agents speak at least so often.
SIMULTANEOUS_S = 0.5
#: One that was tried beside the others and was lost with its engine has shown nothing.
#: Another isn't tried for so long: while engines come and go each would be lost the
#: same way. Seconds.
PROBE_RETRY_S = 60.0
#: A load that has outlived its estimate is expected to last this part of it longer.
OVERRUN_SHARE = 0.15


def initial_loads(engine: EngineSpec) -> int:
    """How many loads the store is taken to serve before any has been seen."""
    times = [spec.load_s for spec in engine.models.values()]
    if not times:
        return ASSUMED_LOADS
    most = math.floor(MAX_INITIAL_TOTAL_S / max(0.1, statistics.median(times)))
    return max(1, min(ASSUMED_LOADS, most))


#: A load: the start of the engine where it runs, and the model.
_Key = tuple[Incarnation, str]


@dataclass(slots=True)
class _Group:
    """Loads that began at about the same time, in an order that isn't known.

    ``before`` were under way already. ``at_full_speed`` of the group have ended in
    their stated time, so these were the first.
    """

    began: float
    before: int
    size: int = 0
    at_full_speed: int = 0

    @property
    def most_under_way(self) -> int:
        """The loads under way when the slowest of the group began, itself included, as
        few of them as what has ended allows."""
        if self.at_full_speed:
            return self.before + self.at_full_speed + 1
        return self.before + self.size


@dataclass(slots=True)
class _Watched:
    """A load under way; ``place`` is its own among those under way as it began."""

    stated_s: float
    began: float
    seen_at: float
    place: int
    group: _Group


class StoreConcurrency:
    """The estimate for one service."""

    def __init__(self, loads: int = ASSUMED_LOADS) -> None:
        self.loads = loads
        self._bounded = False
        self._one_is_late = False
        self._one_is_tried = False
        self._tries_from = float("-inf")
        self._may_try = True
        self._group: _Group | None = None
        self._watched: dict[_Key, _Watched] = {}

    @property
    def allows_probe(self) -> bool:
        """Whether one load beyond the estimate may be under way: while that is low and
        nothing has shown that the store serves no more.

        A load that is late may show it soon, as may one begun beyond the estimate.
        Begun beside it, a third load would be slowed by it in any case, and keep its
        engine twice as long.
        """
        known = self._bounded or self.loads >= ASSUMED_LOADS
        open_question = self._one_is_late or self._one_is_tried
        return self._may_try and not known and not open_question

    def left_s(self, now: float, at: Incarnation, loading: Loading) -> float:
        """When a load from the store ends. Its agent, which doesn't see the others,
        tells what it would need alone."""
        watched = self._watched.get((at, loading.model))
        if watched is None:
            return loading.left_s
        seconds = self._seconds(watched)
        left = watched.began + seconds - now
        return max(left, OVERRUN_SHARE * seconds, loading.left_s)

    def observe(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> None:
        """Take a look at the loads under way; to be called several times a second."""
        backends = list(backends)
        current = self._current(now, backends, engine)
        present = {backend.instance: backend for backend in backends}
        for key, watched in list(self._watched.items()):
            if key in current:
                watched.seen_at = now
            elif not self._goes_on(now, key, watched, present):
                del self._watched[key]
                self._over(now, key, watched, present)
        for key, loading in current.items():
            if key not in self._watched:
                self._begun(now, key, engine.models[loading.model].load_s, loading)
        self._one_is_late = any(
            now - watched.began > watched.stated_s for watched in self._watched.values()
        )
        self._lower()
        self._one_is_tried = any(
            watched.place > self.loads for watched in self._watched.values()
        )
        self._may_try = now >= self._tries_from

    def ends_elsewhere(self, now: float, known: Collection[str]) -> list[float]:
        """When the loads end, in seconds, that are under way at engines other than the
        ``known`` ones: the store serves them all the same."""
        return [
            max(0.0, watched.began + self._seconds(watched) - now)
            for (at, _), watched in self._watched.items()
            if at.instance not in known
        ]

    def _seconds(self, watched: _Watched) -> float:
        """How long a load takes from its begin."""
        return watched.stated_s * max(1.0, watched.place / self.loads)

    def _goes_on(
        self, now: float, key: _Key, watched: _Watched, present: Mapping[str, Backend]
    ) -> bool:
        """Whether a load that nobody tells of is still under way.

        Its agent may be silent for a moment. Taken for over, the load would be joined
        by another that it slows; and seen again, it would look as if it had just begun,
        or had ended as fast as if it were alone.
        """
        at, _ = key
        backend = present.get(at.instance)
        if backend is None or at.precedes(backend.incarnation):
            # A load is cut off where its engine is gone, or starts anew.
            return False
        if backend.agent_heard(now):
            return False
        return now < watched.began + (1.0 + OVERRUN_SHARE) * self._seconds(watched)

    def _over(
        self, now: float, key: _Key, watched: _Watched, present: Mapping[str, Backend]
    ) -> None:
        """Learn from a load that has ended, if its end was seen."""
        at, _ = key
        backend = present.get(at.instance)
        seen_s = now - watched.seen_at
        watched.seen_at = now
        told = (
            backend is not None
            and backend.agent_heard(now)
            and not backend.engine.silent
            and not at.precedes(backend.incarnation)
        )
        if told and seen_s <= SIMULTANEOUS_S:
            self._ended(watched)
        elif watched.place > self.loads:
            self._tries_from = now + PROBE_RETRY_S

    def _current(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> dict[_Key, Loading]:
        found = {}
        for backend in backends:
            loading = backend.engine.loading if backend.engine is not None else None
            if loading is None or not loading.from_store:
                continue
            spec = engine.models.get(loading.model)
            if spec is None or not backend.agent_heard(now) or backend.engine.silent:
                continue
            # While an engine makes room, its load is told as one to come, with at
            # least all of its time left.
            if loading.left_s < spec.load_s:
                found[(backend.incarnation, loading.model)] = loading
        return found

    def _begun(self, now: float, key: _Key, stated_s: float, loading: Loading) -> None:
        group = self._group
        if group is None or now - group.began > SIMULTANEOUS_S:
            group = self._group = _Group(now, len(self._watched))
        group.size += 1
        place = len(self._watched) + 1
        began = now
        if loading.left_s <= OVERRUN_SHARE * stated_s:
            # It was under way before this process saw it, and is late.
            began -= stated_s
        self._watched[key] = _Watched(stated_s, began, now, place, group)

    def _ended(self, watched: _Watched) -> None:
        seconds = watched.seen_at - watched.began
        at_full_speed = seconds <= FULL_SPEED_RATIO * watched.stated_s
        whole = seconds >= watched.stated_s / FULL_SPEED_RATIO
        if whole and at_full_speed:
            group = watched.group
            group.at_full_speed += 1
            self.loads = max(self.loads, group.before + group.at_full_speed)

    def _lower(self) -> None:
        """Take the estimate down as soon as loads are overdue: the longer they are, the
        lower is the number that explains it."""
        bounds = []
        for watched in self._watched.values():
            seconds = watched.seen_at - watched.began
            if seconds > SLOW_RATIO * watched.stated_s:
                most = watched.group.most_under_way
                bounds.append(most * watched.stated_s / seconds)
        if not bounds:
            return
        self._bounded = True
        if len(bounds) < MIN_SLOW_LOADS:
            return
        bound = math.floor(statistics.median(bounds) + ROUNDING_MARGIN)
        self.loads = max(1, min(self.loads, bound))
