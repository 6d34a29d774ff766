"""Sends one call to backend servers, and keeps what each attempt takes up."""

from __future__ import annotations

from bambootiller.gateway.backend_connection import BackendConnection, ConnectionLost
from bambootiller.gateway.ports import AnswerHead, AnswerKind, Incoming, Unreadable
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend


class Attempt:
    """One attempt that has gone out.

    It is counted at its backend server, and has its connection, until :meth:`end`.
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
        self._ask = call.ask
        self._prompt_unread = call.ask is not None
        self.backend = backend
        self.conn = conn
        #: The running time at which it went out, and the time by the clock.
        self.sent_running_time = context.running_time()
        self.sent_at_clock = context.clock()
        self._may_have_run_before = progress.may_have_run
        self._last_event = progress.last_event
        backend.call_sent(*self._model_and_adapter())
        if self._prompt_unread:
            backend.prefill_pending()
        progress.tried.append(backend.incarnation)
        progress.sends += 1
        progress.may_have_run = True

    @property
    def progressed(self) -> bool:
        """Whether it has brought an event."""
        return self._progress.last_event != self._last_event

    def mark_not_run(self) -> None:
        """The backend server promises that it hasn't run the call."""
        self._progress.may_have_run = self._may_have_run_before

    def prefill_done(self) -> None:
        """The first event has come, or the attempt has ended."""
        if self._prompt_unread:
            self._prompt_unread = False
            self.backend.prefill_done()

    def end(self, answered: bool) -> None:
        """Nothing more is read; unless it was ``answered`` the connection is closed."""
        self.prefill_done()
        self.backend.call_ended(*self._model_and_adapter())
        pool = self._context.pool(self.backend)
        if answered:
            pool.release(self.conn, self._context.clock())
        else:
            pool.discard(self.conn)

    def _model_and_adapter(self) -> tuple[str, str]:
        if self._ask is None:
            return "", ""
        return self._ask.model, self._ask.adapter


class AttemptSender:
    """The attempts of one call.

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
        """Send the call, from behind the last event that was passed on."""
        context, call = self._context, self._call
        if self._progress.may_have_run:
            context.quotas.ran_again(call)
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
        """The last event that the caller has."""
        if self._progress.last_event is not None:
            return self._progress.last_event
        return self._call.resume_after

    def is_stray(self, head: AnswerHead) -> bool:
        """Whether an answer belongs to another call."""
        return self._context.dialect.classify(self._call, head) is AnswerKind.STRAY

    def is_refusal(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Whether the backend server promises that it hasn't run the call; notes it.

        Raises :class:`ConnectionLost` if the answer is of no use.
        """
        context, call, backend = self._context, self._call, attempt.backend
        answer_kind = context.dialect.classify(call, head)
        self._record_limit(attempt, head, answer_kind)
        if answer_kind is AnswerKind.USELESS:
            raise ConnectionLost(f"useless answer of status {head.status}", False, True)
        if answer_kind not in (AnswerKind.NOT_RUN, AnswerKind.MISDIRECTED):
            if self._progress.forwarded and not 200 <= head.status < 300:
                # The caller has the head of another answer already.
                raise ConnectionLost(
                    f"status {head.status} in the middle of a stream", False, True
                )
            return False
        attempt.mark_not_run()
        if answer_kind is AnswerKind.MISDIRECTED and call.ask is not None:
            backend.record_denial(context.clock(), call.ask.model, call.ask.adapter)
        self.failed(backend)
        return True

    def _record_limit(
        self, attempt: Attempt, head: AnswerHead, answer_kind: AnswerKind
    ) -> None:
        """Note what limit an answer names. That it names none counts only where the
        call was served: what else answers may not know."""
        backend, limits = attempt.backend, self._context.server_limits
        limit = self._context.dialect.limit(head)
        if isinstance(limit, Unreadable):
            limits.unreadable(backend, limit.detail)
        elif answer_kind is AnswerKind.MISDIRECTED:
            # It may come from another backend server.
            return
        elif limit is not None:
            limits.named(backend, limit)
        elif answer_kind is AnswerKind.ANSWER and 200 <= head.status < 300:
            limits.named_none(backend, attempt.sent_at_clock)

    def lost(self, attempt: Attempt, exc: ConnectionLost) -> None:
        """The run of an attempt is lost, as far as this entry can tell."""
        context, backend, conn = self._context, attempt.backend, attempt.conn
        if conn.reused:
            # What took this connection may have taken the other idle ones too.
            context.pool(backend).close()
        self.failed(backend)
        progressed = attempt.progressed
        self._report.answer_lost(backend, str(exc), conn.reused, progressed)
        context.quarantine.run_lost(self._call, backend, progressed)

    def failed(self, backend: Backend) -> None:
        """The backend server is judged by an attempt that failed."""
        context = self._context
        self._service.health.failed(context.clock(), backend.incarnation)
        context.review_health(self._call.service, backend.incarnation)
