"""One process's copy of the store's documents, and what it knows to be absent.

Documents come from the store and from peers, in any order. That a document is absent
has a revision as its content has: a process that has all documents of a part of the
store up to a revision knows that any other document of that part up to this revision
has been replaced or removed. A peer that hasn't seen the removal yet may still send
such a document.

A process that starts reads a list of the store, which shows no removals. So it can
bring a peer up to date by its documents alone only if the peer is complete up to that
list; any other peer also needs its keys (:class:`KeyList`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.document_propagation import is_covered
from bambootiller_core.ports import Changed, Record


@dataclass(frozen=True, slots=True)
class KeyList:
    """All keys that a process holds under a prefix, as of a revision up to which it is
    complete: any other key under the prefix is absent at that revision."""

    prefix: str
    revision: int
    keys: Collection[str]


class DocumentTable:
    """The documents held, including removals, by key.

    Example::

        if table.is_news(change):
            table.put(change)
        table.advance({"registry/": 90})
    """

    def __init__(self) -> None:
        #: The revision up to which all documents have been received, by prefix or key.
        self.complete: dict[str, int] = {}
        #: The revision since which all removals are held, by prefix.
        self.removals_since: dict[str, int] = {}
        self._held: dict[str, Changed] = {}

    def documents(self) -> list[Changed]:
        """All documents held, including removals."""
        return list(self._held.values())

    def is_news(self, change: Changed) -> bool:
        """Whether the document is newer than what is known of its key.

        Up to the revision for which this process is complete, it can only be a later
        version of a document that is held. Anything else has been removed since, or
        written again.
        """
        held = self._held.get(change.record.key)
        if held is not None and held.record.mod_revision >= change.record.mod_revision:
            return False
        if not is_covered(self.complete, change):
            return True
        return held is not None and not held.deleted and not change.deleted

    def put(self, change: Changed) -> None:
        """Hold the document in place of the one under its key."""
        self._held[change.record.key] = change

    def key_list(self, prefix: str) -> KeyList:
        """The keys held under a prefix for which this process is complete, with those
        removed since: their removal is a document of its own."""
        revision = self.complete[prefix]
        keys = [
            key
            for key, change in self._held.items()
            if key.startswith(prefix)
            and (not change.deleted or change.record.mod_revision > revision)
        ]
        return KeyList(prefix, revision, keys)

    def removed_by(self, listed: KeyList) -> list[Changed]:
        """The removals of the documents held that a list of all keys shows to be
        absent."""
        keys = set(listed.keys)
        return [
            Changed(Record(key, b"", listed.revision), deleted=True)
            for key, record in self._present(listed.prefix).items()
            if key not in keys and record.mod_revision <= listed.revision
        ]

    def _present(self, prefix: str) -> dict[str, Record]:
        return {
            key: change.record
            for key, change in self._held.items()
            if key.startswith(prefix) and not change.deleted
        }

    def listed(self, prefix: str, revision: int) -> None:
        """Record that the store's list of a prefix has been applied. If it is ahead of
        what was received before, removals before it may be unknown."""
        if revision > self.complete.get(prefix, -1):
            self.removals_since[prefix] = revision

    def advance(self, complete: Mapping[str, int]) -> bool:
        """Record that all documents up to these revisions have been received; returns
        whether any of them is new."""
        advanced = {
            part: revision
            for part, revision in complete.items()
            if revision > self.complete.get(part, -1)
        }
        self.complete.update(advanced)
        return bool(advanced)

    def accept_from_peer(
        self,
        complete: Mapping[str, int],
        removals_since: Mapping[str, int],
        key_lists: Mapping[str, int],
    ) -> dict[str, int]:
        """Return the parts of ``complete`` that hold here too, once a peer that is
        complete so far has sent all its documents.

        ``removals_since`` is the peer's, and ``key_lists`` has the revisions of the
        lists of keys received from it, by prefix. If the peer may lack a removal that
        is missing here as well, its documents aren't enough: the document would be kept
        for good, since all others would take its removal for received.
        """
        accepted = {}
        for part, revision in complete.items():
            if part.endswith("/") and not self._accepts_prefix(
                part, removals_since.get(part), key_lists.get(part, -1)
            ):
                continue
            accepted[part] = revision
        return accepted

    def _accepts_prefix(self, prefix: str, since: int | None, listed: int) -> bool:
        if since is None:
            # A peer of an earlier version.
            return False
        if self.complete.get(prefix, -1) >= since:
            return True
        if listed < since:
            return False
        self.removals_since[prefix] = listed
        return True
