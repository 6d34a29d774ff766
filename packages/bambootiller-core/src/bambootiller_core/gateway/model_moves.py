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
from bambootiller_core.gateway.load_targets import (
    CALL_DURATION_S,
    MAX_BUSY_KEEP_VALUE,
    ORDER_OVERHEAD_S,
    LoadTarget,
)
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand

#: What a model is wanted of which nothing is known, but that an engine holds it.
_SINGLE_HOLDER = Demand(holders=1)

#: A move is worth its load if the model would else come this much later. Seconds.
MIN_MOVE_GAIN_S = 2.0
#: And if so many calls wait for it: one alone is served sooner by what else is planned.
MIN_WAITING_CALLS = 2


@dataclass(frozen=True, slots=True)
class Move:
    """``moved`` is loaded vacated ``target``, None if it is on its way there already; then the
    awaited model takes its place at ``vacated``, and can be used in ``ready_in_s``."""

    moved: ModelSpec
    target: LoadTarget | None
    vacated: LoadTarget
    moved_in_s: float
    ready_in_s: float


def find_move(
    engine: EngineSpec,
    spec: ModelSpec,
    copies: Mapping[str, list[LoadTarget]],
    demands: Mapping[str, Demand],
    in_progress: Mapping[str, float],
) -> Move | None:
    """The quickest move that makes room for ``spec`` at an engine that has a copy of
    it; None if there is none. ``copies`` are the engines that have a copy of a model
    and don't hold it, ``in_progress`` models on their way from a copy, and the seconds that
    they still need."""
    moves = []
    for vacated in copies.get(spec.name, ()):
        if not vacated.is_free:
            continue
        seconds, _ = vacated.load_time(spec)
        for moved in _movable_models(engine, spec, vacated, demands):
            target, moved_in_s = None, in_progress.get(moved.name, float("inf"))
            if moved.name not in in_progress:
                target, moved_in_s = _other_target(
                    engine, moved, vacated, copies, demands
                )
            ready = moved_in_s + CALL_DURATION_S + seconds + 2 * ORDER_OVERHEAD_S
            if ready < float("inf"):
                moves.append(Move(moved, target, vacated, moved_in_s, ready))
    return min(moves, key=lambda move: move.ready_in_s, default=None)


def _movable_models(
    engine: EngineSpec,
    spec: ModelSpec,
    vacated: LoadTarget,
    demands: Mapping[str, Demand],
) -> list[ModelSpec]:
    """The models there of which one alone would make room, and that may go once they
    are held elsewhere as well, the least wanted first."""
    state = vacated.backend.engine
    need_mb = spec.size_mb - (engine.memory_mb - state.memory_mb_used)
    found = []
    for name, adapters in state.holdings.items():
        held = engine.models.get(name)
        if held is None or held.size_mb + len(adapters) * held.adapter_mb < need_mb:
            continue
        demand = demands.get(name, _SINGLE_HOLDER)
        later = demand.value_with_holders(max(1, demand.holders) + 1)
        if later <= MAX_BUSY_KEEP_VALUE:
            found.append((later, name, held))
    return [held for _, _, held in sorted(found, key=lambda item: item[:2])]


def _other_target(
    engine: EngineSpec,
    moved: ModelSpec,
    vacated: LoadTarget,
    copies: Mapping[str, list[LoadTarget]],
    demands: Mapping[str, Demand],
) -> tuple[LoadTarget | None, float]:
    found: tuple[LoadTarget | None, float] = (None, float("inf"))
    # No call waits for it: it is held, and stays so until it is held there as well.
    demand = Demand(demands.get(moved.name, NO_DEMAND).rate)
    for load_target in copies.get(moved.name, ()):
        if load_target is vacated or not load_target.is_free:
            continue
        seconds, _ = load_target.load_time(moved)
        if seconds >= found[1]:
            continue
        victims = load_target.victims(engine, moved, demand, seconds)
        if victims is not None and not victims.busy:
            found = (load_target, seconds)
    return found
