"""How long requests wait when their model has no place."""

import unittest

from bambootiller.entry.patience import MEMORY_S, PATIENCE_S, Patience
from bambootiller.entry.relay.core import Finish, RelayCore, Repeat
from bambootiller_core.outcomes import Code
from bambootiller_core.retries import RetryBudget
from bambootiller_core.types import ModelKey
from tests.entry.cover.test_core import REQ

KEY = ModelKey("forge", "tutor")


class PatienceTests(unittest.TestCase):
    def test_a_wait_in_vain_stands_for_the_requests_that_come_after_it(self):
        patience = Patience()
        self.assertEqual(patience.of(0.0, KEY), PATIENCE_S)
        patience.in_vain(5.0, KEY)
        self.assertEqual(patience.of(6.0, KEY), 0.0)
        self.assertEqual(patience.of(6.0, ModelKey("forge", "other")), PATIENCE_S)

    def test_a_place_that_appears_brings_the_patience_back(self):
        patience = Patience()
        patience.in_vain(5.0, KEY)
        patience.served(KEY)
        self.assertEqual(patience.of(6.0, KEY), PATIENCE_S)

    def test_a_wait_in_vain_is_forgotten_when_nobody_asks_any_more(self):
        patience = Patience()
        patience.in_vain(5.0, KEY)
        self.assertEqual(patience.of(5.1 + MEMORY_S, KEY), PATIENCE_S)
        patience.sweep(5.1 + MEMORY_S)
        self.assertEqual(patience._in_vain, {})

    def test_a_request_without_patience_is_refused_at_once(self):
        """Symptom: while a region is cut off, each caller hears after five seconds what
        the entry knew at once.

        Sequence: one request has waited in vain for a place; the next one arrives.
        Cause: each request waited for itself.
        """
        relay = RelayCore(REQ, Repeat.RESUME, RetryBudget(), None, patience_s=0.0)
        action = relay.choose(1.0, [])
        self.assertIsInstance(action, Finish)
        self.assertIs(action.final.code, Code.NO_REPLICA)


if __name__ == "__main__":
    unittest.main()
