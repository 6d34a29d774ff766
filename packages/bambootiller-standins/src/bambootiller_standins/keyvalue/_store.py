"""The state behind the key-value service: keys, revisions, leases, history.

Nothing here waits or reads a clock, so that each call takes effect as a whole.
"""

import bisect
from collections.abc import Callable
from dataclasses import dataclass, replace

ALL_KEYS = b"\x00"
HISTORY_EVENTS = 200_000


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key's value and the revisions that the published interface gives with it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """One change: a put, or a delete whose *kv* holds only the key and the revision."""

    kv: KeyValue
    deleted: bool


@dataclass(slots=True)
class Lease:
    """A lease, the monotonic second at which it expires, and the keys bound to it."""

    lease_id: int
    ttl: int
    expires_at: float
    keys: set[bytes]


class UnknownLease(Exception):
    """The lease doesn't exist, or it has expired."""


class Compacted(Exception):
    """The asked revision is no longer in the history."""


class FutureRevision(Exception):
    """The asked revision hasn't been reached."""


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Tells whether *key* lies in a range of the published interface.

    An empty *end* means the one key *start*; an *end* of one zero byte means every key
    from *start* on.

    >>> in_range(b"/a/1", b"/a/", b"/a0")
    True
    """
    if not end:
        return key == start
    if end == ALL_KEYS:
        return key >= start
    return start <= key < end


class Store:
    """Keys with revisions.  Writes between :meth:`begin` and :meth:`commit` share one
    revision.

    *on_commit* is called with the changes of each revision that changed something.
    """

    def __init__(self, on_commit: Callable[[list[Change]], None]) -> None:
        self.revision = 1
        self.compacted = 0
        self.leases: dict[int, Lease] = {}
        self._on_commit = on_commit
        self._kvs: dict[bytes, KeyValue] = {}
        self._keys: list[bytes] = []
        self._history: list[Change] = []
        self._batch: list[Change] | None = None
        self._next_lease = 7_000_000_001

    def begin(self) -> None:
        """Opens a batch of writes."""
        self._batch = []

    def commit(self) -> None:
        """Closes the batch; the revision grows by one if anything changed."""
        changes, self._batch = self._batch, None
        if not changes:
            return
        self.revision += 1
        self._history.extend(changes)
        if len(self._history) > HISTORY_EVENTS:
            self.compact(self._history[HISTORY_EVENTS // 2].kv.mod_revision)
        self._on_commit(changes)

    def get(self, key: bytes) -> KeyValue | None:
        """Returns a key's present value."""
        return self._kvs.get(key)

    def range(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Returns the present values of a range in the order of their keys."""
        return [self._kvs[key] for key in self._keys_in(start, end)]

    def range_at(self, start: bytes, end: bytes, revision: int) -> list[KeyValue]:
        """Returns the values of a range as they stood at an earlier revision."""
        if revision > self.revision:
            raise FutureRevision
        if revision == self.revision:
            return self.range(start, end)
        if revision <= self.compacted:
            raise Compacted
        # Undoing later changes would need the old values, so the state is built up from
        # the history.  That works only while the history reaches back to the first
        # revision.
        if self.compacted:
            raise Compacted
        found: dict[bytes, KeyValue] = {}
        for change in self._history:
            if change.kv.mod_revision > revision:
                break
            found.pop(change.kv.key, None)
            if not change.deleted and in_range(change.kv.key, start, end):
                found[change.kv.key] = change.kv
        return [found[key] for key in sorted(found)]

    def put(self, key: bytes, value: bytes, lease_id: int) -> KeyValue | None:
        """Writes a key inside the open batch and returns what stood there before."""
        lease = self.require_lease(lease_id) if lease_id else None
        before = self._kvs.get(key)
        revision = self.revision + 1
        if before is None:
            kv = KeyValue(key, value, revision, revision, 1, lease_id)
            bisect.insort(self._keys, key)
        else:
            self._unbind(before)
            kv = replace(
                before,
                value=value,
                mod_revision=revision,
                version=before.version + 1,
                lease=lease_id,
            )
        if lease is not None:
            lease.keys.add(key)
        self._kvs[key] = kv
        self._batch.append(Change(kv, deleted=False))
        return before

    def delete(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Deletes a range inside the open batch and returns what stood there."""
        gone = self.range(start, end)
        for kv in gone:
            self._unbind(kv)
            del self._kvs[kv.key]
            del self._keys[bisect.bisect_left(self._keys, kv.key)]
            grave = KeyValue(kv.key, b"", 0, self.revision + 1, 0)
            self._batch.append(Change(grave, deleted=True))
        return gone

    def history(self, start: bytes, end: bytes, revision: int) -> list[Change]:
        """Returns the changes of a range from *revision* on."""
        if revision <= self.compacted:
            raise Compacted
        first = bisect.bisect_left(
            self._history, revision, key=lambda change: change.kv.mod_revision
        )
        return [
            change
            for change in self._history[first:]
            if in_range(change.kv.key, start, end)
        ]

    def compact(self, revision: int) -> None:
        """Forgets the history up to and with *revision*."""
        self.compacted = max(self.compacted, revision)
        self._history = [
            change
            for change in self._history
            if change.kv.mod_revision > self.compacted
        ]

    def grant(self, lease_id: int, ttl: int, now: float) -> Lease:
        """Creates a lease."""
        if not lease_id:
            lease_id = self._next_lease
            self._next_lease += 1
        lease = Lease(lease_id, ttl, now + ttl, set())
        self.leases[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int, now: float) -> Lease | None:
        """Renews a lease; returns nothing if it has expired."""
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl
        return lease

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys at one revision."""
        lease = self.require_lease(lease_id)
        self.begin()
        for key in sorted(lease.keys):
            self.delete(key, b"")
        del self.leases[lease_id]
        self.commit()

    def expire(self, now: float) -> None:
        """Ends the leases whose time is over."""
        due = [lease for lease in self.leases.values() if lease.expires_at <= now]
        for lease in due:
            self.revoke(lease.lease_id)

    def _keys_in(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._kvs else []
        first = bisect.bisect_left(self._keys, start)
        if end == ALL_KEYS:
            return self._keys[first:]
        return self._keys[first : bisect.bisect_left(self._keys, end)]

    def require_lease(self, lease_id: int) -> Lease:
        """Returns a lease, or raises if there is none of that number."""
        if lease_id not in self.leases:
            raise UnknownLease
        return self.leases[lease_id]

    def _unbind(self, kv: KeyValue) -> None:
        if kv.lease in self.leases:
            self.leases[kv.lease].keys.discard(kv.key)
