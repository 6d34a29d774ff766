"""On which backend servers a model's slots are put.

A slot is a right to load, held whether or not the model is loaded, so what counts is
how soon it could load there and with what it would have to share the memory: the
checkpoint tier, the slots already there against the memory, and the zones that the
model's other slots are in.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bambootiller_core import rendezvous
from bambootiller_core.admission import PRIOR_TIER_SHARE
from bambootiller_core.template import ModelPolicy
from bambootiller_core.types import ModelKey, Tier

#: What a unit of crowding, slots' bytes over memory, weighs against a remote load time.
CROWDING_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class SurveyFigures:
    """What a backend server's agent says when it is asked to hold a slot.

    ``slots_bytes`` is the memory of all models that have a slot there, loaded or not;
    ``tier`` is where the checkpoint of the model in question lies there.
    """

    instance: str
    zone: str
    memory_total: int
    memory_free: int
    slots: int
    slots_bytes: int
    tier: Tier
    leaving: bool = False


def rank(
    policy: ModelPolicy, figures: Sequence[SurveyFigures], taken_zones: Counter[str]
) -> list[str]:
    """The instances that can hold a slot of the model, the best one first.

    ``taken_zones`` counts the model's present slots by zone. Zones go before all else:
    with its slots in one zone, a model is gone with that zone.
    """
    able = [
        fig
        for fig in figures
        if not fig.leaving and fig.memory_total >= policy.memory_bytes
    ]
    able.sort(key=lambda fig: _order(policy, fig, taken_zones))
    return [fig.instance for fig in able]


def _order(
    policy: ModelPolicy, fig: SurveyFigures, taken_zones: Counter[str]
) -> tuple[int, float, int, str]:
    crowding = (fig.slots_bytes + policy.memory_bytes) / max(1, fig.memory_total)
    cost = PRIOR_TIER_SHARE[fig.tier] + CROWDING_WEIGHT * crowding
    return (taken_zones[fig.zone], cost, -fig.memory_free, fig.instance)


def candidates(key: ModelKey, instances: Iterable[str], k: int) -> list[str]:
    """``k`` instances to ask about a slot of ``key``, the same in every process.

    Asking all of a large fleet for each slot would cost messages in proportion to it; a
    sample that every process draws alike keeps the number fixed.
    """
    if k < 1:
        raise ValueError(f"k is {k}; it must be at least 1")
    return rendezvous.ranked(f"slot/{key}", instances)[:k]
