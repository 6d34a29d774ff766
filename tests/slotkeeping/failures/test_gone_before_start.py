"""Instances that went before the process that has to repair their slots started."""

import unittest

from bambootiller.instances import (
    UNLISTED_ANSWERS,
    UNLISTED_SECONDS,
    ListedInstance,
    ListHistory,
)
from bambootiller_core.types import Role


def listed(*names, region="r1"):
    return [
        ListedInstance(name, Role.AGENT, "az-1", region, "127.0.0.1:1", "live")
        for name in names
    ]


class GoneBeforeStartTests(unittest.TestCase):
    def test_a_holder_that_nobody_lists_for_long_is_gone_for_a_new_process(self):
        """Symptom: a slot stays with a reclaimed instance for good; its model is cold.

        Sequence: the instance is reclaimed; all entries are replaced; the new ones
        never saw the instance listed. Cause: gone meant only "was listed to me
        earlier"."""
        history = ListHistory()
        self.assertFalse(history.is_gone("i-9"))
        for _ in range(UNLISTED_ANSWERS):
            history.answered(listed("i-1", "i-2"), UNLISTED_SECONDS - 1)
            self.assertFalse(history.is_gone("i-9"))
        history.answered(listed("i-1", "i-2"), UNLISTED_SECONDS)
        self.assertTrue(history.is_gone("i-9"))
        self.assertIn("i-9", history.take_gone())

    def test_one_late_answer_is_not_enough_however_much_time_has_passed(self):
        """Symptom: a slot moves on a single answer of a list that lags.

        Sequence: the list was down for minutes; its first answer lacks the holder.
        Cause: counting time alone.
        """
        history = ListHistory()
        history.is_gone("i-9")
        history.answered(listed("i-1", "i-2"), 10 * UNLISTED_SECONDS)
        self.assertFalse(history.is_gone("i-9"))

    def test_a_failed_poll_does_not_count_against_an_unlisted_holder(self):
        """Symptom: slots move while the list is down.

        Sequence: the list is down for minutes; a holder was never listed to this entry.
        Cause: counting time instead of successful answers.
        """
        history = ListHistory()
        history.is_gone("i-9")
        for _ in range(2 * UNLISTED_ANSWERS):
            history.failed()
        self.assertFalse(history.is_gone("i-9"))

    def test_a_holder_that_appears_in_an_answer_counts_anew(self):
        """Symptom: a running instance loses its slot.

        Sequence: the lagging list shows the holder late, then an answer lacks it once.
        Cause: counting answers without it that lay before the one that had it.
        """
        history = ListHistory()
        history.is_gone("i-9")
        for _ in range(UNLISTED_ANSWERS):
            history.answered(listed("i-1", "i-2"), UNLISTED_SECONDS - 1)
        history.answered(listed("i-1", "i-2", "i-9"), UNLISTED_SECONDS)
        self.assertFalse(history.is_gone("i-9"))

    def test_an_answer_that_lacks_a_whole_region_proves_nothing_about_it(self):
        """Symptom: after a cut between regions, slots of running instances were moved.

        Sequence: regions lose each other for minutes; the list on this side shows only
        this side's instances; those of the other side answer no probes either.
        Cause: a list of one side taken for the whole.
        """
        history = ListHistory()
        here, there = listed("i-1", "i-2", "i-3"), listed("j-1", region="r2")
        history.answered(here + there)
        for _ in range(3):
            history.answered(here)
        self.assertFalse(history.is_gone("j-1"))
        history.answered(here[:2] + there)
        self.assertTrue(history.is_gone("i-3"))


if __name__ == "__main__":
    unittest.main()
