"""The clock that doesn't advance while its process is stalled."""

import unittest

from bambootiller_core.gateway.running_clock import (
    TICK_S,
    TICK_TOLERANCE_S,
    RunningClock,
)


class TestRunningClock(unittest.TestCase):
    def setUp(self):
        self.running = RunningClock(100.0)
        self.now = 100.0

    def run_for(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.running.tick(self.now)

    def test_it_follows_the_clock_while_the_process_runs(self):
        began = self.running.running_time(self.now)
        self.run_for(5.0)
        self.assertAlmostEqual(
            self.running.running_time(self.now) - began, self.now - 100.0
        )

    def test_a_stall_does_not_count_whether_read_before_or_after_the_tick(self):
        self.run_for(1.0)
        began = self.running.running_time(self.now)
        self.now += 3.0
        self.assertAlmostEqual(
            self.running.running_time(self.now) - began, TICK_S + TICK_TOLERANCE_S
        )
        stalled_s = self.running.tick(self.now)
        self.assertAlmostEqual(stalled_s, 3.0 - TICK_S - TICK_TOLERANCE_S)
        self.assertAlmostEqual(
            self.running.running_time(self.now) - began, TICK_S + TICK_TOLERANCE_S
        )

    def test_a_tick_that_is_a_little_late_is_no_stall(self):
        self.now += TICK_S + TICK_TOLERANCE_S / 2
        self.assertEqual(self.running.tick(self.now), 0.0)

    def test_it_never_goes_back(self):
        readings = []
        for step in (0.01, 0.05, 0.08, 0.2, 0.01, 1.0, 0.001, 0.13, 0.14):
            self.now += step
            readings.append(self.running.running_time(self.now))
            if step > 0.05:
                self.running.tick(self.now)
            readings.append(self.running.running_time(self.now))
        self.assertEqual(readings, sorted(readings))


if __name__ == "__main__":
    unittest.main()
