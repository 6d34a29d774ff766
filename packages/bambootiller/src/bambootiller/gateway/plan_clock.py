"""When an entry makes its plan of loads anew."""

from __future__ import annotations

from collections.abc import Callable

from bambootiller_core.timers import Subscription, TimerService

#: How often the plan of loads is made anew while calls wait. Seconds.
PLAN_S = 0.05
#: The longest pause between two plans while calls wait, in a large fleet: a wish for a
#: load is forgotten unless it is repeated (``order_demand.LOAD_REQUEST_TTL_S``). Seconds.
PLAN_MAX_S = 0.15
#: A plan weighs each engine for each model. Up to so many pairs it is made each
#: :data:`PLAN_S`, beyond that less often in proportion, so that it takes the same part
#: of a core: 39 engines and 186 models take 5 ms, a tenth of a core at that pace.
PAIRS_PER_PLAN = 2000
#: How often it is made while no call waits. Seconds.
IDLE_PLAN_S = 0.25
#: How often it is made while nothing that it depends on changes, in case something was
#: overlooked. Seconds.
REST_PLAN_S = 5.0


def pause_s(pairs: int) -> float:
    """The pause between two plans while calls wait, for so many pairs of an engine and
    a model.

    >>> pause_s(260)
    0.05
    >>> pause_s(39 * 186)
    0.15
    """
    return min(PLAN_MAX_S, PLAN_S * max(1.0, pairs / PAIRS_PER_PLAN))


class PlanClock:
    """Has the plan made often while calls wait, and hardly ever while nothing changes.

    ``plan_awaited`` is called at each beat while calls wait, ``plan`` at the others.
    ``waits`` tells whether a call waits anywhere, ``asked`` whether this entry's
    callers have asked for a model lately, ``version`` changes with the registry, the
    configuration and what agents say.
    """

    def __init__(
        self,
        plan: Callable[[float], None],
        plan_awaited: Callable[[float], None],
        waits: Callable[[], bool],
        asked: Callable[[], bool],
        version: Callable[[], int],
    ) -> None:
        self._plan = plan
        self._plan_awaited = plan_awaited
        self._waits = waits
        self._asked = asked
        self._version = version
        #: The pause between two plans while calls wait. Seconds.
        self.pause_s = PLAN_S
        self._timers: TimerService | None = None
        self._timer: Subscription | None = None
        self._made_at = float("-inf")
        self._made_of = -1
        self._changed = True
        self._is_empty = False

    def start(self, timers: TimerService, now: float) -> None:
        """Begin."""
        self._timers = timers
        self._look_by(now + PLAN_S)

    @property
    def made_at(self) -> float:
        """When the plan was made last."""
        return self._made_at

    def changed(self, now: float) -> None:
        """Something that the plan depends on has changed."""
        self._changed = True
        self.hurry(now)

    def hurry(self, now: float) -> None:
        """Calls may wait: look soon."""
        if self._timers is not None:
            self._look_by(now + self.pause_s)

    def making(self, now: float) -> None:
        """The plan is made now, of what is known now."""
        self._made_at, self._made_of = now, self._version()
        self._changed, self._is_empty = False, True

    def has_work(self) -> None:
        """The plan that is being made isn't empty, or some model is wanted."""
        self._is_empty = False

    def at_rest(self, now: float) -> bool:
        """Whether a new plan would be the last one again.

        Nobody asks for a model, nothing is under way or planned, and nothing has
        changed. Silence of an agent and the loss of an engine come with time alone;
        the review of the engines notices both and calls :meth:`changed`.
        """
        if self._changed or not self._is_empty:
            return False
        if self._asked() or self._waits():
            return False
        unchanged = self._made_of == self._version()
        return unchanged and now - self._made_at < REST_PLAN_S

    def _look(self, now: float) -> None:
        self._timer = None
        due = now - self._made_at >= IDLE_PLAN_S and not self.at_rest(now)
        if due:
            self._plan(now)
        elif self._waits():
            self._plan_awaited(now)
        self._look_by(now + (IDLE_PLAN_S if self.at_rest(now) else self.pause_s))

    def _look_by(self, when: float) -> None:
        timer = self._timer
        if timer is not None:
            if timer.due <= when:
                return
            timer.cancel()
        self._timer = self._timers.at("load plan", when, self._look)
