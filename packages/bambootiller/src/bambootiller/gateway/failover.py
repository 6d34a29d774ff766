"""Moves a call to another backend server when its current one is silent."""

from __future__ import annotations

import asyncio
import enum

from bambootiller.gateway.attempt_sender import Attempt, AttemptSender
from bambootiller.gateway.backend_connection import BackendConnection, ConnectionLost
from bambootiller.gateway.connection_pool import CannotConnect
from bambootiller.gateway.failover_target import FailoverTarget
from bambootiller.gateway.placement import Placement
from bambootiller.gateway.ports import AnswerHead
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller.gateway.silence import MIN_TIMER_S
from bambootiller.gateway.way_back import WayBack
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import AttemptOutcome, SendAgain
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend

#: Interval at which the silent connection is checked while another one is being made.
#: Seconds; also the most by which data that arrives meanwhile is delayed.
SILENT_POLL_S = 0.02
#: How long a new backend server may take to refuse the call before the silent one is
#: left. Seconds of running time.
REFUSAL_WAIT_S = 0.25
#: The same in elapsed time, stalls of this process included: no two backend servers may
#: work on one call for 0.4 s. Seconds.
MAX_OVERLAP_S = 0.3


class StayReason(enum.Enum):
    """Why a call stays with its silent backend server; see
    :class:`bambootiller_core.gateway.log_lines.SilenceBorne`."""

    ATTEMPTS = "attempts"
    BUDGET = "budget"
    NO_CAPACITY = "no_place"
    NO_CONNECTION = "no_connection"
    ISOLATED = "kept_apart"
    RESUMED = "spoke"
    REFUSED = "refused"
    FAILED = "failed"


