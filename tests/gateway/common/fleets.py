"""Random fleets of engines with random demand; equal seeds give equal fleets."""

import random
from dataclasses import replace

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.engine_state import EngineState, Loading
from bambootiller_core.gateway.fleet import (
    Backend,
    Registration,
)
from bambootiller_core.gateway.load_targets import keep_values
from bambootiller_core.gateway.model_demand import Demand

NOW = 100.0


def _models(rng, tight):
    load_s = 13.2 if tight else rng.choice((1.2, 6.0, 13.2))
    count = 12 if tight else rng.choice((3, 12, 40, 136))
    return [
        ModelSpec(
            f"m{number}",
            rng.uniform(10_000, 70_000),
            load_s * rng.choice((1.0, 1.0, 0.7)),
            rng.choice((0.8, 1.5, 2.0)),
            0.4,
            rng.choice((0, 0, 2)),
            rng.choice((100.0, 4_000.0)),
        )
        for number in range(count)
    ]


def _sample_up_to(rng, names, max_count):
    return rng.sample(names, min(len(names), rng.randint(0, max_count)))


def _engine(rng, number, spec, demands, tight):
    # The last name isn't in the configuration.
    names = [*spec.models, "unknown"]
    candidates = names[: rng.choice((4, 40, len(names)))]
    held = {}
    for name in _sample_up_to(rng, candidates, rng.choice((2, 4))):
        adapters = range(rng.choice((0, 0, 1, 3)))
        held[name] = frozenset(f"a{adapter}" for adapter in adapters)
    loading = None
    if rng.random() < 0.2:
        loading = Loading(rng.choice(names), rng.uniform(0.0, 9.0), rng.random() < 0.6)
    used = sum(
        spec.models[name].size_mb + len(adapters) * spec.models[name].adapter_mb
        for name, adapters in held.items()
        if name in spec.models
    )
    in_use_probability = 0.9 if tight else 0.4
    values = keep_values(held, demands)
    if rng.random() < 0.3 and not tight:
        values = {name: rng.choice((0.0, 0.3, 0.5, 9.0)) for name in held}
    return EngineState(
        f"i-{number}",
        held,
        loading,
        rng.random() < 0.1,
        frozenset([*held, *_sample_up_to(rng, names, 3)]),
        frozenset(_sample_up_to(rng, names, 9)),
        rng.choice((0, 3, 24)),
        rng.choice((0, 0, 5)),
        used * rng.choice((1.0, 1.0, 1.1)),
        rng.random() < 0.95,
        values,
        {
            name: rng.choice((0, 1, 7, 24))
            for name in held
            if rng.random() < in_use_probability
        },
        rng.random() < 0.05,
    )


def _demands(rng, spec, idle, tight):
    names = [*spec.models, "unknown"]
    if tight:
        # Another model may be moved to make room for one that calls wait for.
        return {
            name: Demand(rng.choice((0.9, 3.0)), rng.choice((0, 0, 0, 2, 6)), 1)
            for name in _sample_up_to(rng, names, len(names))
        }
    return {
        name: Demand(
            0.0 if idle or rng.random() < 0.1 else rng.choice((0.02, 0.5, 5.0, 40.0)),
            0 if idle else rng.choice((0, 0, 0, 1, 2, 3, 6, 30)),
            rng.choice((0, 0, 1, 2, 3)),
            rng.choice((0.0, 0.3, rng.uniform(0.0, 4.0))),
            rng.choice((0, 1, 2, 5)),
        )
        for name in _sample_up_to(rng, names, len(names))
    }


def _with_adapter_misses(rng, spec, demands):
    """Adds to some demands a rate of calls whose adapter no engine has."""
    with_misses = dict(demands)
    for name, demand in demands.items():
        if name in spec.models and spec.models[name].adapters and demand.rate:
            rate = demand.rate * rng.choice((0.0, 0.02, 0.3))
            with_misses[name] = replace(demand, adapter_miss_rate=rate)
    return with_misses


def random_fleet(seed):
    """Returns the engines' settings, the backend servers, the demand for models, and
    how many loads the store serves at full speed."""
    rng = random.Random(seed)
    tight = rng.random() < 0.3
    models = {spec.name: spec for spec in _models(rng, tight)}
    spec = EngineSpec(rng.choice((90_000.0, 200_000.0)), 8, 24, 15.0, models)
    demands = _demands(rng, spec, idle=rng.random() < 0.15, tight=tight)
    demands = _with_adapter_misses(random.Random(f"adapters {seed}"), spec, demands)
    backends = []
    for number in range(rng.choice((1, 3, 9, 29))):
        state = _engine(rng, number, spec, demands, tight)
        leaving = rng.random() < 0.03
        record = Registration(
            f"i-{number}", "s", f"10.0.0.{number}:80", "z", 24, leaving, number
        )
        last_received_at = NOW - rng.choice((0.1, 0.1, 0.1, 0.8, 1.2, 2.0))
        backend = Backend(record, state, last_received_at, rng.choice((0, 2, 30)))
        if rng.random() < 0.03:
            backend.engine = None
        if rng.random() < 0.1:
            backend.mark_unreachable(NOW - 0.5)
        backends.append(backend)
    return spec, backends, demands, rng.choice((1, 2, 4))
