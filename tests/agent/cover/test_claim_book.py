"""The book of claims, step by step, and what it writes."""

import random
import unittest

from bambootiller_core.claims import (
    MAX_BATCH,
    ClaimAttempt,
    ClaimBook,
    Claimed,
    ClaimRecord,
    ClaimState,
    ClaimUnavailable,
    KeptAnswer,
    MalformedClaim,
    Mismatch,
    Replay,
    Settled,
    Taken,
    claim_key,
    decode_claim,
    fingerprint,
    refusal,
)
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.outcomes import Executed
from bambootiller_core.ports import Unavailable, Unknown
from bambootiller_core.template import WhenStoreDown
from tests.agent.common.claim_service import ClaimService

KEY = "/claims/a"
ANSWER = KeptAnswer(201, (("content-type", "text/plain"),), b"certificate 1")


def attempt(token, key=KEY, body="one", deadline=10.0, when=WhenStoreDown.WAIT):
    return ClaimAttempt(token, key, "i-1", f"r-{token}", body, deadline, when)


class BookTestCase(unittest.TestCase):
    def setUp(self):
        self.service = ClaimService()
        self.book = ClaimBook(random.Random(1))

    def write(self, now=0.0):
        """Carry out the due transaction and report it."""
        write = self.book.next_write(now)
        outcome = self.service.apply(write.compares, write.puts)
        return self.book.on_written(now, write, outcome)

    def read(self, now=0.0):
        read = self.book.next_read(now)
        return self.book.on_read(now, read.token, self.service.get(read.key))

    def claimed(self, token, **kwargs):
        self.book.want(0.0, attempt(token, **kwargs))
        return self.write()

    def ended(self, token, state, answer=None):
        self.book.start(token)
        self.book.close(0.0, token, state, answer)
        self.write()


class TestOutcomes(BookTestCase):
    def test_the_first_attempt_gets_the_claim(self):
        self.assertEqual(self.claimed("t-1"), [Settled("t-1", Claimed("t-1"))])

    def test_a_repeat_of_an_answered_call_gets_its_answer(self):
        self.claimed("t-1")
        self.ended("t-1", ClaimState.DONE, ANSWER)
        self.assertEqual(self.claimed("t-2"), [Settled("t-2", Replay(ANSWER))])

    def test_a_repeat_of_a_cut_call_is_told_unknown_at_once(self):
        self.claimed("t-1")
        self.ended("t-1", ClaimState.CUT)
        (settled,) = self.claimed("t-2")
        self.assertIsInstance(settled.outcome, Taken)
        self.assertEqual(refusal(settled.outcome).executed, Executed.UNKNOWN)

    def test_a_repeat_of_a_call_whose_answer_was_too_large_is_told_that_it_ran(self):
        self.claimed("t-1")
        self.ended("t-1", ClaimState.DONE)
        (settled,) = self.claimed("t-2")
        self.assertEqual(refusal(settled.outcome).executed, Executed.YES)

    def test_a_key_used_for_another_request_is_refused_as_not_run(self):
        self.claimed("t-1")
        (settled,) = self.claimed("t-2", body="other")
        self.assertIsInstance(settled.outcome, Mismatch)
        self.assertEqual(refusal(settled.outcome).executed, Executed.NO)

    def test_a_released_call_may_be_claimed_anew(self):
        self.claimed("t-1")
        self.book.give_up(0.0, "t-1")
        self.write()
        self.assertEqual(self.claimed("t-2"), [])
        self.assertEqual(self.write(), [Settled("t-2", Claimed("t-2"))])

    def test_a_repeat_waits_for_the_running_attempt_and_gets_its_answer(self):
        self.claimed("t-1")
        self.assertEqual(self.claimed("t-2"), [])
        self.ended("t-1", ClaimState.DONE, ANSWER)
        self.assertEqual(self.read(1.0), [Settled("t-2", Replay(ANSWER))])

    def test_a_repeat_whose_time_ends_while_another_runs_is_told_unknown(self):
        self.claimed("t-1")
        self.claimed("t-2", deadline=1.0)
        (settled,) = self.book.expire(1.0)
        self.assertEqual(refusal(settled.outcome).executed, Executed.UNKNOWN)

    def test_claims_that_wait_together_go_into_one_transaction(self):
        for number in range(MAX_BATCH + 1):
            self.book.want(0.0, attempt(f"t-{number}", key=f"/claims/{number}"))
        self.assertEqual(len(self.write()), MAX_BATCH)
        self.assertEqual(len(self.write()), 1)

    def test_a_conflict_settles_the_existing_and_the_rest_is_written_again(self):
        self.claimed("t-1")
        self.ended("t-1", ClaimState.DONE, ANSWER)
        self.book.want(0.0, attempt("t-2"))
        self.book.want(0.0, attempt("t-3", key="/claims/b"))
        self.assertEqual(self.write(), [Settled("t-2", Replay(ANSWER))])
        self.assertEqual(self.write(), [Settled("t-3", Claimed("t-3"))])

    def test_an_unreadable_claim_is_never_overwritten(self):
        self.claimed("t-1")
        record = self.service.records[KEY]
        self.service.records[KEY] = type(record)(KEY, b"{", record.mod_revision)
        (settled,) = self.claimed("t-2")
        self.assertEqual(settled.outcome, Taken(None))

    def test_a_run_without_a_claim_breaks_an_invariant(self):
        self.book.want(0.0, attempt("t-1"))
        with self.assertRaises(InvariantBroken):
            self.book.start("t-1")

    def test_a_second_run_under_one_claim_breaks_an_invariant(self):
        self.claimed("t-1")
        self.book.start("t-1")
        with self.assertRaises(InvariantBroken):
            self.book.start("t-1")

    def test_a_started_call_cannot_be_given_up_as_not_run(self):
        self.claimed("t-1")
        self.book.start("t-1")
        with self.assertRaises(InvariantBroken):
            self.book.give_up(0.0, "t-1")


