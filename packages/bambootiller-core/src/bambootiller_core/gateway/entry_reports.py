"""What entries report to one agent: load requests, demand, and their calls at its
engine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.demand_collection import merge_max, min_nonzero
from bambootiller_core.gateway.demand_tracker import decayed
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.order_messages import LoadRequest

#: Seconds after which a load request expires unless it is repeated.
LOAD_REQUEST_TTL_S = 0.25
#: Seconds for which an entry's report counts after its last message: its calls may
#: still be running here.
REPORT_TTL_S = 3.0
#: A loaded model stays resident for at least this many seconds, and for at least this
#: fraction of the time that its load took: callers who were refused meanwhile are about
#: to come back.
MIN_RESIDENCY_S = 0.6
RESIDENCY_LOAD_FRACTION = 0.25
#: Seconds for which an adapter stays loaded after it was requested: the call that needs
#: it may be on its way.
RECENT_USE_S = 0.4

#: Seconds after which the rates are summed again, because they decay: by 5 % in this
#: time, half of the change that makes an entry report a rate again.
DEMAND_SUM_TTL_S = 0.25

_NEVER = float("-inf")


@dataclass(slots=True)
class _EntryReport:
    """The last report of one entry: demand and calls in progress by model, adapters
    included. The rates decay from ``reported_at`` on, as they do at the entry."""

    reported_at: float
    last_received_at: float
    demands: Mapping[str, Demand]
    in_use: Mapping[str, int]


class EntryReports:
    """The load requests and reports of all entries, each until it expires.

    Example::

        entry_reports.load_requested(now, LoadRequest("tutor"))
        entry_reports.reported(now, "entry-1", demands, in_use)
        first = entry_reports.load_requests()[0]
    """

    def __init__(self) -> None:
        self._load_requests: dict[tuple[str, str], tuple[LoadRequest, float]] = {}
        self._requested_by: dict[tuple[str, str], str] = {}
        self._entries: dict[str, _EntryReport] = {}
        self._used_at: dict[tuple[str, str], float] = {}
        #: When the protection of recently loaded models from eviction ends.
        self._protected_until: dict[str, float] = {}
        #: The sum over all entries; None after a new report or request.
        self._demands: dict[str, Demand] | None = None
        self._summed_at = _NEVER
        self._now = _NEVER

    def load_requested(self, now: float, request: LoadRequest, entry: str = "") -> None:
        """Record that an entry has calls that need the model or adapter."""
        self._advance_clock(now)
        self._demands = None
        self._load_requests[(request.model, request.adapter)] = (
            request,
            now,
        )
        self._requested_by[(request.model, request.adapter)] = entry
        self._used_at[(request.model, request.adapter)] = now

    def reported(
        self,
        now: float,
        entry: str,
        demands: Mapping[str, Demand],
        in_use: Mapping[str, int],
    ) -> None:
        """Record an entry's demand over all engines, and its calls at this engine, by
        model."""
        self._advance_clock(now)
        self._demands = None
        self._entries[entry] = _EntryReport(now, now, demands, in_use)

    def keep_alive(self, now: float, entry: str) -> bool:
        """Record that an entry has no changes to report; False if its last report has
        expired and must be sent again."""
        report = self._entries.get(entry)
        if report is None:
            return False
        report.last_received_at = now
        return True

    def engine_restarted(self) -> None:
        """Discard the calls at the previous start of the engine and the protection of
        recently loaded models. Entries report calls at the new start with their next
        message."""
        self._protected_until.clear()
        for report in self._entries.values():
            report.in_use = {}

    def load_finished(self, now: float, model: str, seconds: float) -> None:
        """Record that the model was loaded, in so many seconds."""
        protected_s = max(MIN_RESIDENCY_S, RESIDENCY_LOAD_FRACTION * seconds)
        self._protected_until[model] = now + protected_s

    def expire(self, now: float) -> None:
        """Drop requests and reports that have expired."""
        self._advance_clock(now)
        for key, (_, at) in list(self._load_requests.items()):
            if now - at > LOAD_REQUEST_TTL_S:
                self._demands = None
                del self._load_requests[key]
                del self._requested_by[key]
        for entry, report in list(self._entries.items()):
            if now - report.last_received_at > REPORT_TTL_S:
                self._demands = None
                del self._entries[entry]

    def renew_request(self, now: float, model: str) -> None:
        """Extend the request for a model while its outcome isn't known yet; entries
        don't repeat it meanwhile."""
        request, at = self._load_requests.get((model, ""), (None, now))
        if request is not None:
            self._load_requests[(model, "")] = (request, max(at, now))

    def requested_by(self, model: str, adapter: str = "") -> str:
        """The entry that requested the load last, empty if there is no current
        request."""
        return self._requested_by.get((model, adapter), "")

    def requested_models(self) -> list[str]:
        """The models that are currently requested, apart from requests for adapters."""
        return [model for model, adapter in self._load_requests if not adapter]

    def load_requests(self) -> list[LoadRequest]:
        """The current requests: urgent ones first; among these the one whose calls are
        in time with the shortest time left, and then the one whose calls have waited
        longest."""
        demands = self.demands()

        def key(request: LoadRequest) -> tuple[float, ...]:
            demand = demands.get(request.model, NO_DEMAND)
            return (
                request.urgency,
                not demand.next_deadline_s,
                demand.next_deadline_s,
                -demand.oldest_s,
            )

        return sorted([request for request, _ in self._load_requests.values()], key=key)

    def demands(self) -> dict[str, Demand]:
        """The demand of all entries together: the sum of their reports here, or the
        collected demand that a load request contains, whichever is greater."""
        if self._demands is None:
            self._demands = self._sum()
        return self._demands

    def _advance_clock(self, now: float) -> None:
        """Advance the clock, and drop the summed demand once its rates have decayed too
        far."""
        self._now = max(self._now, now)
        if self._now - self._summed_at > DEMAND_SUM_TTL_S:
            self._demands = None

    def _sum(self) -> dict[str, Demand]:
        self._summed_at = self._now
        merged: dict[str, Demand] = {}
        for report in self._entries.values():
            elapsed_s = self._now - report.reported_at
            left = decayed(1.0, elapsed_s)
            for model, demand in report.demands.items():
                held = merged.get(model, Demand())
                merged[model] = Demand(
                    held.rate + demand.rate * left,
                    held.waiting + demand.waiting,
                    max(held.holders, demand.holders),
                    max(held.oldest_s, demand.oldest_s),
                    max(held.copies, demand.copies),
                    min_nonzero(held.next_deadline_s, demand.next_deadline_s),
                    held.adapter_miss_rate + demand.adapter_miss_rate * left,
                    held.unserved + demand.unserved,
                    max(held.unserved_s, _unserved_age_s(demand, elapsed_s)),
                    sum_known(held.callers, demand.callers),
                )
        load_requested = {
            request.model: request.demand for request, _ in self._load_requests.values()
        }
        return merge_max(merged, load_requested)

    def in_use(self) -> dict[str, int]:
        """The calls of all entries at this engine, by model and MODEL/ADAPTER."""
        merged: dict[str, int] = {}
        for report in self._entries.values():
            for model, count in report.in_use.items():
                merged[model] = merged.get(model, 0) + count
        return merged

    def recently_loaded(self, now: float, model: str) -> bool:
        """Whether the model was loaded so recently that its waiting calls may not have
        arrived yet, or have only started; if it were unloaded now, the load would have
        been wasted."""
        return now < self._protected_until.get(model, _NEVER)

    def recently_used(self, now: float, model: str, adapter: str) -> bool:
        """Whether a call that needs the adapter may be on its way."""
        return now - self._used_at.get((model, adapter), _NEVER) <= RECENT_USE_S

    def used_at(self, model: str, adapter: str) -> float:
        """When the adapter was requested last, 0 if it never was."""
        return self._used_at.get((model, adapter), 0.0)


def sum_known(first: float | None, second: float | None) -> float | None:
    """The sum of two counts, where None stands for a count that wasn't reported.

    >>> sum_known(None, 2.0), sum_known(1.0, 2.0), sum_known(None, None)
    (2.0, 3.0, None)
    """
    reported = [count for count in (first, second) if count is not None]
    return sum(reported) if reported else None


def _unserved_age_s(demand: Demand, elapsed_s: float) -> float:
    """Seconds since the first unserved call, some time after it was reported."""
    return demand.unserved_s + elapsed_s if demand.unserved else 0.0
