"""When an entry makes a new plan of loads."""

import unittest

from bambootiller.gateway.plan_scheduler import (
    IDLE_PLAN_INTERVAL_S,
    PLAN_INTERVAL_S,
    UNCHANGED_PLAN_INTERVAL_S,
    PlanScheduler,
)
from bambootiller_core.timers import TimerService


class TestPlanScheduler(unittest.TestCase):
    def setUp(self):
        self.timers = TimerService()
        self.now = 0.0
        self.plan_times = []
        self.calls_wait = self.calls_come = self.plan_has_loads = False
        self.version = 1
        self.scheduler = PlanScheduler(
            self.plan,
            self.plan,
            lambda: self.calls_wait,
            lambda: self.calls_come,
            lambda: self.version,
        )
        self.scheduler.start(self.timers, 0.0)

    def plan(self, now):
        self.scheduler.plan_started(now)
        self.plan_times.append(now)
        if self.plan_has_loads:
            self.scheduler.mark_not_empty()

    def run_for(self, seconds):
        """Runs the timers for ``seconds``; returns the number of plans made."""
        before, end = len(self.plan_times), self.now + seconds
        while self.timers.next_due() <= end:
            self.now = self.timers.next_due()
            self.timers.advance(self.now)
        self.now = end
        return len(self.plan_times) - before

    def test_at_rest_plans_are_made_at_the_longest_interval(self):
        self.assertEqual(self.run_for(1.0), 1)
        self.assertEqual(self.run_for(4 * UNCHANGED_PLAN_INTERVAL_S), 4)

    def test_after_a_plan_with_loads_the_interval_is_the_idle_one(self):
        self.plan_has_loads = True
        self.run_for(1.0)
        self.assertGreaterEqual(self.run_for(10.0), 0.8 * 10.0 / IDLE_PLAN_INTERVAL_S)

    def test_while_calls_come_the_interval_is_the_idle_one(self):
        self.run_for(1.0)
        self.calls_come = True
        self.assertGreaterEqual(self.run_for(10.0), 0.8 * 10.0 / IDLE_PLAN_INTERVAL_S)

    def test_while_calls_wait_plans_are_made_at_the_shortest_interval(self):
        self.run_for(1.0)
        self.calls_wait = True
        self.scheduler.check_soon(self.now)
        self.assertGreaterEqual(self.run_for(1.0), 0.9 / PLAN_INTERVAL_S)

    def test_a_change_soon_causes_a_plan(self):
        self.run_for(1.0)
        self.scheduler.changed(self.now)
        self.assertEqual(self.run_for(2 * PLAN_INTERVAL_S), 1)
        self.version = 2
        self.assertEqual(self.run_for(2 * IDLE_PLAN_INTERVAL_S), 1)
