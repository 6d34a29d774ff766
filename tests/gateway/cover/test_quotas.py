"""Quota accounts of entries, and the allocator that grants shares to them."""

import unittest

from bambootiller_core.gateway.customers import Quota, QuotaUnit
from bambootiller_core.gateway.quota_account import QuotaAccount
from bambootiller_core.gateway.quota_allocator import (
    MAX_SHARED_FRACTION,
    QuotaAllocator,
)
from bambootiller_core.gateway.quota_limits import Limit, QuotaTolerance
from bambootiller_core.gateway.quota_messages import SHARE_TTL_S, CustomerAsk, QuotaAsk
from bambootiller_core.gateway.quota_record import Member

LIMIT = Limit(rate_per_s=100.0, depth=140.0, share_depth=140.0, span_s=8.3)
LIMITS = {"c1": LIMIT}


class TestLimit(unittest.TestCase):
    TOLERANCE = QuotaTolerance(8.0, 0.1, 500.0)

    def test_a_full_window_stays_within_the_tolerance(self):
        for burst in (0.0, 100.0, 900.0, 10_000.0):
            quota = Quota(1000.0, burst, QuotaUnit.TOKEN)
            limit = Limit.of(quota, self.TOLERANCE)
            max_amount = limit.span_s * limit.rate_per_s + limit.depth
            self.assertLess(max_amount, self.TOLERANCE.allowed(quota))
            self.assertLessEqual(limit.share_depth, limit.depth)

    def test_the_bucket_holds_the_burst(self):
        limit = Limit.of(Quota(1000.0, 4000.0, QuotaUnit.TOKEN), self.TOLERANCE)
        self.assertGreaterEqual(limit.depth, 4000.0)


class TestSustainedRate(unittest.TestCase):
    """Symptom: a customer gets half of its quota after its rate was lowered.

    Its burst stayed the same, and only the rate filled the bucket, which was empty all
    the time.
    """

    def test_a_customer_with_an_empty_bucket_gets_what_a_window_allows(self):
        quota = Quota(12_685.0, 45_664.0, QuotaUnit.TOKEN)
        tolerance = QuotaTolerance(8.0, 0.1, 7400.0)
        limits = {"c1": Limit.of(quota, tolerance)}
        allocator = QuotaAllocator(1, 0.0, {})
        allocator.configured(0.0, limits)
        granted = []
        for number in range(1, 400):
            now = number / 10
            asked = {"c1": CustomerAsk(50_000.0, 5000.0, 1000.0)}
            ask = QuotaAsk("e1", "p1", number, 1, 0, asked)
            answer = allocator.answer(now, ask, limits)
            granted.append((now, answer.customers["c1"].advance))
        windows = [
            sum(amount for at, amount in granted if begin < at <= begin + 8.0)
            for begin, _ in granted
        ]
        self.assertLessEqual(max(windows), tolerance.allowed(quota))
        late = sum(amount for at, amount in granted if at > 20.0) / 20.0
        self.assertGreater(late, 0.9 * tolerance.allowed(quota) / 8.3)


