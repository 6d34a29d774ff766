"""When an entry makes its plan of loads anew."""

from __future__ import annotations

from collections.abc import Callable

from bambootiller_core.timers import Subscription, TimerService

#: How often the plan of loads is made anew while calls wait. Seconds.
PLAN_INTERVAL_S = 0.05
#: The longest pause between two plans while calls wait, in a large fleet: a wish for a
#: load is forgotten unless it is repeated (``order_demand.LOAD_REQUEST_TTL_S``). Seconds.
MAX_PLAN_INTERVAL_S = 0.15
#: A plan weighs each engine for each model. Up to so many pairs it is made each
#: :data:`PLAN_INTERVAL_S`, beyond that less often in proportion, so that it takes the same part
#: of a core: 39 engines and 186 models take 5 ms, a tenth of a core at that pace.
PAIRS_PER_PLAN = 2000
#: How often it is made while no call waits. Seconds.
IDLE_PLAN_INTERVAL_S = 0.25
#: How often it is made while nothing that it depends on changes, in case something was
#: overlooked. Seconds.
UNCHANGED_PLAN_INTERVAL_S = 5.0


def interval_s(pairs: int) -> float:
    """The pause between two plans while calls wait, for so many pairs of an engine and
    a model.

    >>> interval_s(260)
    0.05
    >>> interval_s(39 * 186)
    0.15
    """
    return min(MAX_PLAN_INTERVAL_S, PLAN_INTERVAL_S * max(1.0, pairs / PAIRS_PER_PLAN))


class PlanScheduler:
    """Has the plan made often while calls wait, and hardly ever while nothing changes.

    ``plan_for_waiting`` is called at each beat while calls wait, ``plan`` at the others.
    ``has_waiting_calls`` tells whether a call waits anywhere, ``has_demand`` whether this entry's
    callers have asked for a model lately, ``version`` changes with the registry, the
    configuration and what agents say.
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
        #: The pause between two plans while calls wait. Seconds.
        self.interval_s = PLAN_INTERVAL_S
        self._timers: TimerService | None = None
        self._timer: Subscription | None = None
        self._planned_at = float("-inf")
        self._planned_version = -1
        self._changed = True
        self._is_empty = False

    def start(self, timers: TimerService, now: float) -> None:
        """Begin."""
        self._timers = timers
        self._check_by(now + PLAN_INTERVAL_S)

    @property
    def planned_at(self) -> float:
        """When the plan was made last."""
        return self._planned_at

    def changed(self, now: float) -> None:
        """Something that the plan depends on has changed."""
        self._changed = True
        self.check_soon(now)

    def check_soon(self, now: float) -> None:
        """Calls may wait: look soon."""
        if self._timers is not None:
            self._check_by(now + self.interval_s)

    def plan_started(self, now: float) -> None:
        """The plan is made now, of what is known now."""
        self._planned_at, self._planned_version = now, self._version()
        self._changed, self._is_empty = False, True

    def mark_not_empty(self) -> None:
        """The plan that is being made isn't empty, or some model is wanted."""
        self._is_empty = False

    def is_idle(self, now: float) -> bool:
        """Whether a new plan would be the last one again.

        Nobody asks for a model, nothing is under way or planned, and nothing has
        changed. Silence of an agent and the loss of an engine come with time alone;
        the review of the engines notices both and calls :meth:`changed`.
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
