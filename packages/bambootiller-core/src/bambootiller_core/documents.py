"""Documents: what operators and slot writers decided, as every process holds it.

A document is a key of the platform's key-value service with its value and the revision
at which it was last modified. The service gives each change a higher revision, so a
revision tells which of two copies is later, whoever passed them on. A process never
goes from a document to one of a lower revision; with that rule alone, copies may arrive
from watches, re-reads and peers, in any order, and an accepted configuration never
reverts.

Example::

    documents = Documents()
    documents.subscribe("/bambootiller/templates/", on_template)
    documents.offer(Document("/bambootiller/templates/forge", 7, b"{}"))  # Accepted
    documents.offer(Document("/bambootiller/templates/forge", 5, b"{}"))  # Stale
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from bambootiller_core import rendezvous
from bambootiller_core.invariants import ensure
from bambootiller_core.ports import Record

TEMPLATES_PREFIX = "/bambootiller/templates/"
SLOTS_PREFIX = "/bambootiller/slots/"
#: The prefixes whose keys are documents.
PREFIXES = (TEMPLATES_PREFIX, SLOTS_PREFIX)


@dataclass(frozen=True, slots=True)
class Document:
    """A key's value at a revision; a deleted one has no value."""

    key: str
    revision: int
    value: bytes
    deleted: bool = False

    @classmethod
    def of(cls, record: Record) -> Document:
        """The document that a record read from the service is."""
        return cls(record.key, record.mod_revision, record.value)


@dataclass(frozen=True, slots=True)
class Head:
    """A document without its value: enough to see who holds the later copy."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The document is now held."""

    document: Document


@dataclass(frozen=True, slots=True)
class Stale:
    """The document was no later than the one held, which stays."""

    held: Document


Offered = Accepted | Stale
Listener = Callable[[Document], None]


class Documents:
    """The documents that a process holds, each at the highest revision seen.

    ``revision`` is the highest revision seen. ``complete`` tells whether the process
    has once held everything that a full read of the service gave, its own or a peer's;
    before, a missing template may only mean that it hasn't arrived.
    """

    def __init__(self) -> None:
        self.complete = False
        self.revision = 0
        self._prefixes_read: set[str] = set()
        self._held: dict[str, Document] = {}
        self._listeners: list[tuple[str, Listener]] = []
        self._digest = 0

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: str) -> Document | None:
        """The document under ``key``; one that was deleted has ``deleted`` set."""
        return self._held.get(key)

    def offer(self, document: Document) -> Offered:
        """Take a document over if it is later than the one held."""
        held = self._held.get(document.key)
        if held is not None and document.revision <= held.revision:
            return Stale(held)
        self._store(document, held)
        for prefix, listener in tuple(self._listeners):
            if document.key.startswith(prefix):
                listener(document)
        return Accepted(document)

    def adopt_read(
        self, prefix: str, found: Sequence[Document], revision: int
    ) -> list[Document]:
        """Take over a full read of ``prefix`` at ``revision``; return what was new.

        What goes wrong: a key is deleted while nobody watches, so no deletion event is
        ever seen, and the document would live on in the fleet. A held document that the
        read lacks is therefore given a tombstone at the read's revision, which outranks
        every copy. A document held at a higher revision than the read's stays: it was
        written after the read, and a peer's watch was faster than this answer.
        """
        present = {document.key for document in found}
        absent = [
            Document(key, revision, b"", deleted=True)
            for key, held in self._held.items()
            if key.startswith(prefix) and key not in present and not held.deleted
        ]
        outcomes = [self.offer(document) for document in (*found, *absent)]
        self.revision = max(self.revision, revision)
        self._prefixes_read.add(prefix)
        self.complete = self.complete or self._prefixes_read.issuperset(PREFIXES)
        return [one.document for one in outcomes if isinstance(one, Accepted)]

    def missing(self, heads: Iterable[Head]) -> list[Head]:
        """Those of ``heads`` that are later than what is held here."""
        return [head for head in heads if head.revision > self.revision_of(head.key)]

    def revision_of(self, key: str) -> int:
        """The revision held of ``key``, 0 if it was never seen."""
        held = self._held.get(key)
        return held.revision if held is not None else 0

    def all(self) -> tuple[Document, ...]:
        """Every document held, tombstones included."""
        return tuple(self._held.values())

    def heads(self) -> tuple[Head, ...]:
        """The heads of all documents, tombstones included."""
        return tuple(Head(doc.key, doc.revision) for doc in self._held.values())

    def newest(self, count: int) -> tuple[Head, ...]:
        """The heads with the highest revisions: what a peer that differs most often
        lacks.
        """
        latest = heapq.nlargest(
            count, self._held.values(), key=lambda doc: doc.revision
        )
        return tuple(Head(doc.key, doc.revision) for doc in latest)

    def digest(self) -> int:
        """64 bits over all heads; equal in processes that hold the same."""
        return self._digest

    def subscribe(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with each document taken over under ``prefix``.

        It is called at once for those that are already held, so that a part that starts
        late misses nothing.
        """
        self._listeners.append((prefix, listener))
        for document in self.all():
            if document.key.startswith(prefix):
                listener(document)

    def _store(self, document: Document, held: Document | None) -> None:
        ensure(
            held is None or document.revision > held.revision,
            "documents-never-below",
            f"{document.key} would go from {held} to revision {document.revision}",
        )
        if held is not None:
            self._digest ^= _fingerprint(held)
        self._digest ^= _fingerprint(document)
        self._held[document.key] = document
        self.revision = max(self.revision, document.revision)


def _fingerprint(document: Document) -> int:
    return xxhash.xxh3_64_intdigest(f"{document.key}\0{document.revision}".encode())


def watchers(zone: str, instances: Iterable[str], per_zone: int) -> list[str]:
    """Which of a zone's alive ``instances`` watch the key-value service.

    Each process computes it from its own view of the members. Two views that differ for
    a while only make a watcher too many or too few; documents stay right either way.
    """
    return rendezvous.ranked(f"watchers/{zone}", instances)[:per_zone]
