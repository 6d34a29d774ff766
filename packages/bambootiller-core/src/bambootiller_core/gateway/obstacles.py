"""Counts why engines can't load a model that the plan contains no load for.

Example::

    found = obstacles(engine, spec, demand, known, load_targets, adapters)
    found.no_room  # the number of engines whose models mustn't be evicted for it
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from bambootiller_core.gateway.adapter_availability import AdapterAvailability
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.load_targets import LoadTarget
from bambootiller_core.gateway.log_lines import Obstacles
from bambootiller_core.gateway.model_demand import Demand


def obstacles(
    engine: EngineSpec,
    spec: ModelSpec,
    demand: Demand,
    known: Collection[Backend],
    load_targets: Iterable[LoadTarget],
    adapters: AdapterAvailability,
) -> Obstacles:
    """Count the ``known`` engines by what keeps them from loading the model;
    ``load_targets`` are those engines that accept orders."""
    accepting = kept_for_adapters = no_room = able = 0
    for load_target in load_targets:
        accepting += 1
        seconds, _ = load_target.load_time(spec)
        if load_target.victims(engine, spec, demand, seconds) is None:
            no_room += 1
        elif adapters.blocked_calls(load_target, seconds) > demand.value:
            kept_for_adapters += 1
        else:
            able += 1
    return Obstacles(len(known) - accepting, kept_for_adapters, no_room, able)
