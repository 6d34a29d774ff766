"""Whether a backend server ended with a run that was lost there.

A lost connection proves little: it may have been reset, cut or closed while the backend
server works on. What tells is the registry, or the agent beside an engine: another
start, a registration that is gone, or an engine that doesn't answer its own agent.
"""

from __future__ import annotations

from bambootiller_core.gateway.crash_ledger import Fate, LostRun
from bambootiller_core.gateway.fleet import Backend, Fleet

#: An agent whose engine answered it this long after a run was lost would have noticed
#: an end: it asks four times a second, and waits 0.6 s for an answer. Seconds.
ANSWERS_S = 1.2
#: The same of a registration: it lapses after three heartbeats, of 1.2 s on the first
#: users' platform, and is read up to 1.2 s later. Seconds.
LISTED_S = 6.0


def fate_of(now: float, run: LostRun, before: Fate, fleet: Fleet) -> Fate:
    """What became of the backend server that the run was lost at; ``before`` is what
    was thought of it until now.

    An engine that doesn't answer its agent counts as ended. It may only have been busy,
    and that shows if the start that answers is known to be the same. Where nobody tells
    the start, an engine that is back under another name is taken for the one before
    until it is listed, so there it stays ended.
    """
    backend = fleet.get(run.incarnation.instance)
    if backend is None or backend.incarnation.differs_from(run.incarnation):
        return Fate.CRASHED
    if backend.engine is not None and backend.engine.silent:
        return Fate.CRASHED
    if before is Fate.CRASHED and run.incarnation.started_ms is None:
        return Fate.CRASHED
    if _answers_since(run.lost_at, backend) or now - run.lost_at > LISTED_S:
        return Fate.SURVIVED
    return Fate.OPEN


def _answers_since(lost_at: float, backend: Backend) -> bool:
    """Whether the agent has spoken long enough after a run was lost."""
    heard_s = backend.heard_at - backend.running_time(lost_at)
    return backend.engine is not None and heard_s > ANSWERS_S
