"""Selects the planned loads that one entry requests from the agents.

All entries have nearly the same plan. If several requested the same load at once,
agents would load a model at more engines than it needs, and the only slot of the weight
store would be used twice.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from bambootiller_core.gateway.demand_collection import responsible_planner
from bambootiller_core.gateway.fleet import Backend, Fleet
from bambootiller_core.gateway.log_lines import (
    LogLine,
    StoreLoadAsked,
    StoreLoadNotBegun,
)
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.order_messages import CALLS_WAITING, LoadRequest
from bambootiller_core.gateway.residency import PlannedLoad, Planner
from bambootiller_core.gateway.store_load_requests import StoreLoadRequests
from bambootiller_core.gateway.store_queue import MAX_SLOWDOWN, StartReason

#: Urgency of loads that are requested ahead of demand.
PREFETCH_URGENCY = 5


class LoadRequester:
    """Selects and requests loads on behalf of the entry ``instance``. ``entries``
    returns the entries that are live to the agents, ``request_load`` sends a request to
    the agent beside an engine, ``emit`` writes a log line.

    Example::

        loads = requester.from_copies(plan, own_demands)
        loads += requester.from_store(now, "llm", planner, plan, total_demands)
        requester.send_requests(
            loads, own_demands, total_demands, planner.store_loads
        )
    """

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        entries: Callable[[], tuple[str, ...]],
        request_load: Callable[[Backend, LoadRequest], object],
        emit: Callable[[LogLine], None],
    ) -> None:
        self._instance = instance
        self._fleet = fleet
        self._entries = entries
        self._request_load = request_load
        self._emit = emit
        self._store_requests: dict[str, StoreLoadRequests] = {}

    def is_responsible_for(self, model: str) -> bool:
        """Whether this entry is the one to request loads of the model when none of its
        own calls waits for it."""
        return responsible_planner(model, self._entries()) == self._instance

    def is_responsible_for_store(self, service: str) -> bool:
        """Whether this entry is the one to request a service's loads from the weight
        store, whichever entry's calls wait for them."""
        return self.is_responsible_for(f"weight store of {service}")

    def from_copies(
        self, plan: Mapping[str, PlannedLoad], demands: Mapping[str, Demand]
    ) -> list[PlannedLoad]:
        """The loads from copies that this entry requests. Such a load ends before
        duplicate requests do any harm, so each entry with waiting calls requests it."""
        return [
            load
            for load in plan.values()
            if load.request_now
            and not load.from_store
            and (
                demands.get(load.model, NO_DEMAND).waiting
                or self.is_responsible_for(load.model)
            )
        ]

    def cooling_down(self, now: float, service: str) -> frozenset[tuple[str, str]]:
        """The pairs of a model and an instance of the service whose load from the store
        this entry requested recently, and which didn't start."""
        requests = self._store_requests.get(service)
        return requests.cooling_down(now) if requests is not None else frozenset()

    def may_probe(self, now: float, service: str) -> bool:
        """Whether this entry may request one load beyond the known concurrency of the
        store."""
        requests = self._store_requests.get(service)
        return requests is None or requests.may_probe(now)

    def from_store(
        self,
        now: float,
        service: str,
        planner: Planner,
        plan: Mapping[str, PlannedLoad],
        total_demands: Mapping[str, Demand],
        idle_s: float | None = None,
    ) -> list[PlannedLoad]:
        """The loads from the weight store that this entry requests, selected from the
        ``plan`` that ``planner`` has made. ``idle_s`` is for how long the store has
        served no load, None if it hasn't served any yet."""
        if not self.is_responsible_for_store(service):
            return []
        planned = [
            load for load in plan.values() if load.request_now and load.from_store
        ]
        requests = self._store_requests.setdefault(service, StoreLoadRequests())
        chosen = requests.choose(
            now,
            planned,
            self._is_reported_loading,
            self._is_listed,
            lambda load: self._is_declined(now, load),
        )
        for load in requests.expired:
            self._emit(StoreLoadNotBegun(service, load.model, load.instance))
        for load in requests.newly_requested:
            demand = total_demands.get(load.model, NO_DEMAND)
            self._emit(_store_load_line(service, load, planner, demand, idle_s))
        return chosen

    def send_requests(
        self,
        loads: Iterable[PlannedLoad],
        demands: Mapping[str, Demand],
        total_demands: Mapping[str, Demand],
        store_loads: int,
    ) -> None:
        """Sends the requests to the agents. ``demands`` is the demand of this entry,
        ``store_loads`` the estimated number of loads that the weight store serves at
        full speed."""
        for load in loads:
            backend = self._fleet.get(load.instance)
            if backend is None:
                continue
            waiting = demands.get(load.model, NO_DEMAND).waiting
            demand = total_demands.get(load.model, NO_DEMAND)
            urgency = CALLS_WAITING if waiting or demand.awaited else PREFETCH_URGENCY
            store_permits = permits_for(load, store_loads)
            self._request_load(
                backend, LoadRequest(load.model, "", urgency, demand, store_permits)
            )

    def _is_listed(self, load: PlannedLoad) -> bool:
        return self._fleet.get(load.instance) is not None

    def _is_declined(self, now: float, load: PlannedLoad) -> bool:
        """Whether the engine can't start the load, by its agent's report."""
        backend = self._fleet.get(load.instance)
        if backend is None or backend.engine is None:
            return True
        if backend.engine.silent or not backend.accepts_orders(now):
            return True
        return backend.engine.declined == load.model

    def _is_reported_loading(self, load: PlannedLoad) -> bool:
        backend = self._fleet.get(load.instance)
        if backend is None or backend.engine is None:
            return False
        loading = backend.engine.loading
        return loading is not None and loading.model == load.model


def permits_for(load: PlannedLoad, store_loads: int) -> int:
    """The number of loads, including this one, that may use the weight store at a time;
    ``store_loads`` is the estimated number that it serves at full speed.

    >>> permits_for(PlannedLoad("tutor", "b1", 9.0, True, True, StartReason.PROBE), 1)
    2
    """
    if load.start_reason is StartReason.OVERSUBSCRIBED:
        return int(MAX_SLOWDOWN * store_loads)
    return store_loads + (load.start_reason is StartReason.PROBE)


def _store_load_line(
    service: str,
    load: PlannedLoad,
    planner: Planner,
    demand: Demand,
    idle_s: float | None,
) -> StoreLoadAsked:
    return StoreLoadAsked(
        service,
        load.model,
        load.instance,
        load.start_reason.value if load.start_reason is not None else "",
        planner.store_loads_under_way,
        planner.store_loads,
        demand.waiting,
        round(demand.unserved, 1),
        round(demand.unserved_s, 1),
        None if demand.callers is None else round(demand.callers, 1),
        round(demand.rate, 2),
        None if idle_s is None else round(idle_s, 2),
    )
