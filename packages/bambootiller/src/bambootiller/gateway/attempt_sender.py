"""Sends the attempts of one call and tracks the resources that each one holds."""

from __future__ import annotations

from bambootiller.gateway.backend_connection import BackendConnection, ConnectionLost
from bambootiller.gateway.ports import AnswerHead, AnswerKind, Incoming, Unreadable
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend


class Attempt:
    """One attempt that has been sent.

    It occupies a slot of its backend server and a connection until :meth:`end`.
    """

    def __init__(
        self,
        context: RelayContext,
        call: Call,
        progress: Progress,
        backend: Backend,
        conn: BackendConnection,
    ) -> None:
        self._context = context
        self._progress = progress
        self._model_request = call.model_request
        self._awaits_prefill = call.model_request is not None
        self.backend = backend
        self.conn = conn
        #: When it was sent, in running time and by the clock. Seconds.
        self.sent_running_time = context.running_time()
        self.sent_at_clock = context.clock()
        self._may_have_run_before = progress.may_have_run
        self._last_event = progress.last_event
        backend.call_sent(*self._model_and_adapter())
        if self._awaits_prefill:
            backend.prefill_queued()
        progress.tried.append(backend.incarnation)
        progress.sends += 1
        progress.last_sent_at = self.sent_at_clock
        progress.may_have_run = True

    @property
    def progressed(self) -> bool:
        """Whether an event of this attempt has been forwarded."""
        return self._progress.last_event != self._last_event

    def mark_not_run(self) -> None:
        """Record that the backend server guarantees that it hasn't run the call."""
        self._progress.may_have_run = self._may_have_run_before

    def prefill_done(self) -> None:
        """Record that the prompt has been processed: the first event was received, or
        the attempt has ended."""
        if self._awaits_prefill:
            self._awaits_prefill = False
            self.backend.prefill_done()

    def end(self, answered: bool) -> None:
        """Release the slot and the connection, which is closed unless the attempt was
        ``answered``."""
        self.prefill_done()
        self.backend.call_ended(*self._model_and_adapter())
        pool = self._context.pool(self.backend)
        if answered:
            pool.release(self.conn, self._context.clock())
        else:
            pool.discard(self.conn)

    def _model_and_adapter(self) -> tuple[str, str]:
        if self._model_request is None:
            return "", ""
        return self._model_request.model, self._model_request.adapter


class AttemptSender:
    """Sends the attempts of one call and records how they ended.

    Example::

        attempt = sender.send(backend, conn)
        try: ...
        finally: attempt.end(answered)
    """

    def __init__(
        self,
        context: RelayContext,
        incoming: Incoming,
        call: Call,
        body: bytes,
        progress: Progress,
        report: CallReport,
    ) -> None:
        self._context = context
        self._incoming = incoming
        self._call = call
        self._body = body
        self._progress = progress
        self._report = report
        self._service = context.service(call.service)

    def send(self, backend: Backend, conn: BackendConnection) -> Attempt:
        """Send the call, to be resumed after the last event that was forwarded."""
        context, call = self._context, self._call
        if self._progress.may_have_run:
            context.quotas.charge_retry(call)
        headers = context.dialect.request_headers(
            self._incoming, call, backend.instance, self.resume_after()
        )
        headers.append(
            context.dialect.time_left_header(call.deadline - context.clock())
        )
        head = self._incoming.head(headers, self._body)
        attempt = Attempt(context, call, self._progress, backend, conn)
        conn.send(head, self._body)
        return attempt

    def resume_after(self) -> int | None:
        """The number of the last event that the caller has, None if it has none."""
        if self._progress.last_event is not None:
            return self._progress.last_event
        return self._call.resume_after

    def is_stray(self, head: AnswerHead) -> bool:
        """Whether an answer belongs to another call."""
        return self._context.dialect.classify(self._call, head) is AnswerKind.STRAY

    def is_refusal(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Whether the answer guarantees that the backend server hasn't run the call; if
        so the refusal is recorded.

        Raises :class:`ConnectionLost` if the answer is unusable.
        """
        context, call, backend = self._context, self._call, attempt.backend
        answer_kind = context.dialect.classify(call, head)
        self._record_limit(attempt, head, answer_kind)
        if answer_kind is AnswerKind.USELESS:
            raise ConnectionLost(
                f"unusable answer with status {head.status}", False, True
            )
        if answer_kind not in (AnswerKind.NOT_RUN, AnswerKind.MISDIRECTED):
            if self._progress.forwarded and not 200 <= head.status < 300:
                # The caller already has the head of another answer.
                raise ConnectionLost(
                    f"status {head.status} after a part of the stream", False, True
                )
            return False
        attempt.mark_not_run()
        if answer_kind is AnswerKind.MISDIRECTED and call.model_request is not None:
            backend.record_denial(
                context.clock(), call.model_request.model, call.model_request.adapter
            )
        self.record_failure(backend)
        return True

    def _record_limit(
        self, attempt: Attempt, head: AnswerHead, answer_kind: AnswerKind
    ) -> None:
        """Record the limit that an answer reports. A missing limit counts only if the
        call was served: the sender of any other answer may not be aware of it."""
        backend, limits = attempt.backend, self._context.server_limits
        limit = self._context.dialect.limit(head)
        if isinstance(limit, Unreadable):
            limits.log_unreadable(backend, limit.detail)
        elif answer_kind is AnswerKind.MISDIRECTED:
            # The limit may be that of another backend server.
            return
        elif limit is not None:
            limits.record_limit(backend, limit)
        elif answer_kind is AnswerKind.ANSWER and 200 <= head.status < 300:
            limits.record_no_limit(backend, attempt.sent_at_clock)

    def record_lost_answer(self, attempt: Attempt, exc: ConnectionLost) -> None:
        """Record that the answer to an attempt was lost, and that its run may be."""
        context, backend, conn = self._context, attempt.backend, attempt.conn
        if conn.reused:
            # Whatever broke this reused connection may have broken the idle ones too.
            context.pool(backend).close()
        self.record_failure(backend)
        progressed = attempt.progressed
        self._report.answer_lost(backend, str(exc), conn.reused, progressed)
        context.quarantine.record_lost_run(self._call, backend, progressed)

    def record_failure(self, backend: Backend) -> None:
        """Record a failed attempt in the health of the backend server."""
        context = self._context
        self._service.health.failed(context.clock(), backend.incarnation)
        context.review_health(self._call.service, backend.incarnation)
