"""What the parts of a backend server's decisions share.

The parts (requests, orders, loading, eviction, drain) are small modules of their own,
and all act on this one state, which the facade
:class:`~bambootiller_core.backend.BackendCore` owns.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from bambootiller_core._gate import Gate
from bambootiller_core._requests import Outbox, RequestBook
from bambootiller_core.admission import LoadTimes, ServiceTimes
from bambootiller_core.backend_effects import BackendConfig, engine_name
from bambootiller_core.decisions import DecisionLog, Figure
from bambootiller_core.keepalive import KeepAlive
from bambootiller_core.memory import Ledger, describe
from bambootiller_core.replicas import Replica
from bambootiller_core.slots import Slot, SlotTable
from bambootiller_core.template import ModelPolicy, ServicePolicy, Template, Weights
from bambootiller_core.types import EngineState, ModelKey, Tier

#: The share of batch work at a customer whose template isn't known.
DEFAULT_BATCH_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class ServiceKey:
    """A plain service of one customer."""

    customer: str
    service: str


@dataclass(slots=True)
class Leaving:
    """Since when the agent leaves, and by when it has to be done."""

    since: float
    deadline: float
    drained: bool = False


@dataclass(slots=True)
class BackendState:
    """All that one agent knows and has decided.

    ``taken_over_at`` is when the engine's state was first read, ``engine_as_of`` a time
    at which the known state was still current, ``silent_since`` since when it can't be
    read.
    """

    instance: str
    cfg: BackendConfig
    decisions: DecisionLog
    rng: random.Random
    outbox: Outbox
    book: RequestBook
    ledger: Ledger
    load_times: LoadTimes = field(default_factory=LoadTimes)
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    plain_times: ServiceTimes = field(default_factory=ServiceTimes)
    adapter_times: LoadTimes = field(default_factory=lambda: LoadTimes(prior=1.0))
    keepalive: KeepAlive = field(default_factory=KeepAlive)
    templates: dict[str, Template] = field(default_factory=dict)
    tables: dict[ModelKey, SlotTable] = field(default_factory=dict)
    replicas: dict[ModelKey, Replica] = field(default_factory=dict)
    services: dict[ServiceKey, Gate] = field(default_factory=dict)
    engine: EngineState | None = None
    engine_as_of: float = 0.0
    taken_over_at: float | None = None
    silent_since: float | None = None
    leaving: Leaving | None = None
    confirmed: dict[ModelKey, int] = field(default_factory=dict)
    confirm_asked: dict[ModelKey, float] = field(default_factory=dict)

    @property
    def settled_at(self) -> float:
        """When the orders of earlier agents have all arrived; inf before take-over."""
        if self.taken_over_at is None:
            return float("inf")
        return self.taken_over_at + self.cfg.settle_s

    def settled(self, now: float) -> bool:
        """Whether the settle time since the take-over has passed, and the engine's
        state was read after it. An order that arrived late in it would be unknown."""
        return now >= self.settled_at and self.engine_as_of >= self.settled_at

    def silent(self, now: float) -> bool:
        """Whether the engine counts as unreachable."""
        if self.silent_since is None:
            return False
        return now - self.silent_since >= self.cfg.silent_s

    def slot(self, key: ModelKey) -> Slot | None:
        """The slot of ``key`` that this instance holds by the newest table seen."""
        table = self.tables.get(key)
        return table.slot_of(self.instance) if table else None

    def loadable(self, key: ModelKey) -> bool:
        """Whether this instance may load ``key`` by the newest table seen."""
        slot = self.slot(key)
        return slot is not None and not slot.retiring

    def confirmed_slot(self, key: ModelKey) -> bool:
        """Whether a write of this process has confirmed the slot that it holds now."""
        slot = self.slot(key)
        if slot is None:
            return False
        return not self.cfg.confirm_slots or self.confirmed.get(key) == slot.fence

    def unconfirmed_for(self, now: float, key: ModelKey) -> float:
        """For how long the confirmation of a slot has been awaited, seconds."""
        if self.confirmed_slot(key) or key not in self.confirm_asked:
            return 0.0
        return now - self.confirm_asked[key]

    def policy(self, key: ModelKey) -> ModelPolicy | None:
        """What the customer decided for a model, or None if it decided nothing."""
        template = self.templates.get(key.customer)
        return template.models.get(key.model) if template else None

    def service_policy(self, key: ServiceKey) -> ServicePolicy | None:
        """What the customer decided for a plain service, or None."""
        template = self.templates.get(key.customer)
        return template.services.get(key.service) if template else None

    def weights(self, key: ModelKey) -> Weights:
        """The customer's weights, or the default ones."""
        template = self.templates.get(key.customer)
        return template.weights if template else Weights()

    def tier(self, key: ModelKey) -> Tier:
        """Where the engine keeps a model's checkpoint; remote if it doesn't say."""
        if self.engine is None:
            return Tier.REMOTE
        return self.engine.tiers.get(engine_name(key), Tier.REMOTE)

    def load_s(self, key: ModelKey) -> float:
        """How long a load of ``key`` is expected to take now."""
        return self.load_times.expected(key, self.tier(key))

    def replica(self, key: ModelKey) -> Replica:
        """The replica of ``key``, made on first use."""
        replica = self.replicas.get(key)
        if replica is None:
            gate = Gate(self._batch_share(key.customer))
            replica = self.replicas[key] = Replica(key, gate)
        return replica

    def service_gate(self, key: ServiceKey) -> Gate:
        """The gate of a plain service, made on first use."""
        gate = self.services.get(key)
        if gate is None:
            gate = self.services[key] = Gate(self._batch_share(key.customer))
        return gate

    def note(
        self,
        now: float,
        key: ModelKey,
        kind: str,
        outcome: str,
        reason: str,
        **figures: Figure,
    ) -> None:
        """Record a decision about a model, with the memory's figures."""
        self.decisions.record(
            now,
            f"model/{key}",
            kind,
            outcome,
            reason,
            **describe(self.ledger),
            **figures,
        )

    def _batch_share(self, customer: str) -> float:
        template = self.templates.get(customer)
        return template.batch_share if template else DEFAULT_BATCH_SHARE
