"""Decides which reports of an agent wake the calls that wait.

Each agent reports several times a second, mostly about calls that start and end at its
engine. A call that waits for a model or an adapter depends on what engines hold or
load. Everything else that matters to it depends on time alone, and waiting calls
re-evaluate that every 0.1 s anyway.
"""

from __future__ import annotations

from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import Backend


def wakes_waiting_calls(backend: Backend, state: EngineState) -> bool:
    """Whether an agent's new report could end the wait of a call.

    ``backend`` holds the state before the report.
    """
    before = backend.engine
    if before is None or backend.denials:
        return True
    return (
        before.incarnation != state.incarnation
        or before.holdings != state.holdings
        or _loading_model(before) != _loading_model(state)
        or (before.busy and not state.busy)
        or before.orderable != state.orderable
        or before.silent != state.silent
    )


def _loading_model(state: EngineState) -> str | None:
    return state.loading.model if state.loading is not None else None
