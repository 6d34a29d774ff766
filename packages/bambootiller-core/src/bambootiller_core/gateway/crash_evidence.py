"""Whether a backend server ended with a run that was lost there.

A lost connection proves little: it may have been reset, cut or closed while the backend
server works on. What tells is the registry, or the agent beside an engine: another
start, a registration that is gone, or an engine that doesn't answer its own agent.
"""

from __future__ import annotations

from bambootiller_core.gateway.crash_ledger import CrashVerdict, LostRun
from bambootiller_core.gateway.fleet import Backend, Fleet

#: An agent whose engine answered it this long after a run was lost would have noticed
#: an end: it asks four times a second, and waits 0.6 s for an answer. Seconds.
AGENT_DETECTION_S = 1.2
#: The same of a registration: it lapses after three heartbeats, of 1.2 s on the first
#: users' platform, and is read up to 1.2 s later. Seconds.
REGISTRY_DETECTION_S = 6.0


def crash_verdict(
    now: float, run: LostRun, before: CrashVerdict, fleet: Fleet
) -> CrashVerdict:
    """What became of the backend server that the run was lost at; ``before`` is what
    was thought of it until now.

    An engine that doesn't answer its agent counts as ended. It may only have been busy,
    and that shows if the start that answers is known to be the same. Where nobody tells
    the start, an engine that is back under another name is taken for the one before
    until it is listed, so there it stays ended.
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
    """Whether the agent has spoken long enough after a run was lost."""
    heard_s = backend.last_received_at - backend.running_time(lost_at)
    return backend.engine is not None and heard_s > AGENT_DETECTION_S
