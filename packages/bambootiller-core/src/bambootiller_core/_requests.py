"""The book of open requests: who is admitted, who runs, and the one end of each.

Every request that is admitted reaches exactly one final outcome. All of them go through
this book, which asserts it at the only places where a request is opened or closed.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core._gate import Gate
from bambootiller_core.backend_effects import Abort, Admit, Effect, Refuse, Start
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Refused
from bambootiller_core.types import Request


class Outbox:
    """The effects decided on during one event, in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def put(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def take(self) -> list[Effect]:
        """Hand out what was decided since the last time."""
        effects, self._effects = self._effects, []
        return effects


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final outcome yet."""

    req: Request
    gate: Gate
    admitted_at: float
    started_at: float | None = None
    first_token_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether it has been started."""
        return self.started_at is not None


class RequestBook:
    """All open requests of one agent."""

    def __init__(self, outbox: Outbox, decisions: DecisionLog) -> None:
        self._outbox = outbox
        self._decisions = decisions
        self._open: dict[str, OpenRequest] = {}
        self._no_admission_after: float | None = None

    def __len__(self) -> int:
        return len(self._open)

    def get(self, request_id: str) -> OpenRequest | None:
        """The open request, or None once it has its final outcome."""
        return self._open.get(request_id)

    def close_admission(self, now: float) -> None:
        """The agent leaves: whatever is opened after ``now`` is a broken promise."""
        self._no_admission_after = now

    def admit(
        self, now: float, req: Request, gate: Gate, wait_s: float, cold: bool
    ) -> None:
        """Open a request and let it wait at ``gate``."""
        ensure(
            req.request_id not in self._open,
            "one-final-outcome",
            f"request {req.request_id} is open already",
        )
        ensure(
            self._no_admission_after is None,
            "no-new-work-when-leaving",
            f"request {req.request_id} admitted at {now}, "
            f"leaving since {self._no_admission_after}",
        )
        self._open[req.request_id] = OpenRequest(req, gate, now)
        gate.line.add(now, req)
        self._outbox.put(Admit(req.request_id, round(wait_s * 1000), cold))
        self._record(now, req, "admit", "admitted", "can be answered in time", wait_s)

    def start(self, now: float, req: Request) -> None:
        """Run a request that has just been taken out of its line."""
        entry = self._open.get(req.request_id)
        ensure(
            entry is not None and not entry.running,
            "one-final-outcome",
            f"request {req.request_id} started at {now}, but it is {entry}",
        )
        ensure(
            req.deadline > now,
            "no-start-past-deadline",
            f"request {req.request_id}, deadline {req.deadline}, at {now}",
        )
        entry.started_at = now
        entry.gate.running[req.request_id] = req
        self._outbox.put(Start(req.request_id))
        waited = now - entry.admitted_at
        self._record(now, req, "start", "started", "a place is free", waited)

    def refuse_arrival(self, now: float, req: Request, refused: Refused) -> None:
        """The final outcome of a request that was never opened."""
        ensure(
            req.request_id not in self._open,
            "one-final-outcome",
            f"request {req.request_id} arrives, but it is open already",
        )
        self._outbox.put(Refuse(req.request_id, refused))
        self._record_refused(now, req, refused)

    def refuse(self, now: float, request_id: str, refused: Refused) -> None:
        """The final outcome of a request that waits."""
        entry = self._close(request_id)
        waited = entry.gate.take_out(request_id)
        ensure(
            waited and not entry.running,
            "one-final-outcome",
            f"request {request_id} refused at {now} as {refused.code}, but it is "
            f"{entry}",
        )
        self._outbox.put(Refuse(request_id, refused))
        self._record_refused(now, entry.req, refused)

    def abort(self, now: float, request_id: str, refused: Refused) -> None:
        """The final outcome of a request that runs and has to be stopped."""
        entry = self._close(request_id)
        ran = entry.gate.running.pop(request_id, None)
        ensure(
            ran is not None and entry.running,
            "one-final-outcome",
            f"request {request_id} aborted at {now}, but it is {entry}",
        )
        self._outbox.put(Abort(request_id, refused))
        self._record_refused(now, entry.req, refused)

    def finish(self, now: float, request_id: str, tokens: int, ok: bool) -> OpenRequest:
        """A request that ran has ended by itself; the shell has passed on how."""
        entry = self._close(request_id)
        ran = entry.gate.running.pop(request_id, None)
        ensure(
            ran is not None,
            "one-final-outcome",
            f"request {request_id} finished at {now}, but it is {entry}",
        )
        outcome = "answered" if ok else "failed"
        self._decisions.record(
            now,
            f"request/{request_id}",
            "finish",
            outcome,
            "the backend server's answer ended",
            tokens=tokens,
            ran_s=round(now - entry.started_at, 3),
        )
        return entry

    def withdraw(self, now: float, request_id: str) -> None:
        """The caller has gone; nothing further is due to it."""
        entry = self._close(request_id)
        if entry.gate.running.pop(request_id, None) is None:
            entry.gate.take_out(request_id)
        self._record(now, entry.req, "cancel", "cancelled", "the caller has gone", 0.0)

    def _close(self, request_id: str) -> OpenRequest:
        entry = self._open.pop(request_id, None)
        ensure(
            entry is not None,
            "one-final-outcome",
            f"request {request_id} isn't open and gets an outcome",
        )
        return entry

    def _record_refused(self, now: float, req: Request, refused: Refused) -> None:
        self._decisions.record(
            now,
            f"request/{req.request_id}",
            "refuse",
            refused.code.value,
            refused.detail,
            executed=refused.executed.value,
            retry_after_ms=refused.retry_after_ms,
            left_s=round(req.deadline - now, 3),
        )

    def _record(
        self,
        now: float,
        req: Request,
        kind: str,
        outcome: str,
        reason: str,
        waited: float,
    ) -> None:
        self._decisions.record(
            now,
            f"request/{req.request_id}",
            kind,
            outcome,
            reason,
            wait_s=round(waited, 3),
            left_s=round(req.deadline - now, 3),
            priority=req.priority,
        )
