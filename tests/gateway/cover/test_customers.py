"""Customers, and the API keys that identify them."""

import unittest

from hypothesis import given, strategies as st

from bambootiller_core.gateway.customers import (
    Customer,
    CustomerConflict,
    Customers,
    Quota,
    QuotaUnit,
    credential,
    digest,
)

KEY = "asnmgkcuyj8pjbvk9m68"
FIRST, SECOND = Customer("first"), Customer("second")


class TestCredential(unittest.TestCase):
    @given(st.lists(st.binary(max_size=60), max_size=3))
    def test_any_header_values_give_a_key_or_none(self, values):
        found = credential(values)
        if found is not None:
            (value,) = values
            self.assertEqual(value.split()[0].lower(), b"bearer")
            self.assertEqual(found, digest(value.split()[1]))

    @given(st.sampled_from(["Bearer", "bearer", "BEARER"]), st.integers(1, 5))
    def test_case_and_blanks_do_not_matter(self, scheme, blanks):
        value = f" {scheme}{' ' * blanks}{KEY}\t".encode()
        self.assertEqual(credential([value]), digest(KEY.encode()))

    @given(st.binary(max_size=40))
    def test_no_other_value_is_accepted_as_the_key(self, value):
        customers = Customers.build([(FIRST, (KEY,))])
        holder = customers.holder(credential([b"Bearer " + value]))
        self.assertEqual(holder, FIRST if value.strip() == KEY.encode() else None)


class TestCustomers(unittest.TestCase):
    def test_a_key_identifies_its_holder(self):
        customers = Customers.build([(FIRST, ("a", "b")), (SECOND, ("c",))])
        self.assertIs(customers.holder(digest(b"b")), FIRST)
        self.assertIs(customers.holder(digest(b"c")), SECOND)
        self.assertIsNone(customers.holder(digest(b"d")))
        self.assertIsNone(customers.holder(None))

    def test_one_key_of_two_customers_is_refused_without_showing_it(self):
        with self.assertRaises(CustomerConflict) as raised:
            Customers.build([(FIRST, (KEY,)), (SECOND, (KEY,))])
        self.assertNotIn(KEY, str(raised.exception))
        self.assertIn("'second'", str(raised.exception))

    def test_two_customers_of_one_name_are_refused(self):
        with self.assertRaises(CustomerConflict):
            Customers.build([(FIRST, ("a",)), (Customer("first"), ("b",))])

    def test_keys_are_not_shown(self):
        customers = Customers.build([(FIRST, (KEY,))])
        self.assertNotIn(KEY, repr(customers))

    def test_a_call_costs_its_tokens_or_those_of_a_plain_call(self):
        quota = Quota(10.0, 10.0, QuotaUnit.TOKEN, plain_tokens=200)
        self.assertEqual([quota.cost(None), quota.cost(1540)], [200, 1540])
        self.assertEqual(Quota(10.0, 10.0).cost(1540), 1)
