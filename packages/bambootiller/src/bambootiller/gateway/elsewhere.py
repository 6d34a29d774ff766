"""Finds another backend server for a call whose own has fallen silent."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bambootiller.gateway.connections import BackendConnection, CannotConnect
from bambootiller.gateway.placing import Placing
from bambootiller.gateway.relays import Relays
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import Ended, SendAgain
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend


@dataclass(frozen=True, slots=True)
class Prepared:
    """A backend server that takes the call over, and a connection to it. The second
    attempt is paid for."""

    backend: Backend
    conn: BackendConnection


class Stays(enum.Enum):
    """Why a call stays with its silent backend server; see
    :class:`bambootiller_core.gateway.log_lines.SilenceBorne`."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    NO_PLACE = "no_place"
    NO_CONNECTION = "no_connection"
    SPOKE = "spoke"


class Elsewhere:
    """Prepares the move of one call.

    Silence proves nothing. So the attempt that runs is given up only once everything
    for the next is there: it is allowed, the budget has room, a backend server has a
    place, and a connection to it is up. Given up first, a stream that was only slow got
    cut whenever one of these was missing.

    Example::

        found = await Elsewhere(relays, call, progress, placing, report).prepare(conn)
        if isinstance(found, Stays): ...
    """

    def __init__(
        self,
        relays: Relays,
        call: Call,
        progress: Progress,
        placing: Placing,
        report: CallReport,
    ) -> None:
        self._relays = relays
        self._call = call
        self._progress = progress
        self._placing = placing
        self._report = report

    async def prepare(self, silent: BackendConnection) -> Prepared | Stays:
        """Where the call goes next, or why it stays on the ``silent`` connection."""
        silent_at = self._relays.ran()
        backend = self._backend()
        if isinstance(backend, Stays):
            return backend
        conn = await self._connect(backend)
        if conn is None:
            return Stays.NO_CONNECTION
        prepared = Prepared(backend, conn)
        if silent.has_news(silent_at):
            self.give_back(prepared)
            return Stays.SPOKE
        budget = self._relays.service(self._call.service).budget
        if not budget.take(self._relays.clock()):
            self.give_back(prepared)
            return Stays.BUDGET
        return prepared

    def give_back(self, prepared: Prepared) -> None:
        """The call doesn't go there; nothing was sent."""
        pool = self._relays.pool(prepared.backend)
        pool.unused(prepared.conn, self._relays.clock())

    def _backend(self) -> Backend | Stays:
        now = self._relays.clock()
        ended = Ended.BROKEN if self._progress.passed_on else Ended.UNKNOWN
        decision = attempts.after(self._call, self._progress, ended, now)
        if not isinstance(decision, SendAgain):
            return Stays.ATTEMPTS
        service = self._relays.service(self._call.service)
        if service.budget.left(now) < 1.0:
            return Stays.BUDGET
        backend = self._placing.another()
        if backend is None or service.health.avoided(now, backend.incarnation):
            return Stays.NO_PLACE
        return backend

    async def _connect(self, backend: Backend) -> BackendConnection | None:
        now = self._relays.clock()
        try:
            pool = self._relays.pool(backend)
            return await pool.acquire(now, self._call.deadline - now)
        except CannotConnect as exc:
            self._relays.unreached(self._call.service, backend)
            self._report.cannot_connect(backend, str(exc))
            return None
