"""What a scenario is made of: the customer's sizes, its models, arrivals and faults.

Files in TOML are checked by pydantic models here and become data classes, from which
the generators draw with a seed. The same seed gives the same arrivals under every
policy.
"""

from __future__ import annotations

import random
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import pydantic

from bambootiller_core.template import ModelPolicy, Template, Weights
from bambootiller_core.types import ModelKey

HERE = Path(__file__).parent
GIB = 2**30


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Group(_Strict):
    """Backend servers of one kind and the models that may be placed on them."""

    name: str
    servers: int = pydantic.Field(ge=1)
    memory_gib: float = pydantic.Field(gt=0)
    models: int = pydantic.Field(ge=1)
    model_gib: tuple[float, float]
    replicas: tuple[int, int]
    warm_up_s: tuple[float, float]
    max_running: int = pydantic.Field(ge=1)


class Sizes(_Strict):
    """The size of one customer's fleet."""

    customer: str
    zones: int = 4
    entries: int = 4
    groups: tuple[Group, ...]
    adapters: int
    transfer_s: tuple[float, float]
    full_speed_loads: int = 4
    cold_second: float
    idle_second: float
    batch_share: float = 0.2


class Fault(_Strict):
    """Something that fails at ``at`` seconds for ``lasts`` seconds."""

    kind: Literal["zone_lost", "store_slow", "key_value_down"]
    at: float
    lasts: float = 1e9
    factor: float = 1.0


class ScenarioFile(_Strict):
    """A scenario as its file says it; ``arrivals`` are generators' settings."""

    name: str
    title: str
    about: str
    horizon_s: float
    seed: int = 1
    report_lag_s: float = 0.0
    arrivals: tuple[dict[str, Any], ...]
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class ModelFacts:
    """A model and what the engines' models need to know about it."""

    key: ModelKey
    policy: ModelPolicy
    group: str
    transfer_s: float
    warm_up_s: float

    @property
    def bare_load_s(self) -> float:
        """A load from the remote store with nothing else going on."""
        return self.transfer_s + self.warm_up_s


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """A backend server: its name, zone and memory."""

    instance: str
    zone: str
    group: str
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class World:
    """A customer's fleet, drawn from its sizes with a seed."""

    sizes: Sizes
    template: Template
    models: tuple[ModelFacts, ...]
    servers: tuple[ServerFacts, ...]
    by_key: dict[ModelKey, ModelFacts] = field(default_factory=dict, repr=False)

    def of_group(self, index: int) -> tuple[ModelFacts, ...]:
        """The models of the customer's group at ``index``, most used first."""
        name = self.sizes.groups[index].name
        return tuple(model for model in self.models if model.group == name)


def load_sizes(name: str) -> Sizes:
    """Read ``sizes/NAME.toml``."""
    text = (HERE / "sizes" / f"{name}.toml").read_text()
    return Sizes.model_validate(tomllib.loads(text))


def load_scenario(path: Path) -> ScenarioFile:
    """Read a scenario file."""
    return ScenarioFile.model_validate(tomllib.loads(path.read_text()))


def load_scenario_named(name: str) -> ScenarioFile:
    """Read ``scenarios/NAME.toml``."""
    return load_scenario(HERE / "scenarios" / f"{name}.toml")


def all_scenarios() -> tuple[ScenarioFile, ...]:
    """The scenarios that ship with the experiments, by file name."""
    return tuple(load_scenario(path) for path in sorted(HERE.glob("scenarios/*.toml")))


def build_world(sizes: Sizes, rng: random.Random) -> World:
    """Draw models and servers; adapters are dealt to the models in turn."""
    models: list[ModelFacts] = []
    servers: list[ServerFacts] = []
    for group in sizes.groups:
        models += _models(sizes, group, rng)
        servers += _servers(sizes, group, offset=len(servers))
    adapters = _deal(sizes.adapters, [facts.key.model for facts in models])
    models = [_with_adapters(facts, adapters[facts.key.model]) for facts in models]
    template = Template(
        customer=sizes.customer,
        version=1,
        models={facts.key.model: facts.policy for facts in models},
        weights=Weights(sizes.cold_second, sizes.idle_second),
        batch_share=sizes.batch_share,
    )
    by_key = {facts.key: facts for facts in models}
    return World(sizes, template, tuple(models), tuple(servers), by_key)


def _models(sizes: Sizes, group: Group, rng: random.Random) -> list[ModelFacts]:
    made = []
    for index in range(group.models):
        gib = rng.uniform(*group.model_gib)
        share = (gib - group.model_gib[0]) / max(
            1e-9, group.model_gib[1] - group.model_gib[0]
        )
        transfer = _between(sizes.transfer_s, share)
        warm_up = _between(group.warm_up_s, share)
        name = f"{group.name}-{index:02d}"
        policy = ModelPolicy(
            name=name,
            replicas=rng.randint(*group.replicas),
            memory_bytes=int(gib * GIB),
            adapter_bytes=GIB // 8,
            load_ms=round((transfer + warm_up) * 1000),
            max_running=group.max_running,
            token_ms=rng.uniform(15.0, 30.0),
        )
        key = ModelKey(sizes.customer, name)
        made.append(ModelFacts(key, policy, group.name, transfer, warm_up))
    return made


def _between(bounds: tuple[float, float], share: float) -> float:
    return bounds[0] + share * (bounds[1] - bounds[0])


def _servers(sizes: Sizes, group: Group, offset: int) -> list[ServerFacts]:
    return [
        ServerFacts(
            f"{group.name}-b{index:02d}",
            f"az-{(offset + index) % sizes.zones + 1}",
            group.name,
            int(group.memory_gib * GIB),
        )
        for index in range(group.servers)
    ]


def _deal(adapters: int, names: list[str]) -> dict[str, frozenset[str]]:
    dealt: dict[str, set[str]] = {name: set() for name in names}
    for index in range(adapters):
        dealt[names[index % len(names)]].add(f"adapter-{index:03d}")
    return {name: frozenset(some) for name, some in dealt.items()}


def _with_adapters(facts: ModelFacts, adapters: frozenset[str]) -> ModelFacts:
    policy = facts.policy
    changed = ModelPolicy(
        name=policy.name,
        replicas=policy.replicas,
        memory_bytes=policy.memory_bytes,
        adapters=adapters,
        adapter_bytes=policy.adapter_bytes,
        load_ms=policy.load_ms,
        max_running=policy.max_running,
        token_ms=policy.token_ms,
    )
    return ModelFacts(
        facts.key, changed, facts.group, facts.transfer_s, facts.warm_up_s
    )
