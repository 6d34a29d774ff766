"""The order in which the requests that wait at one replica are served.

Callers with the more urgent priority go first, among them the nearest deadline, and at
one deadline the greater standing. Batch work stands in a line of its own and gets a
bounded share of the starts while others wait, so it can neither delay a pupil by much
nor starve. Both lines are kept sorted, so that the place of an arriving request, on
which admission decides, is one binary search away.
"""

from __future__ import annotations

import bisect
import itertools

from bambootiller_core.invariants import ensure
from bambootiller_core.types import Request

_Key = tuple[int, float, float, float]
#: Sorts behind all request ids that are of use.
_LAST = "\U0010ffff"


class WaitingLine:
    """The requests that wait for one replica.

    ``batch_share`` in [0, 1] is the share of starts that batch work gets while other
    work waits as well; with nothing else waiting, batch work gets all of them.

    Example::

        line = WaitingLine(batch_share=0.2)
        line.add(0.0, req)
        line.ahead_of(other)   # how many would start before it
        line.pop(0.5)          # the request to start now, or None
    """

    def __init__(self, batch_share: float = 0.2) -> None:
        if not 0.0 <= batch_share <= 1.0:
            raise ValueError(f"batch_share is {batch_share}; it must be within [0, 1]")
        self.batch_share = batch_share
        self._count = itertools.count()
        self._waiting: dict[str, tuple[_Key, Request]] = {}
        self._urgent: list[tuple[_Key, str]] = []
        self._batch: list[tuple[_Key, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._credit = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def add(self, now: float, req: Request) -> None:
        """Let ``req`` wait from ``now`` on; a request waits at most once."""
        ensure(
            req.request_id not in self._waiting,
            "one-place-in-line",
            f"request {req.request_id} waits already at {now}",
        )
        key = self._key_of(req, next(self._count))
        self._waiting[req.request_id] = (key, req)
        bisect.insort(self._line_of(req), (key, req.request_id))
        bisect.insort(self._deadlines, (req.deadline, req.request_id))

    def pop(self, now: float) -> Request | None:
        """Take out the request to start now; None if none waits that is still in time.

        Requests past their deadline are never returned: they stay until ``expired``
        hands them out for their final answer.
        """
        urgent = self._first_in_time(self._urgent, now)
        batch = self._first_in_time(self._batch, now)
        if urgent is not None and batch is not None:
            self._credit = min(1.0, self._credit + self.batch_share)
        if batch is not None and (urgent is None or self._credit >= 1.0 - 1e-9):
            if urgent is not None:
                self._credit = 0.0
            urgent = None
        chosen = urgent if urgent is not None else batch
        if chosen is None:
            return None
        req = self._waiting[chosen][1]
        self.remove(chosen)
        return req

    def remove(self, request_id: str) -> bool:
        """Take a request out, wherever it stands; whether it waited."""
        entry = self._waiting.pop(request_id, None)
        if entry is None:
            return False
        key, req = entry
        _take(self._line_of(req), (key, request_id))
        _take(self._deadlines, (req.deadline, request_id))
        return True

    def expired(self, now: float) -> list[Request]:
        """Take out and return the requests whose deadline has passed."""
        count = bisect.bisect_right(self._deadlines, (now, _LAST))
        late = [self._waiting[name][1] for _, name in self._deadlines[:count]]
        for req in late:
            self.remove(req.request_id)
        return late

    def next_deadline(self) -> float | None:
        """The earliest deadline in the line, or None if it is empty."""
        return self._deadlines[0][0] if self._deadlines else None

    def ahead_of(self, req: Request) -> int:
        """How many of the waiting requests are to start before ``req``.

        ``req`` may wait here already or only be about to; an arriving one stands behind
        its equals. The share of batch work is counted on both sides.
        """
        entry = self._waiting.get(req.request_id)
        key = entry[0] if entry else self._key_of(req, float("inf"))
        own = bisect.bisect_left(self._line_of(req), (key, req.request_id))
        share = self.batch_share
        if not req.batch:
            passing = int(own * share / (1.0 - share)) if share < 1.0 else own
            return own + min(len(self._batch), passing)
        if share <= 0.0:
            return own + len(self._urgent)
        passing = int((own + 1) * (1.0 - share) / share)
        return own + min(len(self._urgent), passing)

    def requests(self) -> tuple[Request, ...]:
        """All that wait, batch work last, each line in its order of service."""
        return tuple(self._waiting[name][1] for _, name in self._urgent + self._batch)

    def _key_of(self, req: Request, count: float) -> _Key:
        return (req.priority, req.deadline, -req.standing, count)

    def _line_of(self, req: Request) -> list[tuple[_Key, str]]:
        return self._batch if req.batch else self._urgent

    def _first_in_time(self, line: list[tuple[_Key, str]], now: float) -> str | None:
        for _, name in line:
            if self._waiting[name][1].deadline > now:
                return name
        return None


def _take(line: list, item: tuple) -> None:
    """Delete ``item`` from a sorted list that has it."""
    del line[bisect.bisect_left(line, item)]
