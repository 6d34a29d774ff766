"""Which changes in an engine's report make waiting calls try placement again."""

import unittest
from dataclasses import replace

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.wakeups import wakes_waiting_calls
from tests.gateway.common import samples

STATE = samples.engine_state("b1", ["tutor"], running=2, orderable=True)


class TestWakeups(unittest.TestCase):
    def wakes_calls(self, before=STATE, **changes):
        """Whether calls wake when ``STATE`` with ``changes`` follows ``before``."""
        backend = samples.backend("b1", 0.0, before)
        return wakes_waiting_calls(backend, replace(STATE, **changes))

    def test_calls_that_start_and_end_wake_nobody(self):
        """Symptom: while calls wait, an entry uses several times the CPU time.

        At each agent's report all waiting calls evaluated all engines again, even if
        only another call had started.
        """
        self.assertFalse(self.wakes_calls())
        changes = {"running": 3, "queued": 1, "in_use": {"tutor": 3}}
        self.assertFalse(
            self.wakes_calls(**changes, keep_values={"tutor": 2.0}, busy=True)
        )

    def test_changes_that_a_call_may_wait_for_wake_it(self):
        adapter = {"tutor": frozenset({"a1"})}
        for changes in (
            {"holdings": {"tutor": frozenset(), "poet": frozenset()}},
            {"holdings": {}},
            {"holdings": adapter},
            {"loading": Loading("poet", 3.0, True)},
            {"orderable": False},
            {"silent": True},
        ):
            self.assertTrue(self.wakes_calls(**changes), changes)
        self.assertTrue(self.wakes_calls(before=replace(STATE, busy=True)))
        loading = replace(STATE, loading=Loading("poet", 0.1, True))
        self.assertTrue(self.wakes_calls(before=loading))

    def test_the_progress_of_a_load_wakes_nobody(self):
        loading = replace(STATE, loading=Loading("poet", 3.0, True))
        self.assertFalse(self.wakes_calls(loading, loading=Loading("poet", 2.9, True)))

    def test_the_first_report_wakes_calls(self):
        self.assertTrue(self.wakes_calls(before=None))

    def test_a_report_after_a_denial_wakes_calls(self):
        backend = samples.backend("b1", 0.0, STATE)
        backend.record_denial(0.0, "tutor", "")
        self.assertTrue(wakes_waiting_calls(backend, STATE))
