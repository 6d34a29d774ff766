"""What keeps engines from loading a model that the plan has no load for.

Example::

    seen = obstacles(engine, spec, want, known, places, adapters)
    seen.no_room  # so many engines hold nothing that would make way
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from bambootiller_core.gateway.adapter_places import AdapterPlaces
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.log_lines import Obstacles
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.places import Place


def obstacles(
    engine: EngineSpec,
    spec: ModelSpec,
    demand: Demand,
    known: Collection[Backend],
    places: Iterable[Place],
    adapters: AdapterPlaces,
) -> Obstacles:
    """Counts engines by what keeps them from the load; ``places`` are those of the
    ``known`` engines that take orders."""
    taking = kept = no_room = able = 0
    for place in places:
        taking += 1
        seconds, _ = place.tier_seconds(spec)
        if place.victims(engine, spec, demand, seconds) is None:
            no_room += 1
        elif adapters.calls_kept(place, seconds) > demand.value:
            kept += 1
        else:
            able += 1
    return Obstacles(len(known) - taking, kept, no_room, able)
