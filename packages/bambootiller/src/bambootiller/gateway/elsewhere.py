"""Finds another backend server for a call whose own has fallen silent."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass

from bambootiller.gateway.connections import BackendConnection
from bambootiller.gateway.placing import Placing
from bambootiller.gateway.pools import CannotConnect
from bambootiller.gateway.relays import Relays
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import Ended, SendAgain
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend

#: While a connection is being made, the silent one is looked at this often. Seconds;
#: what it says meanwhile is passed on so much later at most.
NEWS_S = 0.02


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
    KEPT_APART = "kept_apart"
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
        heard = silent.arrivals
        prepared = await self._connected(silent, heard)
        if isinstance(prepared, Stays):
            return prepared
        if silent.has_news(heard):
            self.give_back(prepared)
            return Stays.SPOKE
        budget = self._relays.service(self._call.service).budget
        if not budget.take(self._relays.clock()):
            self.give_back(prepared)
            return Stays.BUDGET
        return prepared

    async def _connected(
        self, silent: BackendConnection, heard: int
    ) -> Prepared | Stays:
        """A connection to the first of the others that takes one."""
        failed = False
        while True:
            backend = self._backend()
            if isinstance(backend, Stays):
                return Stays.NO_CONNECTION if failed else backend
            conn = await self._connect_unless_news(backend, silent, heard)
            if conn is not None:
                return Prepared(backend, conn)
            if silent.has_news(heard):
                return Stays.SPOKE
            failed = True

    async def _connect_unless_news(
        self, backend: Backend, silent: BackendConnection, heard: int
    ) -> BackendConnection | None:
        """A connection, unless the silent one speaks first: what it says would wait
        for as long as a connection may take."""
        connecting = asyncio.ensure_future(self._connect(backend))
        try:
            while not connecting.done() and not silent.has_news(heard):
                await asyncio.wait((connecting,), timeout=NEWS_S)
            return connecting.result() if connecting.done() else None
        finally:
            if not connecting.done():
                connecting.cancel()
                await asyncio.wait((connecting,))

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
        if not self._relays.quarantine.admits(self._call):
            return Stays.KEPT_APART
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
