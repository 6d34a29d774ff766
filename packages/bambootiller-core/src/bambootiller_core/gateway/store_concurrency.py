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
OVERRUN_FRACTION = 0.15


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

    ``running_before`` were under way already. ``at_full_speed`` of the group have ended in
    their stated time, so these were the first.
    """

    began: float
    running_before: int
    size: int = 0
    at_full_speed: int = 0

    @property
    def most_under_way(self) -> int:
        """The loads under way when the slowest of the group began, itself included, as
        few of them as what has ended allows."""
        if self.at_full_speed:
            return self.running_before + self.at_full_speed + 1
        return self.running_before + self.size


@dataclass(slots=True)
class _TrackedLoad:
    """A load under way; ``position`` is its own among those under way as it began."""

    nominal_s: float
    began: float
    seen_at: float
    position: int
    group: _Group


class StoreConcurrency:
    """The estimate for one service."""

    def __init__(self, loads: int = ASSUMED_LOADS) -> None:
        self.loads = loads
        self._bound_is_known = False
        self._load_is_overdue = False
        self._probe_under_way = False
        self._probe_not_before = float("-inf")
        self._may_probe = True
        self._group: _Group | None = None
        self._tracked: dict[_Key, _TrackedLoad] = {}

    @property
    def allows_probe(self) -> bool:
        """Whether one load beyond the estimate may be under way: while that is low and
        nothing has shown that the store serves no more.

        A load that is late may show it soon, as may one begun beyond the estimate.
        Begun beside it, a third load would be slowed by it in any case, and keep its
        engine twice as long.
        """
        known = self._bound_is_known or self.loads >= ASSUMED_LOADS
        undecided = self._load_is_overdue or self._probe_under_way
        return self._may_probe and not known and not undecided

    def left_s(self, now: float, incarnation: Incarnation, loading: Loading) -> float:
        """When a load from the store ends. Its agent, which doesn't see the others,
        tells what it would need alone."""
        tracked = self._tracked.get((incarnation, loading.model))
        if tracked is None:
            return loading.left_s
        seconds = self._expected_s(tracked)
        left = tracked.began + seconds - now
        return max(left, OVERRUN_FRACTION * seconds, loading.left_s)

    def observe(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> None:
        """Take a look at the loads under way; to be called several times a second."""
        backends = list(backends)
        current = self._reported_loads(now, backends, engine)
        present = {backend.instance: backend for backend in backends}
        for key, tracked in list(self._tracked.items()):
            if key in current:
                tracked.seen_at = now
            elif not self._is_still_running(now, key, tracked, present):
                del self._tracked[key]
                self._handle_end(now, key, tracked, present)
        for key, loading in current.items():
            if key not in self._tracked:
                self._start_tracking(
                    now, key, engine.models[loading.model].load_s, loading
                )
        self._load_is_overdue = any(
            now - tracked.began > tracked.nominal_s
            for tracked in self._tracked.values()
        )
        self._lower_estimate()
        self._probe_under_way = any(
            tracked.position > self.loads for tracked in self._tracked.values()
        )
        self._may_probe = now >= self._probe_not_before

    def ends_elsewhere(self, now: float, known: Collection[str]) -> list[float]:
        """When the loads end, in seconds, that are under way at engines other than the
        ``known`` ones: the store serves them all the same."""
        return [
            max(0.0, tracked.began + self._expected_s(tracked) - now)
            for (incarnation, _), tracked in self._tracked.items()
            if incarnation.instance not in known
        ]

    def _expected_s(self, tracked: _TrackedLoad) -> float:
        """How long a load takes from its begin."""
        return tracked.nominal_s * max(1.0, tracked.position / self.loads)

    def _is_still_running(
        self,
        now: float,
        key: _Key,
        tracked: _TrackedLoad,
        present: Mapping[str, Backend],
    ) -> bool:
        """Whether a load that nobody tells of is still under way.

        Its agent may be silent for a moment. Taken for over, the load would be joined
        by another that it slows; and seen again, it would look as if it had just begun,
        or had ended as fast as if it were alone.
        """
        incarnation, _ = key
        backend = present.get(incarnation.instance)
        if backend is None or incarnation.precedes(backend.incarnation):
            # A load is cut off where its engine is gone, or starts anew.
            return False
        if backend.agent_responsive(now):
            return False
        return now < tracked.began + (1.0 + OVERRUN_FRACTION) * self._expected_s(
            tracked
        )

    def _handle_end(
        self,
        now: float,
        key: _Key,
        tracked: _TrackedLoad,
        present: Mapping[str, Backend],
    ) -> None:
        """Learn from a load that has ended, if its end was seen."""
        incarnation, _ = key
        backend = present.get(incarnation.instance)
        unseen_s = now - tracked.seen_at
        tracked.seen_at = now
        end_reported = (
            backend is not None
            and backend.agent_responsive(now)
            and not backend.engine.silent
            and not incarnation.precedes(backend.incarnation)
        )
        if end_reported and unseen_s <= SIMULTANEOUS_S:
            self._learn_from(tracked)
        elif tracked.position > self.loads:
            self._probe_not_before = now + PROBE_RETRY_S

    def _reported_loads(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> dict[_Key, Loading]:
        found = {}
        for backend in backends:
            loading = backend.engine.loading if backend.engine is not None else None
            if loading is None or not loading.from_store:
                continue
            spec = engine.models.get(loading.model)
            if (
                spec is None
                or not backend.agent_responsive(now)
                or backend.engine.silent
            ):
                continue
            # While an engine makes room, its load is told as one to come, with at
            # least all of its time left.
            if loading.left_s < spec.load_s:
                found[(backend.incarnation, loading.model)] = loading
        return found

    def _start_tracking(
        self, now: float, key: _Key, nominal_s: float, loading: Loading
    ) -> None:
        group = self._group
        if group is None or now - group.began > SIMULTANEOUS_S:
            group = self._group = _Group(now, len(self._tracked))
        group.size += 1
        position = len(self._tracked) + 1
        began = now
        if loading.left_s <= OVERRUN_FRACTION * nominal_s:
            # It was under way before this process saw it, and is late.
            began -= nominal_s
        self._tracked[key] = _TrackedLoad(nominal_s, began, now, position, group)

    def _learn_from(self, tracked: _TrackedLoad) -> None:
        seconds = tracked.seen_at - tracked.began
        at_full_speed = seconds <= FULL_SPEED_RATIO * tracked.nominal_s
        ran_fully = seconds >= tracked.nominal_s / FULL_SPEED_RATIO
        if ran_fully and at_full_speed:
            group = tracked.group
            group.at_full_speed += 1
            self.loads = max(self.loads, group.running_before + group.at_full_speed)

    def _lower_estimate(self) -> None:
        """Take the estimate down as soon as loads are overdue: the longer they are, the
        lower is the number that explains it."""
        bounds = []
        for tracked in self._tracked.values():
            seconds = tracked.seen_at - tracked.began
            if seconds > SLOW_RATIO * tracked.nominal_s:
                most = tracked.group.most_under_way
                bounds.append(most * tracked.nominal_s / seconds)
        if not bounds:
            return
        self._bound_is_known = True
        if len(bounds) < MIN_SLOW_LOADS:
            return
        bound = math.floor(statistics.median(bounds) + ROUNDING_MARGIN)
        self.loads = max(1, min(self.loads, bound))
