"""How the demand of all entries becomes known to each, without all telling all.

With dozens of entries and engines there are a thousand streams. If each carried the
demand for every model in both directions, the small instances would do nothing but read
it. So two agents of a service collect the whole demand and tell the sum; the others
hear only of the models that concern their own engine.

Entries choose the collectors by themselves, from the agents that they hear. Where they
disagree for a moment, the sums are too small for that moment; then loads come later
than they could, and no promise depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

from bambootiller_core import rendezvous
from bambootiller_core.gateway.demand import faded
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import AGENT_SILENT_S
from bambootiller_core.gateway.want import Want

#: A rate that differs by less than this part of it from what its receiver takes it for
#: isn't told again: it changes no decision.
MOVED_SHARE = 0.1
#: Callers, and calls without an answer, that weigh less than this aren't told by
#: themselves, nor that the first of those calls came so many seconds sooner or later.
MOVED_CALLS = 0.25
MOVED_S = 1.0
#: So many entries see to loads that no call of their own waits for, and so make plans
#: without having calls that wait. More would make the same plan for the same end; one
#: alone would leave all such loads undone until the agents notice its silence.
PLANNERS = 4
#: For how many models, times the lists of entries that agents tell, it is kept which
#: entry sees to them.
KEPT_FIRST = 4096
#: For how many lists of entries their planners are kept; agents tell a new one as an
#: entry comes or goes.
KEPT_LISTS = 16
#: One would do; the second is there when the first is lost.
COLLECTORS = 2


def collectors(service: str, hosts: Iterable[str]) -> list[str]:
    """The hosts whose agents collect the demand for the service.

    >>> collectors("tutor", ["10.0.0.1"])
    ['10.0.0.1']
    """
    return rendezvous.ranked(f"collector of {service}", hosts)[:COLLECTORS]


def concerning(wants: Mapping[str, Want], state: EngineState | None) -> dict[str, Want]:
    """The part of the demand that one agent decides on: of the models that its engine
    holds or loads. With the wish for a load comes the demand for that model."""
    if state is None:
        return {}
    names = set(state.holdings)
    if state.loading is not None:
        names.add(state.loading.model)
    return {name: wants[name] for name in names if name in wants}


def moved(
    told: Mapping[str, Want], wants: Mapping[str, Want], elapsed_s: float = 0.0
) -> bool:
    """Whether somebody who was told the one, so long ago, has to be told the other.

    Both sides let a rate fade with time (:func:`demand.faded`), so a model that nobody
    calls any more takes no messages. Told as it faded, each call took two messages a
    second for a quarter of a minute, on the stream to each engine that held its model.

    >>> moved({"tutor": Want(rate=1.0)}, {"tutor": Want(rate=0.95)})
    False
    >>> moved({"tutor": Want(rate=1.0)}, {"tutor": Want(rate=1.0)}, elapsed_s=2.0)
    True
    """
    if told.keys() != wants.keys():
        return True
    return any(_moved(told[name], want, elapsed_s) for name, want in wants.items())


def _moved(told: Want, want: Want, elapsed_s: float) -> bool:
    if (told.waiting, told.holders, told.copies) != (
        want.waiting,
        want.holders,
        want.copies,
    ):
        return True
    if want.waiting and told.oldest_s != want.oldest_s:
        return True
    if abs(told.unserved - want.unserved) >= MOVED_CALLS:
        return True
    if abs((told.callers or 0.0) - (want.callers or 0.0)) >= MOVED_CALLS:
        return True
    if want.unserved and abs(told.unserved_s + elapsed_s - want.unserved_s) > MOVED_S:
        return True
    left = faded(1.0, elapsed_s)
    rates = (told.rate, want.rate), (told.adapter_rate, want.adapter_rate)
    return any(_rate_moved(before * left, rate) for before, rate in rates)


def _rate_moved(taken_for: float, rate: float) -> bool:
    return abs(taken_for - rate) > MOVED_SHARE * max(taken_for, rate)


class Totals:
    """What the collectors told last, by service.

    Example::

        totals.told(now, "tutor", "10.0.0.1", wants)
        wants = totals.of(now, "tutor")
    """

    def __init__(self) -> None:
        self._told: dict[str, dict[str, tuple[float, Mapping[str, Want]]]] = {}

    def told(
        self, now: float, service: str, host: str, wants: Mapping[str, Want]
    ) -> None:
        """Take over the sum that the collector on ``host`` tells."""
        self._told.setdefault(service, {})[host] = (now, wants)

    def of(self, now: float, service: str) -> dict[str, Want]:
        """The demand for each model by the collector that knows of more."""
        merged: dict[str, Want] = {}
        for wants in self._heard(now, service):
            merged = greater(merged, wants)
        return merged

    def waited_for(self, now: float) -> set[str]:
        """The models that calls of any entry wait for, of all services."""
        return {
            model
            for service in self._told
            for wants in self._heard(now, service)
            for model, want in wants.items()
            if want.waiting
        }

    def _heard(self, now: float, service: str) -> list[Mapping[str, Want]]:
        told = self._told.get(service, {})
        for host, (at, _) in list(told.items()):
            if now - at > AGENT_SILENT_S:
                del told[host]
        return [wants for _, wants in told.values()]


def greater(first: Mapping[str, Want], second: Mapping[str, Want]) -> dict[str, Want]:
    """For each model the greater demand of the two."""
    merged = dict(first)
    for model, want in second.items():
        held = merged.get(model)
        if held is None or held == want:
            # Two collectors mostly tell the same.
            merged[model] = want
            continue
        merged[model] = Want(
            max(want.rate, held.rate),
            max(want.waiting, held.waiting),
            want.holders,
            max(want.oldest_s, held.oldest_s),
            want.copies,
            sooner(want.in_time_s, held.in_time_s),
            max(want.adapter_rate, held.adapter_rate),
            max(want.unserved, held.unserved),
            max(want.unserved_s, held.unserved_s),
            most(want.callers, held.callers),
        )
    return merged


def most(first: float | None, second: float | None) -> float | None:
    """The greater of two counts, where None stands for one that wasn't told.

    >>> most(None, 2.0), most(1.0, 2.0), most(None, None)
    (2.0, 2.0, None)
    """
    told = [count for count in (first, second) if count is not None]
    return max(told, default=None)


def sooner(first: float, second: float) -> float:
    """The lesser of two times left, where 0 stands for none.

    >>> sooner(0.0, 2.5), sooner(1.0, 2.5)
    (2.5, 1.0)
    """
    return min(first, second) if first and second else max(first, second)


@lru_cache(KEPT_LISTS)
def planners(entries: tuple[str, ...]) -> tuple[str, ...]:
    """The entries that see to loads which nobody waits for, or which draw on the weight
    store.

    >>> planners(("e1",))
    ('e1',)
    """
    return tuple(rendezvous.ranked("planner", entries)[:PLANNERS])


@lru_cache(KEPT_FIRST)
def seen_to_by(model: str, entries: tuple[str, ...]) -> str | None:
    """The one of the planners that sees to loads of the model."""
    # Kept, as it is asked for each load of each plan.
    return rendezvous.first(model, planners(entries))
