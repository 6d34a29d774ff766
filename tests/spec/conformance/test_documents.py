"""The core's documents hold the revisions that the specification's processes hold."""

import unittest
from collections import Counter

from bambootiller_core.documents import Accepted, Document, Documents
from spec import registered
from spec.documents import NOTHING
from tests.spec.common.walks import walk

KEY = "/bambootiller/templates/customer"
#: The service's revision at which the document of the specification's revision 0 was.
BASE = 7
WALKS = 100
STEPS = 120
RARE = frozenset({"process_is_killed", "process_is_cut_off", "service_fails"})


def document(revision: int) -> Document:
    return Document(KEY, BASE + revision, f"change {revision}".encode())


class DocumentsMirror:
    """What each process holds, as the core's documents."""

    def __init__(self, spec):
        count = spec.bounds["processes"]
        self.held = [self._fresh() for _ in range(count)]
        for documents in self.held:
            documents.offer(document(0))

    def _fresh(self) -> Documents:
        documents = Documents()
        documents.subscribe("/", lambda document: None)
        return documents

    def choices(self, state, successors):
        return successors

    def follow(self, before, action, after):
        handler = getattr(self, f"_{action.name}", None)
        if handler is not None:
            handler(before, after, *action.args)
        for index, process in enumerate(after.processes):
            held = self.held[index].revision_of(KEY)
            expected = 0 if process.held == NOTHING else BASE + process.held
            assert held == expected, f"process {index} holds {held}"
        self._digests_tell_who_differs(after)

    def _digests_tell_who_differs(self, state):
        for one, mine in zip(state.processes, self.held):
            for other, theirs in zip(state.processes, self.held):
                same = mine.digest() == theirs.digest()
                assert same == (one.held == other.held)

    def _watch_delivers(self, before, after, index):
        offered = self.held[index].offer(document(before.revision))
        assert isinstance(offered, Accepted)

    def _watcher_reads(self, before, after, index):
        read = [document(before.revision)]
        self.held[index].adopt_read("/bambootiller/templates/", read, BASE + 9)

    def _announcement_arrives(self, before, after, index, revision):
        process = before.processes[index]
        if process.up and process.connected:
            self.held[index].offer(document(revision))

    def _process_compares_with_peer(self, before, after, index, peer):
        heads = self.held[peer].heads()
        missing = self.held[index].missing(heads)
        assert [head.key for head in missing] == [KEY]
        for head in missing:
            self.held[index].offer(self.held[peer].get(head.key))

    def _process_is_killed(self, before, after, index):
        self.held[index] = self._fresh()


class TestDocumentsConformance(unittest.TestCase):
    def test_processes_hold_the_revisions_that_the_specification_holds(self):
        taken: Counter = Counter()
        for seed in range(WALKS):
            spec = registered()["documents"]({"processes": 3})
            taken += walk(spec, seed, STEPS, DocumentsMirror(spec), RARE)
        self.assertEqual(spec.expected_steps() - taken.keys(), frozenset())
