"""Replays refused callers of rarely used models in virtual time, with the real demand
tracker and planner.

More models are called than the engines can hold. Some have no copy on any engine and
are loaded from a weight store that serves one load at a time. A caller whose model
isn't loaded in time is refused, and returns once.
"""

import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bambootiller_core.gateway.demand_tracker import DemandTracker
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.entry_reports import MIN_RESIDENCY_S
from bambootiller_core.gateway.load_targets import (
    choose_victims,
    keep_values,
    models_with_copy,
)
from bambootiller_core.gateway.model_demand import NO_DEMAND
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

TICK_S = 0.1
DISK_S, CALL_DURATION_S = 0.4, 0.5
#: A caller whose model is ready later than this is refused. Seconds.
MAX_WAIT_S = 4.0
#: After at most this time a refused caller returns. Seconds.
MAX_COME_BACK_S = 6.0
MODELS_PER_ENGINE = 3


@dataclass
class Engine:
    """One engine of the replay."""

    name: str
    copies: set
    held: dict = field(default_factory=dict)  # model -> when its last run ends
    adapters: dict = field(default_factory=lambda: defaultdict(set))
    loaded_at: dict = field(default_factory=dict)
    loading: str = ""
    ends_at: float = 0.0
    from_store: bool = False


@dataclass
class Caller:
    """One call.

    ``will_return`` is whether its caller returns after a refusal, ``missed_adapter``
    whether no engine had its adapter, and ``left_s`` the time until the caller gives
    up, in seconds.
    """

    model: str
    adapter: str
    arrived: float
    will_return: bool = True
    missed_adapter: bool = False
    left_s: float = math.inf


@dataclass(frozen=True)
class StoreLoadStart:
    """The start of a load from the store.

    ``callers`` is the number of the model's callers who wait or are expected back,
    ``max_other_callers`` the highest such number of another model without a copy.
    """

    at: float
    model: str
    callers: int
    max_other_callers: int


@dataclass(frozen=True)
class CallerTimeouts:
    """How long callers wait for their model at a time, after which delay they return
    at the latest, and how much time they have in all. Seconds.

    Refused callers return when they are told to, but within ``max_return_delay_s`` and
    a third of the time that they have left.
    """

    max_wait_s: float = MAX_WAIT_S
    max_return_delay_s: float = MAX_COME_BACK_S
    total_time_s: float = math.inf


