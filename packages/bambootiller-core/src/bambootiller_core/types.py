"""The plain data that all parts of the core share.

Times are seconds on the caller's monotonic clock (``now: float``), memory is bytes, and
durations that travel between processes are milliseconds. Nothing here decides anything.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Role(enum.Enum):
    """What a process does: ``entry`` faces callers, ``agent`` one backend server."""

    ENTRY = "entry"
    AGENT = "agent"


class Tier(enum.Enum):
    """Where an engine keeps a checkpoint that isn't loaded, fastest first."""

    MEMORY = "memory"
    DISK = "disk"
    REMOTE = "remote"


class Phase(enum.Enum):
    """What an engine reports about a model."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class OrderState(enum.Enum):
    """What an engine reports about an order that it has taken."""

    PENDING = "pending"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, order=True)
class ModelKey:
    """A model of one customer. Customers never share replicas."""

    customer: str
    model: str

    def __str__(self) -> str:
        return f"{self.customer}/{self.model}"


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the system as its peers know it.

    ``incarnation`` is raised by the process itself, at each start and each time that it
    refutes a suspicion, so that of two statements the later one wins. ``services`` are
    the plain services beside an agent, known once the member has spoken for itself.
    """

    instance: str
    role: Role
    zone: str
    region: str
    address: str
    incarnation: int = 0
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """A call of a model, possibly through one of its adapters."""

    model: str
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A call of a plain service."""

    service: str
    method: str
    path: str


Target = ModelTarget | ServiceTarget


@dataclass(frozen=True, slots=True)
class Request:
    """What the decisions need to know of a caller's request; the body stays outside.

    ``deadline`` is a point on the deciding process's own monotonic clock. ``priority``
    is 0 for the most urgent callers up to 9; ``standing`` is the weight that the
    customer gives an answer to this caller. ``prefix`` is a hash of the prompt's
    beginning, or 0."""

    request_id: str
    customer: str
    caller: str
    target: Target
    deadline: float
    priority: int = 5
    standing: float = 1.0
    batch: bool = False
    non_idempotent: bool = False
    idempotency_key: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: int = 0


@dataclass(frozen=True, slots=True)
class ModelReport:
    """One model in an engine's state. ``running`` and ``waiting`` lag behind."""

    model: str
    phase: Phase
    memory_bytes: int
    fence: int = 0
    adapters: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own account of itself; what it says of memory and models is exact.

    ``incarnation`` changes when the engine restarts, and with it all is unloaded.
    """

    version: int
    incarnation: str
    memory_total: int
    memory_used: int
    models: tuple[ModelReport, ...] = ()
    tiers: dict[str, Tier] = field(default_factory=dict)
    orders: dict[str, OrderState] = field(default_factory=dict)
    fencing: bool = False


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """The load of one replica as its agent knows it at this moment.

    Travels on every reply, so that entries choose by fresh figures without broadcasts.
    ``queue_ms`` is the estimated wait of a request that arrives now, load time
    included."""

    running: int = 0
    waiting: int = 0
    queue_ms: int = 0
    loaded: bool = False
    free_bytes: int = 0
