"""Documents under copies that are late, repeated and out of order.

A model of the key-value service keeps its whole history. Holders get events, reads that
are delivered late, and one another's copies. Whatever a holder holds must once have
been true, must never fall in revision, and a fresh read must make all holders equal.
"""

from hypothesis import settings, strategies as st
from hypothesis.stateful import invariant, rule

from bambootiller_core.documents import PREFIXES, Document, Documents
from tests.common import counting, profiles

profiles.load()

HOLDERS = 3
KEYS = [f"{prefix}{name}" for prefix in PREFIXES for name in ("a", "b")]
holders = st.integers(0, HOLDERS - 1)
keys = st.sampled_from(KEYS)
past = st.integers(0, 10_000)


class DocumentsMachine(counting.CountedMachine):
    run_name = "documents under late copies"

    def __init__(self):
        super().__init__()
        self.history: list[Document] = []
        self.reads: list[tuple[str, list[Document], int]] = []
        self.holders: list[Documents] = []
        self.seen: list[dict[str, int]] = []
        for _ in range(HOLDERS):
            self.holders.append(Documents())
            self.seen.append({})
            self._watch(len(self.holders) - 1)

    @rule(key=keys)
    def write(self, key):
        revision = len(self.history) + 1
        self.history.append(Document(key, revision, str(revision).encode()))

    @rule(key=keys)
    def delete(self, key):
        if any(doc.key == key for doc in self._live(len(self.history))):
            revision = len(self.history) + 1
            self.history.append(Document(key, revision, b"", deleted=True))

    @rule(prefix=st.sampled_from(PREFIXES))
    def read(self, prefix):
        """A read whose answer is delivered later, if at all."""
        self.reads.append(self._read(prefix))

    @rule(holder=holders, number=past)
    def deliver_a_read(self, holder, number):
        if self.reads:
            read = self.reads[number % len(self.reads)]
            self.holders[holder].adopt_read(*read)

    @rule(holder=holders, number=past)
    def deliver_an_event(self, holder, number):
        if self.history:
            event = self.history[number % len(self.history)]
            self.holders[holder].offer(event)

    @rule(source=holders, to=holders, number=past)
    def copy(self, source, to, number):
        held = self.holders[source].all()
        if held:
            self.holders[to].offer(held[number % len(held)])

    @rule(holder=holders)
    def restart(self, holder):
        self.holders[holder] = Documents()
        self.seen[holder] = {}
        self._watch(holder)

    @invariant()
    def what_is_held_was_once_true(self):
        for holder in self.holders:
            for doc in holder.all():
                at = {one.key: one for one in self._live(doc.revision)}
                if doc.deleted:
                    assert doc.key not in at, doc
                else:
                    assert at[doc.key] == doc, doc

    @invariant()
    def equal_digests_mean_equal_heads(self):
        for one in self.holders:
            for two in self.holders:
                same = set(one.heads()) == set(two.heads())
                assert same == (one.digest() == two.digest())

    def teardown(self):
        reads = [self._read(prefix) for prefix in PREFIXES]
        expected = set(self._live(len(self.history)))
        for holder in self.holders:
            for read in reads:
                holder.adopt_read(*read)
            assert {doc for doc in holder.all() if not doc.deleted} == expected
            assert holder.complete

    def _watch(self, number):
        seen = self.seen[number]

        def heard(doc):
            assert doc.revision > seen.get(doc.key, 0), (doc, seen)
            seen[doc.key] = doc.revision

        self.holders[number].subscribe("", heard)

    def _live(self, revision):
        last = {doc.key: doc for doc in self.history[:revision]}
        return [doc for doc in last.values() if not doc.deleted]

    def _read(self, prefix):
        revision = len(self.history)
        live = [doc for doc in self._live(revision) if doc.key.startswith(prefix)]
        return prefix, live, revision


TestDocumentsNeverFall = DocumentsMachine.TestCase
TestDocumentsNeverFall.settings = settings(
    max_examples=profiles.scale(100, 6000), stateful_step_count=50
)
