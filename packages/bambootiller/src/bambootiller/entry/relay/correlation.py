"""Whether an event belongs to the attempt that it arrived on.

A backend server or a connection that mixes up streams hands one caller the answer of
another. It shows as a foreign request id, or as a sequence that skips or repeats. Such
an event is never passed on, and nothing after it on that stream is trusted: the attempt
counts as broken, and what came before it, being complete up to there, still stands.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Why a stream of events can't be trusted any further."""

    detail: str


class EventCheck:
    """Checks the events of one attempt, in the order in which they arrive.

    Example::

        check = EventCheck("r-1")
        check.fault("r-1", 0)  # None
        check.fault("r-1", 2)  # Fault: event 1 is missing
    """

    __slots__ = ("_request_id", "_expected")

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._expected = 0

    def fault(self, request_id: str, sequence: int) -> Fault | None:
        """None if the event is the next one of this request."""
        if request_id != self._request_id:
            return Fault(f"an event of another request arrived, {request_id!r}")
        expected = self._expected
        if sequence != expected:
            kind = "arrived again" if sequence < expected else "is missing"
            which = sequence if sequence < expected else expected
            return Fault(f"event {which} {kind}")
        self._expected = expected + 1
        return None
