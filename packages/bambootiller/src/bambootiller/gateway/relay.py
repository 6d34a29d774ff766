"""Relays one call to backend servers, from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

from bambootiller.gateway.answer_forwarder import AnswerForwarder, Send
from bambootiller.gateway.attempt_sender import Attempt, AttemptSender
from bambootiller.gateway.backend_connection import BackendConnection, ConnectionLost
from bambootiller.gateway.connection_pool import CannotConnect, PoolExhausted
from bambootiller.gateway.crash_isolation import CrashIsolation
from bambootiller.gateway.failover import Failover, StayReason
from bambootiller.gateway.failover_target import FailoverTarget
from bambootiller.gateway.placement import RECHECK_S, TYPICAL_STREAM_S, Placement
from bambootiller.gateway.ports import Incoming
from bambootiller.gateway.quotas import QuotaAdmission
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller.gateway.silence import SilenceDetector, SilenceTimeout
from bambootiller.gateway.way_back import WayBack
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import (
    AttemptOutcome,
    CutOff,
    Decision,
    Refusal,
    RefusalReason,
    SendAgain,
)
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend

#: A resumable stream fails over when nothing has been received for this fraction of
#: the route's event timeout, or for this multiple of its maximum gap between events,
#: whichever is longer.
SILENCE_FRACTION = 0.35
SILENCE_GAP_FACTOR = 3.0
#: A stream stays with a silent backend server for at least this long, as a sound one
#: may pause for a second or so. Callers leave after two seconds or more, so there is
#: time left to resume the stream elsewhere. Seconds.
MIN_FAILOVER_SILENCE_S = 1.25
#: A backend server that can't be replaced for this call counts as lost only after this
#: silence, as long as its agent is heard. An engine that pauses is silent to its agent,
#: too, so the agent's report of that isn't a second sign any sooner. If the agent isn't
#: heard either, the instance may be gone. Seconds.
MIN_LOSS_SILENCE_S = 2.5

#: How much of the body of a backend server's refusal is read, and for how long, so that
#: the connection can be reused. Bytes and seconds.
MAX_REFUSAL_BYTES = 64 * 1024
REFUSAL_READ_TIMEOUT_S = 0.2


class AnswerTruncated(Exception):
    """A partially sent answer can't be finished; the caller's connection is closed."""


class Relay:
    """Relays one call, with retries and failover between backend servers.

    Example::

        refusal = await Relay(context, incoming, call, body, send).run()
    """

    def __init__(
        self,
        context: RelayContext,
        incoming: Incoming,
        call: Call,
        body: bytes,
        send: Send,
    ) -> None:
        self._context = context
        self._call = call
        self._progress = Progress()
        self._service = context.service(call.service)
        self._placement = Placement(context, call, self._progress)
        self.report = CallReport(context, call, self._progress)
        self._sender = AttemptSender(
            context, incoming, call, body, self._progress, self.report
        )
        self._way_back = WayBack(context, call, self.report)
        self._failover = Failover(
            context,
            call,
            self._progress,
            self._placement,
            self._sender,
            self.report,
            self._way_back,
        )
        self._crash_isolation = CrashIsolation(
            context, call, self._progress, self.report
        )
        self._forwarder = AnswerForwarder(
            context,
            call,
            self._progress,
            self._sender,
            self.report,
            lambda attempt: self._read_or_fail_over(attempt, attempt.conn.chunk),
            send,
        )
        #: The target of the next attempt, if it was found while the previous attempt
        #: was still running.
        self._target: FailoverTarget | None = None
        self._silence_detector: SilenceDetector | None = None
        self._admission: QuotaAdmission | None = None
        self._last_stay_reason: StayReason | None = None
        self._is_running = False
        self._caller_left = False

    def caller_left(self) -> bool:
        """Record that the caller has left: the call isn't sent again. Returns whether a
        backend server is running it."""
        self._caller_left = True
        return self._is_running

    async def run(self) -> Refusal | None:
        """Serve the call. Returns a refusal if the gateway itself has to answer, or
        None if an answer was forwarded completely.

        Raises :class:`AnswerTruncated` if a partially sent answer can't be finished.
        """
        call = self._call
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._run()
        except TimeoutError:
            decision = attempts.give_up(self._progress, timed_out=True)
            return self._finish(decision, "timed out")
        finally:
            self._placement.release()
            if self._target is not None:
                self._failover.release_target(self._target)
            self._way_back.close()
            if self._admission is not None:
                self._admission.close(self._progress.may_have_run)

    async def _run(self) -> Refusal | None:
        admission = await self._context.quotas.admit(self._call)
        if isinstance(admission, Refusal):
            return admission
        self._admission = admission
        self._service.retry_budget.record_call(self._context.clock())
        if self._call.model_request is not None:
            self._placement.record_demand()
        while True:
            sent = self._next_is_sent
            isolation_refusal = None if sent else await self._crash_isolation.wait()
            if isolation_refusal is not None:
                return self._refuse_unplaced(isolation_refusal)
            target, self._target = self._target, None
            if target is not None and not (
                sent or self._way_back.is_usable(target.backend)
            ):
                # It has begun to leave while the call was deferred.
                self._failover.release_target(target)
                target = None
            found = target.backend if target else await self._placement.place()
            if not isinstance(found, Refusal) and not sent:
                found = (
                    self._context.key_refusal(self._call)
                    or self._stop_refusal()
                    or found
                )
            if isinstance(found, Refusal):
                self._target = target
                return self._refuse_unplaced(found)
            if not sent and not self._context.quarantine.admits(self._call):
                # A crash was attributed to this request while the call was being
                # placed.
                self._target = target
                continue
            self.report.chosen(found, self._placement.candidates)
            ended = await self._attempt(found, target)
            if ended is None:
                return None
            decision = await self._decide_next(ended)
            self.report.attempt_failed(found, ended, decision, self._next_is_sent)
            if not isinstance(decision, SendAgain):
                return self._finish(decision, ended.value)

    def _stop_refusal(self) -> Refusal | None:
        """Why a call that hasn't run yet isn't sent any more: it has waited for so long
        that the planned stop would cut it off, perhaps in the middle of its run."""
        if self._progress.may_have_run or self._context.stop_deadline is None:
            return None
        now = self._context.clock()
        needed_s = min(TYPICAL_STREAM_S, self._call.deadline - now)
        if self._context.stop_deadline - now >= needed_s:
            return None
        return Refusal(RefusalReason.LEAVING, attempts.DEFAULT_RETRY_AFTER_S)

    def _refuse_unplaced(self, refusal: Refusal) -> Refusal:
        """The final answer of a call that gets no further attempt."""
        if self._progress.forwarded or self._progress.may_have_run:
            decision = attempts.give_up(self._progress)
            return self._finish(decision, refusal.reason.value)
        return refusal

    @property
    def _next_is_sent(self) -> bool:
        """Whether the next attempt has already been sent by the failover."""
        return self._target is not None and self._target.attempt is not None

    async def _decide_next(self, ended: AttemptOutcome) -> Decision:
        progress = self._progress
        if self._next_is_sent:
            return SendAgain(progress.forwarded, costs_budget=True)
        decision = attempts.next_action(
            self._call, progress, ended, self._context.clock()
        )
        if self._way_back.is_open and not self._has_alternative(decision):
            self._target = await self._way_back.take()
            if self._target is not None:
                return SendAgain(progress.forwarded, costs_budget=True)
        if isinstance(decision, SendAgain):
            if self._caller_left or not self._may_retry(decision):
                return attempts.give_up(progress)
        return decision

    def _has_alternative(self, decision: Decision) -> bool:
        """Whether the next attempt can be made at another backend server right away."""
        if self._target is not None:
            return True
        budget = self._service.retry_budget
        return (
            isinstance(decision, SendAgain)
            and budget.remaining(self._context.clock()) >= 1.0
            and self._placement.find_alternative() is not None
        )

    def _may_retry(self, decision: SendAgain) -> bool:
        if not decision.costs_budget or self._target is not None:
            return True
        return self._service.retry_budget.take(self._context.clock())

    def _finish(self, decision: Refusal | CutOff, why: str) -> Refusal:
        if isinstance(decision, CutOff):
            self.report.cut(why)
            raise AnswerTruncated
        return decision

    async def _attempt(
        self, backend: Backend, target: FailoverTarget | None
    ) -> AttemptOutcome | None:
        """Send the call to one backend server, unless the failover already has. Returns
        None if the complete answer was forwarded."""
        attempt = target.attempt if target else None
        if attempt is None:
            conn = target.conn if target else await self._connect(backend)
            if conn is None:
                return AttemptOutcome.NOT_SENT
            if not self._context.accepts_calls(backend):
                self.report.not_sent(backend)
                self._failover.release_target(FailoverTarget(backend, conn))
                return AttemptOutcome.NOT_SENT
            attempt = self._sender.send(backend, conn)
            self._placement.sent()
        self._is_running = True
        answered = False
        try:
            ended = await self._receive_watched(attempt)
            answered = ended in (None, AttemptOutcome.REFUSED)
            return ended
        except ConnectionLost as exc:
            self._sender.record_lost_answer(attempt, exc)
            return (
                AttemptOutcome.BROKEN
                if self._progress.forwarded
                else AttemptOutcome.UNKNOWN
            )
        except asyncio.CancelledError:
            # The deadline passed or the caller left while the engine was silent: it may
            # have crashed, so the run counts as lost.
            if backend.engine is not None and backend.engine.silent:
                progressed = attempt.progressed
                self._context.quarantine.record_lost_run(
                    self._call, backend, progressed
                )
            raise
        finally:
            self._is_running = False
            attempt.end(answered)

    async def _connect(self, backend: Backend) -> BackendConnection | None:
        context, progress = self._context, self._progress
        now = context.clock()
        try:
            # Whatever caused the loss of the previous answer from this backend server
            # has probably broken its idle connections as well.
            tried_before = backend.incarnation in progress.tried
            pool = context.pool(backend)
            return await pool.acquire(
                now, self._call.deadline - now, fresh=tried_before
            )
        except CannotConnect as exc:
            if not isinstance(exc, PoolExhausted):
                context.mark_unreachable(self._call.service, backend)
            self.report.cannot_connect(backend, str(exc))
            progress.tried.append(backend.incarnation)
            return None

    async def _receive_watched(self, attempt: Attempt) -> AttemptOutcome | None:
        context = self._context
        silence_timeout_s = self._silence_timeout_s(context.clock())
        if silence_timeout_s is None:
            return await self._handle_answer(attempt)
        self._silence_detector = SilenceDetector(
            attempt.conn, silence_timeout_s, context.running_time
        )
        self._silence_detector.recheck_in(
            silence_timeout_s - (context.running_time() - attempt.sent_running_time)
        )
        try:
            return await self._handle_answer(attempt)
        finally:
            self._silence_detector.stop()

    async def _handle_answer(self, attempt: Attempt) -> AttemptOutcome | None:
        conn, sender = attempt.conn, self._sender
        head = await self._read_or_fail_over(
            attempt, lambda: conn.head(sender.is_stray)
        )
        if sender.is_refusal(attempt, head):
            # The head already guarantees that the call hasn't run, whatever the body.
            with contextlib.suppress(ConnectionLost, TimeoutError):
                async with asyncio.timeout(REFUSAL_READ_TIMEOUT_S):
                    await _drain_refusal(conn)
            return AttemptOutcome.REFUSED
        self._way_back.close()
        await self._forwarder.forward(attempt, head)
        if 200 <= head.status < 300:
            self._context.quarantine.completed(self._call)
        self.report.answered(attempt.backend, head.status)
        return None

    async def _read_or_fail_over(
        self, attempt: Attempt, read: Callable[[], Awaitable[Any]]
    ) -> Any:
        """Await ``read()``. Leaves a silent backend server, by raising
        :class:`ConnectionLost`, if the call can fail over or the server is lost."""
        while True:
            try:
                return await read()
            except SilenceTimeout as exc:
                silent_s = self._silent_s(attempt)
                if not await self._stays_on_backend(attempt, silent_s):
                    detail = f"silent for {silent_s:.2f} s{self._describe_target()}"
                    loss = attempt.conn.loss or ConnectionLost(detail, False, False)
                    raise loss from exc

    def _describe_target(self) -> str:
        target = self._target
        if target is None:
            return ""
        if target.attempt is None:
            return f"; left for {target.backend.instance}"
        state = "answers" if target.answered else "hasn't answered yet"
        return f"; left for {target.backend.instance}, which {state}"

    def _silent_s(self, attempt: Attempt) -> float:
        """For how long an attempt has brought nothing, in this process's running time.
        Seconds."""
        since = max(attempt.conn.last_received_at, attempt.sent_running_time)
        return self._context.running_time() - since

    async def _stays_on_backend(self, attempt: Attempt, silent_s: float) -> bool:
        """Whether the call stays with its silent backend server for now; looks for a
        failover target."""
        backend, detail = attempt.backend, f"silent for {silent_s:.2f} s"
        if self._call.is_stream and silent_s < MIN_FAILOVER_SILENCE_S:
            self._silence_detector.recheck_in(MIN_FAILOVER_SILENCE_S - silent_s)
            return True
        backend.mark_unreachable(self._context.clock())
        found = await self._failover.find_target(attempt, detail)
        if isinstance(found, FailoverTarget):
            self._target = found
            return False
        if found is not StayReason.RESUMED and self._is_lost(attempt):
            return False
        if found is not self._last_stay_reason:
            self._last_stay_reason = found
            self.report.silence_tolerated(backend, detail, found.value)
        if found in (StayReason.RESUMED, StayReason.ATTEMPTS):
            self._silence_detector.restart()
        else:
            # A free slot, a connection or retry budget may soon become available.
            self._silence_detector.recheck_in(RECHECK_S)
        return True

    def _is_lost(self, attempt: Attempt) -> bool:
        """Whether the backend server counts as lost for this call. A partially
        forwarded answer isn't given up on a suspicion: that an agent has ended doesn't
        mean that its engine has."""
        if self._progress.forwarded:
            return False
        if attempt.backend.replaced:
            return True
        now = self._context.clock()
        if attempt.backend.agent_responsive(now):
            min_silence_s = MIN_LOSS_SILENCE_S
        else:
            min_silence_s = MIN_FAILOVER_SILENCE_S
        long_silent = self._silent_s(attempt) >= min_silence_s
        return long_silent and attempt.backend.is_lost(now)

    def _silence_timeout_s(self, now: float) -> float | None:
        """How long the backend server may be silent before the call fails over, in
        seconds; None if the call may not be sent again."""
        call = self._call
        left_attempts = call.route.max_attempts - self._progress.sends
        if left_attempts < 1 or not call.may_rerun:
            return None
        if call.is_stream:
            timeout_s = call.route.event_timeout_s * SILENCE_FRACTION
            return max(timeout_s, call.route.max_event_gap_s * SILENCE_GAP_FACTOR)
        return max(0.05, (call.deadline - now) * 0.5)


async def _drain_refusal(conn: BackendConnection) -> None:
    size = 0
    while size <= MAX_REFUSAL_BYTES and (data := await conn.chunk()) is not None:
        size += len(data)
