"""Failures of the write of a slot table."""

import json
import unittest
from types import SimpleNamespace

from bambootiller.catalogue import Catalogue
from bambootiller.slotkeeping.writer import TableWriter, Written
from bambootiller_core.documents import Document, Documents
from bambootiller_core.ports import Put
from bambootiller_core.slots import assign, create, document_key, reconcile_cap
from bambootiller_core.types import ModelKey
from tests.common.fakekv import FakeKeyValue, Fault

KEY = ModelKey("forge", "tutor")
TEMPLATE_KEY = "/bambootiller/templates/forge"


class WriterTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        documents = Documents()
        self.app = SimpleNamespace(
            kv=FakeKeyValue(), documents=documents, catalogue=Catalogue(documents)
        )
        self.writer = TableWriter(self.app)
        self.apply(1)

    def apply(self, version, known=True):
        """Put a template in force; ``known`` tells whether this entry learns of it."""
        form = {"customer": "forge", "version": version}
        value = json.dumps(form).encode()
        revision = self.app.kv.commit([], [Put(TEMPLATE_KEY, value)]).revision
        if known:
            self.app.documents.offer(Document(TEMPLATE_KEY, revision, value, False))

    async def write(self, after):
        return await self.writer.write(self.writer.basis(KEY), after)

    async def test_a_write_that_took_effect_without_an_answer_counts_as_done(self):
        """Symptom: a second set of slots is created although the first is in force.

        Sequence: an entry writes the table; the write takes effect; the answer is lost.
        Cause: a writer that tries again meets its own effect as somebody else's.
        """
        self.app.kv.faults.append(Fault.LOST_AFTER)
        table = create(KEY, 2, 1, {0: "i-1"}, "t1")
        self.assertIs(await self.write(table), Written.IN_FORCE)
        self.assertEqual(self.app.catalogue.slots(KEY), table)

    async def test_a_write_that_never_arrived_is_no_success(self):
        """Symptom: an entry believes in slots that no value holds.

        Sequence: the write is lost before the service; the entry reads back.
        Cause: taking the silence for success.
        """
        self.app.kv.faults.append(Fault.LOST_BEFORE)
        table = create(KEY, 1, 1, {}, "t1")
        self.assertIs(await self.write(table), Written.LOST_RACE)
        self.assertIsNone(self.app.catalogue.slots(KEY))

    async def test_a_late_write_cannot_undo_a_table_written_in_between(self):
        """Symptom: a slot that was moved is with its old holder again.

        Sequence: a write is delayed on the wire; another entry writes; the first lands.
        Cause: a write without the revision that it was decided on.
        """
        first = create(KEY, 1, 1, {0: "i-1"}, "t1")
        await self.write(first)
        self.app.kv.faults.append(Fault.DELAYED)
        late = reconcile_cap(first, 2, 2, "t2")
        self.assertIs(await self.write(late), Written.LOST_RACE)
        newer = reconcile_cap(first, 3, 3, "t3")
        self.assertIs(await self.write(newer), Written.IN_FORCE)
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
        self.assertIs(await self.write(lost), Written.LOST_RACE)
        self.assertEqual(self.app.catalogue.slots(KEY), won)

    async def test_a_table_that_changed_while_agents_were_asked_is_not_overwritten(
        self,
    ):
        """Symptom: a slot is with two instances, and a model on more than its cap.

        Sequence: an entry decides on a table and asks agents for figures; meanwhile the
        slot is given to another instance, and the entry learns it; then it writes.
        Cause: the write named the revision held at its end, not the one decided on.
        """
        empty = create(KEY, 1, 1, {}, "t1")
        await self.write(empty)
        basis = self.writer.basis(KEY)
        await self.write(assign(empty, 0, "i-2", "other"))
        mine = assign(empty, 0, "i-1", "t2")
        self.assertIs(await self.writer.write(basis, mine), Written.LOST_RACE)
        self.assertEqual(self.app.catalogue.slots(KEY).holders(), ("i-2",))

    async def test_an_entry_that_wakes_with_an_old_template_raises_no_cap(self):
        """Symptom: a second replica under a cap of one, long after the cap was lowered.

        Sequence: version 1 decides one replica, version 2 two, version 3 one again; no
        entry writes at version 2, so the table never changes; an entry that was paused
        when it knew version 2 wakes and adds the slot.
        Cause: only the table's revision was compared, and the table hadn't changed.
        """
        table = create(KEY, 1, 1, {0: "i-1"}, "t1")
        await self.write(table)
        self.apply(2)
        basis = self.writer.basis(KEY)
        self.apply(3, known=False)
        raised = reconcile_cap(table, 2, 2, "t2")
        self.assertIs(await self.writer.write(basis, raised), Written.LOST_RACE)
        self.assertEqual(self.app.catalogue.slots(KEY), table)
        self.assertEqual(self.app.catalogue.template("forge").version, 3)

    async def test_an_outage_leaves_the_table_for_a_later_try(self):
        """Symptom: an entry stops, or counts a table that nobody holds.

        Sequence: the key-value service is down when slots have to be created.
        Cause: an outage taken for a conflict or for success.
        """
        self.app.kv.down = True
        table = create(KEY, 1, 1, {}, "t1")
        self.assertIs(await self.write(table), Written.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
