"""The backend server to which a call moves while an earlier attempt is given up."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller.gateway.attempt_sender import Attempt
from bambootiller.gateway.backend_connection import BackendConnection
from bambootiller_core.gateway.fleet import Backend


@dataclass(frozen=True, slots=True)
class FailoverTarget:
    """A backend server that takes the call over, and a connection to it. The retry has
    been charged to the budget; ``attempt`` is set if it has already been sent, and
    ``answered`` is whether the head of its answer has been received. Until then it may
    still refuse the call."""

    backend: Backend
    conn: BackendConnection
    attempt: Attempt | None = None
    answered: bool = False
