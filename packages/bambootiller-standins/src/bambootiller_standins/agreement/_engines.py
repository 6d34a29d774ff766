"""The engine stand-in's settings that match the experiments' model of an engine."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bambootiller_core.backend_effects import engine_name
from bambootiller_core.types import Tier as CoreTier
from bambootiller_standins.agreement._scenarios import PROMPT_TOKENS
from bambootiller_standins.engine import EngineConfig, LoadTimes, ModelConfig, Tier
from bambootiller_standins.experiments import enginemodel as model
from bambootiller_standins.experiments.arrivals import Arrival
from bambootiller_standins.experiments.fleet import ON_DISK_SHARE
from bambootiller_standins.experiments.world import ModelFacts, ServerFacts, World

MS = 1000.0
REPORT_EVERY_MS = 50.0


def engine_config(
    world: World, server: ServerFacts, arrivals: Sequence[Arrival], seed: int
) -> EngineConfig:
    """The settings of the engine on ``server``.

    The stand-in has one token time for all models; it gets the mean of those that are
    called, weighted by their calls.
    """
    disks = on_disk(world, seed)[server.instance]
    token_ms = sum(
        world.by_key[arrival.key].policy.token_ms for arrival in arrivals
    ) / len(arrivals)
    return EngineConfig(
        memory_total=server.memory_bytes,
        models={
            engine_name(facts.key): _model(facts, engine_name(facts.key) in disks)
            for facts in world.models
        },
        unload_ms=model.UNLOAD_S * MS,
        host_memory_models=model.MEMORY_TIER_MODELS,
        token_ms=token_ms,
        token_ms_per_running=token_ms * model.BATCH_SLOWDOWN,
        prefill_ms=PROMPT_TOKENS * model.PREFILL_TOKEN_S * MS,
        cached_prefill_ms=0.0,
        max_batch=max(facts.policy.max_running for facts in world.models),
        report_every_ms=REPORT_EVERY_MS,
        order_delay_ms=0.0,
    )


def on_disk(world: World, seed: int) -> dict[str, frozenset[str]]:
    """The checkpoints that lie on each server's disk at the start.

    The same draws as the experiments' own, in the same order; a test holds the two
    against each other.
    """
    rng = random.Random(f"{seed}/disks")
    found = {}
    for server in world.servers:
        found[server.instance] = frozenset(
            engine_name(facts.key)
            for facts in world.models
            if facts.group == server.group and rng.random() < ON_DISK_SHARE
        )
    return found


def _model(facts: ModelFacts, disk: bool) -> ModelConfig:
    warm_up = facts.warm_up_s
    memory = facts.transfer_s * model.TIER_SHARE[CoreTier.MEMORY]
    memory += warm_up * model.WARM_UP_SHARE[CoreTier.MEMORY]
    # The stand-in's load from the store is the transfer and then the step from the
    # disk, the model's is the transfer and the warm-up. So that step is the warm-up,
    # except where the first load comes from the disk.
    step = warm_up
    if disk:
        step += facts.transfer_s * model.TIER_SHARE[CoreTier.DISK]
    return ModelConfig(
        memory_bytes=facts.policy.memory_bytes,
        tier=Tier.DISK if disk else Tier.REMOTE,
        load_ms=LoadTimes(
            memory=memory * MS, disk=step * MS, remote=facts.transfer_s * MS
        ),
    )
