"""Which documents a process passes on to a peer, and when.

Whoever the store turns away keeps up through its peers. But most peers keep up by
themselves: passed on by all to all, a configuration of 60 kB would cross a thousand
streams. So each process says up to which revision it has everything, by the part of the
store, and a document goes out only to a peer that still lacks it a moment after it
became known. Agents don't follow the store; two of the entries tell each at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.ports import Changed

#: How long a peer is given to learn of a configuration by itself. A peer that hangs has
#: to be told well within two seconds. Seconds.
OWN_TIME_S = 0.7
#: The same of an entry of the registry, beside the time between two reads of it: an
#: agent says with its next message, at most 0.8 s later, up to where it has everything.
#: Seconds.
TELLS_WITHIN_S = 0.9
#: How many entries tell an agent at once; one would do.
TELLERS = 2
#: For how many agents, times the lists of entries that are told, the tellers are kept.
KEPT_TELLERS = 1024

Complete = Mapping[str, int]


def tells_at_once(entry: str, agent: str, entries: tuple[str, ...]) -> bool:
    """Whether ``entry`` is one of those that keep ``agent`` up to date.

    >>> tells_at_once("e1", "10.0.0.1:7", ("e1",))
    True
    """
    known = entries if entry in entries else (*entries, entry)
    return entry in _tellers(agent, known)


@lru_cache(KEPT_TELLERS)
def _tellers(agent: str, entries: tuple[str, ...]) -> frozenset[str]:
    # Kept, as an entry asks it of each agent for each document that it learns.
    return frozenset(rendezvous.ranked(f"tells {agent}", entries)[:TELLERS])


def covers(complete: Complete, change: Changed) -> bool:
    """Whether someone who has everything up to ``complete`` has this document.

    >>> from bambootiller_core.ports import Record
    >>> covers({"a/": 5}, Changed(Record("a/b", b"", 5)))
    True
    """
    record = change.record
    return any(
        record.key.startswith(prefix) and record.mod_revision <= revision
        for prefix, revision in complete.items()
    )


class ForPeer:
    """The documents that one peer may lack.

    Example::

        queue.add(now, change, at_once=False)
        queue.peer_has({"registry/": 90})
        for change in queue.due(now): ...
    """

    def __init__(self) -> None:
        self._queued: dict[str, tuple[Changed, float]] = {}
        self._peer: Complete | None = None

    def add(
        self,
        now: float,
        change: Changed,
        at_once: bool,
        own_time_s: float = OWN_TIME_S,
    ) -> None:
        """A document has become known here."""
        if self._peer is not None and covers(self._peer, change):
            # The peer said so before, and doesn't say it again.
            return
        due_at = now if at_once else now + own_time_s
        self._queued[change.record.key] = (change, due_at)

    def peer_has(self, complete: Complete) -> None:
        """The peer says up to where it has everything."""
        self._peer = complete
        for key, (change, _) in list(self._queued.items()):
            if covers(complete, change):
                del self._queued[key]

    def peer_revision(self, key: str) -> int | None:
        """Up to which revision the peer has the part of the store with this key."""
        revisions = [
            revision
            for prefix, revision in (self._peer or {}).items()
            if key.startswith(prefix)
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
