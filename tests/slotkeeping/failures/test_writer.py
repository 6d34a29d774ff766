"""Failures of the write of a slot table."""

import unittest
from types import SimpleNamespace

from bambootiller.catalogue import Catalogue
from bambootiller.slotkeeping.writer import TableWriter, Written
from bambootiller_core.documents import Documents
from bambootiller_core.ports import Put
from bambootiller_core.slots import create, document_key, reconcile_cap
from bambootiller_core.types import ModelKey
from tests.common.fakekv import FakeKeyValue, Fault

KEY = ModelKey("forge", "tutor")


class WriterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        documents = Documents()
        self.app = SimpleNamespace(
            kv=FakeKeyValue(), documents=documents, catalogue=Catalogue(documents)
        )
        self.writer = TableWriter(self.app)

    async def test_a_write_that_took_effect_without_an_answer_counts_as_done(self):
        """Symptom: a second set of slots is created although the first is in force.

        Sequence: an entry writes the table; the write takes effect; the answer is lost.
        Cause: a writer that tries again meets its own effect as somebody else's.
        """
        self.app.kv.faults.append(Fault.LOST_AFTER)
        table = create(KEY, 2, 1, {0: "i-1"}, "t1")
        self.assertIs(await self.writer.write(None, table), Written.IN_FORCE)
        self.assertEqual(self.app.catalogue.slots(KEY), table)

    async def test_a_write_that_never_arrived_is_no_success(self):
        """Symptom: an entry believes in slots that no value holds.

        Sequence: the write is lost before the service; the entry reads back.
        Cause: taking the silence for success.
        """
        self.app.kv.faults.append(Fault.LOST_BEFORE)
        table = create(KEY, 1, 1, {}, "t1")
        self.assertIs(await self.writer.write(None, table), Written.LOST_RACE)
        self.assertIsNone(self.app.catalogue.slots(KEY))

    async def test_a_late_write_cannot_undo_a_table_written_in_between(self):
        """Symptom: a slot that was moved is with its old holder again.

        Sequence: a write is delayed on the wire; another entry writes; the first lands.
        Cause: a write without the revision that it was decided on.
        """
        first = create(KEY, 1, 1, {0: "i-1"}, "t1")
        await self.writer.write(None, first)
        self.app.kv.faults.append(Fault.DELAYED)
        late = reconcile_cap(first, 2, 2, "t2")
        self.assertIs(await self.writer.write(first, late), Written.LOST_RACE)
        newer = reconcile_cap(first, 3, 3, "t3")
        self.assertIs(await self.writer.write(first, newer), Written.IN_FORCE)
        self.app.kv.land_delayed()
        held = self.app.kv.records[document_key(KEY)].value
        self.assertEqual(held, newer.encode())

    async def test_the_loser_of_a_race_learns_the_table_that_won(self):
        """Symptom: an entry goes on deciding on a table that has been replaced.

        Sequence: two entries create the table; one compare fails.
        Cause: a conflict whose record isn't taken over.
        """
        won = create(KEY, 1, 1, {0: "i-2"}, "other")
        write = [Put(document_key(KEY), won.encode())]
        self.app.kv.before_transact = lambda: self.app.kv.commit([], write)
        lost = create(KEY, 1, 1, {0: "i-1"}, "t1")
        self.assertIs(await self.writer.write(None, lost), Written.LOST_RACE)
        self.assertEqual(self.app.catalogue.slots(KEY), won)

    async def test_an_outage_leaves_the_table_for_a_later_try(self):
        """Symptom: an entry stops, or counts a table that nobody holds.

        Sequence: the key-value service is down when slots have to be created.
        Cause: an outage taken for a conflict or for success.
        """
        self.app.kv.down = True
        table = create(KEY, 1, 1, {}, "t1")
        self.assertIs(await self.writer.write(None, table), Written.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