class TestQuotaAccount(unittest.TestCase):
    def setUp(self):
        self.account = QuotaAccount()

    def grant(self, now, share=0.0, advance=0.0, asked_at=None):
        """Grants what the entry requested at ``asked_at``, by default just now."""
        asked_at = now if asked_at is None else asked_at
        self.account.granted(now, LIMIT, asked_at, share, advance)

    def take(self, now, cost):
        return self.account.take(now, LIMIT, cost)

    def test_an_account_is_empty_at_first(self):
        self.assertIsNone(self.take(1000.0, 1.0))

    def test_a_share_fills_from_empty(self):
        self.grant(10.0, share=0.5)
        self.assertIsNone(self.take(10.0, 1.0))
        self.assertIsNotNone(self.take(11.0, 50.0))
        self.assertIsNone(self.take(11.0, 1.0))

    def test_a_share_holds_its_part_of_the_depth(self):
        self.grant(10.0, share=0.5)
        available = self.account.available(10.0 + SHARE_TTL_S / 2, LIMIT)
        self.assertAlmostEqual(available, 0.5 * LIMIT.depth)

    def test_a_share_expires_with_its_balance(self):
        self.grant(10.0, share=0.5)
        self.assertEqual(self.account.available(10.0 + SHARE_TTL_S, LIMIT), 0.0)
        self.assertEqual(self.account.share, 0.0)

    def test_a_share_expires_a_fixed_time_after_the_request(self):
        self.grant(20.0, share=0.5, asked_at=10.0)
        self.assertEqual(self.account.available(10.0 + SHARE_TTL_S, LIMIT), 0.0)

    def test_an_advance_expires(self):
        self.grant(10.0, advance=30.0)
        self.assertIsNotNone(self.take(10.0 + LIMIT.advance_s / 2, 20.0))
        self.assertIsNone(self.take(10.0 + LIMIT.advance_s, 10.0))

    def test_an_advance_that_arrives_too_late_is_lost(self):
        self.grant(12.0, advance=30.0, asked_at=10.0)
        self.assertIsNone(self.take(12.0, 1.0))

    def test_a_smaller_share_cuts_the_balance(self):
        self.grant(10.0, share=0.8)
        self.grant(12.0, share=0.1)
        available = self.account.available(12.0, LIMIT)
        self.assertAlmostEqual(available, 0.1 * LIMIT.depth)

    def test_a_charge_is_refunded_once(self):
        self.grant(10.0, share=0.5)
        charge = self.take(11.0, 40.0)
        self.account.refund(11.0, LIMIT, charge)
        self.account.refund(11.0, LIMIT, charge)
        self.assertAlmostEqual(self.account.available(11.0, LIMIT), 50.0)

    def test_an_advance_is_refunded_until_it_expires(self):
        """Symptom: a customer gets half of its quota.

        Busy engines refused its calls, and the advances charged for them were lost.
        """
        self.grant(10.0, advance=30.0)
        self.account.refund(10.1, LIMIT, self.take(10.0, 30.0))
        charge = self.take(10.1, 30.0)
        self.assertIsNotNone(charge)
        self.account.refund(10.0 + LIMIT.advance_s, LIMIT, charge)
        self.assertEqual(self.account.available(10.0 + LIMIT.advance_s, LIMIT), 0.0)

    def test_a_refund_after_the_bucket_was_full_adds_nothing(self):
        """Symptom: twice the bucket's depth can be spent at once.

        A call was charged, the bucket filled and was emptied, and then the call's
        charge was refunded.
        """
        self.grant(10.0, share=0.5)
        charge = self.take(11.0, 40.0)
        full = self.account.available(20.0, LIMIT)
        self.take(20.0, full)
        self.account.refund(20.0, LIMIT, charge)
        self.assertAlmostEqual(self.account.available(20.0, LIMIT), 0.0)

    def test_a_retry_is_charged_whatever_the_balance(self):
        self.grant(10.0, share=0.5)
        self.account.overdraw(10.0, LIMIT, 50.0)
        self.assertAlmostEqual(self.account.available(11.0, LIMIT), 0.0)


