"""A key-value service in memory, behind the core's port, with faults on command.

Faults are queued for the transactions to come, one each; reads fail while ``down`` is
set. ``before_transact`` is called once, before the next transaction is judged, so that
a test can let somebody else act just then.

    kv = FakeKeyValue()
    kv.faults.append(Fault.LOST_AFTER)      # takes effect, the answer is lost
    assert isinstance(await kv.transact([], [Put("k", b"v")]), Unknown)
"""

import asyncio
import enum
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence

from bambootiller_core.ports import (
    Changed,
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Granted,
    LeaseOutcome,
    Put,
    ReadOutcome,
    Record,
    Unavailable,
    Unknown,
    WriteOutcome,
)


class Fault(enum.Enum):
    """What becomes of one transaction."""

    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost before it took effect"
    LOST_AFTER = "lost after it took effect"
    DELAYED = "lost, and takes effect when land_delayed is called"


class FakeKeyValue:
    """Records by key, with one revision for all, as the real service counts."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.down = False
        self.faults: deque[Fault] = deque()
        self.before_transact: Callable[[], None] | None = None
        self.before_read: Callable[[str], None] | None = None
        self.transactions = 0
        self.leases = 0
        self.kept: list[int] = []
        self.lapsed: set[int] = set()
        self._delayed: list[tuple[Sequence[Compare], Sequence[Put | Delete]]] = []
        self._watchers: list[tuple[str, asyncio.Queue]] = []

    async def get(self, key: str) -> ReadOutcome:
        if self.before_read is not None:
            self.before_read(key)
        if self.down:
            return Unavailable("down")
        record = self.records.get(key)
        return Found((record,) if record else (), self.revision)

    async def get_prefix(self, prefix: str) -> ReadOutcome:
        if self.down:
            return Unavailable("down")
        found = [self.records[key] for key in sorted(self.records)]
        matching = tuple(item for item in found if item.key.startswith(prefix))
        return Found(matching, self.revision)

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        if self.down:
            return Unavailable("down")
        self.leases += 1
        return Granted(self.leases, ttl_s)

    async def keep_lease(self, lease: int) -> LeaseOutcome:
        if self.down or lease in self.lapsed:
            return Unavailable("down, or it has ended")
        self.kept.append(lease)
        return Granted(lease, 1.0)

    async def transact(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> WriteOutcome:
        self.transactions += 1
        hook, self.before_transact = self.before_transact, None
        if hook is not None:
            hook()
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if self.down or fault is Fault.DOWN:
            return Unavailable("down")
        if fault is Fault.LOST_BEFORE:
            return Unknown("no answer")
        if fault is Fault.DELAYED:
            self._delayed.append((compares, writes))
            return Unknown("no answer")
        outcome = self.commit(compares, writes)
        return Unknown("no answer") if fault is Fault.LOST_AFTER else outcome

    def land_delayed(self) -> None:
        """Let the delayed transactions take effect, if their compares still hold."""
        while self._delayed:
            self.commit(*self._delayed.pop(0))

    def commit(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Committed | Conflict:
        """Carry a transaction out at once, past all faults."""
        present = [self.records.get(compare.key) for compare in compares]
        for compare, record in zip(compares, present):
            if (record.mod_revision if record else 0) != compare.mod_revision:
                found = tuple(item for item in present if item is not None)
                return Conflict(found, self.revision)
        self.revision += 1
        self._notify([self._write(write) for write in writes])
        return Committed(self.revision)

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[tuple[Changed, ...] | Unavailable]:
        queue: asyncio.Queue = asyncio.Queue()
        missed = tuple(
            Changed(record)
            for key, record in sorted(self.records.items())
            if key.startswith(prefix) and record.mod_revision >= from_revision
        )
        if missed:
            queue.put_nowait(missed)
        self._watchers.append((prefix, queue))
        while True:
            item = await queue.get()
            yield item
            if isinstance(item, Unavailable):
                return

    def cut_watches(self) -> None:
        """End all watches, as an outage does."""
        for _, queue in self._watchers:
            queue.put_nowait(Unavailable("cut"))
        self._watchers.clear()

    async def close(self) -> None:
        self.cut_watches()

    def _write(self, write: Put | Delete) -> Changed:
        old = self.records.pop(write.key, None)
        if isinstance(write, Delete):
            return Changed(Record(write.key, b"", self.revision), deleted=True)
        created = old.create_revision if old else self.revision
        record = Record(write.key, write.value, self.revision, created)
        self.records[write.key] = record
        return Changed(record)

    def _notify(self, changes: list[Changed]) -> None:
        for prefix, queue in self._watchers:
            seen = tuple(item for item in changes if item.record.key.startswith(prefix))
            if seen:
                queue.put_nowait(seen)
