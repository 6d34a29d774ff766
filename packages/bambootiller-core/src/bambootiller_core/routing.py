"""Which of a model's slot holders an entry sends a request to.

Each holder's estimated wait decides, load time included; so a second replica is loaded
when waiting at the warm one would take about as long as its load. Reported figures
lag, so the entry's own requests that they can't include are added. While nothing is
loaded, entries that know nothing of each other agree by a rendezvous order, and a burst
at many of them starts one load.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bambootiller_core import rendezvous
from bambootiller_core.membership import Status
from bambootiller_core.types import LoadFigures, ModelTarget, Request

#: The load time of a model of which the entry knows nothing. Seconds.
UNKNOWN_WAIT_S = 10.0
#: What each of the entry's own requests adds to a wait that doesn't include it.
#: Seconds.
IN_FLIGHT_S = 0.1
#: Waits that differ by less than this are equal. Seconds.
EQUAL_S = 0.25
#: A holder that would have to load is preferred to a warm one once its wait is less
#: than this factor of the warm one's. Above 1 because the load serves those who come
#: later as well: begun only when waiting takes as long, it ends when all have waited.
SECOND_LOAD_MARGIN = 1.5
#: Among cold holders, one that others wouldn't choose first is preferred only if its
#: wait is less by this factor.
SPREAD_MARGIN = 0.8
#: The most that a cached prefix or a resident adapter is worth. Seconds.
AFFINITY_S = 0.5
#: Figures older than this tell nothing more of a holder that had its model loaded.
STALE_S = 300.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A holder of a slot as one entry sees it.

    ``figures_age`` is the age of ``figures`` in seconds; ``affinity`` in [0, 1] tells
    how much of the request's prefix and adapter is there; ``in_flight`` counts the
    entry's own open requests that were sent there after the figures were made.
    """

    instance: str
    zone: str
    status: Status
    figures: LoadFigures | None = None
    figures_age: float = 0.0
    affinity: float = 0.0
    in_flight: int = 0
    load_s: float = UNKNOWN_WAIT_S


def rank(
    req: Request, zone: str, candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """The candidates in the order in which to try them, without leaving and dead ones.

    Suspected ones come last: they may only be slow, and nobody else may be left.
    """
    alive = [cand for cand in candidates if cand.status is Status.ALIVE]
    suspect = [cand for cand in candidates if cand.status is Status.SUSPECT]
    return _ordered(req, zone, alive, rng) + _ordered(req, zone, suspect, rng)


def wait_of(cand: Candidate) -> float:
    """The wait in seconds that a request sent to ``cand`` now is expected to have."""
    figures = cand.figures
    if figures is None or cand.figures_age > STALE_S:
        return cand.load_s
    each = IN_FLIGHT_S
    if figures.loaded and figures.waiting:
        each = max(each, figures.queue_ms / 1000.0 / figures.waiting)
    return figures.queue_ms / 1000.0 + cand.in_flight * each


def is_warm(cand: Candidate) -> bool:
    """Whether the model is loaded there, as far as the entry knows."""
    figures = cand.figures
    return figures is not None and figures.loaded and cand.figures_age <= STALE_S


def _ordered(
    req: Request, zone: str, candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    warm = _by_load(zone, [cand for cand in candidates if is_warm(cand)], rng)
    cold = _by_agreement(req, [cand for cand in candidates if not is_warm(cand)])
    if not warm or not cold:
        return warm + cold
    if wait_of(cold[0]) < wait_of(warm[0]) * SECOND_LOAD_MARGIN:
        return [cold[0], *warm, *cold[1:]]
    return warm + cold


def _by_load(zone: str, warm: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Warm holders by wait less affinity.

    Among those whose waits are equal, the less loaded of two drawn at random goes
    first: if all entries took the one that looked best, they would all take the same
    one.
    """
    order = sorted(warm, key=lambda cand: (_cost(cand, zone), cand.instance))
    if len(order) < 2:
        return order
    best = _cost(order[0], zone)
    equals = [cand for cand in order if _cost(cand, zone) <= best + EQUAL_S]
    if len(equals) < 2:
        return order
    drawn = rng.sample(equals, 2)
    chosen = min(drawn, key=lambda cand: (_busy(cand), cand.zone != zone))
    order.remove(chosen)
    return [chosen, *order]


def _cost(cand: Candidate, zone: str) -> float:
    return wait_of(cand) - min(1.0, max(0.0, cand.affinity)) * AFFINITY_S


def _busy(cand: Candidate) -> int:
    figures = cand.figures or LoadFigures()
    return figures.running + figures.waiting + cand.in_flight


def _by_agreement(req: Request, cold: list[Candidate]) -> list[Candidate]:
    """Cold holders in an order that all entries share.

    Only a wait that is less by a clear margin overrides it, such as that of a holder
    whose load is on its way or whose checkpoint lies in memory.
    """
    names = rendezvous.ranked(_subject(req), [cand.instance for cand in cold])
    place = {name: index for index, name in enumerate(names)}
    order = sorted(cold, key=lambda cand: place[cand.instance])
    if len(order) < 2:
        return order
    best = min(order, key=lambda cand: (wait_of(cand), place[cand.instance]))
    if wait_of(best) < wait_of(order[0]) * SPREAD_MARGIN:
        order.remove(best)
        order.insert(0, best)
    return order


def _subject(req: Request) -> str:
    target = req.target
    name = target.model if isinstance(target, ModelTarget) else target.service
    return f"cold/{req.customer}/{name}"
