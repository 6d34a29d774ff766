"""Slot tables: every pure change, what it refuses, and how a lost answer is settled."""

import random
import unittest

from bambootiller_core import slots
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.slots import (
    FenceConfirmed,
    GivenBack,
    InstanceGone,
    Malformed,
    NoEffect,
    SlotTable,
    Superseded,
    TookEffect,
)
from bambootiller_core.types import ModelKey

KEY = ModelKey("forge", "helper")


def table_of(cap=2, placements=None):
    return slots.create(KEY, cap, 1, placements or {}, "w1")


class SlotChanges(unittest.TestCase):
    def test_a_new_table_has_as_many_slots_as_the_cap_and_places_them(self):
        table = table_of(3, {0: "i-1", 2: "i-2"})
        self.assertEqual(len(table.slots), 3)
        self.assertEqual(table.holders(), ("i-1", "i-2"))
        self.assertTrue(table.loadable("i-1"))
        self.assertFalse(table.loadable("i-3"))
        self.assertIsNone(table.slot_of(""))

    def test_fences_rise_with_each_assignment_even_over_a_removed_slot(self):
        table = table_of(1, {0: "i-1"})
        first = table.slot_of("i-1").fence
        table = slots.reconcile_cap(table, 0, 2, "w2")
        table = slots.remove_retired(table, 0, GivenBack("i-1"), "w3")
        self.assertEqual(table.slots, ())
        table = slots.reconcile_cap(table, 1, 3, "w4")
        table = slots.assign(table, 0, "i-1", "w5")
        self.assertGreater(table.slot_of("i-1").fence, first)

    def test_a_holder_never_gets_a_second_slot_of_one_table(self):
        with self.assertRaises(InvariantBroken):
            slots.assign(table_of(2, {0: "i-1"}), 1, "i-1", "w2")

    def test_a_held_slot_is_never_assigned_to_another(self):
        with self.assertRaises(InvariantBroken):
            slots.assign(table_of(1, {0: "i-1"}), 0, "i-2", "w2")

    def test_a_slot_moves_only_on_evidence_about_its_present_holder(self):
        table = table_of(1, {0: "i-1"})
        for evidence in (None, "lease lapsed", GivenBack("i-2"), InstanceGone("")):
            with self.subTest(evidence=evidence), self.assertRaises(InvariantBroken):
                slots.vacate(table, 0, evidence, "w2")
        for evidence in (GivenBack("i-1"), InstanceGone("i-1")):
            self.assertEqual(slots.vacate(table, 0, evidence, "w2").holders(), ())

    def test_a_confirmed_fence_must_be_above_the_holders_own_and_is_remembered(self):
        table = table_of(1, {0: "i-1"})
        with self.assertRaises(InvariantBroken):
            slots.vacate(table, 0, FenceConfirmed("i-1", 1), "w2")
        table = slots.vacate(table, 0, FenceConfirmed("i-1", 9), "w2")
        table = slots.assign(table, 0, "i-2", "w3")
        self.assertEqual(table.slot_of("i-2").fence, 10)

    def test_a_lowered_cap_removes_empty_slots_and_retires_held_ones(self):
        table = table_of(4, {0: "i-1", 1: "i-2", 3: "i-3"})
        table = slots.reconcile_cap(table, 1, 2, "w2")
        self.assertEqual([s.number for s in table.slots], [0, 1, 3])
        self.assertEqual([s.retiring for s in table.slots], [False, True, True])
        self.assertFalse(table.loadable("i-2"))

    def test_no_slot_is_given_away_while_retiring_ones_make_up_the_cap(self):
        table = slots.reconcile_cap(table_of(2, {0: "i-1", 1: "i-2"}), 1, 2, "w2")
        table = slots.vacate(table, 0, GivenBack("i-1"), "w3")
        self.assertEqual(slots.placeable(table), ())
        table = slots.remove_retired(table, 1, GivenBack("i-2"), "w5")
        self.assertEqual(slots.placeable(table), (0,))
        self.assertEqual(slots.assign(table, 0, "i-3", "w6").holders(), ("i-3",))

    def test_a_raised_cap_takes_back_retiring_slots_before_adding_new_ones(self):
        table = slots.reconcile_cap(table_of(2, {0: "i-1", 1: "i-2"}), 1, 2, "w2")
        table = slots.reconcile_cap(table, 2, 3, "w3")
        self.assertEqual(len(table.slots), 2)
        self.assertTrue(table.loadable("i-2"))
        table = slots.reconcile_cap(table, 3, 4, "w4")
        self.assertEqual([s.number for s in table.slots], [0, 1, 2])

    def test_an_older_template_leaves_the_table_as_it_is(self):
        table = slots.reconcile_cap(table_of(2), 1, 5, "w2")
        self.assertIs(slots.reconcile_cap(table, 2, 4, "w3"), table)

    def test_a_slot_that_isnt_retiring_is_never_removed(self):
        with self.assertRaises(InvariantBroken):
            slots.remove_retired(table_of(1, {0: "i-1"}), 0, GivenBack("i-1"), "w2")

    def test_vacating_a_retiring_slot_removes_it(self):
        table = slots.reconcile_cap(table_of(1, {0: "i-1"}), 0, 2, "w2")
        table = slots.vacate(table, 0, InstanceGone("i-1"), "w3")
        self.assertEqual(table.slots, ())


