"""What the book of claims keeps for each attempt, and what it asks of its shell."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bambootiller_core._claim_outcomes import ClaimUnavailable, Taken
from bambootiller_core._claim_records import ClaimRecord, ClaimState, KeptAnswer
from bambootiller_core.ports import Compare, Put
from bambootiller_core.template import WhenStoreDown

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


@dataclass(frozen=True, slots=True)
class ClaimAttempt:
    """One attempt of one agent to get a call for itself. ``token`` must be unique among
    all attempts of all processes, ever."""

    token: str
    key: str
    holder: str
    request_id: str
    fingerprint: str
    deadline: float
    when_down: WhenStoreDown = WhenStoreDown.REFUSE

    def record(
        self, state: ClaimState, answer: KeptAnswer | None = None
    ) -> ClaimRecord:
        """The record of this attempt in a state."""
        return ClaimRecord(
            self.token, self.holder, self.request_id, self.fingerprint, state, answer
        )


@dataclass(frozen=True, slots=True)
class ClaimWrite:
    """A transaction to carry out; hand it back with its outcome."""

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    written: tuple[tuple[str, ClaimState], ...]


@dataclass(frozen=True, slots=True)
class ClaimRead:
    """A key to read on behalf of the attempt with ``token``."""

    token: str
    key: str


class Phase(enum.Enum):
    """What an attempt waits for."""

    WRITE = "write"
    WRITING = "writing"
    READ = "read"
    READING = "reading"
    HELD = "held"


@dataclass(slots=True, eq=False)
class Entry:
    """An attempt that isn't closed yet.

    ``base`` is the revision that the next write compares with. ``owns``: our record
    stands there. ``doubt``: a write of ``CLAIMED`` on that base may have taken effect,
    or may yet.
    """

    attempt: ClaimAttempt
    due: float
    goal: ClaimState = ClaimState.CLAIMED
    answer: KeptAnswer | None = None
    base: int = 0
    owns: bool = False
    phase: Phase = Phase.WRITE
    failures: int = 0
    doubt: bool = False
    started: bool = False
    holder_seen: ClaimRecord | None = None
    wait_until: float = 0.0

    def schedule(self, phase: Phase, due: float) -> None:
        """Have ``phase`` begin at ``due``."""
        self.phase = phase
        self.due = due

    @property
    def longest_backoff(self) -> float:
        """The longest wait before the next try, in seconds; it grows with failures."""
        return min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.failures, 10))

    @property
    def limit(self) -> float:
        """Until when the attempt may go on trying, or waiting for a holder."""
        if self.holder_seen is None:
            return self.attempt.deadline
        return min(self.attempt.deadline, self.wait_until)

    @property
    def outcome_at_limit(self) -> Taken | ClaimUnavailable:
        """What the attempt comes to when that time is over."""
        if self.holder_seen is not None:
            return Taken(self.holder_seen)
        return ClaimUnavailable("the key-value service didn't settle it in time")

    @property
    def value(self) -> bytes:
        """The record that reaches the goal."""
        return self.attempt.record(self.goal, self.answer).encode()
