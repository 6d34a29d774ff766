"""Random histories of attempts against the rules that always hold.

A failing history is printed by Hypothesis as the shortest that it finds. The long runs
draw more of them.
"""

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies as st

from bambootiller.entry.relay.core import Attempt, Finish, RelayCore, Repeat
from bambootiller.entry.relay.correlation import Fault
from bambootiller_core.outcomes import Answered, Code, Executed, Refused
from bambootiller_core.retries import MOST_ATTEMPTS, RetryBudget
from bambootiller_core.types import ModelTarget, Request, ServiceTarget
from tests.common import counting, profiles

HISTORIES = profiles.scale(1000, 60_000)
MOST_STEPS = 400
PLACES = ("a", "b", "c")
MODEL = Request("r-1", "forge", "pupil", ModelTarget("tutor"), deadline=20.0)
SERVICE = replace(MODEL, target=ServiceTarget("push", "POST", "/submissions"))
REQUESTS = {
    Repeat.RESUME: MODEL,
    Repeat.RESTART: SERVICE,
    Repeat.CLAIMED: replace(SERVICE, non_idempotent=True, idempotency_key="k"),
}

NOT_HERE = (Code.NOT_HOLDER, Code.UNKNOWN_SERVICE, Code.NO_REPLICA)

events = st.one_of(
    st.tuples(st.just("refused"), st.sampled_from(Code), st.sampled_from(Executed)),
    st.just(("broken",)),
    st.just(("piece",)),
    st.just(("piece",)),
    st.just(("done", 0)),
    st.just(("passed_on",)),
    st.tuples(st.just("done"), st.integers(-1, 1)),
)
# Mostly all of them: a request that finds no place ends early and tells little.
places = st.one_of(
    st.just(PLACES), st.just(PLACES), st.sets(st.sampled_from(PLACES)).map(sorted)
)


class History:
    """Drives one core and keeps what really happened beside it."""

    def __init__(self, repeat, seed):
        self.repeat = repeat
        self.core = RelayCore(
            REQUESTS[repeat], repeat, RetryBudget(), random.Random(seed)
        )
        self.now = 0.0
        self.sent = []
        self.pieces = 0
        self.total = 0
        self.probes = 0
        self.may_have_run = False
        self.must_end = False

    def advance(self, action, up):
        """Wait and choose until an attempt is made or the request has ended."""
        for _ in range(MOST_STEPS):
            if isinstance(action, Finish):
                return action
            if isinstance(action, Attempt):
                self.sent.append(action)
                self.pieces = 0
                return action
            self.now = max(self.now, action.until)
            action = self.core.choose(self.now, up)
        raise AssertionError("the request never ends")

    def happen(self, event, up):
        """Carry out one event of the attempt under way; None if it goes on."""
        kind = event[0]
        if kind == "piece":
            return self.piece()
        if kind == "passed_on":
            return self.pass_on()
        if kind == "done":
            return self.done(max(0, self.pieces + event[1]), up)
        self.may_have_run |= kind == "broken" or event[2] is not Executed.NO
        if kind == "broken":
            action = self.core.broken(self.now, "cut", up)
        else:
            action = self.refused(Refused(event[1], event[2], "drawn"), up)
        if self.must_end and not isinstance(action, Finish):
            raise AssertionError(f"goes on with {action} after {event}")
        return action

    def refused(self, refused, up):
        run = refused.executed is not Executed.NO
        self.must_end |= run and self.repeat is Repeat.CLAIMED
        if not run and self.repeat is not Repeat.RESUME:
            self.probes += refused.code in NOT_HERE
        return self.core.refused(self.now, refused, up)

    def done(self, chunks, up):
        whole = chunks == self.pieces and self.headed
        self.may_have_run |= not whole
        action = self.core.done(chunks, "stop", False)
        if isinstance(action, Fault):
            action = self.core.broken(self.now, action.detail, up)
        answered = isinstance(action, Finish) and isinstance(action.final, Answered)
        if answered is not whole:
            raise AssertionError(f"{chunks} of {self.pieces} pieces: {action}")
        return action

    def pass_on(self):
        if self.repeat is not Repeat.RESUME and self.pieces:
            self.core.passed_on()
            self.must_end = True

    @property
    def headed(self):
        return self.repeat is Repeat.RESUME or self.pieces > 0

    def piece(self):
        self.pieces += 1
        self.total += 1
        self.may_have_run = True
        if self.repeat is Repeat.RESUME:
            self.core.chunk("x", 1)
        else:
            self.core.head()
            self.core.data()


class TestRandomHistories(unittest.TestCase):
    @settings(max_examples=HISTORIES, derandomize=True, deadline=None)
    @given(
        st.sampled_from(Repeat),
        st.integers(0, 2**16),
        st.lists(st.tuples(events, places), min_size=4, max_size=30),
    )
    def test_every_history_ends_once_truthfully_and_with_bounded_attempts(
        self, repeat, seed, steps
    ):
        history = History(repeat, seed)
        action = history.advance(history.core.choose(0.0, PLACES), PLACES)
        for event, up in steps:
            if isinstance(action, Finish):
                break
            following = history.happen(event, up)
            counting.add("relay of the entry, events")
            if following is not None:
                action = history.advance(following, up)
        if not isinstance(action, Finish):
            history.may_have_run = True
            action = history.core.deadline_passed()
        self.check(history, action.final)

    def check(self, history, final):
        if isinstance(final, Refused) and final.executed is Executed.NO:
            self.assertFalse(history.may_have_run)
        if isinstance(final, Answered) and history.repeat is Repeat.RESUME:
            self.assertEqual(final.tokens, history.total)
        most = MOST_ATTEMPTS + history.probes
        self.assertLessEqual(len(history.sent), most)
        for attempt in history.sent:
            self.assertEqual(len(attempt.continue_text), attempt.continue_tokens)
        for first, second in zip(history.sent, history.sent[1:]):
            self.assertLess(first.number, second.number)


if __name__ == "__main__":
    unittest.main()
