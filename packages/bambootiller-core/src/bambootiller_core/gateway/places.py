"""Engines as places for models: how soon a load could be there, and what makes way."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.want import LEAST_KEEP, Want

#: An order takes this long besides the load itself. Seconds.
ORDER_S = 0.05
#: A model that must wait for another's call to end there waits about so long, and
#: longer the more calls there are, as the last of them counts. Seconds, and the part of
#: it for each factor of e: 24 calls took 6 s.
RUN_S = 1.5
MORE_RUNS = 0.5
#: Demand that is this many times another's isn't made way for it.
KEEP_FACTOR = 3.0
#: Callers who were refused are due back for a model that has come meanwhile. For one
#: that is wanted as much it doesn't go: they would be refused again, and so would those
#: of the other after them. As many times less wanted as otherwise more.
DUE_BACK_FACTOR = KEEP_FACTOR**2
#: What the demand for a model that nobody has asked for yet is taken for, in calls a
#: second: about that of a rarely used model.
LEAST_VALUE = 0.1
#: What is fetched before anybody asks may take the place of a model that few engines
#: hold only if its load is this short: until it ends, that model can't be had there.
#: Seconds. With loads of 13 s and longer, a busy model whose only copy was at such an
#: engine had 644 of 871 refusals.
SHORT_LOAD_S = 8.0
#: What keeping a model is worth at most, without demand, if three engines hold it.
SPARE_KEEP = LEAST_KEEP / 3**2
#: A model with calls under way makes way only if it is wanted no more than this: the
#: calls a second of a rarely used model, or of one that other engines hold as well.
MOST_CUT_SHORT = 1.0


@dataclass(slots=True)
class Place:
    """An engine while a plan is made; ``free_in_s`` is when its next order can
    begin."""

    backend: Backend
    free_in_s: float
    planned: int = 0

    @property
    def is_free(self) -> bool:
        """Whether an order can begin now."""
        return self.free_in_s <= 0 and self.planned == 0


def tier_seconds(spec: ModelSpec, backend: Backend) -> tuple[float, bool]:
    """How long a load takes there, and whether it draws on the weight store."""
    state = backend.engine
    if state is not None and spec.name in state.in_memory:
        return spec.memory_s, False
    if state is not None and spec.name in state.on_disk:
        return spec.disk_s, False
    return spec.load_s, True


def copies_at(backend: Backend) -> set[str]:
    """The models that the engine holds, loads, or has copies of."""
    state = backend.engine
    names = set(backend.holdings)
    if state is not None:
        names |= state.in_memory | state.on_disk
        if state.loading is not None:
            names.add(state.loading.model)
    return names


@dataclass(frozen=True, slots=True)
class Victims:
    """Models that make way, one after the other; ``wait_s`` is how long their calls
    take to end."""

    models: tuple[str, ...]
    wait_s: float = 0.0

    @property
    def busy(self) -> bool:
        """Whether some have calls that must end first."""
        return self.wait_s > 0


def _runs_end_s(calls: int) -> float:
    """How long so many calls take to end."""
    return RUN_S * (1.0 + MORE_RUNS * math.log(calls)) if calls else 0.0


def choose_victims(
    engine: EngineSpec,
    holdings: Mapping[str, frozenset[str]],
    need_mb: float,
    in_use: Mapping[str, int],
    keep_values: Mapping[str, float],
    incoming: Want,
    load_s: float = 0.0,
) -> Victims | None:
    """Which held models make way for ``need_mb`` more; None if that isn't worth it.
    ``load_s`` is how long the one that comes takes.

    Among the models without calls the least wanted goes first, and none that is wanted
    far more than the one that comes. Only calls that wait make a model with calls go:
    it takes no new ones from then on, so rarely used models share an engine by turns.
    """
    if need_mb <= 0:
        return Victims(())
    order = sorted(holdings, key=lambda name: (keep_values.get(name, 0.0), name))
    idle = [name for name in order if not in_use.get(name)]
    busy = [name for name in order if in_use.get(name)] if incoming.waiting else []
    most = KEEP_FACTOR * max(incoming.value, LEAST_VALUE)
    if not incoming.value and load_s > SHORT_LOAD_S:
        most = SPARE_KEEP
    chosen: list[str] = []
    for name in idle + busy:
        limit = MOST_CUT_SHORT if name in busy else most
        spec = engine.models.get(name)
        if spec is None or keep_values.get(name, 0.0) > limit:
            continue
        chosen.append(name)
        need_mb -= spec.size_mb + len(holdings[name]) * spec.adapter_mb
        if need_mb <= 0:
            wait_s = sum(_runs_end_s(in_use.get(name, 0)) for name in chosen)
            return Victims(tuple(chosen), wait_s)
    return None


def keep_values(holdings: Iterable[str], wants: Mapping[str, Want]) -> dict[str, float]:
    """How much it matters that an engine keeps each model that it holds."""
    return {name: _keep_value(wants.get(name, Want())) for name in holdings}


def _keep_value(want: Want) -> float:
    return want.value_of_one * (DUE_BACK_FACTOR if want.waiting else 1.0)
