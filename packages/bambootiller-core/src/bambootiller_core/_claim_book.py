"""The claims of one agent as a state machine without input or output.

The book says which transaction to write and which key to read next, and is told what
came of it. It never concludes anything from silence: a write without an answer puts its
attempts in doubt, and only the record under the key, or a write that makes any delayed
one fail its compare, ends the doubt.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from bambootiller_core._claim_entries import (
    ClaimAttempt,
    ClaimRead,
    ClaimWrite,
    Entry,
    Phase,
)
from bambootiller_core._claim_outcomes import (
    Claimed,
    ClaimUnavailable,
    Free,
    Held,
    Mismatch,
    Replay,
    Settled,
    Taken,
    meaning_of,
)
from bambootiller_core._claim_records import (
    ClaimRecord,
    ClaimState,
    KeptAnswer,
    MalformedClaim,
    decode_claim,
)
from bambootiller_core.invariants import ensure
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Found,
    Put,
    ReadOutcome,
    Record,
    Unavailable,
    Unknown,
    WriteOutcome,
)
from bambootiller_core.template import WhenStoreDown

MAX_BATCH = 32
MAX_READS = 8
#: How long a repeat waits for the answer of the attempt that holds the claim.
MAX_WAIT_FOR_HOLDER_S = 10.0
#: Records still to be closed (answers to keep, claims to release) during an outage.
#: What is dropped beyond it costs replays, never a second run.
MAX_CLOSING = 256


class ClaimBook:
    """Every attempt of this agent that isn't closed yet.

    ``may_be_running(record)`` tells whether it is worth waiting for the answer of the
    attempt that holds a claim.

    Example, with the service answering at once::

        book = ClaimBook(random.Random(1))
        book.want(now, attempt)
        write = book.next_write(now)
        book.on_written(now, write, Committed(7))   # [Settled(token, Claimed(token))]
        book.start(token)
        book.close(now, token, ClaimState.DONE, answer)
    """

    def __init__(
        self,
        rng: random.Random,
        may_be_running: Callable[[ClaimRecord], bool] = lambda record: True,
    ) -> None:
        self._rng = rng
        self._may_be_running = may_be_running
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, token: str) -> bool:
        return token in self._entries

    # What the agent wants.

    def want(self, now: float, attempt: ClaimAttempt) -> None:
        """Try to claim; the outcome comes as a :class:`Settled` later."""
        ensure(
            attempt.token not in self._entries,
            "claim-token-unique",
            f"token {attempt.token} is used twice",
        )
        self._entries[attempt.token] = Entry(attempt, due=now)

    def start(self, token: str) -> None:
        """State that the call is run now: once, and only under a settled claim."""
        entry = self._entries.get(token)
        held = entry is not None and entry.phase is Phase.HELD and not entry.started
        ensure(
            held, "at-most-once", f"attempt {token} starts without a claim of its own"
        )
        entry.started = True

    def close(
        self,
        now: float,
        token: str,
        state: ClaimState,
        answer: KeptAnswer | None = None,
    ) -> None:
        """Write how a held claim ended; ``RELEASED`` only if nothing was sent."""
        entry = self._entries.get(token)
        ensure(
            entry is not None and entry.phase is Phase.HELD,
            "claim-closed-by-holder",
            f"attempt {token} closes a claim that it doesn't hold",
        )
        self._aim(now, entry, state, answer)

    def give_up(self, now: float, token: str) -> None:
        """The attempt will not run: see to it that its claim doesn't stay behind.

        The caller may be told "not run" at once, because this process runs nothing
        without a settled claim. The record still matters to repeats: left as claimed,
        it would answer each of them with "unknown" for ever.
        """
        entry = self._entries.get(token)
        if entry is None or entry.goal is not ClaimState.CLAIMED:
            return
        ensure(
            not entry.started,
            "not-run-is-true",
            f"attempt {token} is given up as not run, but it has been started",
        )
        if entry.phase in (Phase.WRITING, Phase.READING):
            entry.goal = ClaimState.RELEASED
        elif entry.owns or entry.doubt:
            self._aim(now, entry, ClaimState.RELEASED)
        else:
            del self._entries[token]

    def expire(self, now: float) -> list[Settled]:
        """Settle the attempts whose deadline, or whose wait for a holder, is over."""
        settled = []
        for entry in list(self._entries.values()):
            if entry.goal is not ClaimState.CLAIMED or entry.phase is Phase.HELD:
                continue
            if now < entry.limit:
                continue
            settled.append(Settled(entry.attempt.token, entry.outcome_at_limit))
            self.give_up(now, entry.attempt.token)
        return settled

    def waits_for_holder(self, token: str) -> bool:
        """Whether the attempt has met the claim of another, which may run the call."""
        entry = self._entries.get(token)
        return entry is not None and entry.holder_seen is not None

    # What the key-value service is asked.

    def next_write(self, now: float) -> ClaimWrite | None:
        """The due writes as one transaction, at most one a key, or None.

        One transaction is under way at a time. What comes meanwhile waits for the next,
        so that the batches grow with the load and the number of writes doesn't.
        """
        if self._count(Phase.WRITING):
            return None
        batch: dict[str, Entry] = {}
        for entry in self._entries.values():
            if entry.phase is Phase.WRITE and entry.due <= now:
                # A transaction may not name a key twice; a repeat waits for the next
                # one, where it meets the record of the first.
                batch.setdefault(entry.attempt.key, entry)
                if len(batch) == MAX_BATCH:
                    break
        if not batch:
            return None
        for entry in batch.values():
            entry.phase = Phase.WRITING
        return ClaimWrite(
            tuple(Compare(key, entry.base) for key, entry in batch.items()),
            tuple(Put(key, entry.value) for key, entry in batch.items()),
            tuple((entry.attempt.token, entry.goal) for entry in batch.values()),
        )

    def on_written(
        self, now: float, write: ClaimWrite, outcome: WriteOutcome
    ) -> list[Settled]:
        """Take over what came of a transaction."""
        settled: list[Settled] = []
        records = outcome.records if isinstance(outcome, Conflict) else ()
        found = {record.key: record for record in records}
        for token, state in write.written:
            entry = self._entries[token]
            match outcome:
                case Committed(revision):
                    entry.base, entry.owns, entry.doubt = revision, True, False
                    settled += self._reached(now, entry, state)
                case Conflict():
                    settled += self._conflict(now, entry, found.get(entry.attempt.key))
                case Unavailable(detail):
                    settled += self._unavailable(now, entry, detail, Phase.WRITE)
                case Unknown():
                    entry.doubt = entry.doubt or state is ClaimState.CLAIMED
                    entry.schedule(Phase.READ, now)
        return settled

    def next_read(self, now: float) -> ClaimRead | None:
        """One due read, or None; at most ``MAX_READS`` are under way at a time."""
        if self._count(Phase.READING) >= MAX_READS:
            return None
        for entry in self._entries.values():
            if entry.phase is Phase.READ and entry.due <= now:
                entry.phase = Phase.READING
                return ClaimRead(entry.attempt.token, entry.attempt.key)
        return None

    def on_read(self, now: float, token: str, outcome: ReadOutcome) -> list[Settled]:
        """Take over what was read for an attempt."""
        entry = self._entries[token]
        if isinstance(outcome, Found):
            record = outcome.records[0] if outcome.records else None
            return self._observe(now, entry, record)
        return self._unavailable(now, entry, outcome.detail, Phase.READ)

    def next_due(self) -> float | None:
        """When :meth:`expire`, a write or a read is due next, or None.

        What waits for a transaction or a read under way is left out: their end is
        what it is due at.
        """
        free = set()
        if not self._count(Phase.WRITING):
            free.add(Phase.WRITE)
        if self._count(Phase.READING) < MAX_READS:
            free.add(Phase.READ)
        times = [entry.due for entry in self._entries.values() if entry.phase in free]
        times += [
            entry.limit
            for entry in self._entries.values()
            if entry.goal is ClaimState.CLAIMED and entry.phase is not Phase.HELD
        ]
        return min(times, default=None)

    # How the machine moves.

    def _aim(
        self,
        now: float,
        entry: Entry,
        goal: ClaimState,
        answer: KeptAnswer | None = None,
    ) -> None:
        entry.goal = goal
        entry.answer = answer
        entry.failures = 0
        entry.schedule(Phase.WRITE, now)
        self._make_room()

    def _make_room(self) -> None:
        closing = [
            entry
            for entry in self._entries.values()
            if entry.goal is not ClaimState.CLAIMED
            and entry.phase in (Phase.WRITE, Phase.READ)
        ]
        for entry in closing[: max(0, len(closing) - MAX_CLOSING)]:
            del self._entries[entry.attempt.token]

    def _reached(self, now: float, entry: Entry, state: ClaimState) -> list[Settled]:
        """Our record stands under the key in ``state``."""
        token = entry.attempt.token
        if state is not entry.goal:
            entry.schedule(Phase.WRITE, now)
            return []
        if state is ClaimState.CLAIMED:
            entry.phase = Phase.HELD
            return [Settled(token, Claimed(token))]
        del self._entries[token]
        return []

    def _conflict(
        self, now: float, entry: Entry, record: Record | None
    ) -> list[Settled]:
        if (record.mod_revision if record else 0) == entry.base:
            # Another key's compare failed the transaction, not this one's.
            return self._write_again(now, entry)
        return self._observe(now, entry, record)

    def _observe(
        self, now: float, entry: Entry, record: Record | None
    ) -> list[Settled]:
        """Go on from what stands under the key."""
        if record is None:
            entry.base, entry.owns = 0, False
            return self._write_again(now, entry)
        claim = decode_claim(record.value)
        if isinstance(claim, ClaimRecord) and claim.token == entry.attempt.token:
            entry.base, entry.owns, entry.doubt = record.mod_revision, True, False
            return self._reached(now, entry, claim.state)
        entry.owns = False
        if record.mod_revision != entry.base:
            # A delayed write of ours compares with a revision that is past.
            entry.doubt = False
        if entry.goal is ClaimState.CLAIMED:
            return self._observe_other(now, entry, record.mod_revision, claim)
        return self._write_again(now, entry)

    def _write_again(self, now: float, entry: Entry) -> list[Settled]:
        """The key stands as the entry's ``base`` says, without the goal reached.

        To give up, a claim of ours that may still be on its way must be made to fail:
        it would leave the key claimed by an attempt that never runs. A released record
        written on the same base does that, even where nothing of ours stands yet.
        """
        wanted = entry.goal is ClaimState.CLAIMED
        late = entry.goal is ClaimState.RELEASED and entry.doubt
        if wanted or late or entry.owns:
            entry.schedule(Phase.WRITE, now)
        else:
            del self._entries[entry.attempt.token]
        return []

    def _observe_other(
        self,
        now: float,
        entry: Entry,
        revision: int,
        claim: ClaimRecord | MalformedClaim,
    ) -> list[Settled]:
        match meaning_of(claim, entry.attempt.fingerprint):
            case Free():
                entry.holder_seen = None
                entry.base = revision
                entry.schedule(Phase.WRITE, now)
                return []
            case Held(record) if self._may_be_running(record):
                return self._await_holder(now, entry, record)
            case Held(record):
                return self._settle(now, entry, Taken(record))
            case outcome:
                return self._settle(now, entry, outcome)

    def _await_holder(
        self, now: float, entry: Entry, holder: ClaimRecord
    ) -> list[Settled]:
        if entry.holder_seen is None:
            entry.wait_until = now + MAX_WAIT_FOR_HOLDER_S
        entry.holder_seen = holder
        entry.failures += 1
        entry.schedule(Phase.READ, now + self._backoff(entry))
        return []

    def _unavailable(
        self, now: float, entry: Entry, detail: str, again: Phase
    ) -> list[Settled]:
        """The service took or told nothing: try ``again`` later, or refuse now."""
        entry.failures += 1
        entry.schedule(again, now + self._backoff(entry))
        if entry.goal is not ClaimState.CLAIMED:
            if not entry.doubt and not entry.owns:
                del self._entries[entry.attempt.token]
            return []
        if entry.attempt.when_down is WhenStoreDown.WAIT:
            return []
        if entry.holder_seen is not None:
            return self._settle(now, entry, Taken(entry.holder_seen))
        return self._settle(now, entry, ClaimUnavailable(detail))

    def _settle(
        self,
        now: float,
        entry: Entry,
        outcome: Replay | Taken | Mismatch | ClaimUnavailable,
    ) -> list[Settled]:
        entry.schedule(Phase.READ, max(entry.due, now))
        self.give_up(now, entry.attempt.token)
        return [Settled(entry.attempt.token, outcome)]

    def _count(self, phase: Phase) -> int:
        return sum(entry.phase is phase for entry in self._entries.values())

    def _backoff(self, entry: Entry) -> float:
        # All agents find the service back at the same moment; without the spread their
        # retries would arrive as one burst, and put it down again.
        return entry.longest_backoff * self._rng.uniform(0.5, 1.0)
