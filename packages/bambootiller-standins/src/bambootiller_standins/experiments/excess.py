"""The rule of the Flare paper, tried on the choice of when to load a second replica.

Dehigama et al., "Flare: Leveraging Serverless Elasticity to Absorb Microservice Load
Spikes", section IV: of the load expected in the next step, the part beyond what present
capacity serves is split off, where rising load is extrapolated by one step. There the
excess goes to serverless functions; here it goes to a holder whose replica is still
cold.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from bambootiller_core import routing
from bambootiller_core.routing import Candidate
from bambootiller_core.types import ModelKey, ModelTarget, Request

#: The length of a step in which arrivals are counted, seconds.
STEP_S = 5.0
#: Entries share the load evenly, so each sees this part of a replica's capacity.
ENTRIES = 4
#: Calls a second that a replica serves, until its figures tell more.
CAPACITY = 3.0


class ExcessRouter:
    """Sends to a cold holder only the excess over the warm ones' capacity."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._counts: dict[ModelKey, Counter[int]] = {}

    def saw(self, now: float, key: ModelKey) -> None:
        """A request for ``key`` arrived at this entry."""
        counts = self._counts.setdefault(key, Counter())
        step = int(now / STEP_S)
        counts[step] += 1
        for old in [other for other in counts if other < step - 2]:
            del counts[old]

    def rank(
        self, now: float, req: Request, zone: str, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """The core's ranking, with the split between warm and cold replaced."""
        ranked = routing.rank(req, zone, candidates, self._rng)
        warm = [cand for cand in ranked if routing.is_warm(cand)]
        cold = [cand for cand in ranked if not routing.is_warm(cand)]
        if not warm or not cold:
            return ranked
        if self._rng.random() < self._excess(now, req, len(warm)):
            return [cold[0], *warm, *cold[1:]]
        return warm + cold

    def _excess(self, now: float, req: Request, warm: int) -> float:
        target = req.target
        model = target.model if isinstance(target, ModelTarget) else ""
        counts = self._counts.get(ModelKey(req.customer, model), Counter())
        step = int(now / STEP_S)
        part = max(0.2, now / STEP_S - step)
        rate = max(counts[step] / (STEP_S * part), counts[step - 1] / STEP_S)
        rising = max(0.0, rate - counts[step - 1] / STEP_S)
        capacity = CAPACITY / ENTRIES * warm
        expected = rate + rising
        return max(0.0, 1.0 - capacity / expected) if expected > 0 else 0.0
