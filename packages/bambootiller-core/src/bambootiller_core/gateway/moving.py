"""Room for an awaited model, made by moving another to where that has a copy.

A model that becomes busy often has its only copy at an engine that is full of other
busy models. Elsewhere it would come from the weight store, which takes many seconds; at
its copy it would take half of one. So one of the models there is loaded a second time,
from a copy that another engine with room has of it. Then it can go where it stands in
the way, and none of its calls waits.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.places import (
    MOST_CUT_SHORT,
    ORDER_S,
    RUN_S,
    Place,
)

#: What a model is wanted of which nothing is known, but that an engine holds it.
_HELD_ONCE = Demand(holders=1)

#: A move is worth its load if the model would else come this much later. Seconds.
WORTH_S = 2.0
#: And if so many calls wait for it: one alone is served sooner by what else is planned.
WORTH_WAITING = 2


@dataclass(frozen=True, slots=True)
class Move:
    """``moved`` is loaded at ``to``, None if it is on its way there already; then the
    awaited model takes its place at ``at``, and can be used in ``ready_in_s``."""

    moved: ModelSpec
    to: Place | None
    at: Place
    moved_in_s: float
    ready_in_s: float


def find_move(
    engine: EngineSpec,
    spec: ModelSpec,
    copies: Mapping[str, list[Place]],
    demands: Mapping[str, Demand],
    coming: Mapping[str, float],
) -> Move | None:
    """The quickest move that makes room for ``spec`` at an engine that has a copy of
    it; None if there is none. ``copies`` are the engines that have a copy of a model
    and don't hold it, ``coming`` models on their way from a copy, and the seconds that
    they still need."""
    moves = []
    for at in copies.get(spec.name, ()):
        if not at.is_free:
            continue
        seconds, _ = at.tier_seconds(spec)
        for moved in _in_the_way(engine, spec, at, demands):
            to, moved_in_s = None, coming.get(moved.name, float("inf"))
            if moved.name not in coming:
                to, moved_in_s = _other_place(engine, moved, at, copies, demands)
            ready = moved_in_s + RUN_S + seconds + 2 * ORDER_S
            if ready < float("inf"):
                moves.append(Move(moved, to, at, moved_in_s, ready))
    return min(moves, key=lambda move: move.ready_in_s, default=None)


def _in_the_way(
    engine: EngineSpec, spec: ModelSpec, at: Place, demands: Mapping[str, Demand]
) -> list[ModelSpec]:
    """The models there of which one alone would make room, and that may go once they
    are held elsewhere as well, the least wanted first."""
    state = at.backend.engine
    need_mb = spec.size_mb - (engine.memory_mb - state.memory_mb_used)
    found = []
    for name, adapters in state.holdings.items():
        held = engine.models.get(name)
        if held is None or held.size_mb + len(adapters) * held.adapter_mb < need_mb:
            continue
        demand = demands.get(name, _HELD_ONCE)
        later = demand.value_if_held_by(max(1, demand.holders) + 1)
        if later <= MOST_CUT_SHORT:
            found.append((later, name, held))
    return [held for _, _, held in sorted(found, key=lambda item: item[:2])]


def _other_place(
    engine: EngineSpec,
    moved: ModelSpec,
    at: Place,
    copies: Mapping[str, list[Place]],
    demands: Mapping[str, Demand],
) -> tuple[Place | None, float]:
    found: tuple[Place | None, float] = (None, float("inf"))
    # No call waits for it: it is held, and stays so until it is held there as well.
    demand = Demand(demands.get(moved.name, NO_DEMAND).rate)
    for place in copies.get(moved.name, ()):
        if place is at or not place.is_free:
            continue
        seconds, _ = place.tier_seconds(moved)
        if seconds >= found[1]:
            continue
        victims = place.victims(engine, moved, demand, seconds)
        if victims is not None and not victims.busy:
            found = (place, seconds)
    return found
