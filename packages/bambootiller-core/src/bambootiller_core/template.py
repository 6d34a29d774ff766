"""A customer's template as the core uses it.

The border (``bambootiller.templates``) validates what operators write and builds these
data classes from it. They are immutable; a change is a new template with a higher
version."""

from __future__ import annotations

import datetime
import enum
from dataclasses import dataclass, field


class WhenStoreDown(enum.Enum):
    """What becomes of a non-idempotent call while its claim can't be written.

    ``REFUSE`` answers at once that the call has not run, and when to come back.
    ``WAIT`` keeps trying to claim until the request's own deadline, then refuses as
    truthfully."""

    REFUSE = "refuse"
    WAIT = "wait"


@dataclass(frozen=True, slots=True)
class ModelPolicy:
    """What a customer decided for one model.

    ``replicas`` caps the loaded replicas everywhere; ``memory_bytes`` is the
    accelerator memory of one replica, its KV cache included. ``load_ms`` is the
    operator's estimate of a load from the remote store, until measured ones replace it.
    """

    name: str
    replicas: int
    memory_bytes: int
    adapters: frozenset[str] = frozenset()
    adapter_bytes: int = 0
    load_ms: int = 10_000
    max_running: int = 8
    token_ms: float = 30.0


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """A plain service. Paths that start with one of ``non_idempotent`` may not
    repeat."""

    name: str
    non_idempotent: tuple[str, ...] = ()
    when_store_down: WhenStoreDown = WhenStoreDown.REFUSE
    max_running: int = 64


@dataclass(frozen=True, slots=True)
class PriorityWindow:
    """A caller's priority in certain hours of the customer's time zone.

    ``days`` are 0 for Monday to 6; a window whose end is before its start runs past
    midnight and belongs to the day on which it starts.
    """

    start: datetime.time
    end: datetime.time
    priority: int
    days: frozenset[int] = frozenset(range(7))


@dataclass(frozen=True, slots=True)
class CallerPolicy:
    """A caller: its key's hash, what it may call, and how it ranks.

    Empty ``models`` or ``services`` mean all of the customer's. ``standing`` weighs an
    answered request; ``batch`` work may wait for anybody else's.
    """

    name: str
    key_sha256: str
    models: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    priority: int = 5
    windows: tuple[PriorityWindow, ...] = ()
    standing: float = 1.0
    batch: bool = False


@dataclass(frozen=True, slots=True)
class Weights:
    """What the customer weighs, as costs: a second of cold start that a caller waits,
    against an accelerator second that a loaded model stands idle."""

    cold_second: float = 1.0
    idle_second: float = 0.02


@dataclass(frozen=True, slots=True)
class Template:
    """Everything one customer decided, at one version.

    ``version`` rises by one with each accepted change and is written in the same
    transaction as the audit record of that change.
    """

    customer: str
    version: int
    models: dict[str, ModelPolicy] = field(default_factory=dict)
    services: dict[str, ServicePolicy] = field(default_factory=dict)
    callers: dict[str, CallerPolicy] = field(default_factory=dict)
    time_zone: str = "UTC"
    default_timeout_ms: int = 30_000
    max_timeout_ms: int = 300_000
    weights: Weights = Weights()
    batch_share: float = 0.2


def priority_at(caller: CallerPolicy, local: datetime.datetime) -> int:
    """The caller's priority at a local time: the first window that covers it, or the
    base.

    Example: a pupil with a window 08:00-16:00 at priority 0 has 0 at 09:30 and the base
    priority at 20:00.
    """
    for window in caller.windows:
        if _covers(window, local):
            return window.priority
    return caller.priority


def _covers(window: PriorityWindow, local: datetime.datetime) -> bool:
    time = local.time()
    today = local.weekday() in window.days
    if window.start <= window.end:
        return today and window.start <= time < window.end
    yesterday = (local.weekday() - 1) % 7 in window.days
    return (today and time >= window.start) or (yesterday and time < window.end)
