"""Lets a call return to a backend server that it left because of its silence.

Silence isn't a failure: a backend server may be silent for a second and go on. A call
that leaves it can't wait until another one has accepted the call, as two may work on it
only for a moment. If that one then refuses the call or loses it, the call goes back to
the first one, where it is resumed after the last event that was forwarded. No further
backend server gets it that way, so this is possible even if the route allows no further
attempt. The retry for it is reserved when the call leaves.
"""

from __future__ import annotations

from bambootiller.gateway.connection_pool import CannotConnect
from bambootiller.gateway.failover_target import FailoverTarget
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.attempts import MIN_ATTEMPT_S
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.fleet import Backend


class WayBack:
    """The way back of one call, which can be taken once for each time it was opened.

    Example::

        way_back.open(silent_backend)
        ...
        target = await way_back.take()
    """

    def __init__(self, context: RelayContext, call: Call, report: CallReport) -> None:
        self._context = context
        self._call = call
        self._report = report
        self._budget = context.service(call.service).retry_budget
        self._backend: Backend | None = None
        self._reserved_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether there is a way back."""
        return self._backend is not None

    def open(self, backend: Backend) -> bool:
        """Keep a way back to a backend server that the call is about to leave. Returns
        False if no retry remains for it."""
        self.close()
        self._reserved_at = self._budget.reserve(self._context.clock())
        if self._reserved_at is None:
            return False
        self._backend = backend
        return True

    def close(self) -> None:
        """Give up the way back: the call has been accepted elsewhere, or has ended."""
        self._backend = None
        if self._reserved_at is not None:
            self._budget.release(self._reserved_at)
            self._reserved_at = None

    async def take(self) -> FailoverTarget | None:
        """The backend server that the call left, with a connection to it; None if there
        is no way back or the backend server can't be used any more."""
        backend = self._backend
        if backend is None or not self.is_usable(backend):
            return None
        now = self._context.clock()
        pool = self._context.pool(backend)
        try:
            conn = await pool.acquire(now, self._call.deadline - now, fresh=True)
        except CannotConnect as exc:
            self._report.cannot_connect(backend, str(exc))
            return None
        if not self.is_usable(backend):
            pool.release_unused(conn, self._context.clock())
            return None
        self._budget.spend(self._reserved_at, self._context.clock())
        self._backend = self._reserved_at = None
        return FailoverTarget(backend, conn)

    def is_usable(self, backend: Backend) -> bool:
        """Whether the backend server may get the call again now."""
        context, now = self._context, self._context.clock()
        return (
            self._call.deadline - now >= MIN_ATTEMPT_S
            and context.gateway_state.fleet.accepts_calls(now, backend)
            and not context.server_admission.is_limited(backend)
        )
