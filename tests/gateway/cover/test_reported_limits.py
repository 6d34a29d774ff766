"""Rate limits that backend servers report, and their propagation to peers."""

import unittest

from bambootiller_core.gateway.reported_limits import (
    RETENTION_S,
    ReportedLimit,
    ReportedLimits,
)
from bambootiller_core.gateway.update_filter import UpdateFilter


class TestReportedLimits(unittest.TestCase):
    def setUp(self):
        self.limits = ReportedLimits()

    def report(self, per_s, at, source="", instance="i-1"):
        return self.limits.apply(ReportedLimit(instance, per_s, at), source)

    def test_the_latest_report_holds(self):
        self.assertTrue(self.report(1.9, 10.0))
        self.assertFalse(self.report(1.9, 11.0))
        self.assertTrue(self.report(0.5, 12.0))
        self.assertEqual(self.limits.in_force(), {"i-1": 0.5})
        self.assertTrue(self.report(None, 13.0))
        self.assertEqual(self.limits.in_force(), {})

    def test_a_call_sent_before_the_limit_was_reported_does_not_end_it(self):
        self.report(1.9, 10.0)
        self.assertFalse(self.report(None, 9.9))
        self.assertEqual(self.limits.per_s("i-1"), 1.9)

    def test_a_backend_server_without_a_limit_causes_no_update(self):
        self.assertFalse(self.report(None, 10.0))
        self.assertEqual(self.limits.version, 0)

    def test_updates_leave_out_what_the_peer_reported(self):
        self.report(1.9, 10.0)
        self.report(0.5, 10.0, "a1", "i-2")
        everything = self.limits.unsent(UpdateFilter(0, False, "a2"))
        self.assertEqual({item.instance for item in everything}, {"i-1", "i-2"})
        for_source = self.limits.unsent(UpdateFilter(0, False, "a1"))
        self.assertEqual([item.instance for item in for_source], ["i-1"])
        since = UpdateFilter(self.limits.version, False, "a2")
        self.assertEqual(self.limits.unsent(since), [])

    def test_a_peer_with_an_earlier_report_is_sent_the_later_one(self):
        self.report(1.9, 10.0, "a1")
        version = self.limits.version
        self.assertFalse(self.report(None, 9.0, "a1"))
        unsent = self.limits.unsent(UpdateFilter(version, True, "a1"))
        self.assertEqual([item.per_s for item in unsent], [1.9])

    def test_a_limit_lasts_as_long_as_its_backend_server_is_known(self):
        self.report(1.9, 10.0)
        later = 10.0 + 2 * RETENTION_S
        self.assertFalse(self.limits.forget(later, lambda name: True))
        self.assertTrue(self.limits.forget(later, lambda name: False))
        self.assertEqual(self.limits.in_force(), {})
