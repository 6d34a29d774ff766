"""What a long load costs the callers of adapters, while a plan is made.

An engine that loads a model takes no order for an adapter meanwhile. If it is the last
one that could take some for a model, calls for adapters that it doesn't have wait until
the load ends, and most of them are refused. So a long load goes where this costs least,
and nowhere while it costs more calls than the load would serve.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.places import LONG_LOAD_S, Place
from bambootiller_core.gateway.want import Want


class AdapterPlaces:
    """For each model whose adapters are missed, the engines that hold it and that no
    long load keeps from other orders.

    They are counted once for a plan, not for each model and engine.

    Example::

        homes = AdapterPlaces(engine, places, wants)
        calls = homes.calls_kept(place, seconds=6.0)
        homes.occupy(place, until_s=6.0)
    """

    def __init__(
        self, engine: EngineSpec, places: Iterable[Place], wants: Mapping[str, Want]
    ) -> None:
        self._free: Counter[str] = Counter()
        self._held: dict[str, list[str]] = {}
        self._missed = {
            name: want.adapter_rate
            for name, want in wants.items()
            if want.adapter_rate and name in engine.models
        }
        for place in places:
            held = [name for name in place.held if name in self._missed]
            self._held[place.instance] = held
            if _is_free(place):
                self._free.update(held)

    def calls_kept(self, place: Place, seconds: float) -> float:
        """How many calls would wait for an adapter in vain during a load of so many
        seconds here."""
        if seconds <= LONG_LOAD_S:
            return 0.0
        itself = 1 if _is_free(place) else 0
        held = self._held[place.instance]
        missed = [self._missed[name] for name in held if self._free[name] == itself]
        return seconds * sum(missed)

    def occupy(self, place: Place, until_s: float) -> None:
        """The engine's next order can begin only then, in seconds from now."""
        was_free = _is_free(place)
        place.free_in_s = until_s
        if was_free and not _is_free(place):
            self._free.subtract(self._held[place.instance])


def _is_free(place: Place) -> bool:
    return place.free_in_s < LONG_LOAD_S
