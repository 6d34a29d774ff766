"""How many calls a second backend servers take, where they say so in their answers.

A backend server that is short of something names a limit for the calls of all instances
together. It holds until an answer to a later call names none. What was said is told
among processes; of two words the later one holds, by the process that heard it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.quota_limits import Limit
from bambootiller_core.gateway.update_filter import UpdateFilter

#: What was said of a backend server that is gone, or no limit any more, is forgotten
#: after this time. Seconds; longer than word of it is under way.
RETENTION_S = 60.0
#: A backend server that takes less is called so often all the same, or nobody would
#: hear when it takes calls again. Calls a second.
MIN_PER_S = 0.25
#: What isn't sent is stored for so long, one call at least. Seconds.
BUCKET_S = 0.5
#: The time in which the first users' platform counts calls against a limit. Seconds.
WINDOW_S = 4.0
#: What stands before the backend server in the name of its limit.
PREFIX = "backend server "


def limit_name(instance: str) -> str:
    """The name of a backend server's limit among all that are shared out."""
    return PREFIX + instance


def shared_limits(in_force: Mapping[str, float]) -> dict[str, Limit]:
    """Named limits by their names, as they are shared out among the entries: call by
    call, as a part of one would often be less than a call.

    >>> shared_limits({"i-1": 1.5})["backend server i-1"].rate_per_s
    1.5
    """
    return {limit_name(name): _limit(per_s) for name, per_s in in_force.items()}


def _limit(per_s: float) -> Limit:
    rate = max(per_s, MIN_PER_S)
    depth = max(1.0, rate * BUCKET_S)
    return Limit(rate, depth, share_depth=0.0, span_s=WINDOW_S)


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """What a backend server said of its limit: ``per_s`` calls a second, None for no
    limit. ``reported_at`` is in seconds on this process's monotonic clock."""

    instance: str
    per_s: float | None
    reported_at: float


@dataclass(slots=True)
class _Record:
    limit: ReportedLimit
    version: int
    source: str


class ReportedLimits:
    """The last word of each backend server that has named a limit.

    Example::

        limits.said(ReportedLimit("i-1", 1.9, now))
        limits.per_s("i-1")    # 1.9
        limits.said(ReportedLimit("i-1", None, later))
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        #: How many changes there have been that others may have to hear of.
        self.version = 0

    def apply(self, limit: ReportedLimit, source: str = "") -> bool:
        """Take over a word, ``source`` being the peer that told of it; returns whether
        another limit holds now."""
        held = self._records.get(limit.instance)
        if held is None:
            if limit.per_s is None:
                return False
        elif limit.reported_at <= held.limit.reported_at:
            if limit.per_s != held.limit.per_s and source:
                # The peer hasn't heard the later word.
                self._keep(held.limit, "")
            return False
        elif limit.per_s == held.limit.per_s:
            held.limit = limit
            return False
        self._keep(limit, source)
        return True

    def per_s(self, instance: str) -> float | None:
        """The limit that holds, in calls a second, None without one."""
        record = self._records.get(instance)
        return record.limit.per_s if record is not None else None

    def in_force(self) -> dict[str, float]:
        """The limits that hold, by backend server."""
        return {
            name: record.limit.per_s
            for name, record in self._records.items()
            if record.limit.per_s is not None
        }

    def unsent(self, update_filter: UpdateFilter) -> list[ReportedLimit]:
        """What was said that a peer hasn't been told."""
        return [
            record.limit
            for record in self._records.values()
            if update_filter.includes(record.version, record.source)
        ]

    def forget(self, now: float, is_known: Callable[[str], bool]) -> bool:
        """Drop what is over; ``is_known`` tells whether a backend server is still
        there. Returns whether a limit that held is gone."""
        dropped = False
        for name, record in list(self._records.items()):
            if now - record.limit.reported_at <= RETENTION_S:
                continue
            if record.limit.per_s is None or not is_known(name):
                dropped = dropped or record.limit.per_s is not None
                del self._records[name]
        return dropped

    def _keep(self, limit: ReportedLimit, source: str) -> None:
        self.version += 1
        self._records[limit.instance] = _Record(limit, self.version, source)
