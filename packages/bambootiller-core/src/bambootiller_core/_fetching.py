"""Which documents are being fetched, and when all that a peer has have come."""

from __future__ import annotations

from collections.abc import Iterable

from bambootiller_core._gossip_types import GossipConfig
from bambootiller_core.documents import Documents, Head

#: The head under which a full message says that the sender's documents are complete.
COMPLETE_MARK = "/bambootiller/complete"


class Fetching:
    """Keeps a document from being fetched twice at a time, and notes completeness."""

    def __init__(self, documents: Documents, cfg: GossipConfig) -> None:
        self._documents = documents
        self._cfg = cfg
        self._under_way: dict[str, tuple[int, float]] = {}
        self._wanted: dict[str, int] | None = None

    def begin(self, now: float, heads: Iterable[Head]) -> list[tuple[Head, ...]]:
        """Those of ``heads`` to be fetched now, in batches of one call each."""
        lacking = [
            head
            for head in self._documents.missing(heads)
            if head.key != COMPLETE_MARK and not self._is_under_way(now, head)
        ]
        until = now + self._cfg.fetch_timeout
        for head in lacking:
            self._under_way[head.key] = (head.revision, until)
        size = self._cfg.fetch_keys
        starts = range(0, len(lacking), size)
        return [tuple(lacking[start : start + size]) for start in starts]

    def end(self, heads: Iterable[Head]) -> bool:
        """A fetch ended; whether it brought any of ``heads``."""
        heads = list(heads)
        for head in heads:
            self._under_way.pop(head.key, None)
        return len(self._documents.missing(heads)) < len(heads)

    def expect_all(self, heads: Iterable[Head]) -> None:
        """Note what has to be held before the documents count as complete.

        Only a peer whose own documents are complete gives that right: two processes
        that start in an outage would otherwise confirm each other's emptiness.
        """
        wanted = {head.key: head.revision for head in heads}
        if wanted.pop(COMPLETE_MARK, None) is not None:
            self._wanted = wanted
            self.note_complete()

    def note_complete(self) -> None:
        """Mark the documents as complete once everything expected is held."""
        if self._documents.complete or self._wanted is None:
            return
        held = self._documents.revision_of
        if all(held(key) >= revision for key, revision in self._wanted.items()):
            self._documents.complete = True
            self._wanted = None

    def _is_under_way(self, now: float, head: Head) -> bool:
        revision, until = self._under_way.get(head.key, (0, 0.0))
        return revision >= head.revision and until > now
