"""The refusals that a run at an engine or a plain service ends in."""

from __future__ import annotations

from bambootiller_core.outcomes import Code, Executed, Refused

#: Where the backend server here can't be reached, another agent may serve at once.
ELSEWHERE_RETRY_MS = 100


def malformed(detail: str) -> Refused:
    """The call can't be put to the backend server; coming back doesn't help."""
    return Refused(Code.BAD_REQUEST, Executed.NO, detail, 0)


def backend_failed(executed: Executed, detail: str) -> Refused:
    """The backend server failed; ``executed`` says whether it may have run the call."""
    return Refused(Code.BACKEND_FAILED, executed, detail, ELSEWHERE_RETRY_MS)
