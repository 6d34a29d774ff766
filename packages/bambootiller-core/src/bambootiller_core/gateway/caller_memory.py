"""Bounds the memory that callers make an instance hold, over all their connections.

Limits on single requests don't bound their sum: a few dozen bodies of the allowed size
exceed the memory of an instance. So whatever a caller causes to be held is charged here
by what it costs in memory. If there is no room, connections that make no progress are
evicted, then those whose requests arrive more slowly than the one that asks. Calls that
may have been sent to a backend server aren't evicted.

Example::

    memory = CallerMemory(50_000_000, clock)
    hold = memory.hold(evict)
    if not hold.grow(Kind.BODY, len(data)): ...  # refuse the request
    hold.release()
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

#: A hold that hasn't grown for this long is evicted before one that has. Seconds.
STILL_AFTER_S = 1.0
#: A hold above this size may use only ``LARGE_FRACTION`` of the capacity, so that large
#: requests leave room for ordinary ones. Bytes.
SMALL_HOLD_BYTES = 64 * 1024
LARGE_FRACTION = 0.75
#: Answers are collected while all that is held takes less than this fraction.
COLLECTED_FRACTION = 0.5
#: Rates of arrival are averages over at least this time. Seconds.
MIN_AGE_S = 1.0
#: At least this fraction of the capacity is freed at a time, as finding what to evict
#: takes a look at all holds.
FREED_FRACTION = 1 / 32


class Kind(enum.Enum):
    """What memory is held for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    #: Of an answer that the network doesn't take.
    ANSWER = "answer"
    #: Of an answer that is collected before it is forwarded, which can be given up.
    COLLECTED = "collected"


class Hold:
    """What one connection of a caller makes this process hold.

    While ``is_evictable`` is set, ``evict`` may be called, which has to shrink the hold
    as far as possible. ``size`` is in bytes.
    """

    __slots__ = (
        "evict",
        "size",
        "is_evictable",
        "is_answer",
        "began_at",
        "progressed_at",
        "_sizes",
        "_memory",
    )

    def __init__(
        self, memory: CallerMemory, evict: Callable[[], None] | None, now: float
    ) -> None:
        self._memory: CallerMemory | None = memory
        self._sizes: dict[Kind, int] = {}
        self.evict = evict
        self.size = 0
        self.is_evictable = evict is not None
        #: Whether it holds an answer, which is evicted only after all requests.
        self.is_answer = False
        self.began_at = self.progressed_at = now

    def begin(self) -> None:
        """A request begins to arrive."""
        if self._memory is not None:
            self.began_at = self.progressed_at = self._memory.clock()
            self.is_evictable = True

    def grow(self, kind: Kind, size: int) -> bool:
        """Hold ``size`` more bytes; False, and nothing changes, if there is no room."""
        memory = self._memory
        if memory is None:
            return False
        self.progressed_at = memory.clock()
        if not memory.make_room(self, kind, size):
            return False
        self._add(kind, size)
        return True

    def shrink(self, kind: Kind, size: int) -> None:
        """Hold ``size`` bytes less."""
        if self._memory is not None:
            self._add(kind, -size)

    def release(self) -> None:
        """Hold nothing any more; it may be called again."""
        if self._memory is None:
            return
        for kind, size in list(self._sizes.items()):
            self._add(kind, -size)
        memory, self._memory = self._memory, None
        memory.forget(self)

    def rate(self, added: int, now: float) -> float:
        """How fast it has grown, with ``added`` bytes more, in bytes a second."""
        return (self.size + added) / max(MIN_AGE_S, now - self.began_at)

    def _add(self, kind: Kind, size: int) -> None:
        self._sizes[kind] = self._sizes.get(kind, 0) + size
        self._memory.add(self, kind, size)


class CallerMemory:
    """The account of one instance. ``capacity`` is in bytes, ``clock`` in seconds."""

    def __init__(self, capacity: float, clock: Callable[[], float]) -> None:
        self.capacity = capacity
        self.clock = clock
        #: All bytes held, and the same by kind.
        self.total = 0
        self.held: Counter[Kind] = Counter()
        #: How often a hold was evicted since the start.
        self.evictions = 0
        self._large_total = 0
        self._holds: dict[Hold, None] = {}

    def hold(self, evict: Callable[[], None] | None = None) -> Hold:
        """A hold of nothing yet; without ``evict`` it can't be evicted."""
        hold = Hold(self, evict, self.clock())
        self._holds[hold] = None
        return hold

    def add(self, hold: Hold, kind: Kind, size: int) -> None:
        """Count what a hold has grown by."""
        before, hold.size = hold.size, hold.size + size
        self.total += size
        self.held[kind] += size
        self._large_total += _large_part(hold.size) - _large_part(before)

    def forget(self, hold: Hold) -> None:
        """Remove a hold that is empty."""
        self._holds.pop(hold, None)

    def make_room(self, hold: Hold, kind: Kind, size: int) -> bool:
        """Whether ``hold`` may grow by ``size``, after evicting others if need be."""
        if self._has_room(hold, kind, size):
            return True
        if kind is Kind.COLLECTED:
            return False
        freed = 0
        wanted = self.capacity * FREED_FRACTION
        for victim in self._victims(hold, size):
            before = victim.size
            victim.is_evictable = False
            self.evictions += 1
            victim.evict()
            freed += before - victim.size
            if freed >= wanted and self._has_room(hold, kind, size):
                break
        return self._has_room(hold, kind, size)

    def _has_room(self, hold: Hold, kind: Kind, size: int) -> bool:
        grown = hold.size + size
        fits = self.total + size <= self.capacity
        if kind is Kind.ANSWER:
            return fits
        if kind is Kind.COLLECTED:
            return self.total + size <= self.capacity * COLLECTED_FRACTION
        if _large_part(grown):
            others = self._large_total - _large_part(hold.size)
            if kind is Kind.BODY and not others:
                # A single body is received whatever its size.
                return True
            return fits and others + grown <= self.capacity * LARGE_FRACTION
        small_total = self.total - self._large_total
        reserve = self.capacity * (1 - LARGE_FRACTION)
        return fits or small_total + size <= reserve

    def _victims(self, asker: Hold, size: int) -> list[Hold]:
        """What may be evicted in favour of ``asker``, in the order of eviction.

        A large hold competes with large ones only: evicting small ones wouldn't make
        room for it.
        """
        now = self.clock()
        asker_rate = asker.rate(size, now)
        is_large = _large_part(asker.size + size) > 0 and not asker.is_answer
        still, slower = [], []
        for hold in self._holds:
            if not hold.is_evictable or hold is asker:
                continue
            if is_large and not _large_part(hold.size):
                continue
            if hold.progressed_at < now - STILL_AFTER_S:
                still.append(hold)
            elif not hold.is_answer and hold.rate(0, now) < asker_rate:
                slower.append(hold)
        still.sort(key=lambda hold: (hold.is_answer, -hold.size))
        slower.sort(key=lambda hold: hold.rate(0, now))
        return still + slower


def _large_part(size: int) -> int:
    return size if size > SMALL_HOLD_BYTES else 0
