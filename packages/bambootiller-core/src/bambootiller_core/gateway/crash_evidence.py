"""Decides whether a backend server crashed with a run that was lost there.

A lost connection proves little: it may have been reset, cut or closed while the backend
server goes on working. The evidence comes from the registry, or from the agent beside
an engine: a different start of the backend server, a registration that is gone, or an
engine that doesn't answer its own agent.
"""

from __future__ import annotations

from bambootiller_core.gateway.crash_ledger import CrashVerdict, LostRun
from bambootiller_core.gateway.fleet import Backend, Fleet

#: If the engine still answers its agent this long after a run was lost, it didn't
#: crash: the agent polls it four times a second, and waits 0.6 s for an answer.
#: Seconds.
AGENT_DETECTION_S = 1.2
#: If the backend server is still registered this long after a run was lost, it didn't
#: crash: a registration expires after three heartbeats of 1.2 s each, and is read
#: up to 1.2 s later. Seconds.
REGISTRY_DETECTION_S = 6.0


def crash_verdict(
    now: float, run: LostRun, before: CrashVerdict, fleet: Fleet
) -> CrashVerdict:
    """The verdict on the backend server where the run was lost; ``before`` is the
    previous verdict.

    An engine that doesn't answer its agent counts as crashed. If it was only busy, the
    verdict is corrected once it answers with the same start time. Without start times
    the verdict stays: an engine that is back under another name would be taken for the
    crashed one until it is registered.
    """
    backend = fleet.get(run.incarnation.instance)
    if backend is None or backend.incarnation.differs_from(run.incarnation):
        return CrashVerdict.CRASHED
    if backend.engine is not None and backend.engine.silent:
        return CrashVerdict.CRASHED
    if before is CrashVerdict.CRASHED and run.incarnation.started_ms is None:
        return CrashVerdict.CRASHED
    if (
        _answered_later(run.lost_at, backend)
        or now - run.lost_at > REGISTRY_DETECTION_S
    ):
        return CrashVerdict.SURVIVED
    return CrashVerdict.UNDECIDED


def _answered_later(lost_at: float, backend: Backend) -> bool:
    """Whether the agent has reported long enough after a run was lost."""
    reported_after_s = backend.last_received_at - backend.running_time(lost_at)
    return backend.engine is not None and reported_after_s > AGENT_DETECTION_S