class Failover:
    """Prepares the failover of one call.

    Silence doesn't prove a failure. So the running attempt is given up only once
    everything for the next one is ready: another attempt is allowed, the retry budget
    isn't exhausted, a backend server has a free slot, a connection to it is open, and
    it hasn't refused the call. When the running attempt was given up first, streams
    that were only slow were cut off whenever one of these was missing. As two backend
    servers may overlap only briefly, the other may not have accepted the call by then;
    :class:`~bambootiller.gateway.way_back.WayBack` covers that it refuses it later.

    A request that has lost a run before isn't sent early: the run that is about to be
    given up counts as another crash suspicion, which may forbid the next attempt.

    Example::

        failover = Failover(
            context, call, progress, placement, sender, report, way_back
        )
        found = await failover.find_target(attempt, "silent for 0.70 s")
        if isinstance(found, StayReason): ...
    """

    def __init__(
        self,
        context: RelayContext,
        call: Call,
        progress: Progress,
        placement: Placement,
        sender: AttemptSender,
        report: CallReport,
        way_back: WayBack,
    ) -> None:
        self._way_back = way_back
        self._context = context
        self._call = call
        self._progress = progress
        self._placement = placement
        self._sender = sender
        self._report = report

    async def find_target(
        self, silent_attempt: Attempt, detail: str
    ) -> FailoverTarget | StayReason:
        """The target of the next attempt, or why the call stays with its silent
        attempt."""
        seen_count = silent_attempt.conn.progress_count
        while True:
            target = await self._connect_first(silent_attempt.conn, seen_count)
            if isinstance(target, StayReason):
                return target
            reason = self._stay_reason(silent_attempt.conn, seen_count)
            if reason is not None:
                self.release_target(target)
                return reason
            has_way_back = self._way_back.open(silent_attempt.backend)
            if self._context.quarantine.suspects(self._call):
                if has_way_back:
                    return target
                self.release_target(target)
                return StayReason.BUDGET
            found = await self._send_unless_refused(
                target, silent_attempt.conn, seen_count
            )
            if isinstance(found, FailoverTarget):
                return found
            self._way_back.close()
            if found not in (StayReason.REFUSED, StayReason.FAILED):
                return found
            full_detail = f"{detail}; then sent to {target.backend.instance}"
            self._report.silence_tolerated(
                silent_attempt.backend, full_detail, found.value
            )

    def _stay_reason(
        self, silent_conn: BackendConnection, seen_count: int
    ) -> StayReason | None:
        """Why the call isn't sent although a connection is open; otherwise None, and
        the retry is charged to the budget."""
        if silent_conn.has_changed_since(seen_count):
            return StayReason.RESUMED
        if not self._context.quarantine.admits(self._call):
            return StayReason.ISOLATED
        retry_budget = self._context.service(self._call.service).retry_budget
        return None if retry_budget.take(self._context.clock()) else StayReason.BUDGET

    async def _send_unless_refused(
        self, target: FailoverTarget, silent_conn: BackendConnection, seen_count: int
    ) -> FailoverTarget | StayReason:
        """Send the call and wait briefly for a refusal, while the silent attempt keeps
        running. Without a way back the call moves only if the other accepts it."""
        attempt = self._sender.send(target.backend, target.conn)
        keep_attempt = answered = resumed = False
        try:
            found = await self._head_unless_resumed(attempt, silent_conn, seen_count)
            if found is None:
                resumed = (
                    silent_conn.has_changed_since(seen_count)
                    and silent_conn.loss is None
                )
                keep_attempt = not resumed and self._way_back.is_open
            elif self._sender.is_refusal(attempt, found):
                answered = True
                return StayReason.REFUSED
            else:
                keep_attempt = True
        except ConnectionLost as exc:
            self._sender.record_lost_answer(attempt, exc)
            return StayReason.FAILED
        finally:
            if not keep_attempt:
                attempt.end(answered)
        if not keep_attempt:
            return StayReason.RESUMED if resumed else StayReason.BUDGET
        return FailoverTarget(target.backend, target.conn, attempt, found is not None)

    async def _head_unless_resumed(
        self, attempt: Attempt, silent_conn: BackendConnection, seen_count: int
    ) -> AnswerHead | None:
        """The head of the answer, or None if it takes too long or the silent backend
        server resumes first. The head stays buffered in the connection."""
        running_time, clock = self._context.running_time, self._context.clock
        end, latest = (
            attempt.sent_running_time + REFUSAL_WAIT_S,
            clock() + MAX_OVERLAP_S,
        )
        head_task = asyncio.ensure_future(attempt.conn.head(self._sender.is_stray))
        try:
            while not head_task.done() and not silent_conn.has_changed_since(
                seen_count
            ):
                left_s = min(end - running_time(), latest - clock())
                if left_s <= 0:
                    break
                wait_s = max(MIN_TIMER_S, min(SILENT_POLL_S, left_s))
                await asyncio.wait((head_task,), timeout=wait_s)
            return head_task.result() if head_task.done() else None
        finally:
            if not head_task.done():
                head_task.cancel()
                await asyncio.wait((head_task,))

    async def _connect_first(
        self, silent_conn: BackendConnection, seen_count: int
    ) -> FailoverTarget | StayReason:
        """A connection to the first other backend server that accepts one."""
        failed = False
        while True:
            backend = self._choose_backend()
            if isinstance(backend, StayReason):
                return StayReason.NO_CONNECTION if failed else backend
            conn = await self._connect_unless_resumed(backend, silent_conn, seen_count)
            if conn is not None and self._context.accepts_calls(backend):
                return FailoverTarget(backend, conn)
            if conn is not None:
                self._report.not_sent(backend)
                self.release_target(FailoverTarget(backend, conn))
            if silent_conn.has_changed_since(seen_count):
                return StayReason.RESUMED
            failed = True

    async def _connect_unless_resumed(
        self, backend: Backend, silent_conn: BackendConnection, seen_count: int
    ) -> BackendConnection | None:
        """A connection, or None if it fails or the silent backend server resumes first:
        its data would otherwise wait for as long as connecting may take."""
        connect_task = asyncio.ensure_future(self._connect(backend))
        conn = None
        try:
            while not connect_task.done() and not silent_conn.has_changed_since(
                seen_count
            ):
                await asyncio.wait((connect_task,), timeout=SILENT_POLL_S)
            conn = connect_task.result() if connect_task.done() else None
            return conn
        finally:
            if not connect_task.done():
                connect_task.cancel()
                await asyncio.wait((connect_task,))
            if conn is None:
                self._release_late(backend, connect_task)

    def _release_late(
        self, backend: Backend, connect_task: asyncio.Future[BackendConnection | None]
    ) -> None:
        """Release a connection that was established just as it was cancelled."""
        if connect_task.cancelled() or connect_task.exception() is not None:
            return
        if connect_task.result() is not None:
            self.release_target(FailoverTarget(backend, connect_task.result()))

    def release_target(self, target: FailoverTarget) -> None:
        """End the target's attempt, or return its unused connection to the pool."""
        if target.attempt is not None:
            target.attempt.end(answered=False)
            return
        pool = self._context.pool(target.backend)
        pool.release_unused(target.conn, self._context.clock())

    def _choose_backend(self) -> Backend | StayReason:
        now = self._context.clock()
        ended = (
            AttemptOutcome.BROKEN
            if self._progress.forwarded
            else AttemptOutcome.UNKNOWN
        )
        decision = attempts.next_action(self._call, self._progress, ended, now)
        if not isinstance(decision, SendAgain):
            return StayReason.ATTEMPTS
        if not self._context.quarantine.admits(self._call):
            return StayReason.ISOLATED
        service = self._context.service(self._call.service)
        if service.retry_budget.remaining(now) < 1.0:
            return StayReason.BUDGET
        backend = self._placement.find_alternative()
        if backend is None or service.health.is_avoided(now, backend.incarnation):
            return StayReason.NO_CAPACITY
        return backend

    async def _connect(self, backend: Backend) -> BackendConnection | None:
        now = self._context.clock()
        try:
            pool = self._context.pool(backend)
            return await pool.acquire(now, self._call.deadline - now)
        except CannotConnect as exc:
            self._context.mark_unreachable(self._call.service, backend)
            self._report.cannot_connect(backend, str(exc))
            return None
