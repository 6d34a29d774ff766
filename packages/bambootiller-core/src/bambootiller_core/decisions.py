"""Bounded records of decisions, from which ``bambootiller explain`` answers.

A decision that nobody can explain afterwards can't be trusted, and a log of every
figure would outgrow an instance without disks. So each process keeps the last decisions
of each subject, each with the figures that it was made on, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

Figure = str | int | float | bool


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision: about whom, what was decided, why, and on which figures."""

    at: float
    subject: str
    kind: str
    outcome: str
    reason: str
    figures: dict[str, Figure] = field(default_factory=dict)


class DecisionLog:
    """The last ``per_subject`` decisions of the last ``subjects`` subjects.

    Subjects are written ``request/ID``, ``model/CUSTOMER/MODEL`` or ``instance/NAME``.
    """

    def __init__(self, subjects: int = 2000, per_subject: int = 16) -> None:
        self._subjects = subjects
        self._per_subject = per_subject
        self._log: OrderedDict[str, deque[Decision]] = OrderedDict()

    def record(
        self,
        now: float,
        subject: str,
        kind: str,
        outcome: str,
        reason: str,
        **figures: Figure,
    ) -> Decision:
        """Note a decision and return it; the oldest subject makes room."""
        decision = Decision(now, subject, kind, outcome, reason, figures)
        entries = self._log.get(subject)
        if entries is None:
            entries = self._log[subject] = deque(maxlen=self._per_subject)
            if len(self._log) > self._subjects:
                self._log.popitem(last=False)
        self._log.move_to_end(subject)
        entries.append(decision)
        return decision

    def about(self, subject: str) -> tuple[Decision, ...]:
        """The decisions about a subject, oldest first; empty if none is kept."""
        return tuple(self._log.get(subject, ()))

    def subjects(self) -> tuple[str, ...]:
        """The subjects that have records, least recently noted first."""
        return tuple(self._log)