class RefusalReplay:
    """One seeded trace.

    ``rates`` are calls per second by model, ``copied`` the models that have a copy at
    the start. If ``adapters`` isn't 0, each call names one of that many adapters.
    ``shifts`` are pairs of a time and the rates from then on.
    """

    def __init__(
        self,
        seed,
        engines,
        rates,
        copied,
        load_s=2.5,
        adapters=0,
        store_loads=1,
        timeouts=CallerTimeouts(),
        shifts=(),
    ):
        self._rng = random.Random(seed)
        self._rates = rates
        self._shifts = list(shifts)
        self._timeouts = timeouts
        self._adapters = adapters
        self._load_s = load_s
        self._store_loads = store_loads
        models = [
            samples.model(name, load_s=load_s, disk_s=DISK_S, adapters=adapters)
            for name in rates
        ]
        self.spec = samples.engine(*models, memory_mb=40.0 * MODELS_PER_ENGINE)
        self.engines = [
            Engine(f"b{number}", set(copied[number::engines]))
            for number in range(engines)
        ]
        for engine in self.engines:
            engine.held = {
                name: 0.0 for name in sorted(engine.copies)[:MODELS_PER_ENGINE]
            }
        self.demand_tracker = DemandTracker()
        self._waiting = []
        self._returning = []
        self.now = 0.0
        #: When each call ended and whether it was served, by model and adapter.
        self.call_ends = defaultdict(list)
        #: Times at which no load from the store was in progress, though a caller of a
        #: model without any copy had been refused within the last second. Seconds.
        self.store_idle_times = []
        #: The loads from the store, in the order in which they started.
        self.store_load_starts = []
        self._plan = {}

    def run(self, seconds, losses=()):
        """Runs the replay; ``losses`` are pairs of a time and of a model of which all
        engines lose their copies then."""
        losses = sorted(losses)
        while self.now < seconds:
            while losses and losses[0][0] <= self.now:
                self._lose_copies(losses.pop(0)[1])
            while self._shifts and self._shifts[0][0] <= self.now:
                _, self._rates = self._shifts.pop(0)
            self._end_loads()
            self._add_arrivals()
            self._serve_held()
            self._start_planned_loads()
            self._serve()
            self._record_store_idle()
            self.now = round(self.now + TICK_S, 1)

    def starved(self, min_calls=4, span_s=8.0):
        """Returns the models and adapters that were called at least this often, over at
        least this time, and never served."""
        return [
            key
            for key, ends in sorted(self.call_ends.items())
            if len(ends) >= min_calls
            and ends[-1][0] - ends[0][0] >= span_s
            and not any(served for _, served in ends)
        ]

    def longest_store_idle_s(self):
        """Returns the longest time during which the store was idle though a load from
        it was needed."""
        longest = idle_ticks = 0
        for before, at in zip(
            [float("-inf"), *self.store_idle_times], self.store_idle_times
        ):
            idle_ticks = idle_ticks + 1 if at - before < 1.5 * TICK_S else 1
            longest = max(longest, idle_ticks)
        return longest * TICK_S

    def _lose_copies(self, model):
        for engine in self.engines:
            engine.copies.discard(model)
            engine.held.pop(model, None)

    def _add_arrivals(self):
        arrived = [caller for at, caller in self._returning if at <= self.now]
        self._returning = [pair for pair in self._returning if pair[0] > self.now]
        for model, rate in self._rates.items():
            if self._rng.random() < rate * TICK_S:
                adapter = ""
                if self._adapters:
                    adapter = f"a{self._rng.randrange(self._adapters)}"
                left_s = self._timeouts.total_time_s
                arrived.append(Caller(model, adapter, self.now, left_s=left_s))
        for caller in arrived:
            caller.arrived = self.now
            self.demand_tracker.record_call(self.now, caller.model)
            self.demand_tracker.begin_waiting(self.now, caller.model)
            self._waiting.append(caller)

    def _serve_held(self):
        """Serves the waiting calls whose model and adapter are loaded."""
        still_waiting = []
        for caller in self._waiting:
            engine = self._holder(caller)
            if engine is None:
                still_waiting.append(caller)
                continue
            engine.held[caller.model] = self.now + CALL_DURATION_S
            self._record_end(caller, served=True)
        self._waiting = still_waiting

    def _serve(self):
        self._serve_held()
        still_waiting = []
        for caller in self._waiting:
            if self._is_in_time(caller):
                still_waiting.append(caller)
            else:
                self._refuse(caller)
        self._waiting = still_waiting

    def _holder(self, caller):
        holders = [engine for engine in self.engines if caller.model in engine.held]
        for engine in holders:
            if not caller.adapter or caller.adapter in engine.adapters[caller.model]:
                return engine
        for engine in holders:
            if not engine.loading:
                engine.adapters[caller.model].add(caller.adapter)
                return engine
        if holders and not caller.missed_adapter:
            caller.missed_adapter = True
            self.demand_tracker.adapter_missed(self.now, caller.model)
        return None

    def _is_in_time(self, caller):
        max_wait_s = min(self._timeouts.max_wait_s, caller.left_s)
        left_s = caller.arrived + max_wait_s - self.now
        holders = [engine for engine in self.engines if caller.model in engine.held]
        if holders:
            return min(engine.ends_at for engine in holders) - self.now < left_s
        load = self._plan.get(caller.model)
        return load is not None and load.ready_in_s < left_s

    def _refuse(self, caller):
        load = self._plan.get(caller.model)
        ready_in_s = load.ready_in_s if load is not None else MAX_COME_BACK_S
        left_s = caller.left_s - (self.now - caller.arrived)
        max_delay_s = min(self._timeouts.max_return_delay_s, left_s / 3)
        come_back_s = min(max(0.2, ready_in_s), max_delay_s)
        expected_s = come_back_s if caller.will_return else None
        self.demand_tracker.refused(
            self.now, caller.model, come_back_s, returns_in_s=expected_s
        )
        self._record_end(caller, served=False)
        if caller.will_return:
            left_s -= come_back_s
            returning = Caller(
                caller.model, caller.adapter, 0.0, will_return=False, left_s=left_s
            )
            self._returning.append((self.now + come_back_s, returning))

    def _record_end(self, caller, served):
        self.demand_tracker.end_waiting(caller.arrived, caller.model)
        if not served:
            self.demand_tracker.unserved(caller.arrived, caller.model)
        self.call_ends[(caller.model, caller.adapter)].append((self.now, served))

    def _end_loads(self):
        for engine in self.engines:
            if engine.loading and engine.ends_at <= self.now:
                engine.held[engine.loading] = self.now
                engine.loaded_at[engine.loading] = self.now
                engine.copies.add(engine.loading)
                engine.loading = ""

    def _start_planned_loads(self):
        backends = [self._backend(engine) for engine in self.engines]
        holders, copies = defaultdict(int), defaultdict(int)
        for backend in backends:
            for name in backend.holdings:
                holders[name] += 1
            for name in models_with_copy(backend):
                copies[name] += 1
        demands = self.demand_tracker.demands(self.now, holders, copies)
        backends = [self._backend(engine, demands) for engine in self.engines]
        planner = Planner(self.spec, self._store_loads)
        self._plan = planner.plan(self.now, backends, demands)
        by_name = {engine.name: engine for engine in self.engines}
        for load in self._plan.values():
            engine = by_name.get(load.instance)
            if load.request_now and not engine.loading:
                self._load(engine, load.model, demands)

    def _backend(self, engine, demands=None):
        loading = None
        if engine.loading:
            left_s = max(0.0, engine.ends_at - self.now)
            loading = Loading(engine.loading, left_s, engine.from_store)
        held = {name: frozenset(engine.adapters[name]) for name in engine.held}
        state = samples.engine_state(
            engine.name,
            adapters=held,
            loading=loading,
            busy=loading is not None,
            on_disk=frozenset(engine.copies),
            in_use={name: 1 for name, ends in engine.held.items() if ends > self.now},
            keep_values=keep_values(engine.held, demands or {}),
            memory_mb_used=40.0 * (len(engine.held) + bool(loading)),
        )
        return samples.backend(engine.name, self.now, state, service="llm")

    def _load(self, engine, model, demands):
        need_mb = 40.0 * (len(engine.held) + 1) - self.spec.memory_mb
        values = keep_values(engine.held, demands)
        for name in engine.held:
            if self.now - engine.loaded_at.get(name, -1.0) < MIN_RESIDENCY_S:
                values[name] = float("inf")
        victims = choose_victims(
            self.spec,
            {name: frozenset() for name in engine.held},
            need_mb,
            {name: 1 for name, ends in engine.held.items() if ends > self.now},
            values,
            demands.get(model, NO_DEMAND),
            self._load_s,
        )
        if victims is None:
            return
        begins = max([engine.held.pop(name) for name in victims.models], default=0.0)
        for name in victims.models:
            engine.adapters[name].clear()
        engine.loading, engine.from_store = model, model not in engine.copies
        seconds = self._load_s if engine.from_store else DISK_S
        engine.ends_at = max(self.now, begins) + seconds
        if engine.from_store:
            self.store_load_starts.append(self._store_load_start(model))

    def _store_load_start(self, model):
        copied = {name for engine in self.engines for name in engine.copies}
        loading = {engine.loading for engine in self.engines}
        waiting = [caller.model for caller in self._waiting]
        count = Counter(waiting + [caller.model for _, caller in self._returning])
        others = [
            count[name]
            for name in self.spec.models
            if name != model and name not in copied | loading
        ]
        return StoreLoadStart(self.now, model, count[model], max(others, default=0))

    def _record_store_idle(self):
        if any(engine.loading and engine.from_store for engine in self.engines):
            return
        copied = {name for engine in self.engines for name in engine.copies}
        for (model, _), ends in self.call_ends.items():
            at, served = ends[-1]
            if not served and self.now - at <= 1.0 and model not in copied:
                self.store_idle_times.append(self.now)
                return
