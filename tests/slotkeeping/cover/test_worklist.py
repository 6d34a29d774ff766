"""Tests of which models are due, and when."""

import unittest

from bambootiller.slotkeeping.worklist import MAX_RANK, RANK_DELAY, Worklist
from bambootiller_core.rendezvous import ranked
from bambootiller_core.types import ModelKey

KEY = ModelKey("forge", "tutor")
ENTRIES = [f"entry-{number}" for number in range(8)]


class WorklistTests(unittest.TestCase):
    def test_the_first_ranked_entry_acts_at_once_and_the_second_a_while_later(self):
        first, second = ranked(str(KEY), ENTRIES)[:2]
        for name, due in ((first, 10.0), (second, 10.0 + RANK_DELAY)):
            work = Worklist(name)
            work.mark(10.0, KEY, ENTRIES)
            self.assertEqual(work.take(due - 0.01, 5), [])
            self.assertEqual(work.take(due, 5), [KEY])

    def test_an_entry_far_down_the_ranking_leaves_the_model_to_others(self):
        work = Worklist(ranked(str(KEY), ENTRIES)[MAX_RANK])
        work.mark(10.0, KEY, ENTRIES)
        self.assertEqual(len(work), 0)

    def test_marking_again_never_puts_off_what_was_due_earlier(self):
        work = Worklist(ranked(str(KEY), ENTRIES)[0])
        work.mark(10.0, KEY, ENTRIES)
        work.mark(11.0, KEY, ENTRIES)
        self.assertEqual(work.take(10.0, 5), [KEY])

    def test_no_more_models_are_taken_at_once_than_the_limit(self):
        work = Worklist("alone")
        for number in range(9):
            work.mark(float(number), ModelKey("forge", f"m{number}"), ["alone"])
        taken = work.take(100.0, 4)
        self.assertEqual([key.model for key in taken], ["m0", "m1", "m2", "m3"])
        self.assertEqual(len(work), 5)


if __name__ == "__main__":
    unittest.main()
