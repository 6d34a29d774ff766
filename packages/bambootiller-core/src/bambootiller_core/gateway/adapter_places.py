"""Engines that are kept free for orders of adapters, while a plan is made.

An engine that loads a model takes no order for an adapter meanwhile. So of the engines
that hold a model with adapters in demand, one is kept free of long loads.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.places import LONG_LOAD_S, Place
from bambootiller_core.gateway.want import Want


class AdapterPlaces:
    """For each model with adapters in demand, the engines that hold it and that no
    long load keeps from other orders.

    They are counted once for a plan, not for each model and engine.

    Example::

        homes = AdapterPlaces(engine, places, wants)
        if not homes.is_last(place):
            homes.occupy(place, until_s=6.0)
    """

    def __init__(
        self, engine: EngineSpec, places: Iterable[Place], wants: Mapping[str, Want]
    ) -> None:
        self._free: Counter[str] = Counter()
        self._held: dict[str, list[str]] = {}
        wanted = {
            name
            for name, want in wants.items()
            if want.rate and name in engine.models and engine.models[name].adapters
        }
        for place in places:
            held = [name for name in place.held if name in wanted]
            self._held[place.instance] = held
            if _is_free(place):
                self._free.update(held)

    def is_last(self, place: Place) -> bool:
        """Whether a long load here would leave a model without such an engine."""
        itself = 1 if _is_free(place) else 0
        for name in self._held[place.instance]:
            if self._free[name] == itself:
                return True
        return False

    def occupy(self, place: Place, until_s: float) -> None:
        """The engine's next order can begin only then, in seconds from now."""
        was_free = _is_free(place)
        place.free_in_s = until_s
        if was_free and not _is_free(place):
            self._free.subtract(self._held[place.instance])


def _is_free(place: Place) -> bool:
    return place.free_in_s < LONG_LOAD_S
