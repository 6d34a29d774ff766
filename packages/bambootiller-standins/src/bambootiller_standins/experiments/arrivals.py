"""Generators of requests, named in scenario files and registered here by a decorator.

People don't call once: a caller who opens an assistant asks a few questions with pauses
to read between them. So the unit is the session, of which every generator makes some.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pydantic

from bambootiller_core.types import ModelKey

from .world import ModelFacts, World


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reaches one of the entries at ``at``; durations are seconds.

    ``tokens`` are those that its answer will have, which nobody knows beforehand;
    ``tag`` names the generator's part that it belongs to.
    """

    at: float
    key: ModelKey
    adapter: str
    caller: str
    priority: int
    standing: float
    batch: bool
    timeout_s: float
    prompt_tokens: int
    tokens: int
    prefix: int
    tag: str


class Caller(pydantic.BaseModel):
    """Settings that all generators share: who calls, how often, with what patience."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    kind: str
    caller: str = "pupil"
    tag: str = "background"
    group: int = 0
    priority: int = 3
    standing: float = 1.0
    batch: bool = False
    timeout_s: float = 30.0
    calls: float = 3.0
    think_s: float = 40.0
    tokens: float = 110.0
    adapter_share: float = 0.3


Generator = Callable[[World, float, dict[str, Any], random.Random], list[Arrival]]
_GENERATORS: dict[str, Generator] = {}


def generator(kind: str) -> Callable[[Generator], Generator]:
    """Register a generator of arrivals under the ``kind`` that scenario files name."""

    def register(function: Generator) -> Generator:
        _GENERATORS[kind] = function
        return function

    return register


def generate(
    world: World, horizon_s: float, items: tuple[dict[str, Any], ...], seed: int
) -> list[Arrival]:
    """All arrivals of a scenario in the order of time."""
    made: list[Arrival] = []
    for index, item in enumerate(items):
        kind = item.get("kind")
        if kind not in _GENERATORS:
            allowed = ", ".join(sorted(_GENERATORS))
            raise ValueError(f"kind of arrivals is {kind!r}; allowed: {allowed}")
        rng = random.Random(f"{seed}/{index}/{kind}")
        made += _GENERATORS[kind](world, horizon_s, item, rng)
    made = [arrival for arrival in made if arrival.at < horizon_s]
    return sorted(made, key=lambda arrival: arrival.at)


class Rare(Caller):
    """Sessions at random times, spread over the models by a power law.

    ``per_hour`` is the rate of sessions over all models of the group. Between
    ``day_start_h`` and ``day_end_h`` all happen, if these are set, weekends excepted.
    """

    per_hour: float
    skew: float = 0.8
    day_start_h: float | None = None
    day_end_h: float | None = None


@generator("rare")
def rare(
    world: World, horizon_s: float, item: dict[str, Any], rng: random.Random
) -> list[Arrival]:
    """Rare calls of many models."""
    cfg = Rare.model_validate(item)
    models = world.of_group(cfg.group)
    weights = [1.0 / (index + 1) ** cfg.skew for index in range(len(models))]
    made: list[Arrival] = []
    at = rng.expovariate(cfg.per_hour / 3600.0)
    while at < horizon_s:
        facts = rng.choices(models, weights)[0]
        if _in_hours(cfg, at):
            made += _session(cfg, facts, at, rng)
        at += rng.expovariate(cfg.per_hour / 3600.0)
    return made


def _in_hours(cfg: Rare, at: float) -> bool:
    if cfg.day_start_h is None or cfg.day_end_h is None:
        return True
    day, second = divmod(at, 86_400.0)
    weekend = day % 7 >= 5
    return not weekend and cfg.day_start_h <= second / 3600.0 < cfg.day_end_h


class Burst(Caller):
    """Many callers open one model, or several, within ``within_s`` seconds of ``at``.

    ``models`` are drawn from the group, each is opened by ``callers``. With ``every_s``
    the burst comes again, as a class does that meets each day, or with ``redraw`` one
    for other models.
    """

    at: float
    callers: int
    models: int = 1
    within_s: float = 2.0
    every_s: float | None = None
    redraw: bool = False
    jitter_s: float = 0.0


@generator("burst")
def burst(
    world: World, horizon_s: float, item: dict[str, Any], rng: random.Random
) -> list[Arrival]:
    """A class, a convoy: many callers of one idle model at once."""
    cfg = Burst.model_validate(item)
    chosen = rng.sample(world.of_group(cfg.group), cfg.models)
    made: list[Arrival] = []
    at = cfg.at
    while at < horizon_s:
        start = at + rng.uniform(-cfg.jitter_s, cfg.jitter_s)
        for facts in chosen:
            for _ in range(cfg.callers):
                opened = start + rng.uniform(0.0, cfg.within_s)
                made += _session(cfg, facts, opened, rng)
        if cfg.every_s is None:
            break
        at += cfg.every_s
        if cfg.redraw:
            chosen = rng.sample(world.of_group(cfg.group), cfg.models)
    return made


class Steady(Caller):
    """Single calls of ``models`` models from ``start`` to ``end``, ``per_second`` each.

    The rate rises evenly to ``rise_to`` times itself at the end, if that is set. With
    ``most_used`` the models are the first of the group, else they are drawn.
    """

    start: float
    end: float
    per_second: float
    models: int = 1
    most_used: bool = False
    rise_to: float = 1.0


@generator("steady")
def steady(
    world: World, horizon_s: float, item: dict[str, Any], rng: random.Random
) -> list[Arrival]:
    """A stream of single calls, as batch work sends them."""
    cfg = Steady.model_validate(item)
    made: list[Arrival] = []
    group = world.of_group(cfg.group)
    drawn = rng.sample(group, cfg.models)
    for facts in group[: cfg.models] if cfg.most_used else drawn:
        at = cfg.start
        while at < min(cfg.end, horizon_s):
            grown = 1.0 + (cfg.rise_to - 1.0) * (at - cfg.start) / (cfg.end - cfg.start)
            at += rng.expovariate(cfg.per_second * grown)
            made.append(_call(cfg, facts, at, rng, rng.getrandbits(63), ""))
    return made


def _session(
    cfg: Caller, facts: ModelFacts, at: float, rng: random.Random
) -> list[Arrival]:
    """One caller's calls: a geometric number, pauses that are log-normal."""
    prefix = rng.getrandbits(63)
    adapter = ""
    if facts.policy.adapters and rng.random() < cfg.adapter_share:
        adapter = rng.choice(sorted(facts.policy.adapters))
    made = [_call(cfg, facts, at, rng, prefix, adapter)]
    while rng.random() < 1.0 - 1.0 / max(1.0, cfg.calls):
        at += 4.0 + rng.lognormvariate(math.log(cfg.think_s), 0.7)
        made.append(_call(cfg, facts, at, rng, prefix, adapter))
    return made


def _call(
    cfg: Caller,
    facts: ModelFacts,
    at: float,
    rng: random.Random,
    prefix: int,
    adapter: str,
) -> Arrival:
    tokens = min(600, max(5, int(rng.lognormvariate(math.log(cfg.tokens), 0.6))))
    return Arrival(
        at=at,
        key=facts.key,
        adapter=adapter,
        caller=cfg.caller,
        priority=cfg.priority,
        standing=cfg.standing,
        batch=cfg.batch,
        timeout_s=cfg.timeout_s,
        prompt_tokens=rng.randint(100, 1500),
        tokens=tokens,
        prefix=prefix,
        tag=cfg.tag,
    )
