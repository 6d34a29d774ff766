"""Plans which engine loads which model next, and when a waiting call can be served.

Most models are idle, and only some of them fit on the engines at a time. A load from
the weight store takes long, and the store serves few at once; a load from a copy on an
engine's own disk or in its memory is many times faster. So each model is fetched from
the store once, as early as possible, and is loaded from its copy from then on.

All entries compute the same plan from nearly the same figures, so there is no leader.
Each entry requests from agents the loads that it has calls for. An agent carries out
one load at a time and reports it to all entries at once, so entries seldom request the
same model at two engines. Where that happens it costs a load, and violates no
guarantee.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.gateway.adapter_availability import AdapterAvailability
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.load_priority import (
    MANY_WAITING,
    LoadRank,
    prioritize_loads,
)
from bambootiller_core.gateway.load_targets import (
    CALL_DURATION_S,
    LONG_LOAD_S,
    ORDER_OVERHEAD_S,
    LoadTarget,
    Victims,
    models_with_copy,
    targets_with_copy,
)
from bambootiller_core.gateway.log_lines import Obstacles
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.model_moves import (
    MIN_MOVE_GAIN_S,
    MIN_WAITING_CALLS,
    find_move,
)
from bambootiller_core.gateway.obstacles import obstacles
from bambootiller_core.gateway.store_admission import StoreAdmission
from bambootiller_core.gateway.store_queue import (
    Oversubscription,
    StartReason,
    StoreQueue,
)

#: The cost of making one model unavailable by a long load, in seconds: a call for it
#: meanwhile would be late by half of the load, but most such models aren't called.
BLOCKED_MODEL_COST_S = 0.3
#: The cost of keeping one call from its adapter by a long load, in seconds: the call is
#: refused, and its caller comes back after that time.
BLOCKED_CALL_COST_S = 1.0
#: The maximum cost of calls that may miss an adapter during a long load, in seconds:
#: the load waits no longer than that for another engine.
MAX_CALLS_AT_RISK_COST_S = 1.0
#: Loads whose ends are equal when rounded to this many decimals of a second are equally
#: good; rendezvous hashing then decides.
EQUAL_DECIMALS = 1
#: While there are calls, one in this many engines may be loading from the weight store.
ENGINES_PER_LONG_LOAD = 2
#: A probe, one load more than the store is known to serve, starts for a model with at
#: least this many waiting or returning callers: with fewer, another model may have more
#: demand by the time the store is free.
MIN_CALLERS_TO_PROBE = 2 * MANY_WAITING
#: Such a load is also tried for a model for which no call has been served for this many
#: times its load time: the queue for the store is then long, whichever model is first.
PROBE_AFTER_LOADS = 4
#: A load that ends later than the best one by more than this can't be equally good.
#: Seconds: half of the last decimal and a little for rounding.
TIE_MARGIN_S = 0.06
#: Cached rendezvous weights of engines for models: those of 136 models and 29 engines,
#: and as many again.
WEIGHT_CACHE_SIZE = 8192


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A load that is in progress or planned, and when the model can be used.

    ``instance`` is empty while the load waits for the weight store: which engine is
    best then isn't known yet. ``start_reason`` tells why a load from the store starts
    when it does.
    """

    model: str
    instance: str
    ready_in_s: float
    request_now: bool
    from_store: bool
    start_reason: StartReason | None = None


@dataclass(frozen=True, slots=True)
class _Option:
    """A load at an engine; ``ready_in_s`` excludes the wait for the weight store."""

    load_target: LoadTarget
    ready_in_s: float
    from_store: bool


