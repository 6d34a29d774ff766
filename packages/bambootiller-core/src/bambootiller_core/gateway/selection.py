"""Selects the backend server for a call."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from bambootiller_core import rendezvous
from bambootiller_core.gateway.calls import Call, ModelRequest
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.health import Health

#: The cost of a backend server in another availability zone, in units of a full batch:
#: traffic between zones costs money, and is a little slower.
ZONE_COST = 0.08
#: The cost of each further rank in the order of a model's holders.
RANK_COST = 0.25
#: The cost of each prompt that still waits for its prefill: an engine prefills prompts
#: one after the other, so a burst sent to one engine starts late.
PREFILL_COST = 0.12
#: Random cost, so that all entries don't choose the same one of equal backend servers.
JITTER = 0.04
#: A backend server is full at this multiple of the calls that it runs at once; it would
#: refuse further calls.
MAX_OCCUPANCY = 1.5


def choose(
    now: float,
    call: Call,
    candidates: Iterable[Backend],
    health: Health,
    zone: str,
    rng: random.Random,
) -> Backend | None:
    """The candidate with the lowest cost, or None if all are full.

    One that couldn't be reached a moment ago is chosen only if there is no other: after
    a partition from all of them, some call has to try.
    """
    free = [backend for backend in candidates if not is_full(backend, now)]
    reachable = [
        backend for backend in free if not health.is_avoided(now, backend.incarnation)
    ]
    eligible = reachable or free
    if not eligible:
        return None
    holder_rank = _holder_ranks(call, eligible)

    def cost(backend: Backend) -> float:
        total = backend.occupied(now) / max(1, backend.registration.slots)
        total += health.cost(now, backend.incarnation)
        total += ZONE_COST * (backend.registration.zone != zone)
        total += RANK_COST * holder_rank.get(backend.instance, 0)
        if call.model_request is not None:
            total += PREFILL_COST * backend.engine_pending_prefills(now)
        return total + rng.random() * JITTER

    return min(eligible, key=cost)


def is_full(backend: Backend, now: float) -> bool:
    """Whether one more call would only queue or be refused there."""
    return backend.occupied(now) >= MAX_OCCUPANCY * max(1, backend.registration.slots)


def placement_weight(model_request: ModelRequest, instance: str) -> int:
    """The engine's rendezvous hashing weight for the placement of an adapter; all
    entries prefer the engine with the greatest weight."""
    return rendezvous.weight(f"{model_request.model}/{model_request.adapter}", instance)


def _holder_ranks(call: Call, eligible: Sequence[Backend]) -> dict[str, int]:
    """The rank of each engine in the order in which all entries use a model's holders.

    Calls of one model go to the first of its holders, as long as that isn't much busier
    than the next. So the shared parts of their prompts are prefilled once, and the
    further holders become idle and can unload the model for one that no engine holds.
    """
    if call.model_request is None:
        return {}
    names = rendezvous.ranked(
        call.model_request.model, [backend.instance for backend in eligible]
    )
    return {name: rank for rank, name in enumerate(names)}
