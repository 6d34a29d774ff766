"""The rate limits that backend servers report in their answers.

A backend server that is short of some resource reports a limit for the calls of all
instances together. The limit holds until the answer to a later call reports none.
Processes exchange these reports; of two reports the later one applies, by the time at
which a process received it from the backend server.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.quota_limits import Limit
from bambootiller_core.gateway.update_filter import UpdateFilter

#: How long a report of no limit, or from a backend server that is gone, is kept.
#: Seconds; longer than a report takes to reach other processes.
RETENTION_S = 60.0
#: The rate at which a backend server is called even if its limit is lower. Without such
#: calls no process would detect that it accepts more calls again. Calls a second.
MIN_PER_S = 0.25
#: The depth of the bucket, in seconds of its rate; the depth is at least one call.
BUCKET_S = 0.5
#: The window in which the platform counts calls against a limit. Seconds.
WINDOW_S = 4.0
#: The prefix of the name of a backend server's limit.
PREFIX = "backend server "


def limit_name(instance: str) -> str:
    """Return the name of a backend server's limit among all limits that are divided."""
    return PREFIX + instance


def shared_limits(in_force: Mapping[str, float]) -> dict[str, Limit]:
    """Return reported limits, by name, in the form in which the allocator divides them.

    They have no shares, only advances for each call: a share of such a limit would
    often be less than one call.

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
    """A report of a backend server: its limit is ``per_s`` calls a second, or there is
    none if that is None. ``reported_at`` is in seconds on this process's monotonic
    clock."""

    instance: str
    per_s: float | None
    reported_at: float


@dataclass(slots=True)
class _Record:
    limit: ReportedLimit
    version: int
    source: str


class ReportedLimits:
    """The latest report of each backend server that has reported a limit.

    Example::

        limits.apply(ReportedLimit("i-1", 1.9, now))
        limits.per_s("i-1")    # 1.9
        limits.apply(ReportedLimit("i-1", None, later))
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        #: The number of changes so far that peers may have to receive.
        self.version = 0

    def apply(self, limit: ReportedLimit, source: str = "") -> bool:
        """Apply a report, unless a later one is known. Returns whether the limit in
        force has changed.

        ``source`` is the peer that forwarded the report, empty if an answer to a call
        of this process had it.
        """
        held = self._records.get(limit.instance)
        if held is None:
            if limit.per_s is None:
                return False
        elif limit.reported_at <= held.limit.reported_at:
            if limit.per_s != held.limit.per_s and source:
                # The peer hasn't received the later report: recorded without a source,
                # it is sent to that peer too.
                self._keep(held.limit, "")
            return False
        elif limit.per_s == held.limit.per_s:
            held.limit = limit
            return False
        self._keep(limit, source)
        return True

    def per_s(self, instance: str) -> float | None:
        """Return the limit in force, in calls a second, None if there is none."""
        record = self._records.get(instance)
        return record.limit.per_s if record is not None else None

    def in_force(self) -> dict[str, float]:
        """Return the limits in force in calls a second, by backend server."""
        return {
            name: record.limit.per_s
            for name, record in self._records.items()
            if record.limit.per_s is not None
        }

    def unsent(self, update_filter: UpdateFilter) -> list[ReportedLimit]:
        """Return the reports that the filter of a peer selects."""
        return [
            record.limit
            for record in self._records.values()
            if update_filter.includes(record.version, record.source)
        ]

    def forget(self, now: float, is_known: Callable[[str], bool]) -> bool:
        """Drop old reports of no limit, and those of backend servers that are gone.

        ``is_known`` tells whether a backend server still exists. Returns whether a
        limit that was in force has been dropped.
        """
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
