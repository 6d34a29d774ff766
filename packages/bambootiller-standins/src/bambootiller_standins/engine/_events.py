"""The prefix cache and the events about it, which come late and with gaps."""

import asyncio
import collections
import enum
from collections.abc import Callable
from dataclasses import dataclass

MS = 0.001
EVENTS_KEPT = 10_000


class CacheChange(enum.StrEnum):
    """What happened to a prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event, numbered without a break at its origin; a reader sees lost ones as
    gaps.
    """

    seq: int
    model: str
    prefix: str
    event: CacheChange


class PrefixCache:
    """Holds the prefixes that were used last, up to *slots*.

    Each event shows *lag_ms* late; every *gap_every*-th is lost, 0 for none.
    """

    def __init__(self, slots: int, lag_ms: float, gap_every: int) -> None:
        self.lag_ms = lag_ms
        self.gap_every = gap_every
        self._slots = slots
        self._held: collections.OrderedDict[tuple[str, str], None]
        self._held = collections.OrderedDict()
        self._seq = 0
        self._shown: collections.deque[CacheEvent]
        self._shown = collections.deque(maxlen=EVENTS_KEPT)

    def holds(self, model: str, prefix: str) -> bool:
        """Tells whether a prefix is cached."""
        return (model, prefix) in self._held

    def use(self, model: str, prefix: str) -> bool:
        """Notes the use of a prefix; says whether it was cached before."""
        key = (model, prefix)
        if key in self._held:
            self._held.move_to_end(key)
            return True
        self._held[key] = None
        self._tell(model, prefix, CacheChange.STORED)
        while len(self._held) > self._slots:
            old_model, old_prefix = self._held.popitem(last=False)[0]
            self._tell(old_model, old_prefix, CacheChange.EVICTED)
        return False

    def drop_model(self, model: str) -> None:
        """Evicts all prefixes of a model."""
        for key in [key for key in self._held if key[0] == model]:
            del self._held[key]
            self._tell(*key, CacheChange.EVICTED)

    def after(self, seq: int) -> list[CacheEvent]:
        """Returns the events that show by now and are newer than *seq*."""
        return [event for event in self._shown if event.seq > seq]

    def _tell(self, model: str, prefix: str, change: CacheChange) -> None:
        self._seq += 1
        if self.gap_every and self._seq % self.gap_every == 0:
            return
        event = CacheEvent(self._seq, model, prefix, change)
        show: Callable[[CacheEvent], None] = self._shown.append
        asyncio.get_running_loop().call_later(self.lag_ms * MS, show, event)
