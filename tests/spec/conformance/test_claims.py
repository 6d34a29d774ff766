"""The core's book of claims goes no way that the specification doesn't have."""

import random
import unittest
from collections import Counter

from bambootiller_core._claim_entries import Phase
from bambootiller_core.claims import (
    ClaimAttempt,
    ClaimBook,
    Claimed,
    ClaimRecord,
    ClaimState,
    Taken,
    decode_claim,
)
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.ports import Committed, Conflict, Found, Record, Unknown
from spec import Action, registered
from spec.claims import (
    CREATE,
    DEAD,
    EARLIER,
    FREE,
    OWNER,
    RECLAIM,
    RELEASE,
    RELEASING,
    SENT,
    STOPPED,
    TAKEN,
    UNSURE,
)
from tests.spec.common.walks import walk

KEY = "/bambootiller/claims/customer/caller/key"
DIGEST = "digest"
FOR_EVER = 1e9
WALKS = 150
STEPS = 60
RARE = frozenset({"agent_is_killed", "attempt_gives_up", "service_fails"})
KINDS = {ClaimState.RELEASED: RELEASE}


class ClaimsMirror:
    """
    A book for each attempt, the claim's record, and the writes on the wire.

    Where a book waits for an answer that the specification doesn't speak of, the walk
    takes the step "book goes on", which changes nothing in the specification.
    """

    def __init__(self, spec):
        self.spec = spec
        self.now = 0.0
        self.revision = 0
        self.record: Record | None = None
        if spec.bounds["released_first"]:
            earlier = ClaimRecord("t-earlier", "i", "r", DIGEST, ClaimState.RELEASED)
            self._put(earlier.encode())
        count = spec.bounds["attempts"]
        self.books = [
            ClaimBook(random.Random(n), lambda _: False) for n in range(count)
        ]
        self.wire: list[dict] = [{} for _ in range(count)]
        # The write whose answer the book waits for, and that answer once it is there.
        self.awaited: list = [None] * count
        self.answer: list = [None] * count

    # What is drawn.

    def choices(self, state, successors):
        kept = [one for one in successors if self._can(state, *one)]
        for number, attempt in enumerate(state.attempts):
            if not attempt.paused and self._can_go_on(state, number, attempt.phase):
                kept.append((Action("book goes on", (number,)), state))
        return kept

    def _can(self, state, action, after) -> bool:
        check = getattr(self, f"_can_{action.name}", None)
        return check is None or check(state, *action.args)

    def _can_attempt_reads_claim(self, state, number):
        return self._hears(state, number)

    _can_attempt_reclaims = _can_attempt_reads_claim

    def _can_attempt_repeats_create(self, state, number):
        reads = self._phase(number) is Phase.READ
        return state.service_up and self.record is None and reads

    def _can_attempt_loses_claim_answer(self, state, number):
        return self.awaited[number] is not None and self.answer[number] is None

    def _can_attempt_clears_up(self, state, number):
        return self._phase(number) is Phase.WRITE

    def _can_attempt_gives_up(self, state, number):
        return self.answer[number] is None

    def _can_write_lands(self, state, number, kind):
        return kind != RELEASE or self._holds(self.wire[number][kind])

    def _hears(self, state, number) -> bool:
        """Whether the book can learn what stands under the key at this moment."""
        if self.awaited[number] is None:
            return state.service_up and self._phase(number) is Phase.READ
        answer = self.answer[number]
        return isinstance(answer, Committed) or (
            isinstance(answer, Conflict) and answer.revision == self.revision
        )

    def _can_go_on(self, state, number, phase) -> bool:
        awaits = self.awaited[number] is not None
        if phase == UNSURE:
            # The answer to a repeated claim is lost as well.
            return awaits
        reads = state.service_up and self._phase(number) is Phase.READ
        return phase in (STOPPED, RELEASING, SENT) and (awaits or reads)

    # The key-value service.

    def _put(self, value: bytes) -> int:
        self.revision += 1
        self.record = Record(KEY, value, self.revision, 1)
        return self.revision

    def _holds(self, write) -> bool:
        present = self.record.mod_revision if self.record else 0
        return write.compares[0].mod_revision == present

    def _records(self):
        return (self.record,) if self.record else ()

    def _transact(self, write):
        if not self._holds(write):
            return Conflict(self._records(), self.revision)
        return Committed(self._put(write.puts[0].value))

    def _claim(self):
        """The record as the specification sees it."""
        if self.record is None:
            return FREE, False
        claim = decode_claim(self.record.value)
        released = claim.state is ClaimState.RELEASED
        if claim.token == "t-earlier":
            return EARLIER, released
        return int(claim.token.removeprefix("t-")), released

    # The books.

    def _token(self, number: int) -> str:
        return f"t-{number}"

    def _phase(self, number: int):
        entry = self.books[number]._entries.get(self._token(number))
        return entry.phase if entry else None

    def _send(self, number: int, kind: str):
        write = self.books[number].next_write(self.now)
        assert write is not None, f"the book of {number} writes nothing"
        assert KINDS.get(write.written[0][1], kind) == kind, write
        self.wire[number][kind] = write
        self.awaited[number], self.answer[number] = write, None

    def _tell(self, number: int, outcome):
        write, self.awaited[number] = self.awaited[number], None
        self.answer[number] = None
        return self.books[number].on_written(self.now, write, outcome)

    def _learn(self, number: int):
        """Deliver the answer that is there, or have the book read."""
        if self.awaited[number] is not None:
            return self._tell(number, self.answer[number])
        read = self.books[number].next_read(self.now)
        assert read is not None, f"the book of {number} reads nothing"
        found = Found(self._records(), self.revision)
        return self.books[number].on_read(self.now, read.token, found)

    # What is carried out.

    def follow(self, before, action, after):
        self.now += 10.0
        name = action.name.replace(" ", "_")
        handler = getattr(self, f"_{name}", None)
        settled = handler(before, *action.args) if handler else None
        for number, attempt in enumerate(after.attempts):
            moved = attempt.phase != before.attempts[number].phase
            mine = [one for one in settled or () if one.token == self._token(number)]
            if moved and attempt.phase == OWNER:
                assert [type(one.outcome) for one in mine] == [Claimed]
            elif moved and attempt.phase == TAKEN:
                assert [type(one.outcome) for one in mine] == [Taken]
            else:
                assert not mine, f"attempt {number} came to {mine}"
            self._runs_under_its_claim_alone(number, attempt.phase)
        assert self._claim() == (after.owner, after.released), self._claim()

    def _runs_under_its_claim_alone(self, number, phase):
        if phase in (OWNER, DEAD):
            return
        try:
            self.books[number].start(self._token(number))
        except InvariantBroken:
            return
        raise AssertionError(f"attempt {number} could start in phase {phase}")

    def _attempt_claims(self, state, number):
        attempt = ClaimAttempt(
            self._token(number), KEY, f"i-{number}", f"r-{number}", DIGEST, FOR_EVER
        )
        self.books[number].want(self.now, attempt)
        self._send(number, CREATE)

    def _attempt_loses_claim_answer(self, state, number):
        return self._tell(number, Unknown("no answer"))

    def _attempt_reads_claim(self, state, number):
        return self._learn(number)

    def _attempt_reclaims(self, state, number):
        settled = self._learn(number)
        self._send(number, RECLAIM)
        return settled

    def _attempt_repeats_create(self, state, number):
        settled = self._learn(number)
        self._send(number, CREATE)
        return settled

    def _attempt_sends_call(self, state, number):
        self.books[number].start(self._token(number))

    def _attempt_gives_up(self, state, number):
        self.books[number].give_up(self.now, self._token(number))

    def _attempt_clears_up(self, state, number):
        self._send(number, RELEASE)

    def _attempt_releases(self, state, number):
        self.books[number].close(self.now, self._token(number), ClaimState.RELEASED)
        self._send(number, RELEASE)

    def _book_goes_on(self, state, number):
        unsure = state.attempts[number].phase == UNSURE
        if self.awaited[number] is not None:
            if unsure or self.answer[number] is None:
                return self._tell(number, Unknown("no answer"))
        return self._learn(number)

    def _write_lands(self, state, number, kind):
        write = self.wire[number].pop(kind)
        outcome = self._transact(write)
        if write is self.awaited[number]:
            self.answer[number] = outcome

    def _write_is_lost(self, state, number, kind):
        """A write that fails by its compare is lost for the specification too."""
        write = self.wire[number].pop(kind)
        if (
            not self._holds(write)
            and state.service_up
            and write is self.awaited[number]
        ):
            self.answer[number] = Conflict(self._records(), self.revision)

    def _agent_is_killed(self, state, number):
        self.books[number] = ClaimBook(random.Random(number), lambda _: False)
        self.awaited[number] = self.answer[number] = None


class TestClaimsConformance(unittest.TestCase):
    def walk_all(self, **bounds) -> Counter:
        taken: Counter = Counter()
        for seed in range(WALKS):
            spec = registered()["claims"](bounds)
            taken += walk(spec, seed, STEPS, ClaimsMirror(spec), RARE)
        return taken

    def test_the_book_settles_and_releases_claims_as_specified(self):
        for released_first in (False, True):
            with self.subTest(released_first=released_first):
                taken = self.walk_all(attempts=3, released_first=released_first)
                expected = registered()["claims"]().expected_steps()
                if released_first:
                    # The key is never absent, so the book has nothing to create again.
                    expected -= {"attempt_repeats_create"}
                self.assertEqual(expected - taken.keys(), frozenset())
                self.assertGreater(taken["book goes on"], 0)
