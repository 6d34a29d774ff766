"""The event log when its reader stalls and when there are too many lines."""

import json
import os
import unittest

from bambootiller.gateway.event_log import MAX_BUFFERED_BYTES, EventLog
from bambootiller_core.gateway.log_lines import (
    AnswerLost,
    ConfigInForce,
    LoadEnded,
    PeerHeard,
)

CONFIGURED = ConfigInForce(config_version=7, revision=9, routes=1, source="store")


def lost(number, detail="reset"):
    return AnswerLost(f"r-{number}", "b1", detail, reused=False)


class TestEventLog(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()

    def tearDown(self):
        os.close(self.writer)
        os.close(self.reader)

    def lines(self):
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 20):
                data += part
        except BlockingIOError:
            pass
        return [json.loads(line) for line in data.splitlines()]

    def test_an_event_is_one_line(self):
        EventLog("i-1", self.writer).emit(lost(1, "x\ny"))
        (line,) = self.lines()
        self.assertEqual((line["event"], line["request"]), ("answer_lost", "r-1"))
        self.assertEqual(line["instance"], "i-1")

    def test_a_stalled_reader_does_not_block_the_process(self):
        """Symptom: all calls stop when the log collector hangs.

        The pipe to it is full, and the process blocks on writing to it.
        """
        events = EventLog("i-1", self.writer, per_s=1e9)
        for number in range(20_000):
            events.emit(lost(number, "d" * 100))
        self.assertLessEqual(events._buffered_bytes, MAX_BUFFERED_BYTES)

    def test_a_flood_of_one_kind_does_not_displace_others(self):
        events = EventLog("i-1", self.writer, per_s=10)
        for number in range(500):
            events.emit(lost(number))
        events.emit(CONFIGURED)
        kinds = [line["event"] for line in self.lines()]
        self.assertLess(kinds.count("answer_lost"), 30)
        self.assertIn("config_in_force", kinds)

    def test_dropped_lines_are_counted(self):
        events = EventLog("i-1", self.writer, per_s=5)
        for number in range(50):
            events.emit(lost(number))
        events._reported_at = float("-inf")
        events.emit(CONFIGURED)
        (line,) = [each for each in self.lines() if each["event"] == "lines_left_out"]
        self.assertGreater(line["counts"]["answer_lost"], 30)

    def test_failures_are_buffered_when_successes_are_dropped(self):
        """Symptom: after a hang of the collector the failures of that time are missing.

        The buffer is full of lines about successes.
        """
        events = EventLog("i-1", self.writer, per_s=1e9)
        for number in range(20_000):
            events.emit(LoadEnded(f"m-{number}", True, 0.4, from_store=False))
        before = events._buffered_bytes
        events.emit(lost(1))
        self.assertGreater(events._buffered_bytes, before)

    def test_listeners_receive_dropped_lines(self):
        events = EventLog("i-1", self.writer, per_s=5)
        received = []
        events.on_line(received.append)
        for _ in range(50):
            events.emit(PeerHeard("10.0.0.1:7"))
        self.assertEqual(len(received), 50)
        self.assertGreater(events.dropped["peer_heard"], 30)
