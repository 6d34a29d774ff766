"""The waiting line and the running requests of one replica or plain service."""

from __future__ import annotations

from collections.abc import Iterator

from bambootiller_core.types import ModelTarget, Request
from bambootiller_core.waiting import WaitingLine


class Gate:
    """Requests that wait, that wait for an adapter ("parked"), and that run.

    Example::

        gate = Gate(batch_share=0.2)
        gate.line.add(now, req)
        req = gate.line.pop(now)
        gate.running[req.request_id] = req
    """

    def __init__(self, batch_share: float) -> None:
        self.line = WaitingLine(batch_share)
        self.parked: dict[str, Request] = {}
        self.running: dict[str, Request] = {}

    def waiting(self) -> int:
        """How many wait, the parked ones among them."""
        return len(self.line) + len(self.parked)

    def waiting_requests(self) -> list[Request]:
        """All that wait, the parked ones first."""
        return [*self.parked.values(), *self.line.requests()]

    def empty(self) -> bool:
        """Whether nothing waits or runs."""
        return not self.running and not self.waiting()

    def park(self, req: Request) -> None:
        """Put a request aside until its adapter is there."""
        self.parked[req.request_id] = req

    def unpark(self, now: float, adapter: str) -> None:
        """Let the requests for ``adapter`` stand in line again."""
        for req in list(self.parked.values()):
            if adapter_of(req) == adapter:
                del self.parked[req.request_id]
                self.line.add(now, req)

    def take_out(self, request_id: str) -> bool:
        """Remove a waiting request, wherever it is; whether it waited."""
        if self.parked.pop(request_id, None) is not None:
            return True
        return self.line.remove(request_id)

    def overdue(self, now: float) -> list[Request]:
        """The waiting requests whose deadline has passed; they stay for removal."""
        due = self.next_waiting_deadline()
        if due is None or due > now:
            return []
        return [req for req in self.waiting_requests() if req.deadline <= now]

    def next_waiting_deadline(self) -> float | None:
        """The earliest deadline of those that wait."""
        ends = [req.deadline for req in self.parked.values()]
        first = self.line.next_deadline()
        return min([*ends, first] if first is not None else ends, default=None)

    def next_deadline(self) -> float | None:
        """The earliest deadline of all requests here."""
        ends = [req.deadline for req in self.running.values()]
        first = self.next_waiting_deadline()
        return min([*ends, first] if first is not None else ends, default=None)

    def urgency(self) -> int:
        """The most urgent priority that waits; 9 if nothing does."""
        return min((req.priority for req in self.waiting_requests()), default=9)

    def adapters_in_use(self) -> set[str]:
        """The adapters that waiting or running requests need."""
        return {adapter_of(req) for req in self._all()} - {""}

    def _all(self) -> Iterator[Request]:
        yield from self.waiting_requests()
        yield from self.running.values()


def adapter_of(req: Request) -> str:
    """The adapter that a request calls, or ""."""
    return req.target.adapter if isinstance(req.target, ModelTarget) else ""
