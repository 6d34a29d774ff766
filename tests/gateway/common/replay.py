"""Replays calls for rarely used models in virtual time, with the real planner.

Engines here load one model at a time, from a copy on their own disk or from a weight
store that serves a few loads at full speed. Before a model is evicted its calls end.
There is no network: calls arrive by a seeded trace, and each is served as soon as an
engine holds its model.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

from bambootiller_core.gateway.demand_tracker import DECAY_S
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.load_targets import choose_victims, keep_values
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import samples

ENGINES = 6
MODELS = 60
#: Models of which one engine has a copy.
COPIED = 40
CALLS_PER_S = 1.2
#: A call is late after the first, and its caller leaves after the second. Seconds.
TARGET_S, MAX_WAIT_S = 4.0, 16.0
#: How long a call runs. Seconds.
CALL_DURATION_S = 2.0
LOAD_S, DISK_S = 6.5, 1.5
STORE_LOADS = 4
LENGTH_S, TICK_S = 40.0, 0.1


@dataclass
class Engine:
    """One engine of the replay."""

    name: str
    copies: set
    held: dict = field(default_factory=dict)  # model -> when its last run ends
    loading: str = ""
    ends_at: float = 0.0
    from_store: bool = False

    def in_use(self, now):
        return {model: 1 for model, ends in self.held.items() if ends > now}


@dataclass
class Outcome:
    """How many calls of a replay were served in time, served late, or abandoned."""

    in_time: int = 0
    late: int = 0
    abandoned: int = 0

    @property
    def served(self):
        return self.in_time + self.late


class Replay:
    """One seeded trace.

    Without ``reports_time_left`` the demand doesn't say how much time is left until
    calls are late, as from entries of an earlier version.
    """

    def __init__(self, seed, reports_time_left=True):
        self._rng = random.Random(seed)
        self._reports_time_left = reports_time_left
        names = [f"m{number}" for number in range(MODELS)]
        models = [samples.model(name, load_s=LOAD_S, disk_s=DISK_S) for name in names]
        self._spec = samples.engine(*models)
        copied = self._rng.sample(names, COPIED)
        self._engines = [
            Engine(f"b{number}", set(copied[number::ENGINES]))
            for number in range(ENGINES)
        ]
        self._names = names
        self._rates = Counter()
        self._waiting = {}
        self.outcome = Outcome()

    def run(self):
        """Runs the replay and returns its outcome."""
        ticks = round(LENGTH_S / TICK_S)
        for tick in range(ticks):
            now = tick * TICK_S
            self._add_arrivals(now)
            self._end_loads(now)
            self._serve(now)
            self._start_planned_loads(now)
        self.outcome.abandoned += sum(map(len, self._waiting.values()))
        return self.outcome

    def _add_arrivals(self, now):
        for model in self._rates:
            self._rates[model] *= 1 - TICK_S / DECAY_S
        if self._rng.random() < CALLS_PER_S * TICK_S:
            model = self._rng.choice(self._names)
            self._rates[model] += 1 / DECAY_S
            self._waiting.setdefault(model, []).append(now)

    def _end_loads(self, now):
        for engine in self._engines:
            if engine.loading and engine.ends_at <= now:
                engine.held[engine.loading] = now
                engine.copies.add(engine.loading)
                engine.loading = ""

    def _serve(self, now):
        for model, since in list(self._waiting.items()):
            holder = next((e for e in self._engines if model in e.held), None)
            if holder is not None:
                del self._waiting[model]
                holder.held[model] = now + CALL_DURATION_S
                for at in since:
                    in_time = now - at <= TARGET_S
                    self.outcome.in_time += in_time
                    self.outcome.late += not in_time
                continue
            still_waiting = [at for at in since if now - at <= MAX_WAIT_S]
            self.outcome.abandoned += len(since) - len(still_waiting)
            self._waiting[model] = still_waiting
            if not still_waiting:
                del self._waiting[model]

    def _demands(self, now):
        demands = {}
        for model, rate in self._rates.items():
            since = self._waiting.get(model, [])
            remaining_s = [at + TARGET_S - now for at in since if at + TARGET_S > now]
            demands[model] = Demand(
                rate,
                len(since),
                sum(model in engine.held for engine in self._engines),
                now - min(since, default=now),
                sum(model in engine.copies for engine in self._engines),
                min(remaining_s, default=0.0) if self._reports_time_left else 0.0,
            )
        return demands

    def _start_planned_loads(self, now):
        demands = self._demands(now)
        backends = [self._backend(now, engine, demands) for engine in self._engines]
        plan = Planner(self._spec, STORE_LOADS).plan(now, backends, demands)
        by_name = {engine.name: engine for engine in self._engines}
        for load in plan.values():
            engine = by_name.get(load.instance)
            if load.request_now and not engine.loading:
                self._load(now, engine, load.model, demands)

    def _backend(self, now, engine, demands):
        loading = None
        if engine.loading:
            left_s = engine.ends_at - now
            loading = Loading(engine.loading, left_s, engine.from_store)
        state = samples.engine_state(
            engine.name,
            engine.held,
            loading=loading,
            busy=loading is not None,
            on_disk=frozenset(engine.copies),
            in_use=engine.in_use(now),
            keep_values=keep_values(engine.held, demands),
            memory_mb_used=40.0 * (len(engine.held) + bool(loading)),
        )
        return samples.backend(engine.name, now, state, service="llm")

    def _load(self, now, engine, model, demands):
        need_mb = 40.0 * (len(engine.held) + 1) - self._spec.memory_mb
        victims = choose_victims(
            self._spec,
            {name: frozenset() for name in engine.held},
            need_mb,
            engine.in_use(now),
            keep_values(engine.held, demands),
            demands.get(model, NO_DEMAND),
            LOAD_S,
        )
        if victims is None:
            return
        begins = max([engine.held.pop(name) for name in victims.models], default=now)
        engine.loading, engine.from_store = model, model not in engine.copies
        seconds = LOAD_S if engine.from_store else DISK_S
        engine.ends_at = max(now, begins) + seconds
