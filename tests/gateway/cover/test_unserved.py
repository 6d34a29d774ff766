"""Models and adapters whose calls aren't served."""

import unittest

from bambootiller_core.gateway.unserved import (
    MAX_TRACKED,
    RECENT_CALL_S,
    UnservedTracker,
)


class TestUnserved(unittest.TestCase):
    def setUp(self):
        self.unserved = UnservedTracker()

    def test_it_counts_from_the_first_call_that_nobody_served(self):
        for now in (1.0, 4.0, 9.0):
            self.unserved.refused(now, "tutor", "")
        self.assertEqual(self.unserved.count(9.0, older_than_s=8.0), 1)
        self.assertEqual(self.unserved.count(9.0, older_than_s=8.5), 0)
        self.assertEqual(self.unserved.oldest_s(10.0), 9.0)

    def test_an_answer_clears_its_adapter_alone(self):
        self.unserved.refused(1.0, "tutor", "")
        self.unserved.refused(1.0, "tutor", "physics")
        self.unserved.served("tutor", "")
        self.assertEqual(self.unserved.count(20.0, older_than_s=8.0), 1)

    def test_models_without_recent_calls_do_not_count(self):
        self.unserved.refused(1.0, "tutor", "")
        later = 2.0 + RECENT_CALL_S
        self.assertEqual(self.unserved.count(later, older_than_s=8.0), 0)
        self.assertEqual(self.unserved.oldest_s(later), 0.0)
        self.unserved.refused(later, "tutor", "")
        self.assertEqual(self.unserved.oldest_s(later), 0.0)

    def test_the_number_of_tracked_models_is_bounded(self):
        for number in range(MAX_TRACKED + 5):
            self.unserved.refused(1.0, f"m{number}", "")
        self.assertEqual(self.unserved.count(20.0, older_than_s=8.0), MAX_TRACKED)
