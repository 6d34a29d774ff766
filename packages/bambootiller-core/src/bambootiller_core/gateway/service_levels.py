"""The weight of a call in the demand for its model, by its service level.

Models are loaded in the order of demand. If every call counted the same, the models of
a rare service level would always wait behind those of frequent levels, and its calls
would be served far less often. So calls of rarely used levels get a greater weight,
halfway (:data:`WEIGHT_EXPONENT`) to an equal part of the total demand for every level.
With fully equal parts, one call of a rare level displaced models with several calls a
second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bambootiller_core.gateway.calls import Call

#: The time constant of the exponential decay of rates: long enough for some calls of a
#: rare level at one of many entries. Seconds.
DECAY_S = 10.0
#: Added to the call count of each level, so that the first call of a level doesn't get
#: an excessive weight.
PRIOR_CALLS = 1.0
#: The exponent that is applied to the weight that would give all levels equal demand.
WEIGHT_EXPONENT = 0.5
#: The bounds of a call's weight: a single caller of a level that nobody else uses
#: mustn't determine which models are loaded.
MIN_WEIGHT = 0.5
MAX_WEIGHT = 4.0


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """Calls with the same priority and the same target latency form a level."""

    priority: int
    target_s: float


def level_of(call: Call) -> ServiceLevel:
    """The service level of a call."""
    return ServiceLevel(call.effective_priority, call.route.target_s)


class ServiceLevels:
    """The weights of one service's calls at one entry.

    Example::

        weight = levels.weigh(now, level_of(call))
    """

    def __init__(self) -> None:
        self._calls: dict[ServiceLevel, tuple[float, float]] = {}

    def weigh(self, now: float, level: ServiceLevel) -> float:
        """Count a call of the level, and return its weight."""
        self._calls[level] = (self._recent_calls(now, level) + 1.0, now)
        calls = {
            known: self._recent_calls(now, known) + PRIOR_CALLS for known in self._calls
        }
        equal_weight = sum(calls.values()) / (len(calls) * calls[level])
        weight = equal_weight**WEIGHT_EXPONENT
        return max(MIN_WEIGHT, min(MAX_WEIGHT, weight))

    def _recent_calls(self, now: float, level: ServiceLevel) -> float:
        calls, at = self._calls.get(level, (0.0, now))
        return calls * math.exp((at - now) / DECAY_S)
