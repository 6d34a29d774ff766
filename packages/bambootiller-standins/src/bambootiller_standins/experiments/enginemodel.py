"""A model of one backend server's engine: memory, checkpoint tiers, loads and calls.

It takes the core's orders and gives the core's own ``EngineState``. Times are simple: a
load is a transfer, at the store's pace or from a tier, and a warm-up; a call is a
prefill, shorter behind a cached prefix, and tokens that slow down a little in a large
batch.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller_core.backend_effects import (
    OrderKind,
    OrderOutcome,
    OrderRejected,
    OrderTaken,
    SendOrder,
)
from bambootiller_core.types import EngineState, ModelReport, OrderState, Phase, Tier

from .arrivals import Arrival
from .storemodel import StoreModel
from .virtualtime import VirtualTime
from .world import ModelFacts

#: What reading a checkpoint from a local tier takes, as a part of its transfer time.
TIER_SHARE = {Tier.MEMORY: 0.1, Tier.DISK: 0.5}
#: The warm-up is shorter when the checkpoint is mapped in memory already.
WARM_UP_SHARE = {Tier.MEMORY: 0.6, Tier.DISK: 1.0, Tier.REMOTE: 1.0}
MEMORY_TIER_MODELS = 2
DISK_TIER_MODELS = 5
UNLOAD_S = 0.2
ADAPTER_LOAD_S = 0.3
STATE_DELAY_S = 0.02
PREFILL_TOKEN_S = 0.0003
CACHED_PREFILL_SHARE = 0.2
CACHED_PREFIXES = 64
#: Each further call in a batch lengthens all calls' tokens by this part.
BATCH_SLOWDOWN = 0.02


@dataclass(slots=True)
class _Model:
    phase: Phase
    fence: int
    memory_bytes: int
    bare_load_s: float = 0.0
    adapters: set[str] = field(default_factory=set)
    running: int = 0


@dataclass(slots=True, eq=False)
class Run:
    """A call that runs: when its tokens begin, what each takes, how many they are."""

    begins_at: float
    token_s: float
    tokens: int
    over: bool = False

    def produced(self, now: float) -> int:
        """The tokens that have been passed on by now."""
        return max(0, min(self.tokens, int((now - self.begins_at) / self.token_s)))


class EngineModel:
    """One engine. ``on_state`` is called with each new state, soon after a change."""

    def __init__(
        self,
        time: VirtualTime,
        store: StoreModel,
        memory_total: int,
        facts: dict[str, ModelFacts],
        on_state: Callable[[EngineState], None],
    ) -> None:
        self._time = time
        self._store = store
        self._memory_total = memory_total
        self._facts = facts
        self._on_state = on_state
        self._models: dict[str, _Model] = {}
        self._orders: OrderedDict[str, OrderState] = OrderedDict()
        self._memory_tier: OrderedDict[str, None] = OrderedDict()
        self._disk_tier: OrderedDict[str, None] = OrderedDict()
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._version = 0
        self._state_due = False
        self.alive = True
        self.loads = 0
        self.failed_rules: list[str] = []

    # State

    def state(self) -> EngineState:
        """The engine's account of itself now."""
        reports = tuple(
            ModelReport(
                name,
                item.phase,
                item.memory_bytes,
                item.fence,
                tuple(sorted(item.adapters)) if item.adapters else (),
                item.running,
            )
            for name, item in self._models.items()
        )
        tiers = dict.fromkeys(self._disk_tier, Tier.DISK)
        tiers.update(dict.fromkeys(self._memory_tier, Tier.MEMORY))
        return EngineState(
            self._version,
            "1",
            self._memory_total,
            self._memory_used(),
            reports,
            tiers,
            dict(self._orders),
        )

    def tier(self, name: str) -> Tier:
        """Where the checkpoint of ``name`` lies here."""
        if name in self._memory_tier:
            return Tier.MEMORY
        return Tier.DISK if name in self._disk_tier else Tier.REMOTE

    def loaded(self, name: str) -> bool:
        """Whether ``name`` can serve calls here."""
        item = self._models.get(name)
        return self.alive and item is not None and item.phase is Phase.LOADED

    def bare_load_s(self, name: str, adapter: str) -> float:
        """What a load of ``name``, and of an adapter, takes here if all is quiet."""
        facts = self._facts[name]
        tier = self.tier(name)
        share = TIER_SHARE.get(tier, 1.0)
        model = facts.transfer_s * share + facts.warm_up_s * WARM_UP_SHARE[tier]
        if (item := self._models.get(name)) is not None:
            # While a load goes on, its checkpoint comes to lie in memory.
            model = item.bare_load_s
        return model + (ADAPTER_LOAD_S if adapter else 0.0)

    def keep_on_disk(self, name: str) -> None:
        """Let the checkpoint lie on the local disk from the beginning."""
        self._disk_tier[name] = None

    def preload(self, name: str, fence: int) -> bool:
        """Have ``name`` loaded from the beginning; False if it doesn't fit."""
        size = self._facts[name].policy.memory_bytes
        if self._memory_used() + size > self._memory_total:
            return False
        self._models[name] = _Model(Phase.LOADED, fence, size)
        self._cache(name)
        return True

    def kill(self) -> None:
        """The backend server is gone, with everything on it."""
        self.alive = False
        self._models.clear()

    # Orders

    def order(self, order: SendOrder) -> OrderOutcome:
        """Take an order, or say why not; what becomes of it shows in the state."""
        if order.order_id in self._orders:
            return OrderTaken()
        match order.kind:
            case OrderKind.LOAD:
                return self._load(order)
            case OrderKind.UNLOAD:
                return self._unload(order)
            case OrderKind.PREFETCH:
                return self._prefetch(order)
            case _:
                return self._adapter(order)

    def _load(self, order: SendOrder) -> OrderOutcome:
        size = self._facts[order.model].policy.memory_bytes
        if order.model in self._models:
            return OrderRejected("loaded already")
        if self._memory_used() + size > self._memory_total:
            self.failed_rules.append(f"memory overcommitted by {order.model}")
            return OrderRejected("no_memory")
        bare = self.bare_load_s(order.model, "")
        self._models[order.model] = _Model(Phase.LOADING, order.fence, size, bare)
        self._note(order, OrderState.PENDING)
        self.loads += 1
        facts = self._facts[order.model]
        tier = self.tier(order.model)
        warm_up = facts.warm_up_s * WARM_UP_SHARE[tier]

        def transferred() -> None:
            self._cache(order.model)
            self._time.after(warm_up, self._load_done, order)

        if tier is Tier.REMOTE:
            self._store.transfer(facts.transfer_s, transferred)
        else:
            self._time.after(facts.transfer_s * TIER_SHARE[tier], transferred)
        return OrderTaken()

    def _load_done(self, order: SendOrder) -> None:
        item = self._models.get(order.model)
        if item is None or not self.alive:
            return
        item.phase = Phase.LOADED
        self._note(order, OrderState.DONE)

    def _unload(self, order: SendOrder) -> OrderOutcome:
        item = self._models.get(order.model)
        if item is None:
            self._note(order, OrderState.DONE)
            return OrderTaken()
        if item.running:
            self.failed_rules.append(f"unloaded {order.model} with calls running")
        item.phase = Phase.UNLOADING
        item.bare_load_s = self._facts[order.model].bare_load_s
        self._note(order, OrderState.PENDING)
        self._time.after(UNLOAD_S, self._unload_done, order)
        return OrderTaken()

    def _unload_done(self, order: SendOrder) -> None:
        self._models.pop(order.model, None)
        self._note(order, OrderState.DONE)

    def _prefetch(self, order: SendOrder) -> OrderOutcome:
        self._note(order, OrderState.PENDING)

        def done() -> None:
            self._cache(order.model)
            self._note(order, OrderState.DONE)

        if self.tier(order.model) is Tier.REMOTE:
            self._store.transfer(self._facts[order.model].transfer_s, done)
        else:
            self._time.after(0.1, done)
        return OrderTaken()

    def _adapter(self, order: SendOrder) -> OrderOutcome:
        self._note(order, OrderState.PENDING)
        self._time.after(ADAPTER_LOAD_S, self._adapter_done, order)
        return OrderTaken()

    def _adapter_done(self, order: SendOrder) -> None:
        item = self._models.get(order.model)
        if item is not None and order.kind is OrderKind.LOAD_ADAPTER:
            item.adapters.add(order.adapter)
        elif item is not None:
            item.adapters.discard(order.adapter)
        self._note(order, OrderState.DONE)

    def _cache(self, name: str) -> None:
        _touch(self._memory_tier, name, MEMORY_TIER_MODELS)
        _touch(self._disk_tier, name, DISK_TIER_MODELS)

    def _memory_used(self) -> int:
        return sum(
            item.memory_bytes
            + len(item.adapters) * self._facts[name].policy.adapter_bytes
            for name, item in self._models.items()
        )

    def _note(self, order: SendOrder, state: OrderState) -> None:
        self._orders[order.order_id] = state
        while len(self._orders) > 256:
            self._orders.popitem(last=False)
        self._changed()

    def _changed(self) -> None:
        self._version += 1
        if not self._state_due:
            self._state_due = True
            self._time.after(STATE_DELAY_S, self._tell)

    def _tell(self) -> None:
        self._state_due = False
        if self.alive:
            self._on_state(self.state())

    # Calls

    def run(
        self,
        name: str,
        arrival: Arrival,
        skip_tokens: int,
        first_token: Callable[[], None],
        finished: Callable[[bool], None],
    ) -> Run:
        """Run a call, behind ``skip_tokens`` of its answer that the caller has already.

        ``finished(ok)`` comes once, also when the engine is killed.
        """
        item = self._models.get(name)
        if item is None or item.phase is not Phase.LOADED:
            self.failed_rules.append(f"started a call of {name}, which isn't loaded")
            self._time.after(0.0, finished, False)
            return Run(self._time.now, 1.0, 0, over=True)
        item.running += 1
        prefill = (arrival.prompt_tokens + skip_tokens) * PREFILL_TOKEN_S
        if arrival.prefix in self._prefixes:
            prefill *= CACHED_PREFILL_SHARE
        _touch(self._prefixes, arrival.prefix, CACHED_PREFIXES)
        slow = 1.0 + BATCH_SLOWDOWN * (item.running - 1)
        token = self._facts[name].policy.token_ms / 1000.0 * slow
        tokens = max(1, arrival.tokens - skip_tokens)
        run = Run(self._time.now + prefill, token, tokens)
        self._time.after(prefill + token, self._emit, run, first_token)
        self._time.after(prefill + token * tokens, self._finish, item, run, finished)
        return run

    def cancel(self, name: str, run: Run) -> None:
        """The agent has closed the connection of a call; it ends without a word."""
        if not run.over:
            run.over = True
            self._models[name].running -= 1

    def _emit(self, run: Run, first_token: Callable[[], None]) -> None:
        if self.alive and not run.over:
            first_token()

    def _finish(self, item: _Model, run: Run, finished: Callable[[bool], None]) -> None:
        if run.over:
            return
        run.over = True
        item.running -= 1
        finished(self.alive)


def _touch(lru: OrderedDict[int | str, None], item: int | str, size: int) -> None:
    lru[item] = None
    lru.move_to_end(item)
    while len(lru) > size:
        lru.popitem(last=False)
