"""The timeline of a request, built from the log lines of many processes."""

import json
import unittest

from bambootiller_core.gateway.timeline import build_timeline, read_lines


def line(instance, uptime_s, event, clock=1000.0, **fields):
    """A log line; ``clock`` is the process's wall clock at its start."""
    return {
        "time": clock + uptime_s,
        "uptime_s": uptime_s,
        "event": event,
        "instance": instance,
        **fields,
    }


def config(instance, uptime_s, revision, clock=1000.0):
    fields = {"config_version": revision, "revision": revision}
    return line(instance, uptime_s, "config_in_force", clock, **fields)


def refused(uptime_s, held_ms=0, **fields):
    fields = {"request": "r-1", "model": "poet", "held_ms": held_ms, **fields}
    return line("entry", uptime_s, "refused", **fields)


def order(uptime_s, model="poet", clock=1000.0, **fields):
    return line("agent", uptime_s, "order", clock, order="load", model=model, **fields)


class TestReadLines(unittest.TestCase):
    def test_text_that_is_no_log_line_is_skipped(self):
        good = json.dumps(line("e", 1.0, "started"))
        text = ["", "nonsense", "{broken", '{"ready": true}', "[1]", f"12.3 e {good}"]
        self.assertEqual([item["event"] for item in read_lines(text)], ["started"])


class TestTimeline(unittest.TestCase):
    def events(self, timeline):
        return [step.line["event"] for step in timeline.steps]

    def test_a_request_that_no_line_names_has_no_timeline(self):
        self.assertIsNone(build_timeline([line("e", 1.0, "started")], "r-9"))

    def test_orders_for_its_model_are_included_and_others_are_not(self):
        lines = [
            order(4.0),
            order(4.1, model="critic"),
            order(4.2, model="critic", wanted_for="poet"),
            refused(5.0),
        ]
        timeline = build_timeline(lines, "r-1")
        self.assertEqual(self.events(timeline), ["order", "order", "refused"])

    def test_lines_are_in_order_although_clocks_differ(self):
        """Symptom: the order that loads a model is shown after the refusal.

        The agent's clock is four seconds ahead. Ordered by the times in the lines, the
        cause follows its effect, and the reader looks for another cause.
        """
        ahead = 1004.0
        lines = [
            config("entry", 2.0, 7),
            refused(5.0),
            config("agent", 2.1, 7, ahead),
            order(4.0, clock=ahead),
        ]
        timeline = build_timeline(lines, "r-1")
        self.assertEqual(self.events(timeline), ["config_in_force", "order", "refused"])
        self.assertEqual(timeline.unaligned, ())

    def test_a_clock_that_jumps_does_not_split_a_process(self):
        lines = [
            config("entry", 2.0, 7),
            refused(5.0),
            config("agent", 2.0, 7),
            order(4.0, clock=980.0),
            order(4.5, clock=1000.0),
        ]
        timeline = build_timeline(lines, "r-1")
        found = [step.at_s for step in timeline.steps if step.line["event"] == "order"]
        self.assertEqual(found, [-1.0, -0.5])

    def test_processes_without_a_common_event_are_listed(self):
        timeline = build_timeline([refused(5.0), order(4.0)], "r-1")
        self.assertEqual(timeline.unaligned, ("agent",))

    def test_each_run_of_a_process_is_aligned_separately(self):
        """Symptom: what an agent did before its restart is shown after it."""
        lines = [
            config("entry", 20.0, 7),
            config("entry", 26.0, 8),
            refused(27.0),
            config("agent", 20.0, 7),
            order(24.0),
            config("agent", 1.5, 8, clock=1024.5),
            order(2.0, clock=1024.5, expected=2),
        ]
        timeline = build_timeline(lines, "r-1")
        found = [step.at_s for step in timeline.steps if step.line["event"] == "order"]
        self.assertEqual(found, [-3.0, -0.5])

    def test_time_counts_from_the_arrival_not_from_the_refusal(self):
        timeline = build_timeline([refused(5.0, held_ms=800)], "r-1")
        self.assertEqual(timeline.steps[-1].at_s, 0.8)

    def test_other_calls_lost_at_the_same_backend_server_are_shown(self):
        lost = {"request": "r-1", "backend": "b1", "detail": "reset"}
        other = {"request": "r-2", "backend": "b1", "detail": "reset"}
        lines = [
            line("entry", 5.0, "answer_lost", **lost),
            line("other", 5.0, "answer_lost", **other),
            line("other", 5.1, "answer_lost", **{**other, "backend": "b2"}),
        ]
        timeline = build_timeline(lines, "r-1")
        self.assertEqual([step.own for step in timeline.steps], [True, False])

    def test_attempts_of_the_same_request_are_shown_however_long_before(self):
        same = {"fingerprint": "f1"}
        lines = [
            line("other", 5.0, "answer_lost", request="r-9", backend="b9", **same),
            line("other", 6.0, "request_quarantined", **same),
            line("other", 7.0, "request_quarantined", fingerprint="f2"),
            refused(300.0, reason="quarantined", **same),
        ]
        timeline = build_timeline(lines, "r-1")
        events = [step.line["event"] for step in timeline.steps]
        self.assertEqual(events, ["answer_lost", "request_quarantined", "refused"])
