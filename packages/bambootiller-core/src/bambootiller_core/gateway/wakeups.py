"""Which news of an engine has waiting calls look again at once.

Agents speak several times a second each, mostly of calls that begin and end at their
engines. A call that waits for a model or an adapter waits for what an engine holds or
loads; all else that it considers comes with time, and is looked at every 0.1 s anyway.
"""

from __future__ import annotations

from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import Backend


def wakes_waiting_calls(backend: Backend, state: EngineState) -> bool:
    """Whether what the agent says now could end a call's wait, or decide it.

    ``backend`` is as it was before.
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
