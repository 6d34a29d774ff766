"""Whether a backend server ended with a run that was lost there.

A lost connection proves little: it may have been reset, cut or closed while the backend
server works on. What tells is the registry, or the agent beside an engine: another
start, a registration that is gone, or an engine that doesn't answer its own agent.
"""

from __future__ import annotations

from bambootiller_core.gateway.crash_ledger import Fate, LostRun
from bambootiller_core.gateway.fleet import Backend, Fleet

#: An agent that still has its engine answering this long after a run was lost would
#: have noticed an end: it asks the engine four times a second. Seconds.
ANSWERS_S = 1.0
#: The same of a registration: it lapses after three heartbeats, of 1.2 s on the first
#: users' platform, and is read up to 1.2 s later. Seconds.
LISTED_S = 6.0


def fate_of(now: float, run: LostRun, fleet: Fleet) -> Fate:
    """What became of the backend server that the run was lost at.

    It may be said otherwise a moment later: an engine that doesn't answer its agent may
    only have been busy.
    """
    backend = fleet.get(run.incarnation.instance)
    if backend is None or backend.incarnation.is_other_start(run.incarnation):
        return Fate.CRASHED
    if backend.engine is not None and backend.engine.silent:
        return Fate.CRASHED
    since_s = now - run.lost_at
    if since_s > (ANSWERS_S if _is_vouched_for(now, backend) else LISTED_S):
        return Fate.SURVIVED
    return Fate.OPEN


def _is_vouched_for(now: float, backend: Backend) -> bool:
    return backend.agent_heard(now)
