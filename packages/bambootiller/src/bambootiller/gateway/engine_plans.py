"""An entry's demand for models, and its load plans, made from the demand of all
entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping

from bambootiller.app import Application
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.load_requester import LoadRequester
from bambootiller.gateway.plan_scheduler import PlanScheduler, interval_s
from bambootiller_core.gateway.adapter_prefetch import AdapterPrefetch
from bambootiller_core.gateway.config import ServiceSpec
from bambootiller_core.gateway.copies import copies_seen
from bambootiller_core.gateway.demand_collection import (
    CollectedDemand,
    merge_max,
    planners,
)
from bambootiller_core.gateway.demand_tracker import DemandTracker
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.initial_discovery import InitialDiscovery
from bambootiller_core.gateway.load_targets import models_with_copy
from bambootiller_core.gateway.log_lines import (
    LogLine,
    ModelCopy,
    Obstacles,
    WeightStoreIdle,
)
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.order_messages import LoadRequest
from bambootiller_core.gateway.residency import PlannedLoad, Planner
from bambootiller_core.gateway.store_concurrency import StoreConcurrency
from bambootiller_core.gateway.store_concurrency_by_service import (
    StoreConcurrencyByService,
    remaining_time,
)
from bambootiller_core.gateway.store_idle import StoreIdleTracker

#: A plan no older than this many plan intervals counts as current. With one interval, a
#: call that needs the plan would often come just before the next plan and have one made
#: itself.
MAX_PLAN_AGE_INTERVALS = 2
#: An engine that the registry lists is known to this entry within the interval between
#: two reads of the registry plus this. Seconds.
REGISTRY_READ_DELAY_S = 0.3


class EnginePlans:
    """The demand and the load plans of all services that have engines.

    Calls that need a model ask :meth:`plan_for` when it will be available, and register
    with :meth:`demand` while they wait, so that the plan counts them. ``request_load``
    requests a load from the agent beside an engine, ``admits`` tells whether a model
    may be loaded.
    """

    def __init__(
        self,
        app: Application,
        gateway_state: GatewayState,
        request_load: Callable[[Backend, LoadRequest], object],
        emit: Callable[[LogLine], None] = lambda line: None,
        admits: Callable[[str], bool] = lambda model: True,
    ) -> None:
        self._app = app
        self._gateway_state = gateway_state
        self._request_load = request_load
        self._emit = emit
        self._admits = admits
        #: The entries that are live to the agents, this one among them.
        self.entries: tuple[str, ...] = ()
        self._demand_trackers: dict[str, DemandTracker] = {}
        self._own_demands: dict[str, dict[str, Demand]] = {}
        self._load_requester = LoadRequester(
            app.instance, gateway_state.fleet, lambda: self.entries, request_load, emit
        )
        self._totals = CollectedDemand()
        self._plans: dict[str, dict[str, PlannedLoad]] = {}
        self._planned_demands: dict[str, dict[str, Demand]] = {}
        self._planners: dict[str, Planner] = {}
        self._store_idle: dict[str, StoreIdleTracker] = {}
        self._planned_at = float("-inf")
        self._store_concurrency = StoreConcurrencyByService()
        self._adapter_prefetch: dict[str, AdapterPrefetch] = {}
        self._discoveries: dict[str, InitialDiscovery] = {}
        self._agent_count: Callable[[], int | None] = lambda: None
        self._scheduler = PlanScheduler(
            self._plan_due,
            self._plan_for_waiting,
            self._any_call_waits,
            lambda: not all(
                demand.is_idle for demand in self._demand_trackers.values()
            ),
            lambda: gateway_state.changed.count,
        )

    def start(self, now: float) -> None:
        """Starts to make plans."""
        self._scheduler.start(self._app.timers, now)

    def count_agents_by(self, agent_count: Callable[[], int | None]) -> None:
        """Sets the source of the number of registered agents."""
        self._agent_count = agent_count

    def needs_agent_count(self) -> bool:
        """Whether this entry requests loads from a weight store whose engines it is
        still discovering."""
        return any(
            not self._discovery(service.name).complete
            and self._load_requester.is_responsible_for_store(service.name)
            for service in self._engine_services()
        )

    def changed(self, now: float) -> None:
        """Has the plans updated soon, as something that they depend on has changed."""
        self._scheduler.changed(now)

    def demand(self, service: str) -> DemandTracker:
        """The demand for the models of a service at this entry."""
        return self._demand_trackers.setdefault(service, DemandTracker())

    def adapter_prefetch(self, service: str) -> AdapterPrefetch:
        """The adapters that refused callers will need, at the engines of a service."""
        return self._adapter_prefetch.setdefault(service, AdapterPrefetch())

    def agent_reported(self, now: float, backend: Backend) -> None:
        """Requests, after an agent's new report, the adapters that refused callers will
        need and whose models its engine holds."""
        service = backend.registration.service
        prefetch = self._adapter_prefetch.get(service)
        if prefetch is None:
            return
        backends = self._gateway_state.fleet.of_service(service)
        for load_request in prefetch.load_requests(now, backend, backends):
            self._request_load(backend, load_request)

    def totals_reported(
        self, now: float, service: str, host: str, totals: Mapping[str, Demand]
    ) -> None:
        """Records the demand of all entries, as reported by a collector."""
        self._totals.reported(now, service, host, totals)

    def total_demands(self, service: str, own: dict[str, Demand]) -> dict[str, Demand]:
        """The demand of all entries for the models of a service, as its collectors last
        reported it, but at least this entry's own."""
        return merge_max(self._totals.demands(self._app.now(), service), own)

    def own_demands(self, service: str) -> dict[str, Demand]:
        """This entry's demand, as it is reported to agents."""
        demands = self._own_demands.get(service)
        return self._demands(service) if demands is None else demands

    def planned(self, service: str, model: str) -> PlannedLoad | None:
        """The load of the model that is in progress or planned."""
        return self._plans.get(service, {}).get(model)

    def planned_demand(self, service: str, model: str) -> Demand:
        """The demand of all entries for the model at the last plan."""
        return self._planned_demands.get(service, {}).get(model, NO_DEMAND)

    def obstacles(self, service: str, model: str) -> Obstacles | None:
        """What kept engines from loading the model at the last plan."""
        planner = self._planners.get(service)
        if planner is None:
            return None
        return planner.obstacles(model, self.planned_demand(service, model))

    def store_idle_s(self) -> float:
        """Total time in seconds for which, by this entry's plans, the weight store was
        idle while callers waited for models that no engine has a copy of."""
        return sum(idle.total_s for idle in self._store_idle.values())

    def copies_seen(self, service: str, model: str) -> tuple[ModelCopy, ...]:
        """The engines that have a copy of the model, and why it is kept there."""
        engines = {item.name: item.engine for item in self._engine_services()}
        engine = engines.get(service)
        spec = engine.models.get(model) if engine is not None else None
        if spec is None:
            return ()
        fleet, now = self._gateway_state.fleet, self._app.now()
        return copies_seen(now, fleet, service, spec, engine.memory_mb)

    def store_loads_under_way(self, service: str) -> int:
        """Number of loads from the weight store that agents report to be in
        progress."""
        return sum(
            backend.engine is not None
            and backend.engine.loading is not None
            and backend.engine.loading.from_store
            for backend in self._gateway_state.fleet.of_service(service)
        )

    def all_store_loads_under_way(self) -> int:
        """Number of loads from the weight store in progress, for all services."""
        services = self._engine_services()
        return sum(self.store_loads_under_way(service.name) for service in services)

    def store_loads(self) -> float:
        """The estimated number of loads that the weight store serves at full speed."""
        return self._store_concurrency.min_loads

    def plan_for(self, service: str, model: str) -> PlannedLoad | None:
        """The load of the model for a call that waits now. A new plan is made unless
        the last one is current.

        A model that can't be loaded anywhere is missing from the plan. That is a valid
        result for the calls that this plan counted. If each check of each such call
        made a new plan, an entry that has just started would be busy with nothing else.
        """
        now = self._app.now()
        planned = self.planned(service, model)
        counted = self._own_demands.get(service, {}).get(model, NO_DEMAND).waiting
        has_uncounted_calls = self.demand(service).waiting(now, model) > counted
        if (planned is None and has_uncounted_calls) or self._is_stale(now):
            self.make_plans(now)
            self._scheduler.check_soon(now)
            planned = self.planned(service, model)
        return planned

    def make_plans(self, now: float) -> None:
        """Makes the plans of all services, and requests the loads that this entry is
        responsible for."""
        self._scheduler.plan_started(now)
        self._planned_at = now
        pairs = 0
        for service in self._engine_services():
            backends = self._gateway_state.fleet.of_service(service.name)
            pairs += len(backends) * len(service.engine.models)
            concurrency = self._observe(now, service)
            demands = self._refresh_demands(service.name)
            total_demands = self.total_demands(service.name, demands)
            reachable = [
                backend.instance for backend in backends if not backend.is_lost(now)
            ]
            planner = Planner(
                service.engine,
                concurrency.loads,
                remaining_time(concurrency, now),
                concurrency.other_load_ends(now, reachable),
                concurrency.allows_probe
                and self._load_requester.may_probe(now, service.name),
                self._load_requester.cooling_down(now, service.name),
            )
            plan = planner.plan(now, backends, self._admitted(total_demands))
            self._plans[service.name] = plan
            self._planned_demands[service.name] = total_demands
            self._planners[service.name] = planner
            self._record_idle_store(now, service.name, planner, total_demands)
            loads = self._load_requester.from_copies(plan, demands)
            if self._is_discovery_complete(now, service.name, backends):
                loads += self._load_requester.from_store(
                    now,
                    service.name,
                    planner,
                    plan,
                    total_demands,
                    concurrency.idle_s(now),
                )
            self._load_requester.send_requests(
                loads, demands, total_demands, planner.store_loads
            )
            if plan or any(demand.value for demand in total_demands.values()):
                self._scheduler.mark_not_empty()
        self._scheduler.interval_s = interval_s(pairs)

    def _admitted(self, demands: Mapping[str, Demand]) -> Mapping[str, Demand]:
        """The demand for models that may be loaded. A model whose load isn't admitted
        would be next in the queue for the weight store in each plan, and block it
        without ever being loaded."""
        refused = [
            name
            for name, demand in demands.items()
            if demand.awaited and not self._admits(name)
        ]
        if not refused:
            return demands
        return {name: demand for name, demand in demands.items() if name not in refused}

    def _record_idle_store(
        self, now: float, service: str, planner: Planner, demands: Mapping[str, Demand]
    ) -> None:
        idle = self._store_idle.setdefault(service, StoreIdleTracker())
        under_way = self.store_loads_under_way(service)
        awaited = [] if under_way else planner.awaited_from_store(demands)
        seconds = idle.observe(now, under_way, awaited)
        if seconds is None:
            return
        first = awaited[0]
        seen = planner.obstacles(first, demands[first])
        line = WeightStoreIdle(service, round(seconds, 2), len(awaited), first, seen)
        self._emit(line)

    def _is_stale(self, now: float) -> bool:
        return (
            now - self._planned_at > MAX_PLAN_AGE_INTERVALS * self._scheduler.interval_s
        )

    def _demands(self, service: str) -> dict[str, Demand]:
        """This entry's demand. It includes models that engines hold and nobody asks
        for, as agents have to know which of their models other engines hold too."""
        now = self._app.now()
        holders: Counter[str] = Counter()
        copies: Counter[str] = Counter()
        for backend in self._gateway_state.fleet.of_service(service):
            if backend.is_lost(now):
                # A lost engine serves nobody; its models are no reason for other
                # engines to evict theirs.
                continue
            holders.update(backend.holdings.keys())
            copies.update(models_with_copy(backend))
        demands = self.demand(service).demands(now, holders, copies)
        for model, count in holders.items():
            if model not in demands:
                demands[model] = Demand(holders=count, copies=copies[model])
        return demands

    def _refresh_demands(self, service: str) -> dict[str, Demand]:
        """This entry's current demand, as it is reported to agents. Returns the same
        dict as before if nothing has changed."""
        demands = self._demands(service)
        if demands != self._own_demands.get(service):
            self._own_demands[service] = demands
        return self._own_demands[service]

    def _plan_due(self, now: float) -> None:
        """Makes the plan if this entry acts on it. Otherwise updates only what others
        need: its own demand, which agents are sent, and the store concurrency.

        In a large fleet only a few entries request loads, so a plan made by every entry
        would be unused at most of them.
        """
        if self._is_planner() or self._has_own_waiting():
            self.make_plans(now)
            return
        self._scheduler.plan_started(now)
        self._observe_all(now)
        for service in self._engine_services():
            demands = self._refresh_demands(service.name)
            if any(demand.value for demand in demands.values()):
                self._scheduler.mark_not_empty()

    def _plan_for_waiting(self, now: float) -> None:
        """Makes the plan while calls wait, if this entry acts on it.

        Only one of many entries requests the load. All of them learn the store
        concurrency from the times at which loads begin and end.
        """
        if self._acts_on_plan(now):
            self.make_plans(now)
        else:
            self._observe_all(now)

    def _acts_on_plan(self, now: float) -> bool:
        """Whether this entry requests loads that calls wait for: the calls are its own,
        or it is responsible for their model. Other entries make the plan when a call
        arrives."""
        if self._has_own_waiting():
            return True
        awaited = self._totals.models_waited_for(now)
        if any(map(self._load_requester.is_responsible_for, awaited)):
            return True
        services = self._engine_services() if awaited else ()
        return any(
            self._load_requester.is_responsible_for_store(service.name)
            for service in services
        )

    def _has_own_waiting(self) -> bool:
        """Whether calls of this entry wait or, if it is one of the planners, refused
        callers of its own are due back.

        Planners learn of the refused callers of other entries from the collectors.
        While a weight store is overloaded most entries have some, and each would make a
        plan that only a few act on.
        """
        if any(demand.has_waiting_calls for demand in self._demand_trackers.values()):
            return True
        own = self._own_demands.values() if self._is_planner() else ()
        return any(demand.waiting for demands in own for demand in demands.values())

    def _any_call_waits(self) -> bool:
        if self._has_own_waiting():
            return True
        if not self._is_planner():
            return False
        counted = self._planned_demands.values()
        return any(demand.waiting for demands in counted for demand in demands.values())

    def _is_planner(self) -> bool:
        return self._app.instance in planners(self.entries)

    def _observe_all(self, now: float) -> None:
        for service in self._engine_services():
            self._observe(now, service)

    def _observe(self, now: float, service: ServiceSpec) -> StoreConcurrency:
        """Observes the loads in progress, also at engines that are leaving."""
        backends = self._gateway_state.fleet.all_of_service(service.name)
        return self._store_concurrency.observe(now, service, backends)

    def _engine_services(self) -> list[ServiceSpec]:
        config = self._gateway_state.config
        services = config.services.values() if config is not None else ()
        return [service for service in services if service.engine is not None]

    def _is_discovery_complete(
        self, now: float, service: str, backends: Collection[Backend]
    ) -> bool:
        """Whether this entry has heard of all engines that may hold copies of models
        since it started."""
        discovery = self._discovery(service)
        quiet_s = self._gateway_state.batch_delay_s + REGISTRY_READ_DELAY_S
        none_missing = not discovery.complete and self._all_agents_reported()
        return discovery.is_complete(now, backends, quiet_s, none_missing)

    def _discovery(self, service: str) -> InitialDiscovery:
        return self._discoveries.setdefault(service, InitialDiscovery())

    def _all_agents_reported(self) -> bool:
        """Whether as many engines have reported as agents are registered. If none is
        registered yet, nothing is known of how many there are."""
        agent_count = self._agent_count()
        if not agent_count:
            return False
        fleet = self._gateway_state.fleet
        return agent_count <= sum(
            backend.engine is not None
            for service in self._engine_services()
            for backend in fleet.all_of_service(service.name)
        )
