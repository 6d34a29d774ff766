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
WORTH_NOW_S = 1.0
#: Nor does one begin now that would take longer than so many times its own time. What
#: the store slows as it begins stays slow, so that crowding it would look like a gain
#: to each load after that, until most engines wait for the store.
MOST_STRETCH = 1.5
#: One more than the store is known to serve is tried only where its turn is further
#: away than this part of its time. If the store serves no more, it takes twice its time
#: from its begin, so what the load before had done by then is lost for both.
TRIED_SHARE = 0.8


class Pressing(enum.IntEnum):
    """How much a load is worth beginning beyond what the store serves at full speed.

    ``LITTLE``: it waits for its turn. ``MUCH``: it may be the one that is tried, as it
    would have one of the next turns whatever else is asked for until then. ``MOST``: it
    may also begin where the store is known to be full, if that is sooner.
    """

    LITTLE = 0
    MUCH = 1
    MOST = 2


class TurnKind(enum.Enum):
    """Why a load begins when it does.

    ``FREE``: the store serves it at full speed. ``ONE_MORE``: it is begun to see
    whether the store serves one more. ``CROWDED``: it is over sooner beside the others.
    ``QUEUED``: it waits for its turn.
    """

    FREE = "free"
    ONE_MORE = "one more"
    CROWDED = "crowded"
    QUEUED = "queued"


@dataclass(frozen=True, slots=True)
class _Load:
    """A load under way or planned; seconds from now."""

    begins: float
    ends: float


class StoreQueue:
    """The loads of a plan, from those under way on.

    ``full`` is how many the store is known to serve at full speed, ``one_more`` whether
    another may be begun beside these, to see whether it serves that as well.

    Example::

        queue = StoreQueue(4, ends_in_s=[2.0, 5.5])
        starts_in_s, ready_in_s = queue.add(6.0)
    """

    def __init__(
        self, full: int, ends_in_s: Iterable[float], one_more: bool = False
    ) -> None:
        self._full = full
        self._one_more = one_more
        self._loads = [_Load(0.0, end) for end in ends_in_s]

    def add(
        self, load_s: float, pressing: Pressing = Pressing.LITTLE
    ) -> tuple[float, float]:
        """Plan one more load; returns when it begins and when it is over."""
        begins, ready = self.when(load_s, pressing)
        self._loads.append(_Load(begins, ready))
        # What is tried may be served first, and the one that has the turn slowed by it.
        self._one_more = False
        return begins, ready

    def can_begin(self, load_s: float, pressing: Pressing = Pressing.LITTLE) -> bool:
        """Whether :meth:`add` would have the load begin now."""
        return self.when(load_s, pressing)[0] <= 0

    def room(self) -> int:
        """How many more loads could begin now."""
        return max(0, self._full - self._under_way(0.0))

    def when(
        self, load_s: float, pressing: Pressing = Pressing.LITTLE
    ) -> tuple[float, float]:
        """What :meth:`add` would return."""
        begins, ends, _ = self._turn(load_s, pressing)
        return begins, ends

    def kind(self, load_s: float, pressing: Pressing = Pressing.LITTLE) -> TurnKind:
        """Why :meth:`add` would have the load begin when it does."""
        _, _, kind = self._turn(load_s, pressing)
        return kind

    def _turn(self, load_s: float, pressing: Pressing) -> tuple[float, float, TurnKind]:
        begins = self._next_free()
        if begins <= 0:
            return begins, begins + load_s, TurnKind.FREE
        under_way = self._under_way(0.0)
        slowed_s = load_s * max(1.0, (under_way + 1) / self._full)
        tries = self._one_more and pressing >= Pressing.MUCH
        if tries and under_way == len(self._loads) <= self._full:
            # None waits before it.
            if begins > TRIED_SHARE * load_s:
                return 0.0, slowed_s, TurnKind.ONE_MORE
        is_sooner = slowed_s + WORTH_NOW_S <= begins + load_s
        crowds = pressing is Pressing.MOST
        if crowds and is_sooner and slowed_s <= MOST_STRETCH * load_s:
            return 0.0, slowed_s, TurnKind.CROWDED
        return begins, begins + load_s, TurnKind.QUEUED

    def _next_free(self) -> float:
        ends = sorted([load.ends for load in self._loads])
        for at in [0.0, *ends]:
            if self._under_way(at) < self._full:
                return at
        return ends[-1]

    def _under_way(self, at: float) -> int:
        return sum([load.begins <= at < load.ends for load in self._loads])
