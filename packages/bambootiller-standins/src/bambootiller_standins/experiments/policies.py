"""The policies that a scenario is run under: the project's own, and the baselines.

A policy says how entries rank the holders of a model, and what is put in place of the
core's own parts in each agent. All else, admission, memory, slots, is the same for all.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bambootiller.entry.relay.core import RelayCore
from bambootiller_core import routing
from bambootiller_core.backend import BackendCore
from bambootiller_core.routing import Candidate
from bambootiller_core.types import LoadFigures, ModelKey, Request

from .excess import ExcessRouter
from .patience import ImpatientRelay
from .replacements import (
    FixedKeepAlive,
    ForeverKeepAlive,
    install_arrival_order,
    install_keepalive,
)


class CoreRouter:
    """The core's own ranking."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def saw(self, now: float, key: ModelKey) -> None:
        """A request for ``key`` arrived at this entry."""

    def rank(
        self, now: float, req: Request, zone: str, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """The candidates in the order in which to try them."""
        return routing.rank(req, zone, candidates, self._rng)


class LeastLoadedRouter(CoreRouter):
    """Loaded replicas before others, among them the one with the fewest requests.

    Ties, and so all replicas of an idle model, are broken at random.
    """

    def rank(self, now, req, zone, candidates):
        order = list(candidates)
        self._rng.shuffle(order)
        return sorted(order, key=lambda cand: (not routing.is_warm(cand), _load(cand)))


class NoAgreementRouter(CoreRouter):
    """The core's ranking without the order that entries share for cold replicas."""

    def rank(self, now, req, zone, candidates):
        warm = [cand for cand in candidates if routing.is_warm(cand)]
        cold = [cand for cand in candidates if not routing.is_warm(cand)]
        if warm:
            return routing.rank(req, zone, candidates, self._rng)
        self._rng.shuffle(cold)
        return cold


def _load(cand: Candidate) -> int:
    figures = cand.figures or LoadFigures()
    return figures.running + figures.waiting + cand.in_flight


def _as_it_is(core: BackendCore) -> None:
    """Leave the core's own parts in place."""


@dataclass(frozen=True, slots=True)
class Policy:
    """One way to decide. ``preload`` loads all slots that fit before the run begins."""

    name: str
    about: str
    router: Callable[[random.Random], CoreRouter] = CoreRouter
    prepare: Callable[[BackendCore], None] = _as_it_is
    relay: type[RelayCore] = RelayCore
    preload: bool = False
    baseline: bool = True


_POLICIES: dict[str, Policy] = {}

#: The policy that is measured against all the others.
OWN = "bambootiller"


def register(policy: Policy) -> Policy:
    """Add a policy to those that every scenario is run under."""
    _POLICIES[policy.name] = policy
    return policy


def policies() -> tuple[Policy, ...]:
    """All policies, the project's own first."""
    return tuple(_POLICIES.values())


def policy(name: str) -> Policy:
    """The policy called ``name``."""
    return _POLICIES[name]


def _keep(seconds: float) -> Callable[[BackendCore], None]:
    return lambda core: install_keepalive(core, FixedKeepAlive(seconds))


register(Policy(OWN, "the core's own decisions", baseline=False))
register(
    Policy(
        "always-loaded",
        "all slots that fit are loaded at the start; unloaded only to make room",
        LeastLoadedRouter,
        lambda core: install_keepalive(core, ForeverKeepAlive()),
        preload=True,
    )
)
for _minutes in (1, 10, 60):
    register(
        Policy(
            f"keep-{_minutes}-min",
            f"unloaded after {_minutes} min without requests; least-loaded routing",
            LeastLoadedRouter,
            _keep(60.0 * _minutes),
        )
    )
register(
    Policy(
        "no-coalescing",
        "the core's decisions, but entries don't agree on which cold replica to load",
        NoAgreementRouter,
    )
)
register(
    Policy(
        "arrival-order",
        "the core's decisions, but requests are served first come, first served",
        prepare=install_arrival_order,
    )
)
register(
    Policy(
        "excess-only",
        "the core's decisions, but only the load in excess of the warm replicas' "
        "capacity, extrapolated one step, goes to a cold one (Flare's rule)",
        ExcessRouter,
        baseline=False,
    )
)
register(
    Policy(
        "impatient",
        "the core's decisions, but entries don't ask again for memory and wait 5 s for "
        "a place",
        relay=ImpatientRelay,
        baseline=False,
    )
)
