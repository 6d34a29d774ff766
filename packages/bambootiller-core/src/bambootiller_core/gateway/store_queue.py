"""Predicts when the loads of a plan that use the weight store start and end.

A load takes its nominal time as long as no more loads are under way than the store
serves at full speed. Beyond that it takes longer, in proportion to the number of loads
under way when it starts.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

#: A load starts beside others on a full store only if it ends at least this much sooner
#: than by waiting. It keeps its engine from other orders for all of that time. Seconds.
MIN_GAIN_S = 1.0
#: Nor does a load start on a full store if it would take more than this multiple of its
#: nominal time. A load that starts slow stays slow, so oversubscribing would look like
#: a gain to each further load, until most engines wait for the store.
MAX_SLOWDOWN = 1.5
#: A probe starts only if the load would otherwise wait for longer than this fraction of
#: its nominal time. If the store serves no more loads, the probe takes twice that time
#: from its start, so that it ends later than if it had waited, by what the load before
#: it had done by then. All later loads end as much later.
MIN_PROBE_WAIT_FRACTION = 0.95


class Oversubscription(enum.IntEnum):
    """How far a load may exceed the number that the store serves at full speed.

    ``MUST_QUEUE``: the load waits until the store has room. ``MAY_PROBE``: it may be
    the probe, because it would be among the next loads in any case, whichever others
    are requested in the meantime. ``MAY_OVERSUBSCRIBE``: it may also start while the
    store is known to be full, if it ends sooner that way.
    """

    MUST_QUEUE = 0
    MAY_PROBE = 1
    MAY_OVERSUBSCRIBE = 2


class StartReason(enum.Enum):
    """Why a load starts when it does.

    ``FREE``: the store has room and serves it at full speed. ``PROBE``: it starts to
    find out whether the store serves one more load at full speed. ``OVERSUBSCRIBED``:
    the store is full, but the load ends sooner if it starts beside the others.
    ``QUEUED``: it waits until the store has room.
    """

    FREE = "free"
    PROBE = "one more"
    OVERSUBSCRIBED = "crowded"
    QUEUED = "queued"


@dataclass(frozen=True, slots=True)
class _Load:
    """A load under way or planned; times are in seconds from now."""

    starts: float
    ends: float


class StoreQueue:
    """The loads from the store that are under way, and those that a plan adds.

    ``capacity`` is how many loads the store is known to serve at full speed.
    ``allow_probe`` tells whether one more load may start beside these, to find out
    whether the store serves that many.

    Example::

        queue = StoreQueue(4, ends_in_s=[2.0, 5.5])
        starts_in_s, ready_in_s = queue.add(6.0)
    """

    def __init__(
        self, capacity: int, ends_in_s: Iterable[float], allow_probe: bool = False
    ) -> None:
        self._capacity = capacity
        self._allow_probe = allow_probe
        self._loads = [_Load(0.0, end) for end in ends_in_s]

    def add(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> tuple[float, float]:
        """Plan one more load. Returns in how many seconds it starts and ends."""
        starts, ready = self.preview(load_s, oversubscription)
        self._loads.append(_Load(starts, ready))
        # The store may serve a probe first and slow down the load planned here, so no
        # probe starts after it.
        self._allow_probe = False
        return starts, ready

    def can_start(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> bool:
        """Whether :meth:`add` would start the load now."""
        return self.preview(load_s, oversubscription)[0] <= 0

    def room(self) -> int:
        """Return how many more loads could start now at full speed."""
        return max(0, self._capacity - self._under_way(0.0))

    def preview(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> tuple[float, float]:
        """Return what :meth:`add` would, without planning the load."""
        starts, ends, _ = self._schedule(load_s, oversubscription)
        return starts, ends

    def start_reason(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> StartReason:
        """Return why :meth:`add` would start the load when it does."""
        _, _, start_reason = self._schedule(load_s, oversubscription)
        return start_reason

    def _schedule(
        self, load_s: float, oversubscription: Oversubscription
    ) -> tuple[float, float, StartReason]:
        starts = self._next_free()
        if starts <= 0:
            return starts, starts + load_s, StartReason.FREE
        under_way = self._under_way(0.0)
        slowed_s = load_s * max(1.0, (under_way + 1) / self._capacity)
        can_probe = self._allow_probe and oversubscription >= Oversubscription.MAY_PROBE
        if can_probe and under_way == len(self._loads) <= self._capacity:
            # No other load is waiting.
            if starts > MIN_PROBE_WAIT_FRACTION * load_s:
                return 0.0, slowed_s, StartReason.PROBE
        is_sooner = slowed_s + MIN_GAIN_S <= starts + load_s
        can_oversubscribe = oversubscription is Oversubscription.MAY_OVERSUBSCRIBE
        if can_oversubscribe and is_sooner and slowed_s <= MAX_SLOWDOWN * load_s:
            return 0.0, slowed_s, StartReason.OVERSUBSCRIBED
        return starts, starts + load_s, StartReason.QUEUED

    def _next_free(self) -> float:
        ends = sorted([load.ends for load in self._loads])
        for at in [0.0, *ends]:
            if self._under_way(at) < self._capacity:
                return at
        return ends[-1]

    def _under_way(self, at: float) -> int:
        return sum([load.starts <= at < load.ends for load in self._loads])
