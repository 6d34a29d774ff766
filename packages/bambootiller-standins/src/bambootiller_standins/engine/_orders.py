"""Orders to an engine: whether one is accepted, and carrying it out."""

import asyncio
import collections
import enum
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
from pydantic import BaseModel, Field

from bambootiller_standins.engine._batch import Batch, BatchTiming
from bambootiller_standins.engine._config import Tier
from bambootiller_standins.engine._events import PrefixCache
from bambootiller_standins.engine._state import (
    EngineState,
    OrderStatus,
    Phase,
    Replica,
)

MS = 0.001


class OrderKind(enum.StrEnum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    PREFETCH = "prefetch"


class Order(BaseModel):
    """The body of ``POST /orders``."""

    order_id: str = Field(min_length=1)
    kind: OrderKind
    model: str = Field(min_length=1)
    adapter: str | None = None
    memory_bytes: int = Field(default=0, ge=0)
    fence: int = 0


class Verdict(enum.StrEnum):
    """The engine's first answer to an order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    NO_MEMORY = "no_memory"
    UNKNOWN_MODEL = "unknown_model"


class LoadFailed(Exception):
    """The weights couldn't be had, or a test ordered the failure."""


@dataclass(slots=True)
class OrderCounts:
    """Counts since the start or the last reset."""

    seen: int = 0
    repeated: int = 0
    loads: int = 0
    unloads: int = 0
    load_failures: int = 0
    stale_refused: int = 0
    stale_obeyed: int = 0
    cut_by_unload: int = 0


@dataclass(slots=True)
class OrderFaults:
    """What a test has ordered of the loads to come."""

    fail_loads: int = 0
    load_factor: float = 1.0


@dataclass(slots=True)
class Orders:
    """Accepts orders and carries each out in a task of its own; those of one model run
    one after another.
    """

    state: EngineState
    cache: PrefixCache
    timing: BatchTiming
    thawed: Callable[[], Awaitable[None]]
    counts: OrderCounts = field(default_factory=OrderCounts)
    faults: OrderFaults = field(default_factory=OrderFaults)
    _locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: collections.defaultdict(asyncio.Lock)
    )
    _tasks: set[asyncio.Task] = field(default_factory=set)

    def accept(self, order: Order) -> Verdict:
        """Takes an order or refuses it; a repeated one is accepted without effect."""
        self.counts.seen += 1
        if order.order_id in self.state.orders:
            self.counts.repeated += 1
            return Verdict.ACCEPTED
        if not self.state.cfg.knows(order.model):
            return Verdict.UNKNOWN_MODEL
        if not self._fence_allows(order):
            return Verdict.STALE_FENCE
        if self._lacks_memory(order):
            return Verdict.NO_MEMORY
        self.state.set_order(order.order_id, OrderStatus.PENDING)
        task = asyncio.create_task(self._carry_out(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Verdict.ACCEPTED

    async def close(self) -> None:
        """Ends all orders and batches at once."""
        for task in self._tasks:
            task.cancel()
        for replica in self.state.replicas.values():
            if replica.batch is not None:
                replica.batch.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _fence_allows(self, order: Order) -> bool:
        highest = self.state.fences.get(order.model, 0)
        if order.fence >= highest:
            self.state.fences[order.model] = order.fence
            return True
        if self.state.cfg.fencing:
            self.counts.stale_refused += 1
            return False
        self.counts.stale_obeyed += 1
        return True

    def _lacks_memory(self, order: Order) -> bool:
        if not self.state.cfg.refuse_no_memory:
            return False
        if order.kind is OrderKind.LOAD and order.model not in self.state.replicas:
            wanted = self._model_bytes(order)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            wanted = self._adapter_bytes(order)
        else:
            return False
        return self.state.memory_used + wanted > self.state.cfg.memory_total

    def _model_bytes(self, order: Order) -> int:
        configured = self.state.cfg.model(order.model).memory_bytes
        return configured if configured is not None else order.memory_bytes

    def _adapter_bytes(self, order: Order) -> int:
        listed = self.state.cfg.model(order.model).adapters
        default = order.memory_bytes or self.state.cfg.adapter_bytes
        return listed.get(order.adapter, default)

    async def _carry_out(self, order: Order) -> None:
        steps = {
            OrderKind.LOAD: self._load,
            OrderKind.UNLOAD: self._unload,
            OrderKind.LOAD_ADAPTER: self._load_adapter,
            OrderKind.UNLOAD_ADAPTER: self._unload_adapter,
            OrderKind.PREFETCH: self._prefetch,
        }
        async with self._locks[order.model]:
            try:
                await steps[order.kind](order)
            except LoadFailed:
                self.counts.load_failures += 1
                self.state.set_order(order.order_id, OrderStatus.FAILED)
                return
        self.state.set_order(order.order_id, OrderStatus.DONE)

    async def _load(self, order: Order) -> None:
        replica = self.state.replicas.get(order.model)
        if replica is not None:
            replica.fence = max(replica.fence, order.fence)
            return
        # Memory is looked at again: between the answer and this moment, another order
        # may have taken it.
        if self._lacks_memory(order):
            raise LoadFailed
        self.counts.loads += 1
        replica = self.state.hold(order.model, self._model_bytes(order), order.fence)
        try:
            await self._read_weights(order.model)
        except LoadFailed:
            self.state.release(replica)
            raise
        replica.phase = Phase.LOADED
        replica.batch = Batch(self.timing)

    async def _read_weights(self, model: str) -> None:
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            raise LoadFailed
        times = self.state.cfg.load_times(model)
        if self.state.tier(model) is Tier.REMOTE:
            await self._fetch(model, times.remote)
        if self.state.tier(model) is Tier.MEMORY:
            await self._sleep(times.memory)
        else:
            await self._sleep(times.disk)

    async def _fetch(self, model: str, work_ms: float) -> None:
        store = self.state.cfg.weight_store
        if store is None:
            await self._sleep(work_ms)
        else:
            # A model is called "customer/name". With its slash as it is, the store knew
            # no such path, and every load that came from there failed.
            name = urllib.parse.quote(model, safe="")
            await self._transfer(f"{store}/weights/{name}", work_ms)
        self.state.set_tier(model, Tier.DISK)

    async def _transfer(self, url: str, work_ms: float) -> None:
        params = {"work_ms": str(work_ms * self.faults.load_factor)}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=2)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(url, params=params) as response:
                    response.raise_for_status()
        except (aiohttp.ClientError, OSError) as exc:
            raise LoadFailed from exc

    async def _sleep(self, ms: float) -> None:
        await asyncio.sleep(ms * self.faults.load_factor * MS)
        await self.thawed()

    async def _unload(self, order: Order) -> None:
        replica = self.state.replicas.get(order.model)
        if replica is None:
            return
        self.counts.unloads += 1
        replica.phase = Phase.UNLOADING
        self.counts.cut_by_unload += len(replica.batch.close())
        replica.batch = None
        self.cache.drop_model(order.model)
        self.state.changed()
        await self._sleep(self.state.cfg.unload_ms)
        self.state.release(replica)
        if self.state.cfg.host_memory_models > 0:
            self.state.set_tier(order.model, Tier.MEMORY)

    async def _load_adapter(self, order: Order) -> None:
        replica = self._loaded(order)
        if order.adapter in replica.adapters:
            return
        size = self._adapter_bytes(order)
        # The memory is taken before the wait, as an accelerator does it.
        replica.base_bytes += size
        self.state.changed()
        await self._sleep(self.state.cfg.adapter_load_ms)
        replica.base_bytes -= size
        replica.adapters[order.adapter] = size

    async def _unload_adapter(self, order: Order) -> None:
        replica = self.state.replicas.get(order.model)
        if replica is not None:
            replica.adapters.pop(order.adapter, None)

    def _loaded(self, order: Order) -> Replica:
        replica = self.state.replicas.get(order.model)
        if replica is None or replica.phase is not Phase.LOADED or not order.adapter:
            raise LoadFailed
        return replica

    async def _prefetch(self, order: Order) -> None:
        times = self.state.cfg.load_times(order.model)
        tier = self.state.tier(order.model)
        if tier is Tier.REMOTE:
            await self._fetch(order.model, times.remote)
        elif tier is Tier.DISK:
            await self._sleep(times.disk)
            self.state.set_tier(order.model, Tier.MEMORY)
