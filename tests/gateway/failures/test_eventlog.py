"""The log when nobody reads it, and when there is too much to say."""

import json
import os
import unittest

from bambootiller.gateway.eventlog import MOST_WAITING, EventLog


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
        EventLog("i-1", self.writer).emit("refused", request="r-1", reason="x\ny")
        (line,) = self.lines()
        self.assertEqual((line["event"], line["request"]), ("refused", "r-1"))
        self.assertEqual(line["instance"], "i-1")

    def test_a_reader_that_stops_holds_up_nothing(self):
        """Symptom: all calls stop when the log collector hangs.

        The pipe to it is full, and the process waits for room in it.
        """
        events = EventLog("i-1", self.writer, per_s=1e9)
        for number in range(20_000):
            events.emit("refused", request=f"r-{number}", detail="d" * 100)
        self.assertLessEqual(events._waiting_bytes, MOST_WAITING)

    def test_a_storm_of_one_kind_leaves_room_for_others(self):
        events = EventLog("i-1", self.writer, per_s=10)
        for number in range(500):
            events.emit("refused", request=f"r-{number}")
        events.emit("config_in_force", config_version=7)
        kinds = [line["event"] for line in self.lines()]
        self.assertLess(kinds.count("refused"), 30)
        self.assertIn("config_in_force", kinds)

    def test_what_was_left_out_is_counted(self):
        events = EventLog("i-1", self.writer, per_s=5)
        for number in range(50):
            events.emit("refused", request=f"r-{number}")
        events._reported_at = float("-inf")
        events.emit("config_in_force", config_version=7)
        (line,) = [each for each in self.lines() if each["event"] == "lines_left_out"]
        self.assertGreater(line["refused"], 30)
