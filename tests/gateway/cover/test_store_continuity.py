"""When the store last answered anybody, and which gaps count as outages."""

import unittest

from bambootiller_core.gateway.store_continuity import StoreContinuity

MIN_OUTAGE_S = 2.4


class TestStoreContinuity(unittest.TestCase):
    def setUp(self):
        self.continuity = StoreContinuity()

    def ends_outage(self, now, age_s=0.0, stalled_s=0.0):
        return self.continuity.confirm(now, now - stalled_s, age_s, MIN_OUTAGE_S)

    def test_the_first_answer_ends_no_outage(self):
        self.assertFalse(self.ends_outage(10.0))

    def test_the_first_answer_after_a_failed_call_does(self):
        self.continuity.failed()
        self.assertTrue(self.ends_outage(10.0))

    def test_a_gap_in_which_registrations_expire_is_an_outage(self):
        self.ends_outage(10.0)
        self.assertFalse(self.ends_outage(12.3))
        self.assertTrue(self.ends_outage(14.8))

    def test_answers_to_peers_fill_the_gap(self):
        self.ends_outage(10.0)
        for now in (11.0, 12.0, 13.0, 14.0):
            self.assertFalse(self.ends_outage(now, age_s=0.5))
        self.assertFalse(self.ends_outage(15.0))

    def test_reports_of_an_old_answer_do_not(self):
        self.ends_outage(10.0)
        for now in (11.0, 12.0, 13.0, 14.0):
            self.assertFalse(self.ends_outage(now, age_s=now - 9.9))
        self.assertTrue(self.ends_outage(14.5))

    def test_a_peer_may_be_the_first_to_know_of_the_return(self):
        self.ends_outage(10.0)
        self.assertTrue(self.ends_outage(15.5, age_s=0.3))
        self.assertFalse(self.ends_outage(16.0))

    def test_a_stall_of_this_process_is_not_an_outage(self):
        self.ends_outage(10.0)
        self.assertFalse(self.ends_outage(15.0, stalled_s=4.5))

    def test_the_age_is_that_of_the_latest_answer(self):
        self.assertIsNone(self.continuity.age_s(1.0))
        self.ends_outage(10.0)
        self.ends_outage(11.0, age_s=0.5)
        self.ends_outage(11.5, age_s=5.0)
        self.assertEqual(self.continuity.age_s(12.0), 1.5)
