"""Decides which documents a process forwards to a peer, and when.

A process that the store rejects gets documents from its peers. But most peers read
them by themselves: if every process sent every document to every peer, a configuration
of 60 kB would cross a thousand streams. So each process reports the revision up to
which it has all documents of each part of the store, and a document is sent only to a
peer that still lacks it a moment after it became known here. Agents don't watch the
store; one of the entries sends each of them a document at once. All other processes
that could send a peer the document are ranked and send in that order, with a delay
between them (:data:`STAGGER_S`), so that the peer reports the document before most of
them have sent it. Sent by all at once, a configuration would fill the peer's link, and
the answers of calls would be delayed.

A peer that the store doesn't answer reports that, and is sent registrations without
waiting whether it reads them by itself: it has to learn within two seconds that a
backend server leaves, and those that read the registry pause between two reads.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.ports import Changed

#: How long a peer is given to read a configuration from the store by itself. Seconds. A
#: peer whose access to the store hangs must get it well within two seconds.
SELF_UPDATE_GRACE_S = 0.7
#: The same for a registration, in addition to the interval between two reads of the
#: registry: an agent reports the revision that it has with its next message, at most
#: 0.8 s later. Seconds.
AGENT_REPORT_GRACE_S = 0.9
#: The delay between the processes of two successive ranks: about the time that a
#: configuration takes on the slowest link, plus the peer's report that it has it.
#: Seconds.
STAGGER_S = 0.15
#: The number of ranks over which the agents that could send a document to an entry are
#: spread; agents don't know each other.
AGENT_RANKS = 20
#: The number of cached rankings: one for each agent and list of entries.
RANK_CACHE_SIZE = 1024

Revisions = Mapping[str, int]


def entry_rank(entry: str, agent: str, entries: tuple[str, ...]) -> int:
    """The rank of an entry among those that send documents to an agent; rank 0 sends at
    once.

    >>> entry_rank("e1", "10.0.0.1:7", ("e1",))
    0
    """
    known = entries if entry in entries else (*entries, entry)
    return _ranks(agent, known)[entry]


@lru_cache(RANK_CACHE_SIZE)
def _ranks(agent: str, entries: tuple[str, ...]) -> Mapping[str, int]:
    # Cached, because an entry needs it for each agent and each new document.
    ranked = rendezvous.ranked(f"tells {agent}", entries)
    return {entry: rank for rank, entry in enumerate(ranked)}


def agent_rank(agent: str, entry: str) -> int:
    """The rank of an agent among those that send documents to an entry; never 0,
    because entries watch the store themselves."""
    return 1 + rendezvous.weight(f"tells {entry}", agent) % AGENT_RANKS


def is_covered(revisions: Revisions, change: Changed) -> bool:
    """Whether a process that has all documents up to these ``revisions``, by part of
    the store, has this one.

    >>> from bambootiller_core.ports import Record
    >>> is_covered({"a/": 5}, Changed(Record("a/b", b"", 5)))
    True
    """
    record = change.record
    return any(
        is_under(record.key, part) and record.mod_revision <= revision
        for part, revision in revisions.items()
    )


def is_under(key: str, part: str) -> bool:
    """Whether a key belongs to a part of the store, which is a prefix that ends with a
    slash, or a single key.

    >>> is_under("a/b", "a/"), is_under("a/b", "a/b"), is_under("a/bc", "a/b")
    (True, True, False)
    """
    return key == part or (part.endswith("/") and key.startswith(part))


@dataclass(frozen=True, slots=True)
class _QueuedDocument:
    """A document that the peer may lack. It is sent at ``turn_at``, or
    ``self_update_grace_s`` later if the peer may read it by itself."""

    change: Changed
    turn_at: float
    self_update_grace_s: float

    @property
    def due_at(self) -> float:
        """When it is to be sent."""
        return self.turn_at + self.self_update_grace_s


class PeerQueue:
    """The documents that one peer may lack.

    Example::

        queue.add(now, change, rank=1)
        queue.peer_has({"registry/": 90})
        for change in queue.due(now): ...
    """

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedDocument] = {}
        #: The revision that the peer needs, and when the list is due, by prefix.
        self._key_lists: dict[str, tuple[int, float]] = {}
        self._peer_revisions: Revisions | None = None

    def add(
        self,
        now: float,
        change: Changed,
        rank: int,
        self_update_grace_s: float = SELF_UPDATE_GRACE_S,
    ) -> None:
        """Queue a document that has become known here; with rank 0 it is due at
        once."""
        if self._peer_revisions is not None and is_covered(
            self._peer_revisions, change
        ):
            # The peer has reported that already, and doesn't repeat it.
            return
        if rank == 0:
            self_update_grace_s, stagger_s = 0.0, 0.0
        else:
            stagger_s = (rank - 1) * STAGGER_S
        self._queued[change.record.key] = _QueuedDocument(
            change, now + stagger_s, self_update_grace_s
        )

    def skip_grace(self, matches: Callable[[str], bool]) -> None:
        """Send the queued documents whose keys match without waiting for the peer to
        read them by itself."""
        for key, queued in self._queued.items():
            if matches(key):
                self._queued[key] = replace(queued, self_update_grace_s=0.0)

    def add_key_list(self, due_at: float, prefix: str, revision: int) -> None:
        """Queue the list of keys under a prefix, which the peer needs unless it is
        complete up to ``revision`` by then."""
        if (self._peer_revisions or {}).get(prefix, -1) < revision:
            self._key_lists[prefix] = (revision, due_at)

    def peer_has(self, revisions: Revisions) -> None:
        """Record the revisions that the peer reports, and drop documents that it
        has."""
        self._peer_revisions = revisions
        for key, queued in list(self._queued.items()):
            if is_covered(revisions, queued.change):
                del self._queued[key]
        for prefix, (revision, _) in list(self._key_lists.items()):
            if revisions.get(prefix, -1) >= revision:
                del self._key_lists[prefix]

    def peer_revision(self, key: str) -> int | None:
        """The revision up to which the peer has all documents of this key's part of the
        store, None if unknown."""
        revisions = [
            revision
            for part, revision in (self._peer_revisions or {}).items()
            if is_under(key, part)
        ]
        return max(revisions, default=None)

    def due(self, now: float) -> list[Changed]:
        """Remove and return the documents that are to be sent now; none before the peer
        has reported its revisions."""
        if self._peer_revisions is None:
            return []
        ready = [key for key, queued in self._queued.items() if queued.due_at <= now]
        return [self._queued.pop(key).change for key in ready]

    def due_key_lists(self, now: float) -> list[str]:
        """Remove and return the prefixes whose keys are to be sent now. A peer that
        has nothing under a prefix is sent them with the documents."""
        if self._peer_revisions is None:
            return []
        ready = [
            prefix for prefix in self._key_lists if self._key_list_due_at(prefix) <= now
        ]
        for prefix in ready:
            del self._key_lists[prefix]
        return ready

    def _key_list_due_at(self, prefix: str) -> float:
        _, due_at = self._key_lists[prefix]
        return due_at if prefix in self._peer_revisions else 0.0

    def next_due(self) -> float | None:
        """When the next document or list of keys is to be sent, None if none is queued
        or the peer hasn't reported its revisions."""
        if self._peer_revisions is None:
            return None
        due = [queued.due_at for queued in self._queued.values()]
        due += [self._key_list_due_at(prefix) for prefix in self._key_lists]
        return min(due, default=None)

    @property
    def is_empty(self) -> bool:
        """Whether the peer has reported its revisions and lacks no document that is
        known here."""
        queued = self._queued or self._key_lists
        return self._peer_revisions is not None and not queued
