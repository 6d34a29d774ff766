"""What entries have told one agent: wishes, demand, and their calls at its engine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.demand_collection import merge_max, min_nonzero
from bambootiller_core.gateway.demand_tracker import decayed
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.order_messages import LoadRequest

#: What an entry asked for is forgotten after this time unless it is asked for again.
#: Seconds.
LOAD_REQUEST_TTL_S = 0.25
#: An entry's figures of use count for this long after it fell silent: its calls may
#: still be running here. Seconds.
REPORT_TTL_S = 3.0
#: A model stays at least this long once it is loaded, and for this part of the time
#: that its load took: callers who were refused meanwhile are on their way back.
#: Seconds.
MIN_RESIDENCY_S = 0.6
RESIDENCY_LOAD_FRACTION = 0.25
#: An adapter used this recently isn't unloaded: the call that wanted it may be
#: on its way. Seconds.
RECENT_USE_S = 0.4

#: Rates are summed anew after this time, as they fade: by 5 % of them in it, half of
#: what makes an entry tell a rate again. Seconds.
DEMAND_SUM_TTL_S = 0.25

_NEVER = float("-inf")


@dataclass(slots=True)
class _EntryReport:
    """What one entry last said: demand and use by model, adapters in use. The rates
    fade from ``reported_at`` on, here as there."""

    reported_at: float
    last_received_at: float
    demands: Mapping[str, Demand]
    in_use: Mapping[str, int]


class EntryReports:
    """The words of all entries together, each for as long as it counts.

    Example::

        say.wished(now, LoadRequest("tutor"))
        say.told(now, "entry-1", wants, in_use)
        first = say.wishes()[0]
    """

    def __init__(self) -> None:
        self._load_requests: dict[tuple[str, str], tuple[LoadRequest, float]] = {}
        self._requested_by: dict[tuple[str, str], str] = {}
        self._entries: dict[str, _EntryReport] = {}
        self._used_at: dict[tuple[str, str], float] = {}
        #: Until when models that have come stay.
        self._protected_until: dict[str, float] = {}
        #: The sum over all entries; None once one of them has spoken since.
        self._demands: dict[str, Demand] | None = None
        self._summed_at = _NEVER
        self._now = _NEVER

    def load_requested(self, now: float, request: LoadRequest, entry: str = "") -> None:
        """An entry has calls that need the model or adapter."""
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
        """An entry's demand over all engines, and its calls here, by model."""
        self._advance_clock(now)
        self._demands = None
        self._entries[entry] = _EntryReport(now, now, demands, in_use)

    def keep_alive(self, now: float, entry: str) -> bool:
        """An entry has nothing new to say; False if what it said before is forgotten,
        and has to be told again."""
        use = self._entries.get(entry)
        if use is None:
            return False
        use.last_received_at = now
        return True

    def engine_restarted(self) -> None:
        """What came to the engine, and the calls there, are gone with its last start.
        Entries tell of calls to the new one with their next message."""
        self._protected_until.clear()
        for use in self._entries.values():
            use.in_use = {}

    def load_finished(self, now: float, model: str, seconds: float) -> None:
        """The model has come, after a load of so many seconds."""
        turn_s = max(MIN_RESIDENCY_S, RESIDENCY_LOAD_FRACTION * seconds)
        self._protected_until[model] = now + turn_s

    def expire(self, now: float) -> None:
        """Drop what is too old to count."""
        self._advance_clock(now)
        for key, (_, at) in list(self._load_requests.items()):
            if now - at > LOAD_REQUEST_TTL_S:
                self._demands = None
                del self._load_requests[key]
                del self._requested_by[key]
        for entry, use in list(self._entries.items()):
            if now - use.last_received_at > REPORT_TTL_S:
                self._demands = None
                del self._entries[entry]

    def renew_request(self, now: float, model: str) -> None:
        """A wish for the model lives on: what comes of it isn't known yet, and it isn't
        repeated meanwhile."""
        request, at = self._load_requests.get((model, ""), (None, now))
        if request is not None:
            self._load_requests[(model, "")] = (request, max(at, now))

    def requested_by(self, model: str, adapter: str = "") -> str:
        """The entry that wished for it last, empty if none does now."""
        return self._requested_by.get((model, adapter), "")

    def load_requests(self) -> list[LoadRequest]:
        """Urgent wishes first, among these the one whose calls are in time, but not
        for long, and then the one whose calls have waited longest."""
        demands = self.demands()

        def key(request: LoadRequest) -> tuple[float, ...]:
            demand = demands.get(request.model, NO_DEMAND)
            return (
                request.urgency,
                not demand.in_time_s,
                demand.in_time_s,
                -demand.oldest_s,
            )

        return sorted([request for request, _ in self._load_requests.values()], key=key)

    def demands(self) -> dict[str, Demand]:
        """The demand of all entries together, by what they say here, or by what the
        one that asks for a load knows from the collectors if that is more."""
        if self._demands is None:
            self._demands = self._sum()
        return self._demands

    def _advance_clock(self, now: float) -> None:
        """Time goes on, and what was summed up fades."""
        self._now = max(self._now, now)
        if self._now - self._summed_at > DEMAND_SUM_TTL_S:
            self._demands = None

    def _sum(self) -> dict[str, Demand]:
        self._summed_at = self._now
        merged: dict[str, Demand] = {}
        for use in self._entries.values():
            elapsed_s = self._now - use.reported_at
            left = decayed(1.0, elapsed_s)
            for model, demand in use.demands.items():
                held = merged.get(model, Demand())
                merged[model] = Demand(
                    held.rate + demand.rate * left,
                    held.waiting + demand.waiting,
                    max(held.holders, demand.holders),
                    max(held.oldest_s, demand.oldest_s),
                    max(held.copies, demand.copies),
                    min_nonzero(held.in_time_s, demand.in_time_s),
                    held.adapter_rate + demand.adapter_rate * left,
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
        for use in self._entries.values():
            for model, count in use.in_use.items():
                merged[model] = merged.get(model, 0) + count
        return merged

    def recently_loaded(self, now: float, model: str) -> bool:
        """Whether the model came so lately that its waiting calls may not be here yet,
        or have only begun; unloaded now, it would have been loaded for nothing."""
        return now < self._protected_until.get(model, _NEVER)

    def recently_used(self, now: float, model: str, adapter: str) -> bool:
        """Whether a call that wants the adapter may be on its way."""
        return now - self._used_at.get((model, adapter), _NEVER) <= RECENT_USE_S

    def used_at(self, model: str, adapter: str) -> float:
        """When the adapter was wished for last, 0 if it wasn't."""
        return self._used_at.get((model, adapter), 0.0)


def sum_known(first: float | None, second: float | None) -> float | None:
    """The sum of two counts, where None stands for one that wasn't told.

    >>> added(None, 2.0), added(1.0, 2.0), added(None, None)
    (2.0, 3.0, None)
    """
    reported = [count for count in (first, second) if count is not None]
    return sum(reported) if reported else None


def _unserved_age_s(demand: Demand, elapsed_s: float) -> float:
    """How long ago the first unserved call came, so long after it was told."""
    return demand.unserved_s + elapsed_s if demand.unserved else 0.0
