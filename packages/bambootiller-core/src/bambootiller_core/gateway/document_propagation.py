"""Which documents a process passes on to a peer, and when.

Whoever the store turns away keeps up through its peers. But most peers keep up by
themselves: passed on by all to all, a configuration of 60 kB would cross a thousand
streams. So each process says up to which revision it has everything, by the part of the
store, and a document goes out only to a peer that still lacks it a moment after it
became known. Agents don't follow the store; one of the entries tells each at once.
Whoever else could tell a peer takes turns, so that one says that it has a document
before most have sent it: sent by all that know it, a configuration fills the link of
the one that lacks it, and the answers of calls wait behind.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.ports import Changed

#: How long a peer is given to learn of a configuration by itself. A peer that hangs has
#: to be told well within two seconds. Seconds.
SELF_UPDATE_GRACE_S = 0.7
#: The same of an entry of the registry, beside the time between two reads of it: an
#: agent says with its next message, at most 0.8 s later, up to where it has everything.
#: Seconds.
AGENT_REPORT_GRACE_S = 0.9
#: How long each leaves a peer to the one before it in turn: about as long as a
#: configuration takes on the smallest link, and the word that it has come. Seconds.
STAGGER_S = 0.15
#: Agents that pass a document on to an entry spread over so many turns; they don't know
#: of each other.
AGENT_RANKS = 20
#: For how many agents, times the lists of entries that are told, the turns are kept.
RANK_CACHE_SIZE = 1024

Revisions = Mapping[str, int]


def entry_rank(entry: str, agent: str, entries: tuple[str, ...]) -> int:
    """Whose turn it is to tell an agent: 0 for the entry that does so at once.

    >>> entry_rank("e1", "10.0.0.1:7", ("e1",))
    0
    """
    known = entries if entry in entries else (*entries, entry)
    return _ranks(agent, known)[entry]


@lru_cache(RANK_CACHE_SIZE)
def _ranks(agent: str, entries: tuple[str, ...]) -> Mapping[str, int]:
    # Kept, as an entry asks it of each agent for each document that it learns.
    ranked = rendezvous.ranked(f"tells {agent}", entries)
    return {entry: rank for rank, entry in enumerate(ranked)}


def agent_rank(agent: str, entry: str) -> int:
    """The turn of an agent to tell an entry what that may lack; never at once, as
    entries follow the store."""
    return 1 + rendezvous.weight(f"tells {entry}", agent) % AGENT_RANKS


def is_covered(complete: Revisions, change: Changed) -> bool:
    """Whether someone who has everything up to ``complete`` has this document.

    >>> from bambootiller_core.ports import Record
    >>> covers({"a/": 5}, Changed(Record("a/b", b"", 5)))
    True
    """
    record = change.record
    return any(
        is_under(record.key, part) and record.mod_revision <= revision
        for part, revision in complete.items()
    )


def is_under(key: str, part: str) -> bool:
    """Whether a key is in a part of the store: a prefix, or one key alone.

    >>> is_under("a/b", "a/"), is_under("a/b", "a/b"), is_under("a/bc", "a/b")
    (True, True, False)
    """
    return key == part or (part.endswith("/") and key.startswith(part))


class PeerQueue:
    """The documents that one peer may lack.

    Example::

        queue.add(now, change, turn=1)
        queue.peer_has({"registry/": 90})
        for change in queue.due(now): ...
    """

    def __init__(self) -> None:
        self._queued: dict[str, tuple[Changed, float]] = {}
        self._peer: Revisions | None = None

    def add(
        self,
        now: float,
        change: Changed,
        rank: int,
        self_update_grace_s: float = SELF_UPDATE_GRACE_S,
    ) -> None:
        """A document has become known here; it goes out at once in turn 0."""
        if self._peer is not None and is_covered(self._peer, change):
            # The peer said so before, and doesn't say it again.
            return
        due_at = now + self_update_grace_s + (rank - 1) * STAGGER_S if rank else now
        self._queued[change.record.key] = (change, due_at)

    def peer_has(self, complete: Revisions) -> None:
        """The peer says up to where it has everything."""
        self._peer = complete
        for key, (change, _) in list(self._queued.items()):
            if is_covered(complete, change):
                del self._queued[key]

    def peer_revision(self, key: str) -> int | None:
        """Up to which revision the peer has the part of the store with this key."""
        revisions = [
            revision
            for part, revision in (self._peer or {}).items()
            if is_under(key, part)
        ]
        return max(revisions, default=None)

    def due(self, now: float) -> list[Changed]:
        """What goes out now; nothing before the peer has said what it has."""
        if self._peer is None:
            return []
        ready = [key for key, (_, due_at) in self._queued.items() if due_at <= now]
        return [self._queued.pop(key)[0] for key in ready]

    def next_due(self) -> float | None:
        """When the next document goes out, None if none is queued or the peer hasn't
        said what it has."""
        if self._peer is None or not self._queued:
            return None
        return min(due_at for _, due_at in self._queued.values())

    @property
    def is_empty(self) -> bool:
        """Whether the peer lacks nothing that is known here."""
        return self._peer is not None and not self._queued
