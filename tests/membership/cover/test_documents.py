"""Which copy of a document a process holds."""

import unittest

from bambootiller_core.documents import (
    PREFIXES,
    SLOTS_PREFIX,
    TEMPLATES_PREFIX,
    Accepted,
    Document,
    Documents,
    Head,
    Stale,
    watchers,
)

KEY = f"{TEMPLATES_PREFIX}forge"


def doc(revision: int, key: str = KEY, value: bytes = b"v") -> Document:
    return Document(key, revision, value)


class TestDocuments(unittest.TestCase):
    def test_only_a_later_revision_is_accepted(self):
        documents = Documents()
        self.assertEqual(documents.offer(doc(5)), Accepted(doc(5)))
        self.assertEqual(documents.offer(doc(5, value=b"w")), Stale(doc(5)))
        self.assertEqual(documents.offer(doc(4)), Stale(doc(5)))
        self.assertEqual(documents.get(KEY), doc(5))

    def test_a_deletion_is_held_as_a_revision_and_not_undone_by_a_late_copy(self):
        documents = Documents()
        documents.offer(Document(KEY, 6, b"", deleted=True))
        documents.offer(doc(5))
        self.assertTrue(documents.get(KEY).deleted)

    def test_subscribers_hear_their_prefix_and_what_was_held_before(self):
        documents = Documents()
        documents.offer(doc(1))
        heard = []
        documents.subscribe(TEMPLATES_PREFIX, heard.append)
        documents.offer(doc(2))
        documents.offer(doc(3, key=f"{SLOTS_PREFIX}forge/tutor"))
        self.assertEqual(heard, [doc(1), doc(2)])

    def test_a_read_marks_what_it_lacks_as_deleted_at_its_own_revision(self):
        documents = Documents()
        documents.offer(doc(5))
        documents.adopt_read(TEMPLATES_PREFIX, [], 9)
        self.assertEqual(documents.get(KEY), Document(KEY, 9, b"", deleted=True))

    def test_a_read_leaves_what_was_written_after_it(self):
        documents = Documents()
        documents.offer(doc(12))
        documents.adopt_read(TEMPLATES_PREFIX, [], 9)
        self.assertEqual(documents.get(KEY), doc(12))

    def test_a_read_of_one_prefix_says_nothing_about_the_other(self):
        documents = Documents()
        documents.offer(doc(5))
        documents.adopt_read(SLOTS_PREFIX, [], 9)
        self.assertEqual(documents.get(KEY), doc(5))
        self.assertFalse(documents.complete)

    def test_the_documents_are_complete_when_all_prefixes_have_been_read(self):
        documents = Documents()
        for prefix in PREFIXES:
            documents.adopt_read(prefix, [], 9)
        self.assertTrue(documents.complete)

    def test_digests_do_not_depend_on_the_order_of_arrival(self):
        one, two = Documents(), Documents()
        other = doc(3, key=f"{TEMPLATES_PREFIX}regie")
        for document in (doc(1), doc(2), other):
            one.offer(document)
        for document in (other, doc(2)):
            two.offer(document)
        self.assertEqual(one.digest(), two.digest())
        two.offer(doc(4))
        self.assertNotEqual(one.digest(), two.digest())

    def test_missing_names_later_and_unknown_heads_only(self):
        documents = Documents()
        documents.offer(doc(5))
        heads = [Head(KEY, 5), Head(KEY, 6), Head("/other", 1)]
        self.assertEqual(documents.missing(heads), heads[1:])

    def test_the_newest_heads_have_the_highest_revisions(self):
        documents = Documents()
        for revision in (3, 9, 1, 7):
            documents.offer(doc(revision, key=f"{TEMPLATES_PREFIX}{revision}"))
        newest = [head.revision for head in documents.newest(2)]
        self.assertEqual(newest, [9, 7])


class TestWatchers(unittest.TestCase):
    def test_a_zone_has_its_number_of_watchers_and_a_loss_moves_only_one(self):
        names = [f"n-{number}" for number in range(20)]
        before = watchers("az-1", names, 2)
        after = watchers("az-1", [n for n in names if n != before[0]], 2)
        self.assertEqual(len(before), 2)
        self.assertEqual(after[0], before[1])
        self.assertEqual(watchers("az-1", ["alone"], 2), ["alone"])
