"""When the weight store will have served the loads that a plan gives it.

A load takes its stated time while the store serves no more than it can at full speed,
and longer in proportion to how many are under way as it begins.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

#: A load that isn't sooner by this much if it begins now waits: it would keep its
#: engine from other orders all the while. Seconds.
MIN_GAIN_S = 1.0
#: Nor does one begin now that would take longer than so many times its own time. What
#: the store slows as it begins stays slow, so that crowding it would look like a gain
#: to each load after that, until most engines wait for the store.
MAX_SLOWDOWN = 1.5
#: One more than the store is known to serve is tried only where its turn is further
#: away than this part of its time. If the store serves no more, it takes twice its time
#: from its begin, so what the load before had done by then is lost for both.
MIN_PROBE_WAIT_FRACTION = 0.8


class Oversubscription(enum.IntEnum):
    """How much a load is worth beginning beyond what the store serves at full speed.

    ``MUST_QUEUE``: it waits for its turn. ``MAY_PROBE``: it may be the one that is tried, as it
    would have one of the next turns whatever else is asked for until then. ``MAY_OVERSUBSCRIBE``: it
    may also begin where the store is known to be full, if that is sooner.
    """

    MUST_QUEUE = 0
    MAY_PROBE = 1
    MAY_OVERSUBSCRIBE = 2


class StartReason(enum.Enum):
    """Why a load begins when it does.

    ``FREE``: the store serves it at capacity speed. ``PROBE``: it is begun to see
    whether the store serves one more. ``OVERSUBSCRIBED``: it is over sooner beside the others.
    ``QUEUED``: it waits for its turn.
    """

    FREE = "free"
    PROBE = "one more"
    OVERSUBSCRIBED = "crowded"
    QUEUED = "queued"


@dataclass(frozen=True, slots=True)
class _Load:
    """A load under way or planned; seconds from now."""

    begins: float
    ends: float


class StoreQueue:
    """The loads of a plan, from those under way on.

    ``capacity`` is how many the store is known to serve at capacity speed, ``allow_probe`` whether
    another may be begun beside these, to see whether it serves that as well.

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
        """Plan one more load; returns when it begins and when it is over."""
        begins, ready = self.preview(load_s, oversubscription)
        self._loads.append(_Load(begins, ready))
        # What is tried may be served first, and the one that has the turn slowed by it.
        self._allow_probe = False
        return begins, ready

    def can_start(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> bool:
        """Whether :meth:`add` would have the load begin now."""
        return self.preview(load_s, oversubscription)[0] <= 0

    def room(self) -> int:
        """How many more loads could begin now."""
        return max(0, self._capacity - self._under_way(0.0))

    def preview(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> tuple[float, float]:
        """What :meth:`add` would return."""
        begins, ends, _ = self._schedule(load_s, oversubscription)
        return begins, ends

    def start_reason(
        self,
        load_s: float,
        oversubscription: Oversubscription = Oversubscription.MUST_QUEUE,
    ) -> StartReason:
        """Why :meth:`add` would have the load begin when it does."""
        _, _, start_reason = self._schedule(load_s, oversubscription)
        return start_reason

    def _schedule(
        self, load_s: float, oversubscription: Oversubscription
    ) -> tuple[float, float, StartReason]:
        begins = self._next_free()
        if begins <= 0:
            return begins, begins + load_s, StartReason.FREE
        under_way = self._under_way(0.0)
        slowed_s = load_s * max(1.0, (under_way + 1) / self._capacity)
        can_probe = self._allow_probe and oversubscription >= Oversubscription.MAY_PROBE
        if can_probe and under_way == len(self._loads) <= self._capacity:
            # None waits before it.
            if begins > MIN_PROBE_WAIT_FRACTION * load_s:
                return 0.0, slowed_s, StartReason.PROBE
        is_sooner = slowed_s + MIN_GAIN_S <= begins + load_s
        can_oversubscribe = oversubscription is Oversubscription.MAY_OVERSUBSCRIBE
        if can_oversubscribe and is_sooner and slowed_s <= MAX_SLOWDOWN * load_s:
            return 0.0, slowed_s, StartReason.OVERSUBSCRIBED
        return begins, begins + load_s, StartReason.QUEUED

    def _next_free(self) -> float:
        ends = sorted([load.ends for load in self._loads])
        for at in [0.0, *ends]:
            if self._under_way(at) < self._capacity:
                return at
        return ends[-1]

    def _under_way(self, at: float) -> int:
        return sum([load.begins <= at < load.ends for load in self._loads])
