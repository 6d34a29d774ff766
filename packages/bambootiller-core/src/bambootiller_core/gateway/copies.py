"""Reports which engines have copies of weights, and what keeps a copy from being used.

Example::

    seen = copies_seen(now, fleet, service, spec.models["tutor"], spec.memory_mb)
"""

from __future__ import annotations

from collections.abc import Iterable

from bambootiller_core.gateway.config import ModelSpec
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.load_targets import models_with_copy
from bambootiller_core.gateway.log_lines import CopiesChanged, ModelCopy
from bambootiller_core.gateway.order_messages import EngineReport

#: The most engines with a copy that one log line lists.
MAX_LISTED = 4


def copies_seen(
    now: float,
    backends: Iterable[Backend],
    service: str,
    spec: ModelSpec,
    memory_mb: float,
) -> tuple[ModelCopy, ...]:
    """The engines of the service that have a copy of the model, including those that
    are leaving."""
    found = [
        ModelCopy(backend.instance, _state(now, backend, spec, memory_mb))
        for backend in backends
        if backend.registration.service == service
        and backend.engine is not None
        and spec.name in models_with_copy(backend)
    ]
    return tuple(found[:MAX_LISTED])


def _state(now: float, backend: Backend, spec: ModelSpec, memory_mb: float) -> str:
    if backend.registration.leaving:
        return "leaving"
    if backend.is_lost(now):
        return "lost"
    if not backend.agent_responsive(now):
        return "unheard"
    return _engine_state(backend.engine, spec, memory_mb)


def _engine_state(state: EngineState, spec: ModelSpec, memory_mb: float) -> str:
    if state.loading is not None:
        return "loading"
    if state.busy:
        return "unloading"
    fits = state.memory_mb_used + spec.size_mb <= memory_mb
    return "free" if fits else "full"


def copies_changed(
    before: EngineReport | None, report: EngineReport
) -> CopiesChanged | None:
    """How the engine's copies differ from those of the previous report; None if they
    don't."""
    previous = before.in_memory | before.on_disk if before is not None else frozenset()
    current = report.in_memory | report.on_disk
    if previous == current:
        return None
    return CopiesChanged(
        tuple(sorted(current - previous)),
        tuple(sorted(previous - current)),
        len(report.on_disk),
        len(report.in_memory),
    )
