"""How much each model is asked for at one entry."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.model_demand import Demand

#: DemandTracker fades by this factor of e in this time: long enough to see a model that is
#: asked for once in a few seconds, short enough to follow demand that moves on.
#: Seconds.
DECAY_S = 5.0
#: A call that was refused because its model wasn't there counts as waiting until its
#: caller comes back: so much later than it was told, but no longer than the other.
#: Callers come sooner than told if they have little time. Seconds.
RETURN_SLACK_S = 0.5
MAX_RETURN_WAIT_S = 3.0
#: A call that waits has waited for so long at least: 0 stands for none. Seconds.
MIN_WAIT_S = 0.001
#: Below this rate a model isn't told of any more. Calls a second.
MIN_RATE = 0.005


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A call that waits since ``since``; served after ``due`` it is late."""

    since: float
    weight: float
    due: float


@dataclass(slots=True)
class _Unserved:
    """Calls that ended without an answer since ``since``, by their weights."""

    since: float
    weight: float


class DemandTracker:
    """Calls a second and calls waiting, by model, each call by its weight.

    Example::

        demand.asked(now, "tutor")
        demand.begin_waiting(now, "tutor")
        ...
        demand.end_waiting(now, "tutor")
    """

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._missed: dict[str, tuple[float, float]] = {}
        self._waiting: dict[str, list[_Waiting]] = {}
        self._refused: dict[str, deque[tuple[float, float]]] = {}
        self._returning: dict[str, list[tuple[float, float]]] = {}
        self._unserved: dict[str, _Unserved] = {}

    def asked(self, now: float, model: str, weight: float = 1.0) -> None:
        """A call asks for the model."""
        rate = _rate(self._rates, now, model) + weight / DECAY_S
        self._rates[model] = (rate, now)

    def adapter_missed(self, now: float, model: str, weight: float = 1.0) -> None:
        """A call finds its adapter at none of the engines that hold the model."""
        rate = _rate(self._missed, now, model) + weight / DECAY_S
        self._missed[model] = (rate, now)

    def begin_waiting(
        self, now: float, model: str, weight: float = 1.0, due: float = 0.0
    ) -> None:
        """A call begins to wait for the model to be loaded; it is late if it is served
        after ``due``."""
        self._waiting.setdefault(model, []).append(_Waiting(now, weight, due))

    def end_waiting(
        self, since: float, model: str, weight: float = 1.0, due: float = 0.0
    ) -> None:
        """The call that began to wait at ``since`` waits no more."""
        waiting = self._waiting[model]
        waiting.remove(_Waiting(since, weight, due))
        if not waiting:
            del self._waiting[model]

    @property
    def has_waiting_calls(self) -> bool:
        """Whether a call waits for a model now."""
        return bool(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether no model has been asked for lately."""
        return not self._rates and not self._waiting

    def unserved(self, since: float, model: str, weight: float = 1.0) -> None:
        """The call that came at ``since`` has ended without an answer, refused or left
        by its caller: the model didn't come in time."""
        found = self._unserved.setdefault(model, _Unserved(since, 0.0))
        found.since = min(found.since, since)
        found.weight += weight

    def refused(
        self,
        now: float,
        model: str,
        come_back_s: float,
        weight: float = 1.0,
        returns_in_s: float | None = None,
    ) -> None:
        """A call was refused because the model isn't there in time; its caller was told
        when to come back, and is expected in ``returns_in_s``, None if not at all."""
        due_in_s = min(come_back_s + RETURN_SLACK_S, MAX_RETURN_WAIT_S)
        due = self._refused.setdefault(model, deque())
        due.append((now + due_in_s, weight))
        if returns_in_s is not None:
            back_by = now + returns_in_s + RETURN_SLACK_S
            self._returning.setdefault(model, []).append((back_by, weight))

    def waiting(self, now: float, model: str) -> int:
        """The calls that wait for the model, by their weights; those that were refused
        and are due back count too."""
        counted = sum(call.weight for call in self._waiting.get(model, ()))
        counted += self._due_to_return(now, model)
        return max(1, round(counted)) if counted else 0

    def demands(
        self, now: float, holders: Mapping[str, int], copies: Mapping[str, int]
    ) -> dict[str, Demand]:
        """The demand for each model asked for lately, with the numbers of engines that
        hold it, and that have its weights."""
        found = {}
        for model in list(self._rates):
            rate = _rate(self._rates, now, model)
            here = self._waiting.get(model, [])
            waiting = self.waiting(now, model)
            waited_s = [max(now - call.since, MIN_WAIT_S) for call in here]
            left_s = [call.due - now for call in here if call.due > now]
            if rate < MIN_RATE and not waiting:
                del self._rates[model]
                self._refused.pop(model, None)
                self._returning.pop(model, None)
                self._missed.pop(model, None)
                self._unserved.pop(model, None)
                continue
            if holders.get(model):
                self._unserved.pop(model, None)
            unserved = self._unserved.get(model)
            found[model] = Demand(
                rate,
                waiting,
                holders.get(model, 0),
                max(waited_s, default=0.0),
                copies.get(model, 0),
                min(left_s, default=0.0),
                _rate(self._missed, now, model),
                unserved.weight if unserved is not None else 0.0,
                now - unserved.since if unserved is not None else 0.0,
                self._callers(now, model),
            )
        return found

    def _callers(self, now: float, model: str) -> float:
        """Those who wait and those expected back, by their weights."""
        returning = self._returning.get(model)
        if returning is not None:
            returning[:] = [item for item in returning if item[0] >= now]
        waiting = sum([call.weight for call in self._waiting.get(model, ())])
        return waiting + sum([weight for _, weight in returning or ()])

    def _due_to_return(self, now: float, model: str) -> float:
        due = self._refused.get(model)
        if due is None:
            return 0.0
        while due and due[0][0] < now:
            due.popleft()
        return sum(weight for at, weight in due if at >= now)


def _rate(rates: Mapping[str, tuple[float, float]], now: float, model: str) -> float:
    rate, at = rates.get(model, (0.0, now))
    return decayed(rate, now - at)


def decayed(rate: float, seconds: float) -> float:
    """What is left of a rate so long after its last call.

    >>> faded(1.0, 0.0)
    1.0
    """
    return rate * math.exp(-seconds / DECAY_S)
