"""Decides when an entry makes a new load plan."""

from __future__ import annotations

from collections.abc import Callable

from bambootiller_core.timers import Subscription, TimerService

#: Interval between two load plans while calls wait. Seconds.
PLAN_INTERVAL_S = 0.05
#: Maximum interval between two plans while calls wait, in a large fleet. A load request
#: expires unless it is repeated (``entry_reports.LOAD_REQUEST_TTL_S``). Seconds.
MAX_PLAN_INTERVAL_S = 0.15
#: A plan evaluates each pair of an engine and a model. Up to this many pairs a plan is
#: made every :data:`PLAN_INTERVAL_S`; beyond, the interval grows in proportion, so that
#: plans take a constant share of a core. A plan for 39 engines and 186 models takes 5
#: ms, which at the shortest interval would be a tenth of a core.
PAIRS_PER_PLAN = 2000
#: Interval between two plans while no call waits. Seconds.
IDLE_PLAN_INTERVAL_S = 0.25
#: Interval between two plans while nothing that they depend on changes, in case a
#: change was missed. Seconds.
UNCHANGED_PLAN_INTERVAL_S = 5.0


def interval_s(pairs: int) -> float:
    """The interval in seconds between two plans while calls wait, for a number of pairs
    of an engine and a model.

    >>> interval_s(260)
    0.05
    >>> interval_s(39 * 186)
    0.15
    """
    return min(MAX_PLAN_INTERVAL_S, PLAN_INTERVAL_S * max(1.0, pairs / PAIRS_PER_PLAN))


class PlanScheduler:
    """Has plans made often while calls wait, and rarely while nothing changes.

    ``plan_for_waiting`` is called at each check while calls wait, unless ``plan`` is
    due, which is called every :data:`IDLE_PLAN_INTERVAL_S`. ``has_waiting_calls`` tells
    whether a call waits anywhere, ``has_demand`` whether this entry's callers have
    requested a model lately. ``version`` changes with the registry, the configuration
    and the reports of agents.
    """

    def __init__(
        self,
        plan: Callable[[float], None],
        plan_for_waiting: Callable[[float], None],
        has_waiting_calls: Callable[[], bool],
        has_demand: Callable[[], bool],
        version: Callable[[], int],
    ) -> None:
        self._plan = plan
        self._plan_for_waiting = plan_for_waiting
        self._has_waiting_calls = has_waiting_calls
        self._has_demand = has_demand
        self._version = version
        #: The interval between two plans while calls wait. Seconds.
        self.interval_s = PLAN_INTERVAL_S
        self._timers: TimerService | None = None
        self._timer: Subscription | None = None
        self._planned_at = float("-inf")
        self._planned_version = -1
        self._changed = True
        self._is_empty = False

    def start(self, timers: TimerService, now: float) -> None:
        """Starts the checks."""
        self._timers = timers
        self._check_by(now + PLAN_INTERVAL_S)

    @property
    def planned_at(self) -> float:
        """The time of the last plan."""
        return self._planned_at

    def changed(self, now: float) -> None:
        """Schedules a check, as something that the plan depends on has changed."""
        self._changed = True
        self.check_soon(now)

    def check_soon(self, now: float) -> None:
        """Schedules a check within the plan interval, as calls may wait."""
        if self._timers is not None:
            self._check_by(now + self.interval_s)

    def plan_started(self, now: float) -> None:
        """Records that a plan is being made from the current state."""
        self._planned_at, self._planned_version = now, self._version()
        self._changed, self._is_empty = False, True

    def mark_not_empty(self) -> None:
        """Records that the plan being made isn't empty, or that there is demand for a
        model."""
        self._is_empty = False

    def is_idle(self, now: float) -> bool:
        """Whether a new plan would be the same as the last.

        This is so if there is no demand, no load is in progress or planned, and nothing
        has changed. Silence of an agent and the loss of an engine come about by the
        passage of time alone; the review of the engines detects both and calls
        :meth:`changed`.
        """
        if self._changed or not self._is_empty:
            return False
        if self._has_demand() or self._has_waiting_calls():
            return False
        unchanged = self._planned_version == self._version()
        return unchanged and now - self._planned_at < UNCHANGED_PLAN_INTERVAL_S

    def _check(self, now: float) -> None:
        self._timer = None
        due = now - self._planned_at >= IDLE_PLAN_INTERVAL_S and not self.is_idle(now)
        if due:
            self._plan(now)
        elif self._has_waiting_calls():
            self._plan_for_waiting(now)
        self._check_by(
            now + (IDLE_PLAN_INTERVAL_S if self.is_idle(now) else self.interval_s)
        )

    def _check_by(self, when: float) -> None:
        timer = self._timer
        if timer is not None:
            if timer.due <= when:
                return
            timer.cancel()
        self._timer = self._timers.at("load plan", when, self._check)
