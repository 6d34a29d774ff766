"""How much of an engine's memory is in use, or may be."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

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
    unconfirmed: EngineOrder | None,
) -> float:
    """Megabytes held, being loaded, or possibly loaded by an unconfirmed order.

    ``loading`` is a model known to be loading. A model that is being unloaded counts
    until a report no longer shows it.
    """
    total = 0.0
    for model, adapters in report.holdings.items():
        total += _size(engine, model) + len(adapters) * _adapter_size(engine, model)
    for model, _ in report.adapters_loading:
        total += _adapter_size(engine, model)
    if loading is not None and loading not in report.holdings:
        total += _size(engine, loading)
    if unconfirmed is not None and unconfirmed.kind is OrderKind.LOAD:
        size = _adapter_size if unconfirmed.adapter else _size
        total += size(engine, unconfirmed.model)
    return total


def fits_late_loads(
    engine: EngineSpec,
    report: EngineReport,
    order: EngineOrder,
    late: Iterable[EngineOrder],
) -> bool:
    """Whether all late loads fit beside what the engine holds after the order."""
    after = report
    for change in (order, *sorted(late, key=lambda item: item.expected)):
        after = _report_after(after, change)
    count = sum(len(adapters) for adapters in after.holdings.values())
    count += len(after.adapters_loading)
    used = memory_used(engine, after, None, None)
    return used <= engine.memory_mb and count <= engine.adapter_slots


def _report_after(report: EngineReport, order: EngineOrder) -> EngineReport:
    """What the engine reports once the order is carried out."""
    holdings = dict(report.holdings)
    held = holdings.get(order.model)
    if order.adapter:
        if held is None:
            return report
        loads = order.kind is OrderKind.LOAD
        change = held.union if loads else held.difference
        holdings[order.model] = change({order.adapter})
    elif order.kind is OrderKind.LOAD:
        holdings[order.model] = held or frozenset()
    else:
        holdings.pop(order.model, None)
    return replace(report, holdings=holdings)


def _size(engine: EngineSpec, model: str) -> float:
    spec = engine.models.get(model)
    # A model that is no longer in the configuration still occupies memory. Its size
    # isn't known, so it counts as all of the memory.
    return engine.memory_mb if spec is None else spec.size_mb


def _adapter_size(engine: EngineSpec, model: str) -> float:
    spec = engine.models.get(model)
    return 0.0 if spec is None else spec.adapter_mb