class TestLostAnswers(BookTestCase):
    def lose(self, now=0.0, applied=False):
        """End the due transaction without an answer; return it."""
        write = self.book.next_write(now)
        if applied:
            self.service.apply(write.compares, write.puts)
        self.book.on_written(now, write, Unknown("cut"))
        return write

    def test_a_claim_that_took_effect_is_found_by_reading(self):
        self.book.want(0.0, attempt("t-1"))
        self.lose(applied=True)
        self.assertEqual(self.read(), [Settled("t-1", Claimed("t-1"))])

    def test_a_claim_that_is_given_up_in_doubt_cannot_arrive_later(self):
        """Symptom: every repeat of a call that never ran is told "unknown".

        Sequence: a create is delayed in the network, the attempt is refused as not
        run, and the create arrives after that. Cause: nothing stood under the key that
        would have made it fail.
        """
        self.book.want(0.0, attempt("t-1"))
        late = self.lose()
        (settled,) = self.book.expire(10.0)
        self.assertIsInstance(settled.outcome, ClaimUnavailable)
        # The release finds another key's conflict first, then the absent key.
        self.lose(10.0)
        self.read(10.0)
        self.write(20.0)
        self.service.apply(late.compares, late.puts)
        self.assertIs(self.service.claim(KEY).state, ClaimState.RELEASED)
        self.assertEqual(len(self.book), 0)

    def test_a_delayed_claim_of_a_released_record_cannot_arrive_later(self):
        """Symptom: as above, after a release by an earlier attempt.

        Sequence: a compare-and-swap on the released record is delayed, the attempt
        gives up and reads that the record is another's. Cause: it took that for proof
        that its own write had failed, although the revision was still the one that
        the write compares with.
        """
        self.claimed("t-1")
        self.book.give_up(0.0, "t-1")
        self.write()
        self.claimed("t-2")
        late = self.lose()
        self.book.expire(10.0)
        self.lose(10.0)
        self.read(10.0)
        self.write(20.0)
        self.service.apply(late.compares, late.puts)
        self.assertIs(self.service.claim(KEY).state, ClaimState.RELEASED)
        self.assertEqual(len(self.book), 0)


class TestOutage(BookTestCase):
    def unavailable(self, now=0.0):
        write = self.book.next_write(now)
        return self.book.on_written(now, write, Unavailable("down"))

    def test_refuse_answers_at_once_that_the_call_is_not_run(self):
        self.book.want(0.0, attempt("t-1", when=WhenStoreDown.REFUSE))
        (settled,) = self.unavailable()
        self.assertEqual(refusal(settled.outcome).executed, Executed.NO)
        self.assertEqual(len(self.book), 0)

    def test_wait_claims_when_the_service_is_back(self):
        self.book.want(0.0, attempt("t-1", when=WhenStoreDown.WAIT))
        self.assertEqual(self.unavailable(), [])
        self.assertEqual(self.write(5.0), [Settled("t-1", Claimed("t-1"))])

    def test_wait_ends_at_the_deadline_without_a_trace(self):
        self.book.want(0.0, attempt("t-1", when=WhenStoreDown.WAIT))
        self.unavailable()
        (settled,) = self.book.expire(10.0)
        self.assertEqual(refusal(settled.outcome).executed, Executed.NO)
        self.assertEqual(len(self.book), 0)


class TestRecords(unittest.TestCase):
    def test_a_record_reads_as_it_was_written(self):
        record = ClaimRecord("t", "i-1", "r", "f", ClaimState.DONE, ANSWER)
        self.assertEqual(decode_claim(record.encode()), record)

    def test_what_is_no_record_reads_as_malformed(self):
        for value in (b"", b"[]", b"3", b'{"token": "t"}', b"\xff"):
            self.assertIsInstance(decode_claim(value), MalformedClaim, value)

    def test_no_part_of_a_key_reaches_into_another(self):
        self.assertNotEqual(claim_key("a", "b/c", "d"), claim_key("a", "b", "c/d"))

    def test_moving_bytes_between_parts_changes_the_fingerprint(self):
        self.assertNotEqual(
            fingerprint("POST", "/a", b"bc"), fingerprint("POST", "/ab", b"c")
        )


if __name__ == "__main__":
    unittest.main()
