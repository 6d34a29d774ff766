"""When to unload a model that nobody uses.

Keeping a model costs idle accelerator seconds, unloading it costs its next callers a
cold start. Both costs are the customer's own weights. For each model the lengths of its
idle gaps are kept in a small histogram with logarithmic bins that forgets slowly; the
time to keep it is the one at which the expected cost over that histogram is least.

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
#: Never kept longer than this on a guess, whatever the weights say; seconds.
LONGEST = 86_400.0


@dataclass(slots=True)
class _Habit:
    """What is known of one model's use."""

    idle_from: float | None = None
    seen: float = 0.0
    gaps: list[float] = field(default_factory=lambda: [0.0] * BINS)


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
            return
        _record(habit, now - habit.idle_from, self._decay)
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
        bound = min(cold_cost / weights.idle_second, LONGEST)
        if habit.seen < self._prior_weight:
            return bound
        return _least_cost(habit.gaps, weights.idle_second, cold_cost)

    def _habit(self, key: ModelKey) -> _Habit:
        habit = self._habits.get(key)
        if habit is None:
            habit = self._habits[key] = _Habit()
        return habit


def _record(habit: _Habit, gap: float, decay: float) -> None:
    habit.gaps = [weight * decay for weight in habit.gaps]
    habit.seen = habit.seen * decay + 1.0
    habit.gaps[_bin(gap)] += 1.0


def _bin(gap: float) -> int:
    if gap <= 1.0:
        return 0
    return min(BINS - 1, 1 + int(math.log2(gap) * BINS_PER_DOUBLING))


def _edge(index: int) -> float:
    """The longest gap that falls into bin ``index``, seconds."""
    return 2.0 ** (index / BINS_PER_DOUBLING)


def _least_cost(gaps: list[float], idle_second: float, cold_cost: float) -> float:
    """The time to keep at which gaps like the recorded ones cost least.

    The candidates are no time at all and the upper edges of the bins.
    """
    longer = sum(gaps) + UNSEEN_WEIGHT
    best_time, best_cost = 0.0, cold_cost * longer
    idle_cost = 0.0
    for index, weight in enumerate(gaps):
        edge = _edge(index)
        if edge > LONGEST:
            break
        idle_cost += weight * edge * MIDDLE * idle_second
        longer = max(UNSEEN_WEIGHT, longer - weight)
        cost = idle_cost + longer * (edge * idle_second + cold_cost)
        if cost < best_cost:
            best_time, best_cost = edge, cost
    return best_time
