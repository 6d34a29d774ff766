"""Makes room for an awaited model by moving another model to an engine that has a copy
of it.

A model that becomes busy often has its only copy at an engine that is full of other
busy models. At other engines it would be loaded from the weight store, which takes many
seconds; from its copy the load takes half a second. So one of the models there is
loaded a second time, from its copy at another engine with room. Then it can be evicted
at the first engine, and none of its calls waits.
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

#: The demand assumed for a model that an engine holds and for which no demand is
#: reported.
_SINGLE_HOLDER = Demand(holders=1)

#: Seconds that a move must save to be worth its load.
MIN_MOVE_GAIN_S = 2.0
#: Calls that must wait for the model for a move to be worth it: a single one is served
#: sooner by the rest of the plan.
MIN_WAITING_CALLS = 2


@dataclass(frozen=True, slots=True)
class Move:
    """``moved`` is loaded at ``target``, which is None if that load is already in
    progress; then the awaited model replaces it at ``vacated``, and can be used after
    ``ready_in_s`` seconds."""

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
    and don't hold it; ``in_progress`` are the models being loaded from a copy, and the
    seconds until these loads end."""
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
    """The models at this engine of which one alone would free enough memory, and that
    may be evicted once another engine holds them as well; the least demand first."""
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
    # No call waits for it, because it stays resident until the other engine holds it as
    # well.
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
