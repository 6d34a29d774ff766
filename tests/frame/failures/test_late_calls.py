"""Calls that a stopping process makes after its adapters have been closed."""

import gc
import unittest
import warnings

from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller_core.ports import Compare, Put, Unavailable

#: Nothing listens on the discard port of the loopback interface.
NOBODY = "http://127.0.0.1:9"


class TestKeyValueAfterClose(unittest.IsolatedAsyncioTestCase):
    """Symptom: a process whose start fails on a taken port ends with a second line of
    level error behind the one that names the flag.

    The key-value client was closed while a reader was between two tries. Its next try
    opened a new client session, which nobody closed, and the interpreter said so at the
    end. The cause: a closed client took itself for one that hadn't been opened yet.
    """

    async def check(self, call):
        kv = EtcdKeyValue((NOBODY,), None, None)
        await kv.get("a")
        await kv.close()
        with warnings.catch_warnings(record=True) as found:
            warnings.simplefilter("always")
            outcome = await call(kv)
            del kv
            gc.collect()
        self.assertEqual([str(one.message) for one in found], [])
        return outcome

    async def test_a_read_after_close_opens_no_session(self):
        outcome = await self.check(lambda kv: kv.get("a"))
        self.assertIsInstance(outcome, Unavailable)

    async def test_a_write_after_close_is_known_not_to_have_taken_effect(self):
        outcome = await self.check(
            lambda kv: kv.transact([Compare("a", 0)], [Put("a", b"1")])
        )
        self.assertIsInstance(outcome, Unavailable)


if __name__ == "__main__":
    unittest.main()
