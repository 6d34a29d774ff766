"""Room for an awaited model, made by moving another to where that has a copy.

A model that becomes busy often has its only copy at an engine that is full of other
busy models. Elsewhere it would come from the weight store, which takes many seconds; at
its copy it would take half of one. So one of the models there is loaded a second time,
from a copy that another engine with room has of it. Then it can go where it stands in
the way, and none of its calls waits.

On a day on which demand moved three times, three models that waited 6 to 11 seconds for
the store while their copies lay behind others had 379 of 656 refusals.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.places import (
    MOST_CUT_SHORT,
    ORDER_S,
    RUN_S,
    Place,
    Victims,
    tier_seconds,
)
from bambootiller_core.gateway.want import Want

#: A move is worth its load if the model would else come this much later. Seconds.
WORTH_S = 2.0
#: And if so many calls wait for it: one alone is served sooner by what else is planned.
WORTH_WAITING = 2

VictimsOf = Callable[[ModelSpec, Want, Place], Victims | None]


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
    places: Iterable[Place],
    wants: Mapping[str, Want],
    coming: Mapping[str, float],
    victims_of: VictimsOf,
) -> Move | None:
    """The quickest move that makes room for ``spec`` at an engine that has a copy of
    it; None if there is none. ``coming`` are models on their way from a copy, and the
    seconds that they still need."""
    free = [place for place in places if place.is_free]
    moves = []
    for at in free:
        seconds, from_store = tier_seconds(spec, at.backend)
        if from_store or spec.name in at.backend.holdings:
            continue
        for moved in _in_the_way(engine, spec, at, wants):
            to, moved_in_s = None, coming.get(moved.name, float("inf"))
            if moved.name not in coming:
                to, moved_in_s = _other_place(moved, at, free, wants, victims_of)
            ready = moved_in_s + RUN_S + seconds + 2 * ORDER_S
            if ready < float("inf"):
                moves.append(Move(moved, to, at, moved_in_s, ready))
    return min(moves, key=lambda move: move.ready_in_s, default=None)


def _in_the_way(
    engine: EngineSpec, spec: ModelSpec, at: Place, wants: Mapping[str, Want]
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
        want = wants.get(name, Want(holders=1))
        later = replace(want, holders=max(1, want.holders) + 1).value_of_one
        if later <= MOST_CUT_SHORT:
            found.append((later, name, held))
    return [held for _, _, held in sorted(found, key=lambda item: item[:2])]


def _other_place(
    moved: ModelSpec,
    at: Place,
    free: Iterable[Place],
    wants: Mapping[str, Want],
    victims_of: VictimsOf,
) -> tuple[Place | None, float]:
    found: tuple[Place | None, float] = (None, float("inf"))
    want = replace(wants.get(moved.name, Want()), waiting=0)
    for place in free:
        if place is at or moved.name in place.backend.holdings:
            continue
        seconds, from_store = tier_seconds(moved, place.backend)
        if from_store or seconds >= found[1]:
            continue
        victims = victims_of(moved, want, place)
        if victims is not None and not victims.busy:
            found = (place, seconds)
    return found
