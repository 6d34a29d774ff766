"""Queued calls whose API key is removed or moves to another customer."""

import unittest
from dataclasses import replace

from bambootiller_core.gateway.attempts import RefusalReason
from bambootiller_core.gateway.customers import Customer, Customers, digest
from tests.adapter.common.entry import EntryHarness
from tests.gateway.common import samples

KEY = "k-1"
FIRST, SECOND = Customer("first"), Customer("second")


class TestQueuedCalls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.call = samples.call(keyed=True, key=digest(KEY.encode()), customer=FIRST)

    def refusal(self, *keyed, call=None):
        config = samples.config()
        found = Customers.build(keyed)
        self.harness.gateway_state.config = replace(config, customers=found)
        refusal = self.harness.context.key_refusal(call or self.call)
        return refusal and refusal.reason

    async def test_a_kept_key_changes_nothing(self):
        self.assertIsNone(self.refusal((FIRST, (KEY, "k-2"))))

    async def test_a_removed_key_ends_the_call(self):
        self.assertIs(self.refusal((FIRST, ("k-2",))), RefusalReason.UNKNOWN_KEY)

    async def test_a_key_given_to_another_customer_ends_the_call(self):
        self.assertIs(self.refusal((SECOND, (KEY,))), RefusalReason.KEY_CHANGED_HANDS)

    async def test_a_call_without_a_key_is_not_checked(self):
        self.assertIsNone(self.refusal((FIRST, ("k-2",)), call=samples.call()))
