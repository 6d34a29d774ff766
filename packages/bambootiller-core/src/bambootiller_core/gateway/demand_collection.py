"""Distributes the total demand to all entries without every process reporting to every
other.

With dozens of entries and engines there are a thousand streams. If each carried the
demand for every model in both directions, the small instances would spend all their
time reading it. So two agents of a service collect the demand of all entries and report
the sum; the other agents receive only the demand for the models that concern their own
engine.

Each entry chooses the collectors itself, from the agents that it receives messages
from. While entries disagree, the sums are too small for a moment; loads then start
later than they could, but no guarantee depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.gateway.demand_tracker import decayed
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import AGENT_TIMEOUT_S
from bambootiller_core.gateway.model_demand import Demand

#: A rate that differs by less than this fraction from the receiver's decayed value
#: isn't reported again: the difference changes no decision.
CHANGED_FRACTION = 0.1
#: Changes of callers and of calls without an answer that weigh less than this aren't
#: reported on their own, nor is a change of less than this many seconds in the time of
#: the first of these calls.
CHANGED_CALLS = 0.25
CHANGED_S = 1.0
#: The number of entries that request loads which none of their own calls waits for, and
#: that therefore plan even without waiting calls. More of them would only compute the
#: same plan again; if a single one failed, no such load would be requested until the
#: agents detect its failure.
PLANNER_COUNT = 4
#: Cached results of :func:`responsible_planner`, for combinations of models and entry
#: lists that agents report.
PLANNER_CACHE_SIZE = 4096
#: Cached results of :func:`planners`; agents report a new entry list when an entry
#: starts or stops.
ENTRY_LIST_CACHE_SIZE = 16
#: One collector would do; the second is a standby for when the first is lost.
COLLECTOR_COUNT = 2


def collectors(service: str, hosts: Iterable[str]) -> list[str]:
    """The hosts whose agents collect the demand for the service.

    >>> collectors("tutor", ["10.0.0.1"])
    ['10.0.0.1']
    """
    return rendezvous.ranked(f"collector of {service}", hosts)[:COLLECTOR_COUNT]


def relevant_demands(
    demands: Mapping[str, Demand], state: EngineState | None
) -> dict[str, Demand]:
    """The part of the demand that one agent needs for its decisions: for the models
    that its engine holds or loads. The demand for any other model arrives with the
    request to load it."""
    if state is None:
        return {}
    names = set(state.holdings)
    if state.loading is not None:
        names.add(state.loading.model)
    return {name: demands[name] for name in names if name in demands}


def demands_changed(
    reported: Mapping[str, Demand],
    demands: Mapping[str, Demand],
    elapsed_s: float = 0.0,
) -> bool:
    """Whether a receiver of the first demands, reported ``elapsed_s`` ago, has to be
    sent the second.

    Both sides let a rate decay with time (:func:`demand_tracker.decayed`), so a model
    without calls causes no messages. When decaying rates were reported, each call
    caused two messages a second for a quarter of a minute, on the stream to each engine
    that held its model.

    >>> demands_changed({"tutor": Demand(rate=1.0)}, {"tutor": Demand(rate=0.95)})
    False
    >>> demands_changed(
    ...     {"tutor": Demand(rate=1.0)}, {"tutor": Demand(rate=1.0)}, elapsed_s=2.0
    ... )
    True
    """
    if reported.keys() != demands.keys():
        return True
    return any(
        _demand_changed(reported[name], demand, elapsed_s)
        for name, demand in demands.items()
    )


def _demand_changed(reported: Demand, demand: Demand, elapsed_s: float) -> bool:
    if (reported.waiting, reported.holders, reported.copies) != (
        demand.waiting,
        demand.holders,
        demand.copies,
    ):
        return True
    if demand.waiting and reported.oldest_s != demand.oldest_s:
        return True
    if abs(reported.unserved - demand.unserved) >= CHANGED_CALLS:
        return True
    if abs((reported.callers or 0.0) - (demand.callers or 0.0)) >= CHANGED_CALLS:
        return True
    if (
        demand.unserved
        and abs(reported.unserved_s + elapsed_s - demand.unserved_s) > CHANGED_S
    ):
        return True
    left = decayed(1.0, elapsed_s)
    rates = (reported.rate, demand.rate), (
        reported.adapter_miss_rate,
        demand.adapter_miss_rate,
    )
    return any(_rate_changed(before * left, rate) for before, rate in rates)


def _rate_changed(assumed: float, rate: float) -> bool:
    return abs(assumed - rate) > CHANGED_FRACTION * max(assumed, rate)


class CollectedDemand:
    """The latest sums that the collectors reported, by service.

    Example::

        totals.reported(now, "tutor", "10.0.0.1", demands)
        demands = totals.demands(now, "tutor")
    """

    def __init__(self) -> None:
        self._reported: dict[str, dict[str, tuple[float, Mapping[str, Demand]]]] = {}

    def reported(
        self, now: float, service: str, host: str, demands: Mapping[str, Demand]
    ) -> None:
        """Record the sum that the collector on ``host`` reports."""
        self._reported.setdefault(service, {})[host] = (now, demands)

    def demands(self, now: float, service: str) -> dict[str, Demand]:
        """The demand for each model, the greater value where collectors differ."""
        merged: dict[str, Demand] = {}
        for demands in self._current_reports(now, service):
            merged = merge_max(merged, demands)
        return merged

    def models_waited_for(self, now: float) -> set[str]:
        """The models that calls of any entry wait for, of all services."""
        return {
            model
            for service in self._reported
            for demands in self._current_reports(now, service)
            for model, demand in demands.items()
            if demand.waiting
        }

    def _current_reports(self, now: float, service: str) -> list[Mapping[str, Demand]]:
        reported = self._reported.get(service, {})
        for host, (at, _) in list(reported.items()):
            if now - at > AGENT_TIMEOUT_S:
                del reported[host]
        return [demands for _, demands in reported.values()]


def merge_max(
    first: Mapping[str, Demand], second: Mapping[str, Demand]
) -> dict[str, Demand]:
    """For each model the greater demand of the two."""
    merged = dict(first)
    for model, demand in second.items():
        held = merged.get(model)
        if held is None or held == demand:
            # The two collectors mostly report the same values.
            merged[model] = demand
            continue
        merged[model] = Demand(
            max(demand.rate, held.rate),
            max(demand.waiting, held.waiting),
            demand.holders,
            max(demand.oldest_s, held.oldest_s),
            demand.copies,
            min_nonzero(demand.next_deadline_s, held.next_deadline_s),
            max(demand.adapter_miss_rate, held.adapter_miss_rate),
            max(demand.unserved, held.unserved),
            max(demand.unserved_s, held.unserved_s),
            max_known(demand.callers, held.callers),
        )
    return merged


def max_known(first: float | None, second: float | None) -> float | None:
    """The greater of two counts, where None stands for a count that wasn't reported.

    >>> max_known(None, 2.0), max_known(1.0, 2.0), max_known(None, None)
    (2.0, 2.0, None)
    """
    reported = [count for count in (first, second) if count is not None]
    return max(reported, default=None)


def min_nonzero(first: float, second: float) -> float:
    """The lesser of two remaining times, where 0 stands for none.

    >>> min_nonzero(0.0, 2.5), min_nonzero(1.0, 2.5)
    (2.5, 1.0)
    """
    return min(first, second) if first and second else max(first, second)


@lru_cache(ENTRY_LIST_CACHE_SIZE)
def planners(entries: tuple[str, ...]) -> tuple[str, ...]:
    """The entries that request loads which no call waits for, or which use the weight
    store.

    >>> planners(("e1",))
    ('e1',)
    """
    return tuple(rendezvous.ranked("planner", entries)[:PLANNER_COUNT])


@lru_cache(PLANNER_CACHE_SIZE)
def responsible_planner(model: str, entries: tuple[str, ...]) -> str | None:
    """The planner that requests loads of the model; None without planners."""
    # Cached, because it is called for each load of each plan.
    return rendezvous.first(model, planners(entries))
