"""How much of an engine's memory is used, or may be."""

from __future__ import annotations

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.order_messages import (
    EngineOrder,
    EngineReport,
    OrderKind,
)


def memory_used(
    engine: EngineSpec,
    report: EngineReport,
    loading: str | None,
    unsettled: EngineOrder | None,
) -> float:
    """Megabytes held, on their way in, or possibly brought by an unsettled order.

    ``loading`` is a model known to be on its way. A model that is being unloaded counts
    until a report no longer shows it.
    """
    total = 0.0
    for model, adapters in report.holdings.items():
        total += _size(engine, model) + len(adapters) * _adapter_size(engine, model)
    for model, _ in report.adapters_coming:
        total += _adapter_size(engine, model)
    if loading is not None and loading not in report.holdings:
        total += _size(engine, loading)
    if unsettled is not None and unsettled.kind is OrderKind.LOAD:
        size = _adapter_size if unsettled.adapter else _size
        total += size(engine, unsettled.model)
    return total


def _size(engine: EngineSpec, model: str) -> float:
    spec = engine.models.get(model)
    # A model that the configuration doesn't list any more still fills memory. How much
    # isn't known, so it counts as all.
    return engine.memory_mb if spec is None else spec.size_mb


def _adapter_size(engine: EngineSpec, model: str) -> float:
    spec = engine.models.get(model)
    return 0.0 if spec is None else spec.adapter_mb
