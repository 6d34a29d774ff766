"""What one plan of loads costs an entry.

python -m bambootiller_standins.plancost
python -m bambootiller_standins.plancost --engines 60 --models 300 --wanted 120

The fleet is drawn by a seed: engines that hold three models each of a part of all, with
copies of some more, and demand for a part of all models, with calls waiting for some.
Prints the processor time of a plan; of several rounds the least one tells most, as the
machine's other work only adds to it.
"""

from __future__ import annotations

import random
import statistics
import time

import click

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend, EngineState, Registration
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner

NOW = 100.0
#: Of all models this part is held somewhere.
HELD_SHARE = 0.3
ROUNDS = 15
PLANS = 20


def fleet(
    seed: int, engines: int, models: int, wanted: int
) -> tuple[EngineSpec, list[Backend], dict[str, Demand]]:
    """The engines' settings, the engines, and the demand for models."""
    rng = random.Random(seed)
    specs = [
        ModelSpec(f"m{number}", rng.uniform(34_300, 72_700), 13.2, 1.5, 0.7, 2, 100.0)
        for number in range(models)
    ]
    spec = EngineSpec(200_000, 8, 24, 15, {model.name: model for model in specs})
    names = list(spec.models)
    held = names[: max(3, int(models * HELD_SHARE))]
    backends = [_engine(rng, number, spec, held) for number in range(engines)]
    demands = {
        name: Demand(
            rng.uniform(0.1, 5.0),
            rng.choice((0, 0, 1, 3, 5)),
            rng.choice((0, 1, 2)),
            rng.random(),
            1,
        )
        for name in names[:wanted]
    }
    return spec, backends, demands


def _engine(
    rng: random.Random, number: int, spec: EngineSpec, names: list[str]
) -> Backend:
    instance = f"i-{number}"
    held = {name: frozenset() for name in rng.sample(names, 3)}
    state = EngineState(
        instance,
        held,
        in_memory=frozenset([*held, *rng.sample(list(spec.models), 2)]),
        on_disk=frozenset([*held, *rng.sample(list(spec.models), 8)]),
        running=3,
        memory_mb_used=sum(spec.models[name].size_mb for name in held),
        keep_values={name: 0.5 for name in held},
    )
    record = Registration(instance, "s", f"10.0.0.{number}:80", "z", 24, False, number)
    return Backend(record, state, NOW)


def plan_ms(
    planner: Planner, backends: list[Backend], demands: dict[str, Demand]
) -> float:
    """The processor time of one plan, on average over some."""
    began = time.process_time()
    for _ in range(PLANS):
        planner.plan(NOW, backends, demands)
    return (time.process_time() - began) / PLANS * 1000


@click.command()
@click.option("--engines", default=29, show_default=True)
@click.option("--models", default=136, show_default=True)
@click.option("--wanted", default=60, show_default=True, help="models with demand")
@click.option("--seed", default=1, show_default=True)
def main(engines: int, models: int, wanted: int, seed: int) -> None:
    """Measure the plan of loads."""
    spec, backends, demands = fleet(seed, engines, models, wanted)
    planner = Planner(spec, 1)
    rounds = [plan_ms(planner, backends, demands) for _ in range(ROUNDS)]
    click.echo(
        f"{engines} engines, {models} models, {wanted} wanted, seed {seed}, "
        f"{ROUNDS} rounds of {PLANS} plans: a plan takes {min(rounds):.2f} ms at "
        f"least, {statistics.median(rounds):.2f} ms in the middle"
    )


if __name__ == "__main__":
    main()