class Planner:
    """Plans the loads of one service of engines.

    ``store_loads`` is how many loads the weight store serves at full speed; loads
    started beyond that take longer. ``left_s`` returns how many seconds the load in
    progress at an engine still takes. ``other_load_ends`` are the seconds until loads
    from the weight store end that run on engines outside of the plan. ``allows_probe``
    tells whether the store may be given one load more than it is known to serve.
    ``cooling_down`` are pairs of models and engines for which no load from the store is
    planned.
    """

    def __init__(
        self,
        engine: EngineSpec,
        store_loads: int,
        left_s: Callable[[Backend], float] | None = None,
        other_load_ends: Collection[float] = (),
        allows_probe: bool = False,
        cooling_down: Collection[tuple[str, str]] = (),
    ) -> None:
        self._engine = engine
        #: How many loads the weight store is assumed to serve at full speed.
        self.store_loads = store_loads
        self._left_s = left_s or _reported_left_s
        self._other_load_ends = other_load_ends
        self._allows_probe = allows_probe
        self._cooling_down = cooling_down
        #: How many loads used the weight store at the time of the last plan.
        self.store_loads_under_way = 0
        self._live_backends: list[Backend] = []
        self._copy_counts: Counter[str] = Counter()
        self._load_targets: list[LoadTarget] = []
        self._copies: dict[str, list[LoadTarget]] = {}
        self._only_copies_at: dict[str, set[str]] = {}
        self._unavailable_counts: dict[str, int] = {}
        self._adapters = AdapterAvailability(engine, (), {})

    def plan(
        self,
        now: float,
        backends: Iterable[Backend],
        demands: Mapping[str, Demand],
    ) -> dict[str, PlannedLoad]:
        """The loads to come, by model, highest priority first.

        ``demands`` is the demand of all entries together.

        A model that an engine holds appears only if a further engine is to hold it as
        well. Models that no engine has a copy of are prefetched, after all others.
        """
        live_backends = [
            backend
            for backend in backends
            if backend.engine is not None and not backend.is_lost(now)
        ]
        self._live_backends = live_backends
        self._copy_counts = copies = self._survey_fleet(now, live_backends, demands)
        plan = self._loads_in_progress(live_backends)
        store_ends = [load.ready_in_s for load in plan.values() if load.from_store]
        store_ends += self._other_load_ends
        self.store_loads_under_way = len(store_ends)
        order = prioritize_loads(
            self._engine, now, live_backends, copies, demands, plan
        )
        order = [item for item in order if item[0].size_mb <= self._engine.memory_mb]
        queue = self._store_queue(demands, store_ends)
        admission = StoreAdmission(queue, bool(store_ends), order, copies, demands)
        for spec, rank in order:
            admission.mark_planned(spec.name)
            in_progress = plan.get(spec.name)
            if in_progress is None or rank is LoadRank.MANY_CALLS_WAITING:
                self._plan_one(spec, rank, in_progress, demands, admission, plan)
            # Otherwise it is being moved to make room for a model with higher priority.
        return plan

    def awaited_from_store(self, demands: Mapping[str, Demand]) -> list[str]:
        """The models that calls wait for and that no engine had a copy of at the last
        plan, the most valuable load first."""
        awaited = [
            name
            for name, demand in demands.items()
            if demand.awaited
            and name in self._engine.models
            and not self._copy_counts[name]
        ]
        return sorted(awaited, key=lambda name: (-demands[name].value, name))

    def obstacles(self, model: str, demand: Demand) -> Obstacles | None:
        """What kept engines from loading the model at the last plan."""
        spec = self._engine.models.get(model)
        if spec is None:
            return None
        return obstacles(
            self._engine,
            spec,
            demand,
            self._live_backends,
            self._load_targets,
            self._adapters,
        )

    def _plan_one(
        self,
        spec: ModelSpec,
        rank: LoadRank,
        in_progress: PlannedLoad | None,
        demands: Mapping[str, Demand],
        admission: StoreAdmission,
        plan: dict[str, PlannedLoad],
    ) -> None:
        """Plan the load of one model, if a load is worth it; ``in_progress`` is its
        load in progress, if any."""
        demand = demands.get(spec.name, NO_DEMAND)
        oversubscription = _oversubscription(spec, demand)
        if self._must_wait_for_store(spec, oversubscription, admission.queue):
            admitted = admission.admit(rank, in_progress is not None)
            if admitted and self._has_room(spec, _incremental_demand(rank, demand)):
                admission.record_load(rank)
                plan[spec.name] = _waiting_load(spec, admission.queue.add(spec.load_s))
            return
        begins, _ = admission.queue.preview(spec.load_s, oversubscription)
        option = self._best_option(spec, _incremental_demand(rank, demand), begins)
        if option is None:
            return
        ready, waits_for_store, start_reason = option.ready_in_s, False, None
        if option.from_store:
            if not admission.admit(rank, in_progress is not None):
                return
            if spec.name in self._copies and admission.defers_to_uncopied(spec):
                _, ends = interval = admission.queue.preview(spec.load_s)
                if not self._plan_move(spec, ends, demands, plan):
                    plan[spec.name] = _waiting_load(spec, interval)
                return
            admission.record_load(rank)
            start_reason = admission.queue.start_reason(spec.load_s, oversubscription)
            begins, ends = admission.queue.add(spec.load_s, oversubscription)
            waits_for_store = begins > 0
            ready += ends - spec.load_s
        elif not _is_worthwhile(option, in_progress):
            return
        if self._plan_move(spec, ready, demands, plan):
            return
        plan[spec.name] = PlannedLoad(
            spec.name,
            option.load_target.instance,
            ready,
            request_now=option.load_target.is_free and not waits_for_store,
            from_store=option.from_store,
            start_reason=start_reason,
        )
        if not waits_for_store:
            self._reserve(option)

    def _store_queue(
        self, demands: Mapping[str, Demand], store_ends: Collection[float]
    ) -> StoreQueue:
        """The loads from the weight store.

        While there are calls, half of the engines are reserved for loads from copies:
        these serve a call in time, and an engine in a long load can use none of its
        copies until it ends.
        """
        if not any([demand.rate for demand in demands.values()]):
            return StoreQueue(self.store_loads, store_ends)
        max_loads = max(1, len(self._load_targets) // ENGINES_PER_LONG_LOAD)
        allow_probe = self._allows_probe and self.store_loads < max_loads
        return StoreQueue(min(self.store_loads, max_loads), store_ends, allow_probe)

    def _survey_fleet(
        self, now: float, live_backends: list[Backend], demands: Mapping[str, Demand]
    ) -> Counter[str]:
        """Compute what all models of a plan share; returns how many engines have copies
        of each model."""
        copies: Counter[str] = Counter()
        copied_at = {}
        for backend in live_backends:
            copied_at[backend.instance] = names = models_with_copy(backend)
            copies.update(names)
        self._load_targets = [
            self._load_target(backend)
            for backend in live_backends
            if backend.accepts_orders(now)
        ]
        self._adapters = AdapterAvailability(self._engine, self._load_targets, demands)
        self._copies = targets_with_copy(self._load_targets)
        single_copies = {name for name, count in copies.items() if count == 1}
        for load_target in self._load_targets:
            instance, held = load_target.instance, load_target.held
            only_copies = self._only_copies_at[instance] = (
                single_copies & copied_at[instance]
            )
            self._unavailable_counts[instance] = sum(
                [name not in held for name in only_copies]
            )
        return copies

    def _loads_in_progress(
        self, live_backends: list[Backend]
    ) -> dict[str, PlannedLoad]:
        found: dict[str, PlannedLoad] = {}
        for backend in live_backends:
            loading = backend.engine.loading
            if loading is not None:
                found[loading.model] = PlannedLoad(
                    loading.model,
                    backend.instance,
                    self._left_s(backend),
                    request_now=False,
                    from_store=loading.from_store,
                )
        return found

    def _plan_move(
        self,
        spec: ModelSpec,
        ready_in_s: float,
        demands: Mapping[str, Demand],
        plan: dict[str, PlannedLoad],
    ) -> bool:
        """Plan to make room for an awaited model at its copy by moving another model,
        if that is much sooner than ``ready_in_s``."""
        if demands.get(spec.name, NO_DEMAND).waiting < MIN_WAITING_CALLS:
            return False
        in_progress = {
            load.model: load.ready_in_s for load in plan.values() if not load.from_store
        }
        move = find_move(self._engine, spec, self._copies, demands, in_progress)
        if move is None or move.ready_in_s + MIN_MOVE_GAIN_S > ready_in_s:
            return False
        if move.target is not None:
            move.target.planned_loads += 1
            plan[move.moved.name] = PlannedLoad(
                move.moved.name,
                move.target.instance,
                move.moved_in_s,
                request_now=True,
                from_store=False,
            )
        move.vacated.planned_loads += 1
        plan[spec.name] = PlannedLoad(
            spec.name,
            move.vacated.instance,
            move.ready_in_s,
            request_now=False,
            from_store=False,
        )
        return True

    def _load_target(self, backend: Backend) -> LoadTarget:
        state = backend.engine
        free_in = 0.0
        if state.loading is not None:
            free_in = max(ORDER_OVERHEAD_S, self._left_s(backend))
        elif state.busy:
            free_in = CALL_DURATION_S
        return LoadTarget(backend, free_in)

    def _must_wait_for_store(
        self, spec: ModelSpec, oversubscription: Oversubscription, queue: StoreQueue
    ) -> bool:
        """Whether no engine has a copy to load the model from, and the weight store
        can't serve it now. That holds for most models of a long plan; comparing all
        engines for these would be wasted time."""
        if spec.name in self._copies:
            return False
        return not queue.can_start(spec.load_s, oversubscription)

    def _has_room(self, spec: ModelSpec, demand: Demand) -> bool:
        """Whether some engine could make room for a load from the store."""
        return any(
            spec.name not in load_target.held
            and self._may_use_store(spec, load_target)
            and self._adapters.blocked_calls(load_target, spec.load_s) <= demand.value
            and load_target.victims(self._engine, spec, demand, spec.load_s) is not None
            for load_target in self._load_targets
        )

    def _may_use_store(self, spec: ModelSpec, load_target: LoadTarget) -> bool:
        """Whether the engine may load the model from the weight store.

        An engine that doesn't respond can't start the load, and the store would be idle
        until another engine is asked. Its copies remain planned there: it may be back
        sooner than the store would serve their models.
        """
        if load_target.backend.engine.silent:
            return False
        return (spec.name, load_target.instance) not in self._cooling_down

    def _best_option(
        self, spec: ModelSpec, demand: Demand, store_wait_s: float
    ) -> _Option | None:
        """The engine where a load of the model ends first, counting what it costs other
        models and calls as seconds; a load from the weight store starts after
        ``store_wait_s``."""
        best: _Option | None = None
        best_cost_s = float("inf")
        # Engines with a copy come first: a load from a copy rules most other engines
        # out.
        for load_target in (*self._copies.get(spec.name, ()), *self._load_targets):
            if load_target.planned_loads > 2 or spec.name in load_target.held:
                continue
            seconds, from_store = load_target.load_time(spec)
            if from_store and not self._may_use_store(spec, load_target):
                continue
            ready = load_target.free_after_s + seconds + ORDER_OVERHEAD_S
            wait_s = max(0.0, store_wait_s) if from_store else 0.0
            if ready + wait_s > best_cost_s + TIE_MARGIN_S:
                # Checked before the more expensive conditions: half of all engines are
                # excluded here.
                continue
            blocked_calls = self._adapters.blocked_calls(load_target, seconds)
            if blocked_calls > demand.value:
                continue
            victims = load_target.victims(self._engine, spec, demand, seconds)
            if victims is None:
                continue
            ready += victims.wait_s
            cost_s = ready + wait_s
            if seconds > LONG_LOAD_S:
                cost_s += BLOCKED_MODEL_COST_S * self._blocked_by_load(
                    load_target, victims
                )
                at_risk = self._adapters.calls_at_risk(load_target, seconds)
                cost_s += max(
                    BLOCKED_CALL_COST_S * blocked_calls,
                    min(at_risk, MAX_CALLS_AT_RISK_COST_S),
                )
            cost_s = round(cost_s, EQUAL_DECIMALS)
            if cost_s > best_cost_s:
                continue
            if cost_s == best_cost_s:
                instance, other = load_target.instance, best.load_target.instance
                if _weight(spec.name, instance) <= _weight(spec.name, other):
                    continue
            best, best_cost_s = _Option(load_target, ready, from_store), cost_s
        return best

    def _blocked_by_load(self, load_target: LoadTarget, victims: Victims) -> int:
        """How many models are unavailable while a long load blocks this engine: those
        whose only copy it has and that it won't hold."""
        instance = load_target.instance
        only_copies = self._only_copies_at[instance]
        evicted = sum([name in only_copies for name in victims.models])
        return self._unavailable_counts[instance] + evicted

    def _reserve(self, option: _Option) -> None:
        """Reserve an engine for a load that can start there next.

        A load that waits for the store reserves no engine yet. When it did, a dozen
        models in that queue reserved every engine, and none loaded a copy that calls
        waited for.
        """
        self._adapters.reserve(option.load_target, option.ready_in_s)
        option.load_target.planned_loads += 1


def _is_worthwhile(option: _Option, in_progress: PlannedLoad | None) -> bool:
    """Whether a load from a copy is worth it in addition to the one in progress."""
    return (
        in_progress is None
        or option.ready_in_s + MIN_MOVE_GAIN_S <= in_progress.ready_in_s
    )


def _oversubscription(spec: ModelSpec, demand: Demand) -> Oversubscription:
    if demand.waiting >= MANY_WAITING:
        return Oversubscription.MAY_OVERSUBSCRIBE
    if max(demand.waiting, demand.expected_callers) >= MIN_CALLERS_TO_PROBE:
        return Oversubscription.MAY_PROBE
    if demand.expected_callers and demand.unserved_s >= PROBE_AFTER_LOADS * spec.load_s:
        return Oversubscription.MAY_PROBE
    return Oversubscription.MUST_QUEUE


def _waiting_load(spec: ModelSpec, interval: tuple[float, float]) -> PlannedLoad:
    """A load that is queued for the weight store."""
    _, ends = interval
    return PlannedLoad(
        spec.name, "", ends + ORDER_OVERHEAD_S, request_now=False, from_store=True
    )


@lru_cache(WEIGHT_CACHE_SIZE)
def _weight(model: str, instance: str) -> int:
    return rendezvous.weight(model, instance)


def _incremental_demand(rank: LoadRank, demand: Demand) -> Demand:
    """The demand that one more engine would serve: for a model that is already held,
    what that engine would add."""
    if rank is not LoadRank.ADDITIONAL_ENGINE or demand.holders <= 1:
        return demand
    return replace(demand, rate=demand.rate / (demand.holders + 1) ** 2, waiting=0)


def _reported_left_s(backend: Backend) -> float:
    return backend.engine.loading.left_s
