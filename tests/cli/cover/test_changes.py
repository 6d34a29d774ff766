"""Changes of templates without faults: versions, the trail, differences."""

import unittest

from bambootiller.operators import audit, keys
from bambootiller.operators.changes import (
    Applied,
    BadDocument,
    Changes,
    KeyTaken,
    LostRace,
    Unchanged,
)
from bambootiller.operators.differences import differences
from bambootiller_core.ports import Put, Unavailable
from tests.cli.common import author, draft, no_pause, stored_replicas, trail
from tests.common.fakekv import FakeKeyValue


class TestApply(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.kv = FakeKeyValue()
        self.changes = Changes(self.kv)

    async def apply(self, *args, who="ada", **kwargs):
        return await self.changes.apply(draft(*args, **kwargs), author(who), no_pause)

    async def test_each_change_raises_the_version_and_leaves_a_record(self):
        first = await self.apply(1)
        second = await self.apply(2, who="ben")
        self.assertIsInstance(first, Applied)
        self.assertEqual((first.record.version, second.record.version), (1, 2))
        self.assertEqual(stored_replicas(self.kv), 2)
        records = trail(self.kv)
        self.assertEqual([item.who for item in records], ["ada", "ben"])
        self.assertEqual(records[1].previous_version, 1)
        self.assertEqual(records[1].reason, "ben's reason")
        (difference,) = records[1].differences
        self.assertEqual(str(difference), "models.tutor.replicas: 1 -> 2")

    async def test_template_and_record_are_written_at_the_same_revision(self):
        await self.apply(1)
        revisions = {record.mod_revision for record in self.kv.records.values()}
        self.assertEqual((revisions, len(self.kv.records)), ({1}, 2))

    async def test_the_same_template_again_writes_nothing(self):
        await self.apply(1)
        self.assertEqual(await self.apply(1), Unchanged(1))
        self.assertEqual(self.kv.revision, 1)

    async def test_a_draft_of_an_older_version_is_told_what_changed_and_by_whom(self):
        await self.apply(1)
        await self.apply(2, who="ben")
        outcome = await self.apply(3, version=1)
        self.assertIsInstance(outcome, LostRace)
        self.assertEqual((outcome.base_version, outcome.current_version), (1, 2))
        self.assertEqual([record.who for record in outcome.records], ["ben"])
        self.assertEqual(stored_replicas(self.kv), 2)

    async def test_a_draft_of_the_present_version_is_accepted(self):
        await self.apply(1)
        self.assertIsInstance(await self.apply(2, version=1), Applied)

    async def test_a_key_of_another_customers_caller_is_refused(self):
        await self.apply(1)
        outcome = await self.apply(1, customer="regie")
        self.assertEqual(outcome, KeyTaken("pupils", "forge", "pupils"))
        self.assertEqual(self.kv.revision, 1)

    async def test_customers_have_versions_of_their_own(self):
        await self.apply(1)
        outcome = await self.apply(1, customer="regie", digest="cd" * 32)
        self.assertEqual(outcome.record.version, 1)

    async def test_an_unreadable_template_is_neither_overwritten_nor_hidden(self):
        self.kv.commit([], [Put(keys.template_key("forge"), b"{")])
        self.assertIsInstance(await self.apply(1), BadDocument)
        self.assertEqual(self.kv.revision, 1)

    async def test_while_the_service_is_down_nothing_is_claimed(self):
        self.kv.down = True
        self.assertIsInstance(await self.apply(1), Unavailable)

    async def test_the_trail_is_bounded(self):
        await self.apply(1)
        version = audit.KEPT
        key = keys.template_key("forge")
        self.kv.commit([], [Put(key, draft(1).stored(version))])
        await self.apply(2)
        self.assertEqual([item.version for item in trail(self.kv)], [version + 1])


class TestTrail(unittest.TestCase):
    def test_a_record_reads_back_as_it_was_written(self):
        found = differences({"a": 1, "gone": [1]}, {"a": 2, "new": "x"})
        listed, more = audit.summarise(found)
        record = audit.AuditRecord("f", 2, 1, "ada", "now", "why", "t", listed, more)
        self.assertEqual(audit.decode(record.encode()), record)

    def test_an_unreadable_record_is_a_value_that_says_so(self):
        for value in (b"", b"[]", b"{}", b'{"differences": 3}'):
            with self.subTest(value=value):
                self.assertIsInstance(audit.decode(value), audit.Unreadable)

    def test_long_values_are_cut_and_many_differences_counted(self):
        after = {f"n{number:03}": "x" * 1000 for number in range(150)}
        listed, more = audit.summarise(differences({}, after))
        self.assertEqual((len(listed), more), (100, 50))
        self.assertLess(len(listed[0].after), 250)

    def test_lists_are_compared_as_sets_and_shown_by_what_came_and_went(self):
        before = {"adapters": ["a", "b"], "same": ["x", "y"], "version": 1}
        after = {"adapters": ["b", "c"], "same": ["y", "x"], "version": 2}
        (difference,) = differences(before, after)
        self.assertEqual(str(difference), "adapters: +c -a")

    def test_a_new_or_removed_part_is_shown_field_by_field(self):
        model = {"models": {"tutor": {"replicas": 1, "adapters": []}}}
        found = [str(item) for item in differences({}, model)]
        self.assertEqual(
            found,
            [
                "models.tutor.adapters: (absent) -> []",
                "models.tutor.replicas: (absent) -> 1",
            ],
        )
        self.assertEqual(len(differences(model, {"models": {}})), 2)

    def test_true_and_one_differ(self):
        self.assertEqual(len(differences({"batch": True}, {"batch": 1})), 1)
