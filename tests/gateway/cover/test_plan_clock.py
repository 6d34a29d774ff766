"""When an entry makes its plan anew."""

import unittest

from bambootiller.gateway.plan_scheduler import (
    IDLE_PLAN_INTERVAL_S,
    PLAN_INTERVAL_S,
    UNCHANGED_PLAN_INTERVAL_S,
    PlanScheduler,
)
from bambootiller_core.timers import TimerService


class TestPlanClock(unittest.TestCase):
    def setUp(self):
        self.timers = TimerService()
        self.now = 0.0
        self.made = []
        self.waits = self.asked = self.work = False
        self.version = 1
        self.clock = PlanScheduler(
            self.plan,
            self.plan,
            lambda: self.waits,
            lambda: self.asked,
            lambda: self.version,
        )
        self.clock.start(self.timers, 0.0)

    def plan(self, now):
        self.clock.plan_started(now)
        self.made.append(now)
        if self.work:
            self.clock.mark_not_empty()

    def run_for(self, seconds):
        """How many plans are made meanwhile."""
        before, end = len(self.made), self.now + seconds
        while self.timers.next_due() <= end:
            self.now = self.timers.next_due()
            self.timers.advance(self.now)
        self.now = end
        return len(self.made) - before

    def test_at_rest_a_plan_is_made_once_in_a_long_while(self):
        self.assertEqual(self.run_for(1.0), 1)
        self.assertEqual(self.run_for(4 * UNCHANGED_PLAN_INTERVAL_S), 4)

    def test_a_plan_that_is_not_empty_is_made_as_before(self):
        self.work = True
        self.run_for(1.0)
        self.assertGreaterEqual(self.run_for(10.0), 0.8 * 10.0 / IDLE_PLAN_INTERVAL_S)

    def test_while_calls_come_it_is_made_as_before(self):
        self.run_for(1.0)
        self.asked = True
        self.assertGreaterEqual(self.run_for(10.0), 0.8 * 10.0 / IDLE_PLAN_INTERVAL_S)

    def test_while_calls_wait_it_is_made_often(self):
        self.run_for(1.0)
        self.waits = True
        self.clock.check_soon(self.now)
        self.assertGreaterEqual(self.run_for(1.0), 0.9 / PLAN_INTERVAL_S)

    def test_a_change_is_planned_for_soon(self):
        self.run_for(1.0)
        self.clock.changed(self.now)
        self.assertEqual(self.run_for(2 * PLAN_INTERVAL_S), 1)
        self.version = 2
        self.assertEqual(self.run_for(2 * IDLE_PLAN_INTERVAL_S), 1)
