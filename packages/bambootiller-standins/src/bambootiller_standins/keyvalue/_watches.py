"""Open watches: who waits for which range, and how changes reach them."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from bambootiller_standins.keyvalue._store import Change, in_range


@dataclass(frozen=True, slots=True)
class Delivery:
    """The changes of one revision that concern one watch."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(eq=False, slots=True)
class Watch:
    """One open watch; *first_revision* leaves out what the history gave."""

    start: bytes
    end: bytes
    first_revision: int
    watch_id: int
    queue: asyncio.Queue[Delivery] = field(default_factory=asyncio.Queue)


class Watches:
    """The set of open watches."""

    def __init__(self) -> None:
        self._open: set[Watch] = set()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, watch: Watch) -> None:
        """Begins to deliver to *watch*."""
        self._open.add(watch)

    def discard(self, watch: Watch) -> None:
        """Ends the delivery to *watch*."""
        self._open.discard(watch)

    def deliver(self, changes: Sequence[Change]) -> None:
        """Gives the changes of one revision to the watches that they concern."""
        revision = changes[0].kv.mod_revision
        for watch in self._open:
            if revision < watch.first_revision:
                continue
            wanted = tuple(
                change
                for change in changes
                if in_range(change.kv.key, watch.start, watch.end)
            )
            if wanted:
                watch.queue.put_nowait(Delivery(wanted, revision))
