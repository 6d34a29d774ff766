"""Decides which models of a plan may be loaded from the weight store.

The store serves a few loads at a time, each for seconds, so models that calls wait for
and no engine has a copy of come first.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from bambootiller_core.gateway.config import ModelSpec
from bambootiller_core.gateway.load_priority import LoadRank
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.store_queue import StoreQueue

#: How many loads of second copies are under way at a time. Such a load keeps its engine
#: from all other orders for seconds.
SECOND_COPY_LOADS = 1


class StoreAdmission:
    """The store's queue, and the rules by which loads may join it.

    ``is_busy`` tells whether any load from the store is under way. ``order`` are the
    models of the plan in their order, ``copied`` those of which some engine has a copy,
    and ``demands`` is the demand for them.

    Example::

        admission.mark_planned(spec.name)
        if admission.admit(rank, is_loading=False):
            starts_in_s, ready_in_s = admission.queue.add(spec.load_s)
            admission.record_load(rank)
    """

    def __init__(
        self,
        queue: StoreQueue,
        is_busy: bool,
        order: Iterable[tuple[ModelSpec, LoadRank]],
        copied: Collection[str],
        demands: Mapping[str, Demand],
    ) -> None:
        self.queue = queue
        self._is_busy = is_busy
        self._second_copies = 0
        self._demands = demands
        self._uncopied = {
            spec.name: self._value_per_second(spec)
            for spec, rank in order
            if rank <= LoadRank.IN_DEMAND and spec.name not in copied
        }

    def _value_per_second(self, spec: ModelSpec) -> float:
        return self._demands.get(spec.name, NO_DEMAND).store_load_value / spec.load_s

    def mark_planned(self, name: str) -> None:
        """Note that the plan has reached the model: it is no longer one of those that
        come later."""
        self._uncopied.pop(name, None)

    def admit(self, rank: LoadRank, is_loading: bool) -> bool:
        """Whether a load from the store is worth its time. ``is_loading`` tells whether
        a load of the same model is under way.

        If one is, waiting calls are served sooner by the engine that is loading the
        model than by a second one. The second engine gets its copy later, while the
        store has nothing else to do.
        """
        if is_loading or rank is LoadRank.SINGLE_HOLDER:
            return False
        if rank is LoadRank.ADDITIONAL_ENGINE:
            return not self._is_busy and self._second_copies < SECOND_COPY_LOADS
        return True

    def defers_to_uncopied(self, spec: ModelSpec) -> bool:
        """Whether a model with a copy leaves the store to models without one that come
        later in the plan, as these need all the loads that can start now. The model can
        be loaded from its copy later.

        A model doesn't wait forever: if the engine with the copy hasn't made room for
        as long as a load takes, only models of at least the same value go first.
        """
        others = self._uncopied.values()
        if self._demands.get(spec.name, NO_DEMAND).unserved_s >= spec.load_s:
            value = self._value_per_second(spec)
            others = [other for other in others if other >= value]
        return len(others) >= max(1, self.queue.room())

    def record_load(self, rank: LoadRank) -> None:
        """Count a load that has joined the store's queue."""
        self._second_copies += rank is LoadRank.ADDITIONAL_ENGINE
