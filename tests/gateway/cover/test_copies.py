"""What log lines report about copies of weights."""

import unittest
from dataclasses import replace

from bambootiller_core.gateway.copies import copies_changed, copies_seen
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.log_lines import ModelCopy, PlanSnapshot
from bambootiller_core.gateway.order_messages import EngineReport
from tests.gateway.common import samples

NOW = 5.0


def with_copy(instance="b1", held=(), **fields):
    """A backend server with a copy of ``tutor``."""
    given = {"on_disk": frozenset({"tutor"}), **fields.pop("state", {})}
    state = samples.engine_state(instance, held, **given)
    return samples.backend(instance, NOW, state, service="llm", **fields)


class TestCopiesSeen(unittest.TestCase):
    """A refusal lists the copies of its model and why each can't be used."""

    def states(self, *backends):
        """The states of the copies that a refusal would list."""
        seen = copies_seen(NOW, backends, "llm", samples.model(), 100.0)
        return [copy.state for copy in seen]

    def test_without_a_copy_nothing_is_listed(self):
        other = with_copy(state={"on_disk": frozenset({"poet"})})
        self.assertEqual(self.states(other), [])

    def test_each_state_is_distinguished(self):
        loading = Loading("poet", 9.0, True)
        unheard = with_copy()
        unheard.last_received_at = NOW - 60
        lost = with_copy()
        lost.replaced = True
        for backend, expected in (
            (with_copy(), "free"),
            (with_copy(state={"memory_mb_used": 80.0}), "full"),
            (with_copy(state={"busy": True}), "unloading"),
            (with_copy(state={"loading": loading}), "loading"),
            (with_copy(leaving=True), "leaving"),
            (unheard, "unheard"),
            (lost, "lost"),
        ):
            with self.subTest(expected):
                self.assertEqual(self.states(backend), [expected])

    def test_another_service_has_no_copies(self):
        seen = copies_seen(NOW, [with_copy()], "other", samples.model(), 100.0)
        self.assertEqual(seen, ())

    def test_the_log_line_lists_copies(self):
        plan = PlanSnapshot(copies=(ModelCopy("b1", "full"),))
        self.assertEqual(
            samples.refused(plan).to_json()["plan"]["copies"],
            [{"backend": "b1", "state": "full"}],
        )


class TestCopiesChanged(unittest.TestCase):
    REPORT = EngineReport("b1", {}, 0, on_disk=frozenset({"tutor", "poet"}))

    def test_the_first_report_lists_all(self):
        line = copies_changed(None, self.REPORT)
        self.assertEqual(line.gained, ("poet", "tutor"))

    def test_an_evicted_copy_is_listed(self):
        later = replace(self.REPORT, on_disk=frozenset({"poet", "clerk"}))
        line = copies_changed(self.REPORT, later)
        self.assertEqual((line.gained, line.lost), (("clerk",), ("tutor",)))

    def test_unchanged_copies_emit_no_line(self):
        self.assertIsNone(copies_changed(self.REPORT, self.REPORT))
