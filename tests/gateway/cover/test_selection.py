"""Which backend server is selected for a call."""

import random
import unittest
from collections import Counter

from bambootiller_core import rendezvous
from bambootiller_core.gateway import selection
from bambootiller_core.gateway.health import Health
from tests.gateway.common import samples

NOW = 5.0


def holder(instance, **fields):
    """A backend server whose engine holds ``tutor``."""
    state = samples.engine_state(instance, ["tutor"], **fields)
    return samples.backend(instance, NOW, state, service="llm", slots=64)


class TestPendingPrefills(unittest.TestCase):
    """Symptom: calls of the busiest model get their first event seconds after they were
    sent, while another holder of the model has no prompts to prefill.

    All calls of a model went to its first holder until that had sixteen more calls in
    flight than the next. An engine prefills prompts one after the other, and a dozen of
    them take a second.
    """

    def setUp(self):
        names = rendezvous.ranked("tutor", ["b1", "b2"])
        self.first, self.next = map(holder, names)

    def choose(self):
        return selection.choose(
            NOW,
            samples.call(model_request=samples.model_request("tutor")),
            [self.first, self.next],
            Health(),
            "z1",
            random.Random(3),
        )

    def test_calls_gather_at_the_first_holder(self):
        self.assertIs(self.choose(), self.first)

    def test_a_call_goes_elsewhere_while_prefills_are_pending(self):
        for _ in range(4):
            self.first.prefill_queued()
        self.assertIs(self.choose(), self.next)

    def test_calls_return_once_the_prefills_are_done(self):
        for _ in range(4):
            self.first.prefill_queued()
        for _ in range(4):
            self.first.prefill_done()
        self.assertIs(self.choose(), self.first)

    def test_prompts_that_other_entries_sent_count_too(self):
        self.first.engine = samples.engine_state(
            self.first.instance, ["tutor"], queued=4
        )
        self.assertIs(self.choose(), self.next)

    def test_outdated_figures_of_an_engine_do_not_count(self):
        self.first.engine = samples.engine_state(
            self.first.instance, ["tutor"], queued=4
        )
        self.first.last_received_at = NOW - 1.2
        self.assertIs(self.choose(), self.first)

    def test_a_burst_is_spread_over_all_holders(self):
        chosen = Counter()
        for _ in range(20):
            backend = self.choose()
            backend.prefill_queued()
            chosen[backend.instance] += 1
        self.assertLess(max(chosen.values()), 13, chosen)