class LostAnswers(unittest.TestCase):
    def test_the_writers_token_tells_whether_a_write_took_effect(self):
        before = table_of(1)
        mine = slots.assign(before, 0, "i-1", "me")
        other = slots.assign(before, 0, "i-1", "other")
        later = slots.vacate(mine, 0, GivenBack("i-1"), "later")
        self.assertEqual(slots.settle(mine, mine), TookEffect())
        self.assertEqual(slots.settle(mine, None), NoEffect())
        self.assertEqual(slots.settle(mine, before), NoEffect())
        self.assertEqual(slots.settle(mine, other), NoEffect())
        self.assertEqual(slots.settle(mine, later), Superseded(later))


class StoredForm(unittest.TestCase):
    def test_any_reachable_table_survives_the_stored_form(self):
        rng = random.Random(7)
        table = table_of(3)
        for step in range(200):
            table = _random_change(rng, table, f"t{step}")
            self.assertEqual(SlotTable.decode(table.encode()), table)
            live = [s for s in table.slots if not s.retiring]
            self.assertEqual(len(live), table.cap)

    def test_what_isnt_a_table_is_malformed_and_says_why(self):
        good = table_of(1, {0: "i-1"}).encode()
        cases = {
            b"\xff": "not JSON",
            b"[]": "object",
            good.replace(b'"format":1', b'"format":2'): "format",
            good.replace(b'"cap":1', b'"cap":-1'): "cap",
            good.replace(b'"cap":1', b'"cap":true'): "cap",
            good.replace(b'"cap":1', b'"cap":0'): "above the cap",
            good.replace(b'"retiring":false', b'"retiring":0'): "retiring",
            good.replace(b'"slots":[{', b'"slots":[3,{'): "a slot is 3",
            good.replace(b'"history":[]', b'"history":[1]'): "history",
            good.replace(b'"writer":"w1"', b'"writer":null'): "writer",
        }
        for value, part in cases.items():
            with self.subTest(value=value):
                outcome = SlotTable.decode(value)
                self.assertIsInstance(outcome, Malformed)
                self.assertIn(part, outcome.detail)

    def test_the_document_key_holds_customer_and_model(self):
        self.assertEqual(slots.document_key(KEY), "/bambootiller/slots/forge/helper")


def _random_change(rng, table, token):
    slot = rng.choice(table.slots) if table.slots else None
    match rng.randrange(3):
        case 0:
            version = table.template_version + 1
            return slots.reconcile_cap(table, rng.randrange(5), version, token)
        case 1 if slot and slot.holder:
            return slots.vacate(table, slot.number, GivenBack(slot.holder), token)
        case 2 if slot and not slot.holder:
            free = [f"i-{n}" for n in range(9) if table.slot_of(f"i-{n}") is None]
            return slots.assign(table, slot.number, rng.choice(free), token)
    return table


if __name__ == "__main__":
    unittest.main()
