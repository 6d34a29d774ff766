"""The ledger: what is reserved, what counts, and what releases it."""

import unittest

from bambootiller_core.backend_effects import OrderLost, OrderRejected, OrderTaken
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.memory import Item, Ledger, describe
from bambootiller_core.types import EngineState, ModelReport, OrderState, Phase
from tests.core.common.samples import key

A, B = Item(key("a")), Item(key("b"))


def state(*models, used=None, orders=None, total=10):
    """An engine's state; ``models`` are (name, bytes, adapters...)."""
    reports = tuple(
        ModelReport(f"forge/{name}", Phase.LOADED, size, adapters=tuple(adapters))
        for name, size, *adapters in models
    )
    used = sum(size for _, size, *_ in models) if used is None else used
    return EngineState(1, "e", total, used, reports, {}, orders or {})


class Reservations(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger(headroom_bytes=1)
        self.ledger.learn(0.0, state())

    def test_more_than_the_total_less_headroom_never_fits_and_is_asserted(self):
        self.assertTrue(self.ledger.fits(A, 9))
        self.assertFalse(self.ledger.fits(A, 10))
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.assertFalse(self.ledger.fits(B, 4))
        with self.assertRaises(InvariantBroken):
            self.ledger.reserve(0.0, B, 4, "o2", 12.0)

    def test_a_repeated_reservation_of_one_item_counts_once(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.reserve(0.0, A, 7, "o2", 13.0)
        self.assertEqual(self.ledger.held(A), 7)
        self.assertEqual(describe(self.ledger)["memory_committed"], 7)

    def test_an_unanswered_order_is_released_only_by_a_state_from_after_its_end(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.answered(A, "o1", OrderLost())
        self.ledger.learn(11.9, state())
        self.assertTrue(self.ledger.under_way(A.key))
        self.ledger.learn(12.0, state())
        self.assertFalse(self.ledger.holds(A))

    def test_a_rejected_order_is_released_at_once(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.answered(A, "o1", OrderRejected("no_memory"))
        self.ledger.expire()
        self.assertFalse(self.ledger.holds(A))

    def test_a_taken_order_waits_to_be_listed(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.answered(A, "o1", OrderTaken())
        self.ledger.learn(1.0, state())
        self.assertTrue(self.ledger.holds(A))
        self.ledger.learn(1.1, state(orders={"o1": OrderState.PENDING}))
        self.assertTrue(self.ledger.under_way(A.key))
        self.ledger.learn(1.2, state(("a", 6), orders={"o1": OrderState.DONE}))
        self.assertFalse(self.ledger.under_way(A.key))
        self.assertEqual(self.ledger.free(), 3)
        self.ledger.learn(1.3, state(orders={"o1": OrderState.DONE}))
        self.assertEqual(self.ledger.free(), 9)

    def test_a_failed_order_is_released_when_listed(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.learn(1.0, state(orders={"o1": OrderState.FAILED}))
        self.assertFalse(self.ledger.holds(A))

    def test_a_lost_copy_beside_an_arrived_one_still_counts(self):
        self.ledger.reserve(0.0, A, 6, "o1", 12.0)
        self.ledger.answered(A, "o1", OrderLost())
        self.ledger.sent_again(A, "o1", 13.0)
        self.ledger.answered(A, "o1", OrderTaken())
        self.ledger.learn(2.0, state(("a", 6), orders={"o1": OrderState.DONE}))
        self.ledger.learn(3.0, state())
        self.assertTrue(self.ledger.under_way(A.key))
        self.ledger.learn(12.0, state())
        self.assertFalse(self.ledger.holds(A))

    def test_sending_again_without_a_reservation_is_asserted(self):
        with self.assertRaises(InvariantBroken):
            self.ledger.sent_again(A, "o1", 12.0)

    def test_the_larger_of_ledger_and_report_counts(self):
        self.ledger.reserve(0.0, A, 3, "o1", 12.0)
        self.ledger.learn(1.0, state(("a", 5), orders={"o1": OrderState.DONE}))
        self.assertEqual(self.ledger.committed(), 5)
        self.ledger.learn(2.0, state(("a", 5), used=8))
        self.assertEqual(self.ledger.committed(), 8)
        self.ledger.reserve(2.0, B, 1, "o2", 14.0)
        self.assertEqual(self.ledger.committed(), 9)

    def test_adapters_count_once_whether_the_report_contains_them_or_not(self):
        adapter = Item(A.key, "x")
        self.ledger.learn(0.0, state(("a", 5, "x")))
        self.ledger.size_adapter(adapter, 2)
        self.assertEqual(self.ledger.committed(), 7)
        self.assertEqual(self.ledger.held_by(A.key), 7)
        self.ledger.learn(1.0, state(("a", 7, "x")))
        self.assertEqual(self.ledger.committed(), 7)
        self.ledger.learn(2.0, state(("a", 5)))
        self.assertEqual(self.ledger.committed(), 5)


if __name__ == "__main__":
    unittest.main()