class TestQuotaAllocator(unittest.TestCase):
    def setUp(self):
        self.allocator = self.start_allocator(0.0)
        self.numbers, self.last_answered = {}, {}

    def start_allocator(self, now, members=None, term=1):
        """An allocator elected at ``now``; ``members``: the recorded shares."""
        allocator = QuotaAllocator(term, now, members or {})
        allocator.configured(now, LIMITS)
        return allocator

    def ask(self, now, entry, demand=0.0, share=0.0, wanted=0.0, process="p1"):
        """Sends a request that confirms the last answer; returns the customer's grant.

        The record of shares is written at once. Returns ``None`` without an answer.
        """
        key = (entry, process)
        self.numbers[key] = self.numbers.get(key, 0) + 1
        last_answered = self.last_answered.get(key, 0)
        asked = {"c1": CustomerAsk(demand, wanted, wanted, share)}
        ask = QuotaAsk(
            entry, process, self.numbers[key], self.allocator.term, last_answered, asked
        )
        answer = self.allocator.answer(now, ask, LIMITS)
        if self.allocator.pending_record is not None:
            self.record = self.allocator.pending_record
            self.allocator.record_written(self.record)
        if answer is None:
            return None
        self.last_answered[key] = answer.number
        return answer.customers["c1"]

    def shared(self, now, entry, demand):
        """The entry's share after it has confirmed some answers."""
        share = 0.0
        for step in range(4):
            share = self.ask(now + step / 100, entry, demand, share).share
        return share

    def test_its_bucket_is_empty_at_first(self):
        self.assertEqual(self.ask(0.0, "e1", wanted=10.0).advance, 0.0)

    def test_it_advances_what_a_call_lacks(self):
        grant = self.ask(1.0, "e1", wanted=60.0)
        self.assertEqual((grant.advance, grant.room_in_s), (60.0, 0.0))
        grant = self.ask(1.0, "e2", wanted=60.0)
        self.assertEqual(grant.advance, 0.0)
        self.assertAlmostEqual(grant.room_in_s, 0.6)

    def test_no_share_before_the_process_confirms_an_answer(self):
        self.assertEqual(self.ask(1.0, "e1", demand=30.0).share, 0.0)
        self.assertEqual(self.shared(1.1, "e1", 30.0), 0.3)

    def test_shares_follow_demand_and_leave_a_reserve(self):
        first = self.shared(1.0, "e1", 300.0)
        self.assertAlmostEqual(first, MAX_SHARED_FRACTION)
        self.assertEqual(self.shared(2.0, "e2", 300.0), 0.0)
        smaller = self.ask(3.0, "e1", 300.0, share=first).share
        self.assertAlmostEqual(smaller, MAX_SHARED_FRACTION / 2)
        # e2 only gets what e1 has confirmed to have released.
        self.assertEqual(self.ask(3.0, "e2", 300.0).share, 0.0)
        self.ask(3.1, "e1", 300.0, share=smaller)
        self.assertAlmostEqual(self.shared(3.2, "e2", 300.0), MAX_SHARED_FRACTION / 2)

    def test_a_granted_share_counts_before_it_is_confirmed(self):
        self.ask(1.0, "e1", demand=60.0)
        granted = self.ask(1.1, "e1", demand=60.0)
        granted = self.ask(1.2, "e1", demand=60.0)
        self.assertAlmostEqual(granted.share, 0.6)
        self.assertLessEqual(self.shared(1.3, "e2", 300.0), MAX_SHARED_FRACTION - 0.6)

    def test_the_record_is_written_before_a_share_grows(self):
        self.ask(1.0, "e1", demand=30.0)
        ask = QuotaAsk("e1", "p1", 9, 1, 1, {"c1": CustomerAsk(30.0)})
        answer = self.allocator.answer(1.1, ask, LIMITS)
        self.assertEqual(answer.customers["c1"].share, 0.0)
        self.assertEqual(self.allocator.pending_record["e1"].incarnation, "p1")

    def test_a_successor_counts_the_recorded_shares_of_silent_entries(self):
        self.allocator = self.start_allocator(
            5.0, {"e1": Member("p1", {"c1": 0.6})}, term=2
        )
        self.assertEqual(self.ask(6.0, "e2", wanted=41.0).advance, 0.0)
        self.assertEqual(self.ask(6.0, "e2", wanted=39.0).advance, 39.0)

    def test_a_recorded_share_ends_once_a_later_process_confirms_an_answer(self):
        self.allocator = self.start_allocator(
            5.0, {"e1": Member("p1", {"c1": 0.6})}, term=2
        )
        self.ask(5.0, "e1", process="p2")
        self.assertEqual(self.ask(5.5, "e2", wanted=21.0).advance, 0.0)
        self.ask(5.5, "e1", process="p2")
        self.assertEqual(self.ask(6.5, "e2", wanted=80.0).advance, 80.0)

    def test_a_recorded_share_ends_when_it_expires(self):
        self.allocator = self.start_allocator(
            5.0, {"e1": Member("p1", {"c1": 1.0})}, term=2
        )
        self.assertEqual(self.ask(5.0 + SHARE_TTL_S - 1, "e2", wanted=1.0).advance, 0.0)
        self.ask(5.0 + SHARE_TTL_S, "e2")
        self.assertEqual(self.ask(6.0 + SHARE_TTL_S, "e2", wanted=90.0).advance, 90.0)

    def test_a_duplicate_request_is_answered_once(self):
        ask = QuotaAsk("e1", "p1", 1, 1, 0, {"c1": CustomerAsk(0.0, 10.0, 10.0)})
        self.assertIsNotNone(self.allocator.answer(1.0, ask, LIMITS))
        self.assertIsNone(self.allocator.answer(1.0, ask, LIMITS))

    def test_a_request_of_an_ended_process_is_not_answered(self):
        self.ask(1.0, "e1", process="p1")
        self.ask(1.1, "e1", process="p2")
        self.ask(1.2, "e1", process="p2")
        self.assertIsNone(self.ask(1.3, "e1", process="p1"))

    def test_a_share_too_small_for_one_call_is_not_granted(self):
        asked = {"c1": CustomerAsk(30.0, call_cost=60.0)}
        for number in range(1, 5):
            ask = QuotaAsk("e1", "p1", number, 1, number - 1, asked)
            answer = self.allocator.answer(1.0, ask, LIMITS)
        self.assertEqual(answer.customers["c1"].share, 0.0)
        self.assertIsNone(self.allocator.pending_record)

    def test_less_than_a_call_lacks_is_not_advanced(self):
        grant = self.ask(0.5, "e1", wanted=60.0)
        self.assertEqual(grant.advance, 0.0)
        self.assertEqual(self.ask(0.5, "e2", wanted=50.0).advance, 50.0)
