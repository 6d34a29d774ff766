"""Which models may draw on the weight store in one plan.

The store serves a few loads at a time, each for seconds, so what draws on it first is
what nobody has a copy of and somebody waits for.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from bambootiller_core.gateway.config import ModelSpec
from bambootiller_core.gateway.load_order import Rank
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.store_queue import StoreQueue

#: A second copy keeps its engine from all other orders for seconds, so there is one
#: such load at a time.
SECOND_COPY_LOADS = 1


class StoreAdmission:
    """The store's queue, and who may join it.

    ``is_busy`` tells whether any load from the store is under way, ``order`` the
    models of the plan in their order, ``copied`` those of which an engine has a copy,
    ``demands`` the demand for them.

    Example::

        turns.mark_planned(spec.name)
        if turns.admit(rank, is_loading=False):
            begins_in_s, ready_in_s = turns.queue.add(spec.load_s)
            turns.took(rank)
    """

    def __init__(
        self,
        queue: StoreQueue,
        is_busy: bool,
        order: Iterable[tuple[ModelSpec, Rank]],
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
            if rank <= Rank.ASKED_FOR and spec.name not in copied
        }

    def _value_per_second(self, spec: ModelSpec) -> float:
        return self._demands.get(spec.name, NO_DEMAND).turn_value / spec.load_s

    def mark_planned(self, name: str) -> None:
        """The model is planned next."""
        self._uncopied.pop(name, None)

    def admit(self, rank: Rank, is_loading: bool) -> bool:
        """Whether a load is worth the store's time; ``is_loading``: one of the same
        model is under way.

        What waits would wait longer for a second engine from the store than the calls
        of the first; it comes later, as a second copy, while the store has nothing else
        to do.
        """
        if is_loading or rank is Rank.HELD_ONCE:
            return False
        if rank is Rank.SECOND_COPY:
            return not self._is_busy and self._second_copies < SECOND_COPY_LOADS
        return True

    def defers_to_uncopied(self, spec: ModelSpec) -> bool:
        """Whether models without any copy, which come later in the plan, need all that
        the store can begin now. One with a copy leaves it to them: the engine with the
        copy has its turn later.

        But not for ever: where that engine has made no room for as long as a load
        takes, the model is weighed like the others.
        """
        others = self._uncopied.values()
        if self._demands.get(spec.name, NO_DEMAND).unserved_s >= spec.load_s:
            value = self._value_per_second(spec)
            others = [other for other in others if other >= value]
        return len(others) >= max(1, self.queue.room())

    def record_load(self, rank: Rank) -> None:
        """A load draws on the store."""
        self._second_copies += rank is Rank.SECOND_COPY
