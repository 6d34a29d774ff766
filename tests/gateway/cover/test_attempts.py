"""The next action after an attempt that ended without a complete answer."""

import unittest

from bambootiller_core.gateway.attempts import (
    AttemptOutcome,
    CutOff,
    Refusal,
    RefusalReason,
    SendAgain,
    give_up,
    next_action,
)
from bambootiller_core.gateway.calls import Progress
from bambootiller_core.gateway.config import CallKind
from tests.gateway.common import samples


def decide(kind, outcome, progress, now=1.0, **fields):
    """The next action for a call of this kind after such an attempt."""
    route = samples.route(kind, max_attempts=fields.pop("max_attempts", 2), **fields)
    return next_action(samples.call(route), progress, outcome, now)


def sent(**fields):
    """The progress of a call that was sent once."""
    return Progress(tried=["b1"], sends=1, **fields)


class TestNotRun(unittest.TestCase):
    def test_any_call_that_certainly_did_not_run_is_sent_again(self):
        for kind in CallKind:
            decision = decide(kind, AttemptOutcome.REFUSED, sent())
            self.assertEqual(decision, SendAgain(False, True), kind)

    def test_a_connection_that_was_never_made_costs_no_retry_budget(self):
        decision = decide(CallKind.NON_IDEMPOTENT, AttemptOutcome.NOT_SENT, sent())
        self.assertEqual(decision, SendAgain(False, False))

    def test_the_limit_of_attempts_is_kept(self):
        decision = decide(
            CallKind.IDEMPOTENT, AttemptOutcome.REFUSED, sent(), max_attempts=1
        )
        self.assertEqual(decision.reason, RefusalReason.REFUSED_BY_BACKEND)
        self.assertEqual(decision.status, 503)
        self.assertIsNotNone(decision.come_back_s)


class TestUnreachable(unittest.TestCase):
    def test_a_backend_server_that_was_not_reached_uses_up_no_attempt(self):
        """Symptom: a call that may make two attempts fails after one refusal.

        The connection to its first backend server failed, and the second one refused
        it. The failed connection counted as one of the two attempts.
        """
        progress = Progress(tried=["b1", "b2"], sends=1)
        decision = decide(CallKind.NON_IDEMPOTENT, AttemptOutcome.REFUSED, progress)
        self.assertEqual(decision, SendAgain(False, True))


class TestMayHaveRun(unittest.TestCase):
    def test_a_non_idempotent_call_is_never_sent_again(self):
        decision = decide(
            CallKind.NON_IDEMPOTENT, AttemptOutcome.UNKNOWN, sent(may_have_run=True)
        )
        self.assertEqual(decision, Refusal(RefusalReason.OUTCOME_UNKNOWN))
        self.assertEqual(decision.status, 502)

    def test_a_stream_that_cannot_be_resumed_is_not_sent_again(self):
        decision = decide(
            CallKind.STREAM, AttemptOutcome.UNKNOWN, sent(may_have_run=True)
        )
        self.assertEqual(decision.status, 502)

    def test_an_idempotent_call_is_sent_again(self):
        progress = sent(may_have_run=True)
        decision = decide(CallKind.IDEMPOTENT, AttemptOutcome.UNKNOWN, progress)
        self.assertEqual(decision, SendAgain(False, True))

    def test_a_later_refusal_does_not_settle_an_unknown_first_attempt(self):
        progress = Progress(tried=["b1", "b2"], sends=2, may_have_run=True)
        decision = decide(CallKind.IDEMPOTENT, AttemptOutcome.REFUSED, progress)
        self.assertEqual(decision.reason, RefusalReason.OUTCOME_UNKNOWN)


class TestBrokenStreams(unittest.TestCase):
    def test_a_resumable_stream_continues_after_its_last_event(self):
        progress = sent(may_have_run=True, forwarded=True, last_event=4)
        decision = decide(
            CallKind.STREAM, AttemptOutcome.BROKEN, progress, resumable=True
        )
        self.assertEqual(decision, SendAgain(True, True))

    def test_another_stream_is_cut_off_so_that_it_does_not_look_complete(self):
        progress = sent(may_have_run=True, forwarded=True, last_event=4)
        decision = decide(CallKind.STREAM, AttemptOutcome.BROKEN, progress)
        self.assertEqual(decision, CutOff())

    def test_a_stream_without_a_numbered_event_cannot_be_resumed(self):
        progress = sent(may_have_run=True, forwarded=True)
        decision = decide(
            CallKind.STREAM, AttemptOutcome.BROKEN, progress, resumable=True
        )
        self.assertEqual(decision, CutOff())


class TestDeadlines(unittest.TestCase):
    def test_a_call_that_was_not_sent_may_be_retried(self):
        decision = give_up(Progress(), timed_out=True)
        self.assertEqual(decision.status, 503)
        self.assertIsNotNone(decision.come_back_s)

    def test_a_call_that_may_have_run_does_not_get_a_retryable_status(self):
        decision = give_up(sent(may_have_run=True), timed_out=True)
        self.assertEqual(decision.status, 504)
        self.assertIsNone(decision.come_back_s)

    def test_no_attempt_starts_without_time_left(self):
        progress = sent(may_have_run=True)
        decision = decide(
            CallKind.IDEMPOTENT, AttemptOutcome.UNKNOWN, progress, now=9.99
        )
        self.assertEqual(decision.reason, RefusalReason.OUTCOME_UNKNOWN)
