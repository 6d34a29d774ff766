"""What a process still has to pass on: each change a bounded number of times.

A change that every process sends to a few random peers, about as often as the logarithm
of the fleet's size, reaches all of them with near certainty, and costs each process the
same in a fleet of any size but for that logarithm. What slips through is found by
anti-entropy.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

from bambootiller_core._statements import Statement
from bambootiller_core.documents import Document, Head

Change = Statement | Document
Subject = tuple[str, str]
SENDS_PER_DOUBLING = 2.0
#: In a small fleet few processes send, so each has to reach more of its peers.
LEAST_SENDS = 8


def sends_for(members: int) -> int:
    """How often a process sends one change in a fleet of so many members.

    >>> [sends_for(n) for n in (2, 16, 64, 200, 400)]
    [8, 9, 13, 16, 18]
    """
    return max(LEAST_SENDS, math.ceil(SENDS_PER_DOUBLING * math.log2(members + 1)))


@dataclass(slots=True)
class Pending:
    """A change and how often it has been sent."""

    change: Change
    sent: int = 0


class Outbox:
    """The changes that are still to be passed on, the latest of each subject."""

    def __init__(self) -> None:
        self._pending: dict[Subject, Pending] = {}
        self.fresh = False

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, change: Change) -> None:
        """Pass ``change`` on, in place of an earlier one of the same subject."""
        self._pending[subject_of(change)] = Pending(change)
        self.fresh = True

    def take(
        self,
        most: int,
        copies: int,
        members: int,
        known: Container[Subject] = (),
    ) -> list[Pending]:
        """Up to ``most`` changes, least sent first, to be sent to ``copies`` peers.

        ``known`` are subjects that the receiver has just told of itself: telling them
        back would use up the sends that others need. The returned records show how
        often each change had been sent before.
        """
        wanted = (item for key, item in self._pending.items() if key not in known)
        chosen = sorted(wanted, key=lambda item: item.sent)[:most]
        taken = [Pending(item.change, item.sent) for item in chosen]
        limit = sends_for(members)
        for item in chosen:
            item.sent += copies
            if item.sent >= limit:
                del self._pending[subject_of(item.change)]
        self.fresh = False
        return taken


def subject_of(change: Change | Head) -> Subject:
    """What a change is about; of two changes of one subject only the later matters."""
    if isinstance(change, Statement):
        return ("member", change.instance)
    return ("document", change.key)
