"""Measures the demand for each model at one entry."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.model_demand import Demand

#: The time constant of the exponential decay of rates, in seconds: long enough to see a
#: model that is called once in a few seconds, short enough to follow demand that shifts
#: to other models.
DECAY_S = 5.0
#: A call that was refused because its model wasn't loaded counts as waiting until its
#: caller is expected back: this many seconds after the retry time that it was given,
#: but no longer than the maximum below. Callers with little time left come back sooner
#: than that.
RETURN_SLACK_S = 0.5
MAX_RETURN_WAIT_S = 3.0
#: The least waiting time of a waiting call, in seconds, as 0 means that no call waits.
MIN_WAIT_S = 0.001
#: Calls per second below which the demand for a model is no longer reported.
MIN_RATE = 0.005


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A call that has waited since ``since``; it is late if it is served after
    ``due``."""

    since: float
    weight: float
    due: float


@dataclass(slots=True)
class _Unserved:
    """The total weight of the calls that ended without an answer since ``since``."""

    since: float
    weight: float


class DemandTracker:
    """Tracks calls per second and waiting calls by model, each call by its weight.

    Example::

        demand_tracker.record_call(now, "tutor")
        demand_tracker.begin_waiting(now, "tutor")
        ...
        demand_tracker.end_waiting(now, "tutor")
    """

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}
        self._adapter_misses: dict[str, tuple[float, float]] = {}
        self._waiting: dict[str, list[_Waiting]] = {}
        self._refused: dict[str, deque[tuple[float, float]]] = {}
        self._returning: dict[str, list[tuple[float, float]]] = {}
        self._unserved: dict[str, _Unserved] = {}

    def record_call(self, now: float, model: str, weight: float = 1.0) -> None:
        """Record a call for the model."""
        rate = _rate(self._rates, now, model) + weight / DECAY_S
        self._rates[model] = (rate, now)

    def adapter_missed(self, now: float, model: str, weight: float = 1.0) -> None:
        """Record a call whose adapter is at none of the engines that hold the model."""
        rate = _rate(self._adapter_misses, now, model) + weight / DECAY_S
        self._adapter_misses[model] = (rate, now)

    def begin_waiting(
        self, now: float, model: str, weight: float = 1.0, due: float = 0.0
    ) -> None:
        """Record that a call starts to wait for the model to be loaded; it is late if
        it is served after ``due``."""
        self._waiting.setdefault(model, []).append(_Waiting(now, weight, due))

    def end_waiting(
        self, since: float, model: str, weight: float = 1.0, due: float = 0.0
    ) -> None:
        """Record that the call which started to wait at ``since`` waits no longer."""
        waiting = self._waiting[model]
        waiting.remove(_Waiting(since, weight, due))
        if not waiting:
            del self._waiting[model]

    @property
    def has_waiting_calls(self) -> bool:
        """Whether any call is waiting for a model."""
        return bool(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether there are no recent calls for any model."""
        return not self._rates and not self._waiting

    def unserved(self, since: float, model: str, weight: float = 1.0) -> None:
        """Record that the call that arrived at ``since`` ended without an answer,
        refused or abandoned by its caller, because the model wasn't loaded in time."""
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
        """Record that a call was refused because the model couldn't be loaded in time.
        ``come_back_s`` is the retry time that its caller was given, ``returns_in_s``
        when it is expected back, None if it isn't."""
        due_in_s = min(come_back_s + RETURN_SLACK_S, MAX_RETURN_WAIT_S)
        due = self._refused.setdefault(model, deque())
        due.append((now + due_in_s, weight))
        if returns_in_s is not None:
            expected_by = now + returns_in_s + RETURN_SLACK_S
            self._returning.setdefault(model, []).append((expected_by, weight))

    def waiting(self, now: float, model: str) -> int:
        """The number of calls waiting for the model, by their weights; refused calls
        whose callers are expected back count too."""
        counted = sum(call.weight for call in self._waiting.get(model, ()))
        counted += self._due_to_return(now, model)
        return max(1, round(counted)) if counted else 0

    def demands(
        self, now: float, holders: Mapping[str, int], copies: Mapping[str, int]
    ) -> dict[str, Demand]:
        """The demand for each model with recent calls; ``holders`` and ``copies`` are
        the numbers of engines that hold the model and that have its weights."""
        found = {}
        for model in list(self._rates):
            rate = _rate(self._rates, now, model)
            waiting_calls = self._waiting.get(model, [])
            waiting = self.waiting(now, model)
            waited_s = [max(now - call.since, MIN_WAIT_S) for call in waiting_calls]
            left_s = [call.due - now for call in waiting_calls if call.due > now]
            if rate < MIN_RATE and not waiting:
                del self._rates[model]
                self._refused.pop(model, None)
                self._returning.pop(model, None)
                self._adapter_misses.pop(model, None)
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
                _rate(self._adapter_misses, now, model),
                unserved.weight if unserved is not None else 0.0,
                now - unserved.since if unserved is not None else 0.0,
                self._callers(now, model),
            )
        return found

    def _callers(self, now: float, model: str) -> float:
        """The callers who wait and those expected back, by their weights."""
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
    """What remains of a rate some seconds after its last call.

    >>> decayed(1.0, 0.0)
    1.0
    """
    return rate * math.exp(-seconds / DECAY_S)
