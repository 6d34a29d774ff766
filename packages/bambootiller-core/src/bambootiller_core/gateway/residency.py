"""Which engine loads which model next, and when a waiting call can be served.

Most models are idle, and only a part of them fits on the engines at a time. A load from
the weight store takes long and the store serves few at once; a load from a copy on an
engine's own disk or in its memory is many times faster. So each model is fetched from
the store once, as early as possible, and comes back from its copy from then on.

All entries work out the same plan from nearly the same figures, so no entry leads. Each
asks agents for the loads that it has calls for; an agent carries out one load at a time
and tells all entries at once, so that two of them seldom ask for the same model at two
engines. Where that happens it costs a load, and breaks no promise.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from bambootiller_core import rendezvous
from bambootiller_core.gateway.config import EngineSpec, ModelSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.moving import WORTH_S, WORTH_WAITING, find_move
from bambootiller_core.gateway.places import (
    ORDER_S,
    RUN_S,
    Place,
    Victims,
    choose_victims,
    copies_at,
    tier_seconds,
)
from bambootiller_core.gateway.store_queue import StoreQueue
from bambootiller_core.gateway.want import Want

#: A model that so many calls wait for needn't wait for a place at the store: demand has
#: moved to it, and every second costs as many calls.
MANY_WAITING = 4
#: Loads longer than this stand in the way of others at the same engine. Seconds.
LONG_LOAD_S = 1.5
#: What it counts, in seconds, that a long load puts one model out of reach: asked for
#: meanwhile, it would be late by half of the load, and most aren't asked for.
BLOCKED_S = 0.3
#: A model that takes at least this part of all demand gets a second engine, so that the
#: loss of one doesn't stop it.
SECOND_COPY_SHARE = 0.08
#: A model gets one more engine if all that hold it have so many calls, in units of what
#: they serve at once: a step further and calls would be refused there.
CROWDED = 0.8


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A load that is under way or planned, and when the model can be used."""

    model: str
    instance: str
    ready_in_s: float
    ask_now: bool
    from_store: bool


class _Rank(enum.IntEnum):
    """Which loads go before which."""

    WAITED_FOR = 0
    ASKED_FOR = 1
    SECOND_COPY = 2
    UNASKED = 3


#: A second copy keeps its engine from all other orders for seconds, so there is one
#: such load at a time.
SECOND_COPY_LOADS = 1


@dataclass(frozen=True, slots=True)
class _Option:
    place: Place
    ready_in_s: float
    from_store: bool
    blocked: int


