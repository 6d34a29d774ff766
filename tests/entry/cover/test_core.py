"""The relay's decisions, without sockets."""

import random
import unittest
from dataclasses import replace

from bambootiller.entry.patience import PATIENCE_S
from bambootiller.entry.relay.core import (
    Attempt,
    Finish,
    RelayCore,
    Repeat,
    Wait,
)
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.outcomes import Answered, Code, Executed, Refused
from bambootiller_core.retries import MOST_ATTEMPTS, RetryBudget
from bambootiller_core.types import ModelTarget, Request, ServiceTarget

REQ = Request("r-1", "forge", "pupil", ModelTarget("tutor"), deadline=30.0)


def core(repeat=Repeat.RESUME, req=REQ, budget=None):
    return RelayCore(req, repeat, budget or RetryBudget(), random.Random(1))


class TestRelayCore(unittest.TestCase):
    def test_the_same_place_is_asked_again_only_last_and_after_a_pause(self):
        relay = core()
        self.assertEqual(relay.choose(0.0, ["a", "b"]).instance, "a")
        wait = relay.broken(0.0, "cut", ["a", "b"])
        self.assertEqual(relay.choose(wait.until, ["a", "b"]).instance, "b")
        wait = relay.broken(wait.until, "cut", ["a", "b"])
        action = relay.choose(wait.until, ["a", "b"])
        while isinstance(action, Wait):
            wait, action = action, relay.choose(action.until, ["a", "b"])
        self.assertGreater(wait.until, 0.3)
        self.assertEqual(action.instance, "a")

    def test_attempts_are_bounded_however_often_places_break(self):
        relay = core()
        now, attempts = 0.0, 0
        places = [f"i-{number}" for number in range(20)]
        action = relay.choose(now, places)
        while not isinstance(action, Finish):
            if isinstance(action, Attempt):
                attempts += 1
                action = relay.broken(now, "cut", places)
            else:
                now = action.until
                action = relay.choose(now, places)
        self.assertEqual(attempts, MOST_ATTEMPTS)
        self.assertIs(action.final.executed, Executed.UNKNOWN)

    def test_a_cut_answer_waits_for_the_holder_that_appears_a_moment_later(self):
        """Symptom: a pupil's answer ends in an error in the middle, now and then.

        Sequence: the engine of the only holder that the entry knows dies during the
        answer; the second slot's holder becomes known 100 ms later.
        Cause: with no other place at that very moment the request was given up.
        """
        relay = core()
        relay.choose(0.0, ["a"])
        relay.chunk("half an ", 2)
        cut = Refused(Code.BACKEND_FAILED, Executed.YES, "the engine died")
        wait = relay.refused(1.0, cut, ["a"])
        self.assertIsInstance(wait, Wait)
        action = relay.choose(wait.until, ["a", "b"])
        self.assertEqual(action, Attempt("b", 2, "half an ", 2))

    def test_memory_that_is_in_use_is_asked_for_again_while_the_caller_has_time(self):
        """Symptom: callers with 25 s left are refused although memory is free a second
        later.

        Sequence: all models at both holders are busy; the second refuses as well.
        Cause: the last holder's refusal was passed on at once.
        """
        relay = core()
        full = Refused(Code.NO_MEMORY, Executed.NO, "all models are in use")
        now, action = 0.0, relay.choose(0.0, ["a", "b"])
        asked = []
        while not isinstance(action, Finish):
            if isinstance(action, Attempt):
                asked.append(action.instance)
                action = relay.refused(now, full, ["a", "b"])
            else:
                now = action.until
                action = relay.choose(now, ["a", "b"])
        self.assertEqual(asked[:2], ["a", "b"])
        self.assertGreater(len(asked), 4)
        self.assertLess(now, REQ.deadline)
        self.assertIs(action.final.executed, Executed.NO)

    def test_an_empty_budget_ends_a_request_instead_of_repeating_it(self):
        relay = core(budget=RetryBudget(share=0.0, reserve=0.0))
        relay.choose(0.0, ["a", "b"])
        self.assertIsInstance(relay.broken(0.0, "cut", ["a", "b"]), Finish)

    def test_without_any_place_the_wait_is_bounded(self):
        relay = core()
        now, action = 0.0, relay.choose(0.0, [])
        while isinstance(action, Wait):
            now = action.until
            action = relay.choose(now, [])
        self.assertLessEqual(now, PATIENCE_S)
        self.assertIs(action.final.code, Code.NO_REPLICA)
        self.assertIs(action.final.executed, Executed.NO)

    def test_an_attempt_under_way_makes_a_refusal_uncertain(self):
        relay = core()
        relay.choose(0.0, ["a"])
        self.assertIs(relay.deadline_passed().final.executed, Executed.UNKNOWN)

    def test_an_attempt_that_was_refused_as_not_run_does_not(self):
        relay = core()
        relay.choose(0.0, ["a"])
        relay.refused(0.0, Refused(Code.LEAVING, Executed.NO, ""), ["a"])
        self.assertIs(relay.deadline_passed().final.executed, Executed.NO)

    def test_an_answer_that_was_begun_is_not_started_over_after_a_refusal(self):
        """Symptom: a caller gets the beginnings of two answers in one body.

        Sequence: part of a service's answer is with the caller, then the agent says
        that the service isn't there. Cause: that word was taken for a probe's answer
        whenever it came. Found by the random histories.
        """
        req = replace(REQ, target=ServiceTarget("push", "GET", "/list"))
        relay = core(Repeat.RESTART, req)
        relay.choose(0.0, ["a", "b"])
        relay.head()
        relay.data()
        relay.passed_on()
        refused = Refused(Code.UNKNOWN_SERVICE, Executed.NO, "")
        action = relay.refused(0.0, refused, ["a", "b"])
        self.assertIs(action.final.executed, Executed.YES)

    def test_a_second_final_outcome_breaks_the_invariant(self):
        relay = core()
        relay.choose(0.0, ["a"])
        relay.chunk("Hello", 1)
        finish = relay.done(1, "stop", False)
        self.assertEqual(finish.final, Answered(1))
        with self.assertRaisesRegex(InvariantBroken, "one-final-outcome"):
            relay.deadline_passed()


if __name__ == "__main__":
    unittest.main()
