"""Which backend server a call goes to."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from bambootiller_core import rendezvous
from bambootiller_core.gateway.calls import Call, ModelRequest
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.health import Health

#: What another availability zone costs, in units of a full batch: traffic between zones
#: is paid for, and takes a little longer.
ZONE_COST = 0.08
#: What it costs to be one place later among the holders of a model.
RANK_COST = 0.25
#: What each prompt costs that the engine has still to read: it reads them one after
#: the other, so a burst that gathers at one engine begins late.
PREFILL_COST = 0.12
#: Equal backend servers are drawn from, or all entries would choose the same one.
JITTER = 0.04
#: An entry has no more of its own calls at a backend server than this many times what
#: it serves at once; more would be refused there.
MAX_OCCUPANCY = 1.5


def choose(
    now: float,
    call: Call,
    candidates: Iterable[Backend],
    health: Health,
    zone: str,
    rng: random.Random,
) -> Backend | None:
    """The best of the candidates, or None if each has as much as it can take.

    One that couldn't be reached a moment ago is taken only if there is no other: after
    a cut that takes all of them, somebody has to try.
    """
    free = [backend for backend in candidates if not is_full(backend, now)]
    reachable = [
        backend for backend in free if not health.avoided(now, backend.incarnation)
    ]
    able = reachable or free
    if not able:
        return None
    holder_rank = _holder_ranks(call, able)

    def cost(backend: Backend) -> float:
        total = backend.occupied(now) / max(1, backend.registration.slots)
        total += health.cost(now, backend.incarnation)
        total += ZONE_COST * (backend.registration.zone != zone)
        total += RANK_COST * holder_rank.get(backend.instance, 0)
        if call.ask is not None:
            total += PREFILL_COST * backend.engine_pending_prefills(now)
        return total + rng.random() * JITTER

    return min(able, key=cost)


def is_full(backend: Backend, now: float) -> bool:
    """Whether one more call would only wait or be refused there."""
    return backend.occupied(now) >= MAX_OCCUPANCY * max(1, backend.registration.slots)


def placement_weight(ask: ModelRequest, instance: str) -> int:
    """How early an engine comes in the order in which all entries seek a home for an
    adapter; the greatest weight is first."""
    return rendezvous.weight(f"{ask.model}/{ask.adapter}", instance)


def _holder_ranks(call: Call, able: Sequence[Backend]) -> dict[str, int]:
    """The place of each engine in the order in which all entries use a model's holders.

    Calls of one model gather at the first of its holders, as long as that isn't much
    busier than the next. The shared parts of their prompts are then read once, and the
    further holders fall idle and make room for models that nobody holds.
    """
    if call.ask is None:
        return {}
    names = rendezvous.ranked(call.ask.model, [backend.instance for backend in able])
    return {name: place for place, name in enumerate(names)}