class Planner:
    """Plans the loads of one service of engines.

    ``store_loads`` is how many loads the weight store serves at full speed; those that
    begin beyond it take longer. ``left_s`` is when the load under way at an engine
    ends.
    """

    def __init__(
        self,
        engine: EngineSpec,
        store_loads: int,
        left_s: Callable[[Backend], float] | None = None,
    ) -> None:
        self._engine = engine
        self._store_loads = store_loads
        self._left_s = left_s or _told_left_s
        self._only_here: dict[str, set[str]] = {}

    def plan(
        self,
        now: float,
        backends: Iterable[Backend],
        wants: Mapping[str, Want],
    ) -> dict[str, PlannedLoad]:
        """The loads to come, by model, the most wanted first.

        ``wants`` is the demand of all entries together.

        A model that is held somewhere doesn't appear unless a second engine shall hold
        it as well. Models that no engine has a copy of are fetched even if nobody asks
        for them yet, behind all others.
        """
        known = [
            backend
            for backend in backends
            if backend.engine is not None and not backend.lost(now)
        ]
        places = [
            self._place(backend) for backend in known if backend.takes_orders(now)
        ]
        copies = Counter(name for backend in known for name in copies_at(backend))
        self._only_here = {
            place.backend.instance: {
                name for name in copies_at(place.backend) if copies[name] == 1
            }
            for place in places
        }
        plan = self._under_way(known)
        store_ends = [load.ready_in_s for load in plan.values() if load.from_store]
        queue = StoreQueue(self._store_loads, store_ends)
        second_copies = 0
        for spec, rank in self._in_order(now, known, wants, plan):
            if spec.name in plan:
                # It is being moved, to make room for one before it in the order.
                continue
            want = wants.get(spec.name, Want())
            if rank is _Rank.SECOND_COPY and want.holders > 1:
                want = _worth_one_more(want)
            option = self._best(spec, want, places, wants)
            if option is None:
                continue
            if rank is _Rank.SECOND_COPY and option.from_store:
                if store_ends or second_copies >= SECOND_COPY_LOADS:
                    continue
                second_copies += 1
            ready, waits_for_store = option.ready_in_s, False
            if option.from_store:
                many = wants.get(spec.name, Want()).waiting >= MANY_WAITING
                begins, ends = queue.add(spec.load_s, crowding=many)
                waits_for_store = begins > 0
                ready += ends - spec.load_s
            if self._moves(spec, ready, places, wants, plan):
                continue
            starts_now = option.place.is_free
            plan[spec.name] = PlannedLoad(
                spec.name,
                option.place.backend.instance,
                ready,
                ask_now=starts_now and not waits_for_store,
                from_store=option.from_store,
            )
            if not waits_for_store:
                self._occupy(option)
        return plan

    def _under_way(self, known: list[Backend]) -> dict[str, PlannedLoad]:
        found: dict[str, PlannedLoad] = {}
        for backend in known:
            loading = backend.engine.loading
            if loading is not None:
                found[loading.model] = PlannedLoad(
                    loading.model,
                    backend.instance,
                    self._left_s(backend),
                    ask_now=False,
                    from_store=loading.from_store,
                )
        return found

    def _moves(
        self,
        spec: ModelSpec,
        ready_in_s: float,
        places: list[Place],
        wants: Mapping[str, Want],
        plan: dict[str, PlannedLoad],
    ) -> bool:
        """Plan to make room for an awaited model at its copy by moving another, if
        that is much sooner than ``ready_in_s``."""
        if wants.get(spec.name, Want()).waiting < WORTH_WAITING:
            return False
        coming = {
            load.model: load.ready_in_s for load in plan.values() if not load.from_store
        }
        move = find_move(self._engine, spec, places, wants, coming, self._victims)
        if move is None or move.ready_in_s + WORTH_S > ready_in_s:
            return False
        if move.to is not None:
            move.to.planned += 1
            plan[move.moved.name] = PlannedLoad(
                move.moved.name,
                move.to.backend.instance,
                move.moved_in_s,
                ask_now=True,
                from_store=False,
            )
        move.at.planned += 1
        plan[spec.name] = PlannedLoad(
            spec.name,
            move.at.backend.instance,
            move.ready_in_s,
            ask_now=False,
            from_store=False,
        )
        return True

    def _in_order(
        self,
        now: float,
        known: list[Backend],
        wants: Mapping[str, Want],
        plan: Mapping[str, PlannedLoad],
    ) -> list[tuple[ModelSpec, _Rank]]:
        holders: dict[str, list[Backend]] = {name: [] for name in self._engine.models}
        copied = set()
        for backend in known:
            copied |= copies_at(backend)
            for name in backend.holdings:
                if name in holders:
                    holders[name].append(backend)
        total = sum(want.rate for want in wants.values())
        ranked = []
        for name, spec in self._engine.models.items():
            if name in plan:
                continue
            want = wants.get(name, Want())
            crowded = _crowded(holders[name], now)
            rank = _rank(want, len(holders[name]), name in copied, total, crowded)
            if rank is not None:
                # Entries agree on the order of equals, and so seldom ask for the same.
                tie = rendezvous.weight("fetch", name)
                # First come, first served, but for models that many calls wait for:
                # ordered by demand alone, later calls would overtake those that were
                # told to wait, until these have waited for nothing.
                many = want.waiting >= MANY_WAITING
                key = (rank, not many, -round(want.oldest_s, 1), -want.value, tie)
                ranked.append((key, spec, rank))
        ranked.sort(key=lambda item: item[0])
        return [(spec, rank) for _, spec, rank in ranked]

    def _place(self, backend: Backend) -> Place:
        state = backend.engine
        free_in = 0.0
        if state.loading is not None:
            free_in = max(ORDER_S, self._left_s(backend))
        elif state.busy:
            free_in = RUN_S
        return Place(backend, free_in)

    def _best(
        self,
        spec: ModelSpec,
        want: Want,
        places: list[Place],
        wants: Mapping[str, Want],
    ) -> _Option | None:
        options = []
        for place in places:
            if spec.name in place.backend.holdings or place.planned > 2:
                continue
            victims = self._victims(spec, want, place)
            if victims is None:
                continue
            seconds, from_store = tier_seconds(spec, place.backend)
            if seconds > LONG_LOAD_S and self._last_for_adapters(place, places, wants):
                continue
            ready = place.free_in_s + seconds + ORDER_S + victims.wait_s
            blocked = 0
            if seconds > LONG_LOAD_S:
                blocked = self._blocked_by_load(place, victims)
            options.append(_Option(place, ready, from_store, blocked))
        return min(
            options,
            key=lambda opt: (
                round(opt.ready_in_s + BLOCKED_S * opt.blocked, 1),
                -rendezvous.weight(spec.name, opt.place.backend.instance),
            ),
            default=None,
        )

    def _blocked_by_load(self, place: Place, victims: Victims) -> int:
        """How many models can't be had while a long load keeps this engine from all
        other orders: those of which it has the only copy and that it won't hold."""
        only_here = self._only_here.get(place.backend.instance, set())
        kept = set(place.backend.holdings) - set(victims.models)
        return len(only_here - kept)

    def _last_for_adapters(
        self, place: Place, places: list[Place], wants: Mapping[str, Want]
    ) -> bool:
        """Whether a long load here would leave a model without a place for adapters.

        An engine that loads a model takes no order for an adapter meanwhile. So of the
        engines that hold a model with adapters in demand, one is kept free.
        """
        for name in place.backend.holdings:
            spec = self._engine.models.get(name)
            if spec is None or not spec.adapters or not wants.get(name, Want()).rate:
                continue
            others = (
                other
                for other in places
                if other is not place
                and name in other.backend.holdings
                and other.free_in_s < LONG_LOAD_S
            )
            if not any(others):
                return True
        return False

    def _victims(self, spec: ModelSpec, want: Want, place: Place) -> Victims | None:
        state = place.backend.engine
        need = spec.size_mb - (self._engine.memory_mb - state.memory_mb_used)
        return choose_victims(
            self._engine,
            state.holdings,
            need,
            state.in_use,
            state.keep_values,
            want,
            tier_seconds(spec, place.backend)[0],
        )

    def _occupy(self, option: _Option) -> None:
        """Keep an engine for a load that can begin there next.

        A load that waits for the store takes no engine yet: with a dozen models in that
        queue every engine was taken, and none loaded a copy that calls waited for.
        """
        option.place.free_in_s = option.ready_in_s
        option.place.planned += 1


def _crowded(holders: list[Backend], now: float) -> bool:
    """Whether every engine that holds a model is close to its most calls."""
    return bool(holders) and all(
        backend.occupied(now) >= CROWDED * max(1, backend.registered.slots)
        for backend in holders
    )


def _rank(
    want: Want, holders: int, copied: bool, total_rate: float, crowded: bool
) -> _Rank | None:
    """How soon a model is to be loaded; None if it isn't to be."""
    if holders == 0 and want.waiting:
        return _Rank.WAITED_FOR
    if holders == 0 and not copied:
        if want.rate > 0:
            return _Rank.ASKED_FOR
        # While calls come, an engine that fetches a model nobody asks for is kept from
        # those that they ask for.
        return _Rank.UNASKED if total_rate == 0 else None
    if not want.rate:
        return None
    if crowded or (holders == 1 and want.rate >= SECOND_COPY_SHARE * total_rate):
        return _Rank.SECOND_COPY
    return None


def _worth_one_more(want: Want) -> Want:
    """What one more engine that holds the model would be worth, as demand."""
    return replace(want, rate=want.rate / (want.holders + 1) ** 2, waiting=0)


def _told_left_s(backend: Backend) -> float:
    return backend.engine.loading.left_s
