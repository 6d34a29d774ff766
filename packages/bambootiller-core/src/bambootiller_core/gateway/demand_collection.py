"""How the demand of all entries becomes known to each, without all telling all.

With dozens of entries and engines there are a thousand streams. If each carried the
demand for every model in both directions, the small instances would do nothing but read
it. So two agents of a service collect the whole demand and tell the sum; the others
hear only of the models that concern their own engine.

Entries choose the collectors by themselves, from the agents that they hear. Where they
disagree for a moment, the sums are too small for that moment; then loads come later
than they could, and no promise depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.gateway.demand_tracker import decayed
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import AGENT_TIMEOUT_S
from bambootiller_core.gateway.model_demand import Demand

#: A rate that differs by less than this part of it from what its receiver takes it for
#: isn't told again: it changes no decision.
CHANGED_FRACTION = 0.1
#: Callers, and calls without an answer, that weigh less than this aren't told by
#: themselves, nor that the first of those calls came so many seconds sooner or later.
CHANGED_CALLS = 0.25
CHANGED_S = 1.0
#: So many entries see to loads that no call of their own waits for, and so make plans
#: without having calls that wait. More would make the same plan for the same end; one
#: alone would leave all such loads undone until the agents notice its silence.
PLANNER_COUNT = 4
#: For how many models, times the lists of entries that agents tell, it is kept which
#: entry sees to them.
PLANNER_CACHE_SIZE = 4096
#: For how many lists of entries their planners are kept; agents tell a new one as an
#: entry comes or goes.
ENTRY_LIST_CACHE_SIZE = 16
#: One would do; the second is there when the first is lost.
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
    """The part of the demand that one agent decides on: of the models that its engine
    holds or loads. With the wish for a load comes the demand for that model."""
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
    """Whether somebody who was told the one, so long ago, has to be told the other.

    Both sides let a rate fade with time (:func:`demand.decayed`), so a model that nobody
    calls any more takes no messages. Told as it faded, each call took two messages a
    second for a quarter of a minute, on the stream to each engine that held its model.

    >>> moved({"tutor": Demand(rate=1.0)}, {"tutor": Demand(rate=0.95)})
    False
    >>> moved({"tutor": Demand(rate=1.0)}, {"tutor": Demand(rate=1.0)}, elapsed_s=2.0)
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
    rates = (reported.rate, demand.rate), (reported.adapter_rate, demand.adapter_rate)
    return any(_rate_changed(before * left, rate) for before, rate in rates)


def _rate_changed(taken_for: float, rate: float) -> bool:
    return abs(taken_for - rate) > CHANGED_FRACTION * max(taken_for, rate)


class CollectedDemand:
    """What the collectors told last, by service.

    Example::

        totals.told(now, "tutor", "10.0.0.1", wants)
        wants = totals.of(now, "tutor")
    """

    def __init__(self) -> None:
        self._told: dict[str, dict[str, tuple[float, Mapping[str, Demand]]]] = {}

    def reported(
        self, now: float, service: str, host: str, demands: Mapping[str, Demand]
    ) -> None:
        """Take over the sum that the collector on ``host`` tells."""
        self._told.setdefault(service, {})[host] = (now, demands)

    def demands(self, now: float, service: str) -> dict[str, Demand]:
        """The demand for each model by the collector that knows of more."""
        merged: dict[str, Demand] = {}
        for demands in self._current_reports(now, service):
            merged = merge_max(merged, demands)
        return merged

    def models_waited_for(self, now: float) -> set[str]:
        """The models that calls of any entry wait for, of all services."""
        return {
            model
            for service in self._told
            for demands in self._current_reports(now, service)
            for model, demand in demands.items()
            if demand.waiting
        }

    def _current_reports(self, now: float, service: str) -> list[Mapping[str, Demand]]:
        reported = self._told.get(service, {})
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
            # Two collectors mostly tell the same.
            merged[model] = demand
            continue
        merged[model] = Demand(
            max(demand.rate, held.rate),
            max(demand.waiting, held.waiting),
            demand.holders,
            max(demand.oldest_s, held.oldest_s),
            demand.copies,
            min_nonzero(demand.in_time_s, held.in_time_s),
            max(demand.adapter_rate, held.adapter_rate),
            max(demand.unserved, held.unserved),
            max(demand.unserved_s, held.unserved_s),
            max_known(demand.callers, held.callers),
        )
    return merged


def max_known(first: float | None, second: float | None) -> float | None:
    """The greater of two counts, where None stands for one that wasn't told.

    >>> most(None, 2.0), most(1.0, 2.0), most(None, None)
    (2.0, 2.0, None)
    """
    reported = [count for count in (first, second) if count is not None]
    return max(reported, default=None)


def min_nonzero(first: float, second: float) -> float:
    """The lesser of two times left, where 0 stands for none.

    >>> sooner(0.0, 2.5), sooner(1.0, 2.5)
    (2.5, 1.0)
    """
    return min(first, second) if first and second else max(first, second)


@lru_cache(ENTRY_LIST_CACHE_SIZE)
def planners(entries: tuple[str, ...]) -> tuple[str, ...]:
    """The entries that see to loads which nobody waits for, or which draw on the weight
    store.

    >>> planners(("e1",))
    ('e1',)
    """
    return tuple(rendezvous.ranked("planner", entries)[:PLANNER_COUNT])


@lru_cache(PLANNER_CACHE_SIZE)
def responsible_planner(model: str, entries: tuple[str, ...]) -> str | None:
    """The one of the planners that sees to loads of the model."""
    # Kept, as it is asked for each load of each plan.
    return rendezvous.first(model, planners(entries))
