"""Which planned loads one entry asks the agents for.

All entries have nearly the same plan. Asked by several at the same moment, agents would
load a model at more engines than it needs, and the weight store's one turn would be
given away twice.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from bambootiller_core.gateway.collecting import seen_to_by
from bambootiller_core.gateway.fleet import Backend, Fleet
from bambootiller_core.gateway.order_messages import WAITED_FOR, Wish
from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.store_asks import StoreAsks
from bambootiller_core.gateway.want import NO_WANT, Want

#: The urgency of what is asked for ahead of demand.
AHEAD = 5


class LoadAsks:
    """The loads that the entry ``instance`` asks for; ``entries`` are those that agents
    hear, ``wish`` asks the agent beside an engine.

    Example::

        loads = asks.from_copies(plan, own_wants) + asks.from_store(now, "llm", plan)
        asks.ask(loads, own_wants, wants_of_all)
    """

    def __init__(
        self,
        instance: str,
        fleet: Fleet,
        entries: Callable[[], tuple[str, ...]],
        wish: Callable[[Backend, Wish], object],
    ) -> None:
        self._instance = instance
        self._fleet = fleet
        self._entries = entries
        self._wish = wish
        self._store_asks: dict[str, StoreAsks] = {}

    def sees_to(self, model: str) -> bool:
        """Whether this entry is the one to ask for a load that no call of its own waits
        for."""
        return seen_to_by(model, self._entries()) == self._instance

    def sees_to_store(self, service: str) -> bool:
        """Whether this entry is the one to ask for the loads of a service that draw on
        the weight store, whoever's calls wait for them."""
        return self.sees_to(f"weight store of {service}")

    def from_copies(
        self, plan: Mapping[str, PlannedLoad], wants: Mapping[str, Want]
    ) -> list[PlannedLoad]:
        """The loads from copies that this entry asks for. One is over before it matters
        that others ask for it as well, so whoever has calls that wait does."""
        return [
            load
            for load in plan.values()
            if load.ask_now
            and not load.from_store
            and (wants.get(load.model, NO_WANT).waiting or self.sees_to(load.model))
        ]

    def from_store(
        self, now: float, service: str, plan: Mapping[str, PlannedLoad]
    ) -> list[PlannedLoad]:
        """The loads from the weight store that this entry asks for."""
        if not self.sees_to_store(service):
            return []
        planned = [load for load in plan.values() if load.ask_now and load.from_store]
        asks = self._store_asks.setdefault(service, StoreAsks())
        return asks.choose(now, planned, self._is_told)

    def ask(
        self,
        loads: Iterable[PlannedLoad],
        wants: Mapping[str, Want],
        wants_of_all: Mapping[str, Want],
    ) -> None:
        """Ask the agents; ``wants`` is the demand of this entry."""
        for load in loads:
            backend = self._fleet.get(load.instance)
            if backend is None:
                continue
            waiting = wants.get(load.model, NO_WANT).waiting
            want = wants_of_all.get(load.model, NO_WANT)
            urgency = WAITED_FOR if waiting or want.awaited else AHEAD
            self._wish(backend, Wish(load.model, "", urgency, want))

    def _is_told(self, load: PlannedLoad) -> bool:
        backend = self._fleet.get(load.instance)
        if backend is None or backend.engine is None:
            return False
        loading = backend.engine.loading
        return loading is not None and loading.model == load.model
