"""How much one call counts in the demand for its model, by its service level.

Loads go to the models that are asked for most. Counted by calls alone, a kind of call
that is rare as a whole never gets any: its models wait behind those of frequent kinds,
and it is served far less often than the others. So calls are weighted by how much less
their level is used than others, half of the way to the same part in all demand. With
the whole way, one call of a rare level took the place of models with several calls a
second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bambootiller_core.gateway.calls import Call

#: Rates fade by a factor of e in this time: long enough for some calls of a rare level
#: at one of many entries. Seconds.
DECAY_S = 10.0
#: Calls of each level that are assumed besides those seen, so that the first call of a
#: level doesn't count for many.
PRIOR_CALLS = 1.0
#: The power of the weight that would give each level the same part.
WEIGHT_EXPONENT = 0.5
#: The least and the most that a call counts: a single caller of a level that nobody
#: else uses mustn't rule the loads.
MIN_WEIGHT = 0.5
MAX_WEIGHT = 4.0


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """Calls with the same rank and the same target belong together."""

    priority: int
    target_s: float


def level_of(call: Call) -> ServiceLevel:
    """The service level of a call."""
    return ServiceLevel(call.priority, call.route.target_s)


class ServiceLevels:
    """The weights of one service's calls at one entry.

    Example::

        weight = levels.weigh(now, level_of(call))
    """

    def __init__(self) -> None:
        self._calls: dict[ServiceLevel, tuple[float, float]] = {}

    def weigh(self, now: float, level: ServiceLevel) -> float:
        """Count a call of the level, and return how much it counts."""
        self._calls[level] = (self._recent_calls(now, level) + 1.0, now)
        calls = {
            known: self._recent_calls(now, known) + PRIOR_CALLS for known in self._calls
        }
        even = sum(calls.values()) / (len(calls) * calls[level])
        weight = even**WEIGHT_EXPONENT
        return max(MIN_WEIGHT, min(MAX_WEIGHT, weight))

    def _recent_calls(self, now: float, level: ServiceLevel) -> float:
        calls, at = self._calls.get(level, (0.0, now))
        return calls * math.exp((at - now) / DECAY_S)
