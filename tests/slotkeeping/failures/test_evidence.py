"""What counts as evidence that a holder is gone, where list and probes disagree."""

import random
import unittest
from types import SimpleNamespace

from bambootiller.instances import ListedInstance, ListHistory
from bambootiller.slotkeeping.keeper import SlotKeeper
from bambootiller_core.membership import Membership, Statement, Status
from bambootiller_core.types import Member, Role

LATER = 1000.0


def member(name, region="r1"):
    return Member(name, Role.AGENT, "az-1", region, "127.0.0.1:1", 1)


def listed(name, region="r1"):
    return ListedInstance(name, Role.AGENT, "az-1", region, "127.0.0.1:1", "live")


class Instances(ListHistory):
    """A list at a time that the test sets."""

    now = 0.0

    def is_gone(self, instance, now=None):
        return super().is_gone(instance, self.now)

    def poll_soon(self):
        pass


class EvidenceTests(unittest.TestCase):
    def setUp(self):
        self.membership = Membership(member("entry-1"), random.Random(1))
        self.instances = Instances()
        app = SimpleNamespace(
            instance="entry-1",
            membership=self.membership,
            instances=self.instances,
        )
        self.keeper = SlotKeeper(app)

    def knows(self, name, status, region="r1"):
        self.membership.merge(0.0, [Statement(member(name, region), status)])

    def answers(self, *items):
        """Successful answers over a time that is far longer than the list lags."""
        self.instances.answered(list(items), 0.0)
        for _ in range(5):
            self.instances.answered(list(items), LATER)
        self.instances.now = LATER

    def test_an_entry_started_during_a_cut_takes_the_far_side_for_no_less_than_there(
        self,
    ):
        """Symptom: slots of running instances are moved while regions are parted.

        Sequence: two regions lose each other; the platform's list shows this side only;
        an entry starts and hears from peers that the far side is dead.
        Cause: it never saw the far side listed, so only the time counted.
        """
        self.knows("far-1", Status.DEAD, region="r2")
        self.assertFalse(self.keeper._is_gone("far-1", "r2"))
        self.answers(listed("i-1"))
        self.assertFalse(self.keeper._is_gone("far-1", "r2"))
        self.answers(listed("i-1"), listed("far-2", region="r2"))
        self.assertTrue(self.keeper._is_gone("far-1", "r2"))

    def test_a_holder_that_answers_probes_is_not_gone_whatever_the_list_says(self):
        """Symptom: a second replica beside one that runs.

        Sequence: the list drops a running instance. Cause: the list against the probes.
        """
        self.knows("i-2", Status.ALIVE)
        self.answers(listed("i-1"), listed("i-2"), listed("i-3"))
        self.answers(listed("i-1"), listed("i-3"))
        self.assertFalse(self.keeper._is_gone("i-2"))
        self.knows("i-2", Status.DEAD)
        self.assertTrue(self.keeper._is_gone("i-2"))

    def test_a_dead_member_that_is_listed_is_not_gone(self):
        """Symptom: two replicas after a pause.

        Sequence: a holder is paused; its peers hold it dead; it stays listed; it wakes.
        Cause: silence taken for evidence.
        """
        self.knows("i-2", Status.DEAD)
        self.answers(listed("i-1"), listed("i-2"))
        self.assertFalse(self.keeper._is_gone("i-2"))

    def test_a_holder_that_nobody_knows_or_lists_is_gone_after_a_while(self):
        """Symptom: a slot stays with an instance of long ago.

        Sequence: the instance went before all members of today started. Cause: nobody
        is left who could have seen it go."""
        self.assertFalse(self.keeper._is_gone("i-9"))
        self.answers(listed("i-1"))
        self.assertTrue(self.keeper._is_gone("i-9"))


if __name__ == "__main__":
    unittest.main()
