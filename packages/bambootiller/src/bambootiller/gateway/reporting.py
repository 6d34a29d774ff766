"""Records the times of one call, and logs the decisions on it."""

from __future__ import annotations

from bambootiller.gateway.relay_context import RelayContext
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.attempts import AttemptOutcome, Decision
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.fleet import Backend


class CallReport:
    """Records the times of one call, and writes a log line for each decision on it.

    Example::

        report = CallReport(context, call, progress)
        report.chosen(backend, candidates=3)
        report.part_forwarded(now)
        report.answered(backend, 200)
    """

    def __init__(self, context: RelayContext, call: Call, progress: Progress) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._chosen_on: lines.BackendSnapshot | None = None
        self._chosen_at = call.arrived
        self._first_at: float | None = None
        self._last_at = call.arrived
        self._longest_gap_s = 0.0

    def chosen(self, backend: Backend, candidates: int) -> None:
        """Records that a backend server was chosen, and the state on which it was
        chosen."""
        now = self._context.clock()
        health = self._context.service(self._call.service).health
        has_report = backend.engine is not None
        documents_age_s = self._context.gateway_state.documents_age_s()
        self._chosen_at = now
        self._chosen_on = lines.BackendSnapshot(
            zone=backend.registration.zone,
            occupied=backend.occupied(now),
            candidates=candidates,
            revision=backend.registration.revision,
            standing=health.standing(backend.incarnation).value,
            agent_age_ms=_ms(backend.agent_silence_s(now)) if has_report else None,
            unread=backend.engine_pending_prefills(now),
            documents_age_ms=None if documents_age_s is None else _ms(documents_age_s),
            listed=None if backend.listed else False,
        )

    def part_forwarded(self, now: float) -> None:
        """Records that a part of the answer is being forwarded to the caller."""
        if self._first_at is None:
            self._first_at = now
        elif now - self._last_at > self._longest_gap_s:
            self._longest_gap_s = now - self._last_at
        self._last_at = now

    def answered(self, backend: Backend, status: int) -> None:
        """Logs that the whole answer was forwarded."""
        call, now = self._call, self._context.clock()
        first_at = self._first_at if self._first_at is not None else now
        self._emit(
            lines.Answered(
                request=call.request_id,
                route=call.route.name,
                service=call.service,
                kind=call.route.kind.value,
                model=_model(call),
                backend=backend.instance,
                status=status,
                attempts=self._progress.sends,
                waited_ms=_ms(self._chosen_at - call.arrived),
                first_ms=_ms(first_at - call.arrived),
                total_ms=_ms(now - call.arrived),
                longest_gap_ms=_ms(self._longest_gap_s),
                sent_ms=self.sent_ms(),
                config_version=self._config_version(),
                chosen_on=self._chosen_on,
                adapter=_adapter(call),
                customer=_customer(call),
                cost=call.cost or None,
            )
        )

    def attempt_failed(
        self, backend: Backend, ended: AttemptOutcome, decision: Decision, sent: bool
    ) -> None:
        """Logs that an attempt ended without a whole answer. ``decision`` is the next
        action, ``sent`` whether the next attempt has been sent already."""
        call, progress, now = self._call, self._progress, self._context.clock()
        retry_budget = self._context.service(call.service).retry_budget
        self._emit(
            lines.AttemptFailed(
                request=call.request_id,
                route=call.route.name,
                service=call.service,
                kind=call.route.kind.value,
                resumable=call.route.resumable,
                backend=backend.instance,
                ended=ended.value,
                attempts=progress.sends - sent,
                most_attempts=call.route.max_attempts,
                may_have_run=progress.may_have_run,
                last_event=progress.last_event,
                next=type(decision).__name__,
                budget_left=round(retry_budget.remaining(now), 1),
                left_ms=_ms(call.deadline - now),
                chosen_on=self._chosen_on,
            )
        )

    def answer_lost(
        self, backend: Backend, detail: str, reused: bool, progressed: bool
    ) -> None:
        """Logs that the connection broke, or that its response is unusable.
        ``progressed`` is whether this attempt had delivered an event."""
        self._emit(
            lines.AnswerLost(
                request=self._call.request_id,
                backend=backend.instance,
                detail=detail,
                reused=reused,
                fingerprint=self._call.fingerprint,
                progressed=progressed,
                parts=(
                    self._call.model_request.shared_parts
                    if self._call.model_request
                    else ()
                ),
            )
        )

    def silence_tolerated(
        self, backend: Backend, detail: str, stay_reason: str
    ) -> None:
        """Logs that the backend server is silent and the call isn't failed over."""
        request = self._call.request_id
        self._emit(lines.SilenceBorne(request, backend.instance, detail, stay_reason))

    def isolated(self, crashes: float, seconds: float) -> None:
        """Logs that the call is sent after it was delayed for so long by crash
        isolation."""
        call = self._call
        line = lines.KeptApart(call.request_id, call.fingerprint, crashes, _ms(seconds))
        self._emit(line)

    def cannot_connect(self, backend: Backend, detail: str) -> None:
        """Logs that no connection could be made."""
        request = self._call.request_id
        self._emit(lines.CannotConnect(request, backend.instance, detail))

    def not_sent(self, backend: Backend) -> None:
        """Logs that the call isn't sent to the backend server that was chosen for it,
        as that accepts no calls any more."""
        held = self._context.gateway_state.fleet.get(backend.instance)
        self._emit(
            lines.NotSent(
                request=self._call.request_id,
                backend=backend.instance,
                waited_ms=_ms(self._context.clock() - self._chosen_at),
                leaving=held.registration.leaving if held is not None else None,
            )
        )

    def cut(self, reason: str) -> None:
        """Logs that the caller's connection is closed, as its answer can't be
        completed."""
        call = self._call
        self._emit(
            lines.Cut(
                request=call.request_id,
                route=call.route.name,
                service=call.service,
                kind=call.route.kind.value,
                model=_model(call),
                last_event=self._progress.last_event,
                held_ms=_ms(self._context.clock() - call.arrived),
                reason=reason,
                backend=self.last_backend(),
                sent_ms=self.sent_ms(),
                adapter=_adapter(call),
                customer=_customer(call),
                cost=call.cost or None,
            )
        )

    def caller_gone(self, closed_by: str | None, detail: str) -> None:
        """Logs that the caller's connection ended before its answer was complete, and
        who closed it if that is known."""
        call, progress = self._call, self._progress
        self._emit(
            lines.CallerGone(
                request=call.request_id,
                route=call.route.name,
                service=call.service,
                kind=call.route.kind.value,
                model=_model(call),
                backend=self.last_backend(),
                sent_ms=self.sent_ms(),
                held_ms=_ms(self._context.clock() - call.arrived),
                attempts=progress.sends,
                last_event=progress.last_event,
                adapter=_adapter(call),
                customer=_customer(call),
                cost=call.cost or None,
                closed_by=closed_by,
                detail=detail,
            )
        )

    def last_backend(self) -> str | None:
        """The backend server of the last attempt, None before the first."""
        tried = self._progress.tried
        return tried[-1].instance if tried else None

    def sent_ms(self) -> int | None:
        """When the call was last sent, in milliseconds after its arrival; None if it
        wasn't."""
        sent_at = self._progress.last_sent_at
        return None if sent_at is None else _ms(sent_at - self._call.arrived)

    def _emit(self, line: lines.LogLine) -> None:
        self._context.events.emit(line)

    def _config_version(self) -> int:
        config = self._context.gateway_state.config
        return config.version if config is not None else 0


def _model(call: Call) -> str | None:
    return call.model_request.model if call.model_request is not None else None


def _adapter(call: Call) -> str | None:
    return (
        (call.model_request.adapter or None) if call.model_request is not None else None
    )


def _customer(call: Call) -> str | None:
    return call.customer.name if call.customer is not None else None


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
