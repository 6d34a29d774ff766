"""Finding memory for loads: order them, wait, make room, or give up.

All that wants memory is looked at together, the most urgent first, so that two models
never count on the same bytes. Room is made only by unloading what no request waits for
or runs on, the least valuable first.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core._backend_state import BackendState
from bambootiller_core._gate import adapter_of
from bambootiller_core._orders import Orders
from bambootiller_core._store_loads import StoreLoads
from bambootiller_core.admission import come_back_ms
from bambootiller_core.memory import Item
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.replicas import Part, Replica, ReplicaPhase
from bambootiller_core.types import ModelKey

#: How long an unload is expected to take, seconds; only for estimates.
UNLOAD_S = 0.5
#: What a caller is told who came while all memory was in use.
NO_MEMORY_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Want:
    """A model, or with ``adapter`` one of its adapters, that is to be loaded."""

    urgency: int
    since: float
    replica: Replica
    adapter: str
    memory_bytes: int

    @property
    def item(self) -> Item:
        """What the ledger calls it."""
        return Item(self.replica.key, self.adapter)


@dataclass(frozen=True, slots=True)
class Victim:
    """Something idle that could make room, and when it would go anyway."""

    unload_at: float
    replica: Replica
    adapter: str
    memory_bytes: int


@dataclass(slots=True)
class _Budget:
    """Memory that is free now, and that comes free by unloads under way; bytes."""

    free: int
    coming: int

    def take(self, wanted: int) -> None:
        from_free = min(wanted, max(self.free, 0))
        self.free -= from_free
        self.coming -= wanted - from_free


class Eviction:
    """Provides memory for one agent's loads."""

    def __init__(self, state: BackendState, orders: Orders, store: StoreLoads) -> None:
        self._state = state
        self._orders = orders
        self._store = store

    def provide(self, now: float) -> None:
        """Order what fits, make room for what doesn't, refuse what can't be helped."""
        if not self._state.settled(now) or self._state.silent_since is not None:
            return
        wants = self._wants(now)
        if not wants:
            return
        budget = self._budget()
        for want in wants:
            self._provide(now, want, budget)

    def could_provide(self, now: float, key: ModelKey, memory_bytes: int) -> bool:
        """Whether memory for one more model could be had without cutting requests."""
        budget = self._budget()
        held = self._state.ledger.held(Item(key))
        room = sum(victim.memory_bytes for victim in self._victims(now, key))
        return memory_bytes - held <= budget.free + budget.coming + room

    def needs_room(self, key: ModelKey, memory_bytes: int) -> bool:
        """Whether something has to be unloaded before ``key`` can be loaded."""
        return not self._state.ledger.fits(Item(key), memory_bytes)

    def _provide(self, now: float, want: Want, budget: _Budget) -> None:
        ledger = self._state.ledger
        missing = max(0, want.memory_bytes - ledger.held(want.item))
        if missing <= budget.free and ledger.fits(want.item, want.memory_bytes):
            # What is put off for the weight store keeps its memory: otherwise a less
            # urgent model would take it, and the urgent one would have to evict it.
            budget.take(missing)
            if want.adapter or self._store.may_start(now, want.replica, want.urgency):
                self._order(now, want)
            return
        short = missing - max(budget.free, 0) - budget.coming
        if short > 0:
            short = self._make_room(now, want, short, budget)
        if short > 0:
            self._give_up(now, want)
            return
        budget.take(missing)

    def _order(self, now: float, want: Want) -> None:
        if want.adapter:
            self._orders.load_adapter(
                now, want.replica, want.adapter, want.memory_bytes
            )
            return
        self._orders.load(now, want.replica, want.memory_bytes)

    def _make_room(self, now: float, want: Want, short: int, budget: _Budget) -> int:
        """Unload idle things until ``short`` bytes come free; what stays short."""
        victims = self._victims(now, want.replica.key)
        if sum(victim.memory_bytes for victim in victims) < short:
            return short
        for victim in victims:
            if short <= 0:
                break
            self._evict(now, victim, want)
            budget.coming += victim.memory_bytes
            short -= victim.memory_bytes
        return short

    def _evict(self, now: float, victim: Victim, want: Want) -> None:
        if victim.adapter:
            self._orders.unload_adapter(now, victim.replica, victim.adapter)
        else:
            self._orders.unload(now, victim.replica)
        self._state.note(
            now,
            victim.replica.key,
            "evict",
            "unloading",
            f"makes room for {want.item.key} {want.adapter}".rstrip(),
            adapter=victim.adapter,
            frees_bytes=victim.memory_bytes,
            idle_until=round(victim.unload_at, 3),
        )

    def _give_up(self, now: float, want: Want) -> None:
        replica = want.replica
        replica.wanted_until = 0.0
        refused = Refused(
            Code.NO_MEMORY,
            Executed.NO,
            f"no accelerator memory for {want.item.key} {want.adapter}".rstrip(),
            come_back_ms(NO_MEMORY_RETRY_S),
        )
        for req in replica.gate.waiting_requests():
            if want.adapter in ("", adapter_of(req)):
                self._state.book.refuse(now, req.request_id, refused)
        self._state.note(
            now,
            replica.key,
            "load",
            "refused",
            "nothing idle could make room",
            adapter=want.adapter,
            wanted_bytes=want.memory_bytes,
        )

    def _wants(self, now: float) -> list[Want]:
        wants = []
        for replica in self._state.replicas.values():
            if replica.at_rest(now):
                continue
            if replica.part.loaded:
                wants += self._adapter_wants(now, replica)
            elif self._model_wanted(now, replica):
                wants.append(self._model_want(replica))
        wants.sort(key=lambda want: (want.urgency, want.since, want.replica.key))
        return wants

    def _model_wanted(self, now: float, replica: Replica) -> bool:
        part = replica.part
        return (
            part.cold
            and replica.wanted(now)
            and part.attempts.may_load(now)
            and self._state.loadable(replica.key)
            and self._state.confirmed_slot(replica.key)
            and self._state.policy(replica.key) is not None
            and not self._unload_may_arrive(now, part)
        )

    def _unload_may_arrive(self, now: float, part: Part) -> bool:
        # A copy of an unload whose answer was lost may reach an engine that restarted
        # in between and doesn't know the order. It would unload the model under the
        # requests that this load is for, and they would be cut. So the load waits until
        # the copy can't arrive any more, or until the engine has listed it.
        if now >= part.unload_until:
            return False
        listed = self._state.engine.orders if self._state.engine else {}
        return part.unload_id not in listed

    def _model_want(self, replica: Replica) -> Want:
        policy = self._state.policy(replica.key)
        since = min(
            (req.deadline for req in replica.gate.waiting_requests()),
            default=replica.wanted_until,
        )
        urgency = replica.gate.urgency()
        return Want(urgency, since, replica, "", policy.memory_bytes)

    def _adapter_wants(self, now: float, replica: Replica) -> list[Want]:
        policy = self._state.policy(replica.key)
        if policy is None or not self._state.loadable(replica.key):
            return []
        first: dict[str, Want] = {}
        for req in replica.gate.parked.values():
            name = adapter_of(req)
            part = replica.adapter(name)
            if name in first or not self._adapter_may_load(now, replica, part):
                continue
            first[name] = Want(
                req.priority, req.deadline, replica, name, policy.adapter_bytes
            )
        return list(first.values())

    def _adapter_may_load(self, now: float, replica: Replica, part: Part) -> bool:
        return (
            part.cold
            and part.attempts.may_load(now)
            and not self._unload_may_arrive(now, part)
        )

    def _budget(self) -> _Budget:
        ledger = self._state.ledger
        coming = 0
        for replica in self._state.replicas.values():
            if replica.part.phase is ReplicaPhase.UNLOADING:
                coming += ledger.held_by(replica.key)
                continue
            for name, part in replica.adapters.items():
                if part.phase is ReplicaPhase.UNLOADING:
                    coming += ledger.held(Item(replica.key, name))
        return _Budget(ledger.free(), coming)

    def _victims(self, now: float, besides: ModelKey) -> list[Victim]:
        """What could go, the least valuable first: adapters, then models by the time at
        which they would be unloaded anyway."""
        victims = []
        for replica in self._state.replicas.values():
            if not replica.part.loaded:
                continue
            if replica.key != besides and replica.idle() and not replica.wanted(now):
                held = self._state.ledger.held_by(replica.key)
                at = replica.unload_at if replica.unload_at is not None else now
                victims.append(Victim(at, replica, "", held))
                continue
            victims += self._idle_adapters(replica)
        victims.sort(key=lambda victim: (victim.unload_at, victim.replica.key))
        return victims

    def _idle_adapters(self, replica: Replica) -> list[Victim]:
        used = replica.gate.adapters_in_use()
        return [
            Victim(0.0, replica, name, self._state.ledger.held(Item(replica.key, name)))
            for name, part in replica.adapters.items()
            if part.loaded and name not in used
        ]
