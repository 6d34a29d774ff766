"""Tests of the pure repair of slot tables."""

import unittest

from bambootiller_core.repair import place, repair
from bambootiller_core.slots import GivenBack, create, vacate
from bambootiller_core.types import ModelKey

KEY = ModelKey("forge", "tutor")


def nobody_gone(instance):
    return False


class RepairTests(unittest.TestCase):
    def test_a_model_without_a_table_gets_one_with_as_many_slots_as_its_cap(self):
        fixed = repair(KEY, None, 3, 1, nobody_gone, "t1")
        self.assertEqual(fixed.empty, (0, 1, 2))
        self.assertTrue(fixed.changed)

    def test_a_model_that_was_never_decided_gets_no_table(self):
        self.assertIsNone(repair(KEY, None, 0, 1, nobody_gone, "t1"))

    def test_a_table_in_line_with_its_template_is_left_alone(self):
        table = create(KEY, 1, 1, {0: "i-1"}, "t0")
        fixed = repair(KEY, table, 1, 1, nobody_gone, "t1")
        self.assertFalse(fixed.changed)
        self.assertEqual(fixed.empty, ())

    def test_a_newer_version_with_the_same_cap_needs_no_write(self):
        table = create(KEY, 1, 1, {0: "i-1"}, "t0")
        self.assertFalse(repair(KEY, table, 1, 9, nobody_gone, "t1").changed)

    def test_an_older_template_does_not_bring_an_older_cap_back(self):
        table = create(KEY, 2, 5, {0: "i-1", 1: "i-2"}, "t0")
        fixed = repair(KEY, table, 7, 4, nobody_gone, "t1")
        self.assertFalse(fixed.changed)
        self.assertEqual(fixed.table.cap, 2)

    def test_only_the_slots_of_instances_that_are_gone_are_vacated(self):
        table = create(KEY, 2, 1, {0: "i-1", 1: "i-2"}, "t0")
        fixed = repair(KEY, table, 2, 1, lambda one: one == "i-2", "t1")
        self.assertEqual(fixed.lost, ("i-2",))
        self.assertEqual(fixed.empty, (1,))
        self.assertEqual(fixed.table.holders(), ("i-1",))

    def test_a_retiring_slot_of_a_gone_instance_disappears(self):
        table = create(KEY, 2, 1, {0: "i-1", 1: "i-2"}, "t0")
        lowered = repair(KEY, table, 1, 2, nobody_gone, "t1").table
        fixed = repair(KEY, lowered, 1, 2, lambda one: one == "i-2", "t2")
        self.assertEqual(len(fixed.table.slots), 1)
        self.assertEqual(fixed.empty, ())

    def test_no_slot_is_offered_while_a_retiring_one_makes_up_the_cap(self):
        table = create(KEY, 2, 1, {0: "i-1", 1: "i-2"}, "t0")
        lowered = repair(KEY, table, 1, 2, nobody_gone, "t1").table
        given_back = vacate(lowered, 0, GivenBack("i-1"), "t2")
        fixed = repair(KEY, given_back, 1, 2, nobody_gone, "t3")
        self.assertEqual(fixed.table.holders(), ("i-2",))
        self.assertEqual(fixed.empty, ())

    def test_a_removed_model_keeps_its_held_slots_until_they_are_given_back(self):
        table = create(KEY, 1, 1, {0: "i-1"}, "t0")
        fixed = repair(KEY, table, 0, 2, nobody_gone, "t1")
        self.assertEqual(fixed.table.holders(), ("i-1",))
        self.assertFalse(fixed.table.loadable("i-1"))

    def test_placing_raises_the_fence_above_all_earlier_holders(self):
        table = create(KEY, 1, 1, {0: "i-1"}, "t0")
        fixed = repair(KEY, table, 1, 1, lambda one: True, "t1")
        placed = place(fixed.table, {0: "i-3"}, "t1")
        self.assertEqual(placed.holders(), ("i-3",))
        self.assertGreater(placed.slots[0].fence, table.slots[0].fence)


if __name__ == "__main__":
    unittest.main()
