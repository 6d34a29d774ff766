"""Estimates what a long load costs the callers of adapters, while a plan is made.

An engine that loads a model accepts no order for an adapter meanwhile. If it is the
last engine that could load adapters of a model, calls for adapters that it doesn't have
wait until the load ends, and most of them are refused. So a long load goes where this
costs least, and nowhere while it costs more calls than the load would serve.

The number of calls that miss an adapter now is a poor estimate of those that will miss
one during the load: a model that has just been loaded has had no such call yet. The
engine for the load is therefore chosen by all calls for the model, in proportion to its
adapters that aren't loaded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from bambootiller_core.gateway.config import EngineSpec
from bambootiller_core.gateway.load_targets import LONG_LOAD_S, LoadTarget
from bambootiller_core.gateway.model_demand import MIN_KEEP_VALUE, NO_DEMAND, Demand


class AdapterAvailability:
    """For each model with adapters, the engines that hold it and that no long load
    blocks.

    They are counted once per plan, not for each model and engine.

    Example::

        availability = AdapterAvailability(engine, load_targets, demands)
        calls = availability.blocked_calls(load_target, seconds=6.0)
        calls = availability.calls_at_risk(load_target, seconds=6.0)
        availability.reserve(load_target, until_s=6.0)
    """

    def __init__(
        self,
        engine: EngineSpec,
        load_targets: Iterable[LoadTarget],
        demands: Mapping[str, Demand],
    ) -> None:
        self._demands = demands
        self._free: Counter[str] = Counter()
        self._held: dict[str, list[str]] = {}
        self._adapters = {
            name: spec.adapters
            for name, spec in engine.models.items()
            if spec.adapters or self._demand(name).adapter_miss_rate
        }
        for load_target in load_targets:
            held = [name for name in load_target.held if name in self._adapters]
            self._held[load_target.instance] = held
            if _is_free(load_target):
                self._free.update(held)

    def blocked_calls(self, load_target: LoadTarget, seconds: float) -> float:
        """An estimate of the calls that would wait for an adapter in vain during a load
        of so many seconds here, from the current rate of calls that miss one."""
        rates = [
            self._demand(name).adapter_miss_rate
            for name in self._without_alternative(load_target, seconds)
        ]
        return seconds * sum(rates)

    def calls_at_risk(self, load_target: LoadTarget, seconds: float) -> float:
        """An upper bound on the same number: every call for a model with adapters is
        assumed to name one of them."""
        rates = [
            self._missing_fraction(load_target, name)
            * max(MIN_KEEP_VALUE, self._demand(name).rate)
            for name in self._without_alternative(load_target, seconds)
        ]
        return seconds * sum(rates)

    def _without_alternative(
        self, load_target: LoadTarget, seconds: float
    ) -> list[str]:
        """The models with adapters for which no other engine could accept an order
        during a load of so many seconds here."""
        if seconds <= LONG_LOAD_S:
            return []
        itself = 1 if _is_free(load_target) else 0
        held = self._held[load_target.instance]
        return [name for name in held if self._free[name] == itself]

    def _missing_fraction(self, load_target: LoadTarget, name: str) -> float:
        count = self._adapters[name]
        return max(0.0, 1.0 - len(load_target.held[name]) / count) if count else 0.0

    def _demand(self, name: str) -> Demand:
        return self._demands.get(name, NO_DEMAND)

    def reserve(self, load_target: LoadTarget, until_s: float) -> None:
        """Record that the engine can start its next order only after so many
        seconds."""
        was_free = _is_free(load_target)
        load_target.free_after_s = until_s
        if was_free and not _is_free(load_target):
            self._free.subtract(self._held[load_target.instance])


def _is_free(load_target: LoadTarget) -> bool:
    return load_target.free_after_s < LONG_LOAD_S
