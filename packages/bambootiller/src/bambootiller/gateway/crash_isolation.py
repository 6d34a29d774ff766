"""Delays a call while its request is suspected of crashing backend servers."""

from __future__ import annotations

import asyncio

from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import Refusal, RefusalReason
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.crash_ledger import (
    PART_PREFIX,
    Admission,
    AdmissionDecision,
)

#: A call is held for at most this many seconds, and at most this fraction of its
#: remaining time. If it would have to wait longer, it is refused at once and not only
#: after the wait.
MAX_HOLD_S = 2.5
HOLD_FRACTION = 0.5


class CrashIsolation:
    """Delays the attempts of one call, so that they run apart from those of other
    suspected requests.

    Example::

        refusal = await CrashIsolation(context, call, progress, report).wait()
    """

    def __init__(
        self, context: RelayContext, call: Call, progress: Progress, report: CallReport
    ) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._report = report

    async def wait(self) -> Refusal | None:
        """Wait until the call may be sent; returns a refusal if it is quarantined or
        the wait would be too long."""
        admission = self._admission()
        if admission.decision is AdmissionDecision.ADMITTED:
            return None
        began = self._context.clock()
        give_up_at = began + self._max_hold_s(began)
        while admission.decision is not AdmissionDecision.ADMITTED:
            now = self._context.clock()
            if admission.decision is AdmissionDecision.QUARANTINED:
                return _refusal(RefusalReason.QUARANTINED, admission)
            if now + admission.retry_in_s > give_up_at:
                return _refusal(RefusalReason.ISOLATED, admission)
            await asyncio.sleep(admission.retry_in_s)
            admission = self._admission()
        self._report.isolated(admission.crashes, self._context.clock() - began)
        return None

    def _admission(self) -> Admission:
        return self._context.quarantine.admission(self._call)

    def _max_hold_s(self, now: float) -> float:
        due = min(self._call.deadline, self._call.next_event_due(self._progress))
        return max(0.0, min(MAX_HOLD_S, (due - now) * HOLD_FRACTION))


def _refusal(reason: RefusalReason, admission: Admission) -> Refusal:
    retry_after_s = max(admission.retry_in_s, attempts.DEFAULT_RETRY_AFTER_S)
    detail = f"{admission.crashes:g} crashes of backend servers"
    if admission.name.startswith(PART_PREFIX):
        detail = f"{admission.name}: {detail}"
    return Refusal(reason, retry_after_s, detail)
