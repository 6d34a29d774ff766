"""What an engine holds: models, adapters, memory, orders, and the load report that lags
behind.
"""

import asyncio
import collections
import enum
from dataclasses import dataclass, field
from typing import Any

from bambootiller_standins.engine._batch import Batch
from bambootiller_standins.engine._config import EngineConfig, Tier
from bambootiller_standins.engine._journal import Entry, Journal

ORDERS_KEPT = 256


class Phase(enum.StrEnum):
    """How far a model has come."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class OrderStatus(enum.StrEnum):
    """How far an order has come."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"


@dataclass(eq=False, slots=True)
class Replica:
    """A model that takes accelerator memory, from the start of its load to the end of
    its unload.
    """

    model: str
    base_bytes: int
    fence: int
    phase: Phase = Phase.LOADING
    adapters: dict[str, int] = field(default_factory=dict)
    batch: Batch | None = None

    @property
    def memory_bytes(self) -> int:
        """What the model and its adapters take."""
        return self.base_bytes + sum(self.adapters.values())


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Running and waiting requests of a model as the load report shows them."""

    running: int = 0
    waiting: int = 0


class EngineState:
    """The state of one incarnation of an engine, with a version that grows at each
    change.
    """

    def __init__(self, cfg: EngineConfig, incarnation: str, journal: Journal) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.version = 1
        self.replicas: dict[str, Replica] = {}
        self.fences: dict[str, int] = {}
        self.tiers = {name: model.tier for name, model in cfg.models.items()}
        self.orders: collections.OrderedDict[str, OrderStatus]
        self.orders = collections.OrderedDict()
        self.overcommitted = False
        self.overcommits = 0
        self._over = False
        self.most_memory_used = 0
        self.most_loaded: dict[str, int] = {}
        self.report: dict[str, LoadSample] = {}
        self._host_memory: list[str] = []
        self._journal = journal
        self._changed = asyncio.Event()

    @property
    def running(self) -> int:
        """Requests that run now, over all models."""
        batches = [replica.batch for replica in self.replicas.values()]
        return sum(len(batch.running) for batch in batches if batch is not None)

    @property
    def waiting(self) -> int:
        """Requests that wait now, over all models."""
        batches = [replica.batch for replica in self.replicas.values()]
        return sum(batch.waiting for batch in batches if batch is not None)

    @property
    def memory_used(self) -> int:
        """Bytes taken by models, adapters and running requests."""
        held = sum(replica.memory_bytes for replica in self.replicas.values())
        return held + self.running * self.cfg.kv_bytes_per_request

    def changed(self) -> None:
        """Raises the version and wakes those who wait for it."""
        self.version += 1
        self.check_memory()
        self._changed.set()
        self._changed = asyncio.Event()

    def check_memory(self) -> None:
        """Records an overcommitment; it stays recorded until it is reset."""
        used = self.memory_used
        self.most_memory_used = max(self.most_memory_used, used)
        over = used > self.cfg.memory_total
        if over and not self._over:
            self.overcommitted = True
            self.overcommits += 1
            self._journal.write(Entry.OVERCOMMITTED)
        self._over = over

    def reset_records(self) -> None:
        """Forgets what was recorded of the past: overcommitment, highest memory, models
        once loaded.
        """
        self.overcommitted = self._over
        self.overcommits = 0
        self.most_memory_used = self.memory_used
        self.most_loaded = dict.fromkeys(self.replicas, 1)

    async def wait_above(self, version: int, seconds: float) -> None:
        """Waits until the version is above *version*, at most *seconds*."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self.version <= version and (left := deadline - loop.time()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return

    def hold(self, model: str, memory_bytes: int, fence: int) -> Replica:
        """Takes memory for a model whose load begins."""
        replica = Replica(model, memory_bytes, fence)
        self.replicas[model] = replica
        self.most_loaded[model] = 1
        self._journal.write(Entry.HELD, model)
        self.changed()
        return replica

    def release(self, replica: Replica) -> None:
        """Gives a model's memory back."""
        del self.replicas[replica.model]
        self._journal.write(Entry.RELEASED, replica.model)
        self.changed()

    def tier(self, model: str) -> Tier:
        """Returns where a model's checkpoint is cached."""
        return self.tiers.get(model, self.cfg.model(model).tier)

    def set_tier(self, model: str, tier: Tier) -> None:
        """Moves a checkpoint; the host's memory keeps only the last few."""
        self.tiers[model] = tier
        if model in self._host_memory:
            self._host_memory.remove(model)
        if tier is Tier.MEMORY:
            self._host_memory.append(model)
        while len(self._host_memory) > self.cfg.host_memory_models:
            self.tiers[self._host_memory.pop(0)] = Tier.DISK
        self.changed()

    def set_order(self, order_id: str, status: OrderStatus) -> None:
        """Notes how far an order has come; the oldest are forgotten."""
        self.orders[order_id] = status
        while len(self.orders) > ORDERS_KEPT:
            self.orders.popitem(last=False)
        self.changed()

    def sample(self) -> dict[str, LoadSample]:
        """Returns the load of each model now."""
        return {
            replica.model: LoadSample(len(replica.batch.running), replica.batch.waiting)
            for replica in self.replicas.values()
            if replica.batch is not None
        }

    def show(self, report: dict[str, LoadSample]) -> None:
        """Publishes a load report; the version grows only if it differs."""
        if report != self.report:
            self.report = report
            self.changed()

    def form(self) -> dict[str, Any]:
        """Returns the body of ``GET /state``."""
        return {
            "version": self.version,
            "incarnation": self.incarnation,
            "memory_total": self.cfg.memory_total,
            "memory_used": self.memory_used,
            "models": [self._replica_form(one) for one in self.replicas.values()],
            "tiers": dict(self.tiers),
            "orders": dict(self.orders),
            "fencing": self.cfg.fencing,
            "overcommitted": self.overcommitted,
        }

    def _replica_form(self, replica: Replica) -> dict[str, Any]:
        sample = self.report.get(replica.model, LoadSample())
        return {
            "model": replica.model,
            "phase": replica.phase,
            "memory_bytes": replica.memory_bytes,
            "fence": replica.fence,
            "adapters": sorted(replica.adapters),
            "running": sample.running,
            "waiting": sample.waiting,
        }
