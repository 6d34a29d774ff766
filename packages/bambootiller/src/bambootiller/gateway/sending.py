"""Sends one call to backend servers, and keeps what each attempt takes up."""

from __future__ import annotations

from bambootiller.gateway.connections import BackendConnection, ConnectionLost
from bambootiller.gateway.ports import AnswerHead, Incoming, Unreadable, Verdict
from bambootiller.gateway.relays import Relays
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend


class Attempt:
    """One attempt that has gone out.

    It is counted at its backend server, and has its connection, until :meth:`end`.
    """

    def __init__(
        self,
        relays: Relays,
        call: Call,
        progress: Progress,
        backend: Backend,
        conn: BackendConnection,
    ) -> None:
        self._relays = relays
        self._progress = progress
        self._ask = call.ask
        self._unread = call.ask is not None
        self.backend = backend
        self.conn = conn
        #: The running time at which it went out, and the time by the clock.
        self.sent_at = relays.ran()
        self.sent_at_clock = relays.clock()
        self._ran_before = progress.may_have_run
        self._last_event = progress.last_event
        backend.call_sent(*self._names())
        if self._unread:
            backend.prompt_sent()
        progress.tried.append(backend.incarnation)
        progress.sends += 1
        progress.may_have_run = True

    @property
    def progressed(self) -> bool:
        """Whether it has brought an event."""
        return self._progress.last_event != self._last_event

    def not_run(self) -> None:
        """The backend server promises that it hasn't run the call."""
        self._progress.may_have_run = self._ran_before

    def prompt_read(self) -> None:
        """The first event has come, or the attempt has ended."""
        if self._unread:
            self._unread = False
            self.backend.prompt_read()

    def end(self, answered: bool) -> None:
        """Nothing more is read; unless it was ``answered`` the connection is closed."""
        self.prompt_read()
        self.backend.call_ended(*self._names())
        pool = self._relays.pool(self.backend)
        if answered:
            pool.release(self.conn, self._relays.clock())
        else:
            pool.discard(self.conn)

    def _names(self) -> tuple[str, str]:
        if self._ask is None:
            return "", ""
        return self._ask.model, self._ask.adapter


class Sender:
    """The attempts of one call.

    Example::

        attempt = sender.send(backend, conn)
        try: ...
        finally: attempt.end(answered)
    """

    def __init__(
        self,
        relays: Relays,
        incoming: Incoming,
        call: Call,
        body: bytes,
        progress: Progress,
        report: CallReport,
    ) -> None:
        self._relays = relays
        self._incoming = incoming
        self._call = call
        self._body = body
        self._progress = progress
        self._report = report
        self._service = relays.service(call.service)

    def send(self, backend: Backend, conn: BackendConnection) -> Attempt:
        """Send the call, from behind the last event that was passed on."""
        relays, call = self._relays, self._call
        if self._progress.may_have_run:
            relays.quotas.ran_again(call)
        headers = relays.dialect.outgoing(
            self._incoming, call, backend.instance, self.resume_after()
        )
        headers.append(relays.dialect.time_left(call.deadline - relays.clock()))
        head = self._incoming.head(headers, self._body)
        attempt = Attempt(relays, call, self._progress, backend, conn)
        conn.send(head, self._body)
        return attempt

    def resume_after(self) -> int | None:
        """The last event that the caller has."""
        if self._progress.last_event is not None:
            return self._progress.last_event
        return self._call.resume_after

    def is_stray(self, head: AnswerHead) -> bool:
        """Whether an answer belongs to another call."""
        return self._relays.dialect.judge(self._call, head) is Verdict.STRAY

    def is_refusal(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Whether the backend server promises that it hasn't run the call; notes it.

        Raises :class:`ConnectionLost` if the answer is of no use.
        """
        relays, call, backend = self._relays, self._call, attempt.backend
        verdict = relays.dialect.judge(call, head)
        self._note_limit(attempt, head, verdict)
        if verdict is Verdict.USELESS:
            raise ConnectionLost(f"useless answer of status {head.status}", False, True)
        if verdict not in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            if self._progress.passed_on and not 200 <= head.status < 300:
                # The caller has the head of another answer already.
                raise ConnectionLost(
                    f"status {head.status} in the middle of a stream", False, True
                )
            return False
        attempt.not_run()
        if verdict is Verdict.MISDIRECTED and call.ask is not None:
            backend.denies(relays.clock(), call.ask.model, call.ask.adapter)
        self.failed(backend)
        return True

    def _note_limit(self, attempt: Attempt, head: AnswerHead, verdict: Verdict) -> None:
        """Note what limit an answer names. That it names none counts only where the
        call was served: what else answers may not know."""
        backend, limits = attempt.backend, self._relays.server_limits
        limit = self._relays.dialect.limit(head)
        if isinstance(limit, Unreadable):
            limits.unreadable(backend, limit.detail)
        elif verdict is Verdict.MISDIRECTED:
            # It may come from another backend server.
            return
        elif limit is not None:
            limits.named(backend, limit)
        elif verdict is Verdict.ANSWER and 200 <= head.status < 300:
            limits.named_none(backend, attempt.sent_at_clock)

    def lost(self, attempt: Attempt, exc: ConnectionLost) -> None:
        """The run of an attempt is lost, as far as this entry can tell."""
        relays, backend, conn = self._relays, attempt.backend, attempt.conn
        if conn.reused:
            # What took this connection may have taken the other idle ones too.
            relays.pool(backend).close()
        self.failed(backend)
        progressed = attempt.progressed
        self._report.answer_lost(backend, str(exc), conn.reused, progressed)
        relays.quarantine.run_lost(self._call, backend, progressed)

    def failed(self, backend: Backend) -> None:
        """The backend server is judged by an attempt that failed."""
        relays = self._relays
        self._service.health.failed(relays.clock(), backend.incarnation)
        relays.review_health(self._call.service, backend.incarnation)
