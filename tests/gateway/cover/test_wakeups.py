"""Which news of an engine has waiting calls look again at once."""

import unittest
from dataclasses import replace

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.wakeups import wakes_waiting_calls
from tests.gateway.common import samples

STATE = samples.engine_state("b1", ["tutor"], running=2, orderable=True)


class TestWakeups(unittest.TestCase):
    def wakes(self, before=STATE, **news):
        backend = samples.backend("b1", 0.0, before)
        return wakes_waiting_calls(backend, replace(STATE, **news))

    def test_calls_that_begin_and_end_wake_nobody(self):
        """Symptom: while calls wait, an entry takes several times the processor.

        At each word of each agent all waiting calls looked at all engines again, also
        where it told only that another call had begun.
        """
        self.assertFalse(self.wakes())
        news = {"running": 3, "queued": 1, "in_use": {"tutor": 3}}
        self.assertFalse(self.wakes(**news, keep_values={"tutor": 2.0}, busy=True))

    def test_what_a_call_could_wait_for_wakes_it(self):
        adapter = {"tutor": frozenset({"a1"})}
        for news in (
            {"holdings": {"tutor": frozenset(), "poet": frozenset()}},
            {"holdings": {}},
            {"holdings": adapter},
            {"loading": Loading("poet", 3.0, True)},
            {"orderable": False},
            {"silent": True},
        ):
            self.assertTrue(self.wakes(**news), news)
        self.assertTrue(self.wakes(before=replace(STATE, busy=True)))
        loading = replace(STATE, loading=Loading("poet", 0.1, True))
        self.assertTrue(self.wakes(before=loading))

    def test_how_long_a_load_still_takes_is_looked_at_in_time(self):
        loading = replace(STATE, loading=Loading("poet", 3.0, True))
        self.assertFalse(self.wakes(loading, loading=Loading("poet", 2.9, True)))

    def test_the_first_word_wakes_calls(self):
        self.assertTrue(self.wakes(before=None))

    def test_a_word_after_a_denial_wakes_calls(self):
        backend = samples.backend("b1", 0.0, STATE)
        backend.record_denial(0.0, "tutor", "")
        self.assertTrue(wakes_waiting_calls(backend, STATE))
