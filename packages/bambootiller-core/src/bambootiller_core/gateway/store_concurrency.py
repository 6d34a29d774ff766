"""Estimates how many loads the weight store serves at full speed at the same time.

No setting states this number, so it is learnt from the duration of loads. Beyond it a
load takes longer in proportion to how many are under way when it starts. If too many
loads are requested at a time, engines are busy with loads that end no sooner; if too
few are, the store is idle while calls wait.

Example::

    concurrency = StoreConcurrency(initial_loads(engine))
    concurrency.observe(now, backends, engine)
    planner = Planner(
        engine, concurrency.loads, allows_probe=concurrency.allows_probe
    )
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

#: How many loads the store is assumed to serve at full speed until loads have been
#: observed.
ASSUMED_LOADS = 4
#: The initial estimate is lower if that many loads, one after the other, would take
#: longer than this. A store that serves one load at a time keeps four engines from all
#: other orders for four times the duration of a load: with loads of 13 s, the models of
#: which these engines held the only copies were unavailable for 52 s. Seconds.
MAX_INITIAL_TOTAL_S = 25.0
#: A load that takes more than this multiple of its nominal time was slowed by others.
SLOW_RATIO = 1.15
#: A load that takes at most this multiple of its nominal time ran at full speed.
FULL_SPEED_RATIO = 1.08
#: Added to the observed number of loads before it is rounded down, so that a figure
#: just below a whole number counts as that number.
ROUNDING_MARGIN = 0.25
#: How many loads must be slow at the same time for the estimate to fall. A single slow
#: load may be due to its engine; this many, at different engines, aren't.
MIN_SLOW_LOADS = 2
#: Loads whose starts are observed within this time may have started in any order.
#: Seconds; agents report at least this often.
SIMULTANEOUS_S = 0.5
#: How long to wait before the next probe after the engine of one was lost, which leaves
#: its outcome unknown. While engines come and go, each probe would be lost in the same
#: way. Seconds.
PROBE_RETRY_S = 60.0
#: A load that has exceeded its expected time is expected to need this fraction of that
#: time from now on.
OVERRUN_FRACTION = 0.15


def initial_loads(engine: EngineSpec) -> int:
    """Return the estimate to use before any load has been observed."""
    times = [spec.load_s for spec in engine.models.values()]
    if not times:
        return ASSUMED_LOADS
    max_loads = math.floor(MAX_INITIAL_TOTAL_S / max(0.1, statistics.median(times)))
    return max(1, min(ASSUMED_LOADS, max_loads))


#: Identifies a load: the incarnation of the engine where it runs, and the model.
_Key = tuple[Incarnation, str]


@dataclass(slots=True)
class _Group:
    """Loads that started at about the same time, in an unknown order.

    ``running_before`` counts the loads that were under way already. ``at_full_speed``
    counts the loads of the group that have ended within their nominal time, which must
    have been the first to start.
    """

    started_at: float
    running_before: int
    size: int = 0
    at_full_speed: int = 0

    @property
    def slowest_position(self) -> int:
        """How many loads were under way when the slowest load of the group started,
        itself included. This is the lowest number that agrees with the loads that have
        ended at full speed.
        """
        if self.at_full_speed:
            return self.running_before + self.at_full_speed + 1
        return self.running_before + self.size


@dataclass(slots=True)
class _TrackedLoad:
    """A load under way. ``position`` is 1 plus the loads under way when it started."""

    nominal_s: float
    started_at: float
    seen_at: float
    position: int
    group: _Group


class StoreConcurrency:
    """The estimate for one service; ``loads`` is how many loads run at full speed."""

    def __init__(self, loads: int = ASSUMED_LOADS) -> None:
        self.loads = loads
        self._bound_is_known = False
        self._load_is_overdue = False
        self._probe_under_way = False
        self._probe_not_before = float("-inf")
        self._may_probe = True
        self._group: _Group | None = None
        self._tracked: dict[_Key, _TrackedLoad] = {}
        self._last_tracked_at: float | None = None

    def idle_s(self, now: float) -> float | None:
        """For how long no load has been in progress, in seconds; None if none has been
        observed yet."""
        if self._last_tracked_at is None:
            return None
        return max(0.0, now - self._last_tracked_at)

    @property
    def allows_probe(self) -> bool:
        """Whether one load beyond the estimate may be under way: while the estimate is
        low and no slow load has shown that the store serves no more.

        No probe starts while a load is overdue or another probe is under way: either
        may soon show the limit. One more load would be slowed in any case, and occupy
        its engine for twice as long.
        """
        known = self._bound_is_known or self.loads >= ASSUMED_LOADS
        undecided = self._load_is_overdue or self._probe_under_way
        return self._may_probe and not known and not undecided

    def left_s(self, now: float, incarnation: Incarnation, loading: Loading) -> float:
        """Return in how many seconds a load from the store ends.

        The agent's own estimate assumes that the load has the store to itself, as the
        agent isn't informed of the other loads.
        """
        tracked = self._tracked.get((incarnation, loading.model))
        if tracked is None:
            return loading.left_s
        seconds = self._expected_s(tracked)
        left = tracked.started_at + seconds - now
        return max(left, OVERRUN_FRACTION * seconds, loading.left_s)

    def observe(
        self, now: float, backends: Iterable[Backend], engine: EngineSpec
    ) -> None:
        """Update the estimate from the loads under way. To be called several times a
        second."""
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
        if self._tracked:
            self._last_tracked_at = now
        self._load_is_overdue = any(
            now - tracked.started_at > tracked.nominal_s
            for tracked in self._tracked.values()
        )
        self._lower_estimate()
        self._probe_under_way = any(
            tracked.position > self.loads for tracked in self._tracked.values()
        )
        self._may_probe = now >= self._probe_not_before

    def other_load_ends(self, now: float, known: Collection[str]) -> list[float]:
        """Return in how many seconds the loads end that are under way at engines other
        than the ``known`` ones. The store serves these loads all the same."""
        return [
            max(0.0, tracked.started_at + self._expected_s(tracked) - now)
            for (incarnation, _), tracked in self._tracked.items()
            if incarnation.instance not in known
        ]

    def _expected_s(self, tracked: _TrackedLoad) -> float:
        """Return how long a load is expected to take from its start."""
        return tracked.nominal_s * max(1.0, tracked.position / self.loads)

    def _is_still_running(
        self,
        now: float,
        key: _Key,
        tracked: _TrackedLoad,
        present: Mapping[str, Backend],
    ) -> bool:
        """Whether a load that no agent reports is still under way.

        Its agent may be silent for a moment. If the load counted as ended, another load
        would start beside it and be slowed by it; and once reported again, it would
        seem to have just started, or to have ended as fast as a load that runs alone.
        """
        incarnation, _ = key
        backend = present.get(incarnation.instance)
        if backend is None or incarnation.precedes(backend.incarnation):
            # The load was aborted: its engine is gone or has restarted.
            return False
        if backend.agent_responsive(now):
            return False
        return now < tracked.started_at + (1.0 + OVERRUN_FRACTION) * self._expected_s(
            tracked
        )

    def _handle_end(
        self,
        now: float,
        key: _Key,
        tracked: _TrackedLoad,
        present: Mapping[str, Backend],
    ) -> None:
        """Update the estimate from a load that has ended, if its end was observed."""
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
            return
        # The store may still be serving the load of an engine that has crashed.
        probe_at = tracked.started_at + self._expected_s(tracked)
        if tracked.position > self.loads:
            probe_at = now + PROBE_RETRY_S
        self._probe_not_before = max(self._probe_not_before, probe_at)

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
            # While an engine frees memory, its next load is reported already, with at
            # least its full time left.
            if loading.left_s < spec.load_s:
                found[(backend.incarnation, loading.model)] = loading
        return found

    def _start_tracking(
        self, now: float, key: _Key, nominal_s: float, loading: Loading
    ) -> None:
        group = self._group
        if group is None or now - group.started_at > SIMULTANEOUS_S:
            group = self._group = _Group(now, len(self._tracked))
        group.size += 1
        position = len(self._tracked) + 1
        started_at = now
        if loading.left_s <= OVERRUN_FRACTION * nominal_s:
            # The load was under way before this process first observed it, and is
            # overdue.
            started_at -= nominal_s
        self._tracked[key] = _TrackedLoad(nominal_s, started_at, now, position, group)

    def _learn_from(self, tracked: _TrackedLoad) -> None:
        seconds = tracked.seen_at - tracked.started_at
        at_full_speed = seconds <= FULL_SPEED_RATIO * tracked.nominal_s
        ran_fully = seconds >= tracked.nominal_s / FULL_SPEED_RATIO
        if ran_fully and at_full_speed:
            group = tracked.group
            group.at_full_speed += 1
            self.loads = max(self.loads, group.running_before + group.at_full_speed)

    def _lower_estimate(self) -> None:
        """Lower the estimate as soon as loads are overdue. The longer they take, the
        lower the number of loads at full speed that explains their duration."""
        bounds = []
        for tracked in self._tracked.values():
            seconds = tracked.seen_at - tracked.started_at
            if seconds > SLOW_RATIO * tracked.nominal_s:
                position = tracked.group.slowest_position
                bounds.append(position * tracked.nominal_s / seconds)
        if not bounds:
            return
        self._bound_is_known = True
        if len(bounds) < MIN_SLOW_LOADS:
            return
        bound = math.floor(statistics.median(bounds) + ROUNDING_MARGIN)
        self.loads = max(1, min(self.loads, bound))
