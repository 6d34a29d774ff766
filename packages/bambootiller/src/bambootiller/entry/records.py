"""What an entry leaves behind about each request: decisions, one log line, metrics.

Decisions answer ``bambootiller explain request/ID`` afterwards; they carry the figures
that a choice was made on, in memory that is bounded by the decision log.
"""

from __future__ import annotations

from collections.abc import Sequence

from bambootiller import logs
from bambootiller.entry.headers import RequestName
from bambootiller.entry.relay.core import Action, Attempt, Wait
from bambootiller.metrics import Metrics
from bambootiller_core.decisions import DecisionLog, Figure
from bambootiller_core.outcomes import Answered, Final, Refused
from bambootiller_core.types import ModelTarget, Request

#: A decision names at most this many of the candidates.
CANDIDATES_SHOWN = 5

log = logs.logger("entry")


def subject_of(request_id: str) -> str:
    """The subject under which a request is explained."""
    return f"request/{request_id}"


class RequestRecord:
    """Notes about one request, from its validation to its end."""

    def __init__(
        self,
        now: float,
        req: Request,
        name: RequestName,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._began = now
        self._req = req
        self._name = name
        self._decisions = decisions
        self._metrics = metrics
        self._first_piece_seen = False
        self._note(
            now,
            "arrival",
            "accepted",
            f"known inside the system as {req.request_id}",
            caller=req.caller,
            target=_target_name(req),
            priority=req.priority,
            left_ms=int((req.deadline - now) * 1000),
        )

    def chosen(self, now: float, attempt: Attempt, ranked: Sequence[str]) -> None:
        """An agent was chosen for an attempt."""
        self._note(
            now,
            "routing",
            attempt.instance,
            "the best of those that may serve it and weren't asked before",
            attempt=attempt.number,
            candidates=",".join(ranked[:CANDIDATES_SHOWN]),
            candidates_count=len(ranked),
            resumed_behind_tokens=attempt.continue_tokens,
        )

    def admitted(self, now: float, instance: str, wait_ms: int, cold: bool) -> None:
        """The agent took the request and estimated its wait."""
        reason = "the model is being loaded" if cold else "the model is loaded"
        self._note(
            now, "admission", "admitted", reason, instance=instance, wait_ms=wait_ms
        )
        self._metrics.incr("entry.cold" if cold else "entry.warm")

    def first_piece(self, now: float) -> None:
        """The first piece of the answer arrived."""
        if self._first_piece_seen:
            return
        self._first_piece_seen = True
        self._metrics.timing("entry.first_token_ms", (now - self._began) * 1000)

    def refused(
        self, now: float, instance: str, refused: Refused, then: Action
    ) -> None:
        """The agent refused the attempt."""
        self._note(
            now,
            "refusal",
            refused.code.value,
            refused.detail,
            instance=instance,
            executed=refused.executed.value,
            then="tries again" if isinstance(then, Wait) else "ends",
        )
        self._metrics.incr(f"entry.attempt_refused.{refused.code.value}")

    def broken(self, now: float, instance: str, detail: str) -> None:
        """The attempt broke off."""
        self._note(now, "broken attempt", "unknown", detail, instance=instance)
        self._metrics.incr("entry.attempt_broken")
        with self._fields():
            log.warning("attempt at {} broke off: {}", instance, detail)

    def crossed(self, now: float, instance: str, detail: str) -> None:
        """An event didn't belong to the attempt that it arrived on."""
        self._metrics.incr("entry.crossed_event")
        with self._fields():
            log.error("a stream from {} can't be trusted: {}", instance, detail)

    def ended(self, now: float, final: Final, attempts: int) -> None:
        """The request has its one final outcome."""
        took_ms = int((now - self._began) * 1000)
        if isinstance(final, Answered):
            self._answered(now, final, attempts, took_ms)
        else:
            self._turned_down(now, final, attempts, took_ms)

    def _answered(
        self, now: float, final: Answered, attempts: int, took_ms: int
    ) -> None:
        reason = "an earlier answer was replayed" if final.replayed else "whole answer"
        self._note(
            now,
            "end",
            "answered",
            reason,
            attempts=attempts,
            tokens=final.tokens,
            took_ms=took_ms,
        )
        self._metrics.incr("entry.answered")
        self._metrics.incr("entry.tokens", final.tokens)
        self._metrics.timing("entry.answer_ms", took_ms)
        with self._fields():
            log.info("answered in {} ms, {} tokens", took_ms, final.tokens)

    def _turned_down(
        self, now: float, final: Refused, attempts: int, took_ms: int
    ) -> None:
        self._note(
            now,
            "end",
            final.code.value,
            final.detail,
            attempts=attempts,
            executed=final.executed.value,
            took_ms=took_ms,
        )
        self._metrics.incr(f"entry.refused.{final.code.value}")
        with self._fields():
            log.info(
                "refused after {} ms: {}, executed {}: {}",
                took_ms,
                final.code.value,
                final.executed.value,
                final.detail,
            )

    def _note(
        self, now: float, kind: str, outcome: str, reason: str, **figures: Figure
    ) -> None:
        subject = subject_of(self._name.shown)
        self._decisions.record(now, subject, kind, outcome, reason, **figures)

    def _fields(self):
        return logs.fields(
            request=self._name.shown,
            customer=self._req.customer,
            model=_target_name(self._req),
        )


def turned_away(
    now: float,
    name: RequestName,
    customer: str,
    refused: Refused,
    decisions: DecisionLog,
    metrics: Metrics,
) -> None:
    """Note a request that the border refused, before it was a request at all."""
    metrics.incr(f"entry.refused.{refused.code.value}")
    if not customer:
        # Strangers leave no record: with made-up requests they could push those of
        # real ones out of the bounded log.
        return
    subject = subject_of(name.shown)
    decisions.record(
        now,
        subject,
        "arrival",
        refused.code.value,
        refused.detail,
        executed=refused.executed.value,
    )
    with logs.fields(request=name.shown, customer=customer):
        log.info("refused at the border: {}: {}", refused.code.value, refused.detail)


def _target_name(req: Request) -> str:
    target = req.target
    if not isinstance(target, ModelTarget):
        return f"services/{target.service}"
    return f"{target.model}:{target.adapter}" if target.adapter else target.model
