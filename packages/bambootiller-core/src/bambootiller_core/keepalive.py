"""When to unload a model that nobody uses.

Keeping a model costs idle accelerator seconds, unloading it costs its next callers a
cold start. Both costs are the customer's own weights. For each model the lengths of its
idle gaps are kept in a small histogram with logarithmic bins that forgets slowly, and
with each bin how many callers a cold start after such a gap would have kept waiting: a
class that comes after an hour weighs more than a lone caller. The time to keep a model
is the one at which the expected cost over that histogram is least.

While little is known, the bound of the ski-rental problem stands in: keep the model
until idling has cost as much as the cold start would. Whatever the gaps turn out to be,
this costs at most twice what the best choice in hindsight would have.

Example::

    keep = KeepAlive()
    keep.arrived(0.0, key)
    keep.idle_since(4.0, key)
    keep.unload_at(4.0, key, template.weights, load_s=8.0)   # 404.0
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from bambootiller_core.template import Weights
from bambootiller_core.types import ModelKey

#: Gaps are told apart by factors of the square root of two, from one second to 23 days.
BINS_PER_DOUBLING = 2
BINS = 42
#: Where the middle of a bin lies below its upper edge.
MIDDLE = 2.0 ** (-0.5 / BINS_PER_DOUBLING)
#: What a recorded gap still weighs when another one is recorded.
DECAY = 0.97
#: Below this weight of recorded gaps the ski-rental bound stands in for them.
PRIOR_WEIGHT = 3.0
#: What the gap that hasn't been seen yet weighs, longer than all that have. Without it
#: a model whose few recorded gaps were short would be kept for ever in the first long
#: one.
UNSEEN_WEIGHT = 0.5
#: Callers within this time of the one that ended a gap would wait for the same load.
TYPICAL_LOAD_S = 5.0
#: Never kept longer than this on a guess, whatever the weights say; seconds.
LONGEST = 86_400.0


@dataclass(slots=True)
class _Habit:
    """What is known of one model's use."""

    idle_from: float | None = None
    gaps: list[float] = field(default_factory=lambda: [0.0] * BINS)
    callers: list[float] = field(default_factory=lambda: [0.0] * BINS)
    ended_at: float = 0.0
    ended_bin: int | None = None

    def seen(self) -> float:
        """The weight of all recorded gaps."""
        return sum(self.gaps)

    def callers_each(self) -> float:
        """How many callers a cold start would have kept waiting, on average."""
        seen = self.seen()
        return sum(self.callers) / seen if seen > 0.0 else 1.0


class KeepAlive:
    """Learns the gaps between the uses of each model, decides how long to keep it."""

    def __init__(
        self, decay: float = DECAY, prior_weight: float = PRIOR_WEIGHT
    ) -> None:
        self._decay = decay
        self._prior_weight = prior_weight
        self._habits: dict[ModelKey, _Habit] = {}

    def arrived(self, now: float, key: ModelKey) -> None:
        """A request for ``key`` arrived, and with it an idle gap ended, if one ran."""
        habit = self._habit(key)
        if habit.idle_from is None:
            _record_follower(habit, now)
            return
        _record(habit, now, self._decay)
        habit.idle_from = None

    def idle_since(self, now: float, key: ModelKey) -> None:
        """The last request of ``key`` ended; repeating it while idle has no effect."""
        habit = self._habit(key)
        if habit.idle_from is None:
            habit.idle_from = now

    def unload_at(
        self, now: float, key: ModelKey, weights: Weights, load_s: float
    ) -> float:
        """The time at which ``key`` is to be unloaded if it stays idle till then.

        ``load_s`` is the load time that the next caller would wait for. A time at or
        before ``now`` says to unload now.
        """
        habit = self._habit(key)
        start = now if habit.idle_from is None else habit.idle_from
        return start + self._best(habit, weights, load_s)

    def _best(self, habit: _Habit, weights: Weights, load_s: float) -> float:
        cold_cost = weights.cold_second * load_s
        if weights.idle_second <= 0.0:
            return LONGEST
        if habit.seen() < self._prior_weight:
            bound = cold_cost * habit.callers_each() / weights.idle_second
            return min(bound, LONGEST)
        return _least_cost(habit, weights.idle_second, cold_cost)

    def _habit(self, key: ModelKey) -> _Habit:
        habit = self._habits.get(key)
        if habit is None:
            habit = self._habits[key] = _Habit()
        return habit


def _record(habit: _Habit, now: float, decay: float) -> None:
    """A gap has ended: note it, and its first caller."""
    habit.gaps = [weight * decay for weight in habit.gaps]
    habit.callers = [callers * decay for callers in habit.callers]
    index = _bin(now - habit.idle_from)
    habit.gaps[index] += 1.0
    habit.callers[index] += 1.0
    habit.ended_at = now
    habit.ended_bin = index


def _record_follower(habit: _Habit, now: float) -> None:
    """A caller came soon after the one that ended a gap.

    A cold start would have kept both waiting, this one for what is left of the load.
    """
    if habit.ended_bin is None:
        return
    left = 1.0 - (now - habit.ended_at) / TYPICAL_LOAD_S
    if left <= 0.0:
        habit.ended_bin = None
        return
    habit.callers[habit.ended_bin] += left


def _bin(gap: float) -> int:
    if gap <= 1.0:
        return 0
    return min(BINS - 1, 1 + int(math.log2(gap) * BINS_PER_DOUBLING))


def _edge(index: int) -> float:
    """The longest gap that falls into bin ``index``, seconds."""
    return 2.0 ** (index / BINS_PER_DOUBLING)


def _least_cost(habit: _Habit, idle_second: float, cold_cost: float) -> float:
    """The time to keep at which gaps like the recorded ones cost least.

    The candidates are no time at all and the upper edges of the bins.
    """
    longer = habit.seen() + UNSEEN_WEIGHT
    unseen_callers = UNSEEN_WEIGHT * habit.callers_each()
    waiting = sum(habit.callers) + unseen_callers
    best_time, best_cost = 0.0, cold_cost * waiting
    idle_cost = 0.0
    for index, weight in enumerate(habit.gaps):
        edge = _edge(index)
        if edge > LONGEST:
            break
        idle_cost += weight * edge * MIDDLE * idle_second
        longer = max(UNSEEN_WEIGHT, longer - weight)
        waiting = max(unseen_callers, waiting - habit.callers[index])
        cost = idle_cost + longer * edge * idle_second + waiting * cold_cost
        if cost < best_cost:
            best_time, best_cost = edge, cost
    return best_time
