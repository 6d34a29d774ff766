"""Log lines about the orders to engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine
from bambootiller_core.gateway.log_lines._requests import Obstacles


@dataclass(frozen=True, slots=True)
class FencingToken(LogLine):
    """This agent may give orders from now on; ``token`` is greater than all tokens
    before it."""

    event: ClassVar[str] = "fencing_token"

    token: int


@dataclass(frozen=True, slots=True)
class Order(LogLine):
    """An order and the engine's answer.

    ``wanted_for`` is the model that others are unloaded for; ``rate`` and ``waiting``
    are the demand of all entries for it, ``report_age_ms`` the age of the engine's
    report. ``wished_by`` is the entry that requested it last. ``from_store`` tells
    whether a load reads from the weight store."""

    event: ClassVar[str] = "order"

    order: str
    model: str
    adapter: str
    expected: int
    token: int | None
    answer: str
    wanted_for: str
    rate: float
    waiting: int
    report_age_ms: int
    wished_by: str | None = None
    from_store: bool | None = None


@dataclass(frozen=True, slots=True)
class StoreLoadAsked(LogLine):
    """An entry requested a load from the weight store from an agent.

    ``turn`` tells why the load may start now: the store serves it at full speed
    (``free``), it probes whether the store serves ``one more``, or the store is
    oversubscribed (``crowded``). ``under_way`` loads were reading from the store, out
    of ``full_speed`` that it is estimated to serve at full speed. ``waiting`` is the
    number of calls of all entries that wait for the model, ``unserved`` that of calls
    that ended without an answer, the first of them ``unserved_s`` ago. ``callers`` are
    waiting or expected to retry, and ``rate`` is the recent number of calls a
    second. ``idle_s`` is for how long no load had been reading from the store as far as
    the entry knows; None if none has been observed yet."""

    event: ClassVar[str] = "store_load_asked"
    failure: ClassVar[bool] = False

    service: str
    model: str
    backend: str
    turn: str
    under_way: int
    full_speed: int
    waiting: int
    unserved: float
    unserved_s: float
    callers: float | None
    rate: float
    idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class StoreLoadNotBegun(LogLine):
    """An entry gave up on a load from the weight store that it had requested: the agent
    reported no such load."""

    event: ClassVar[str] = "store_load_not_begun"

    service: str
    model: str
    backend: str


@dataclass(frozen=True, slots=True)
class StoreLoadDeclined(LogLine):
    """An agent can't start a load from the weight store that an entry has requested.

    ``reason`` is the value of a :class:`.declined_loads.DeclineReason`."""

    event: ClassVar[str] = "store_load_declined"
    failure: ClassVar[bool] = False

    model: str
    reason: str


@dataclass(frozen=True, slots=True)
class StoreTurn(LogLine):
    """The outcome of an agent's attempt to acquire one of the ``turns`` permits of the
    weight store.

    ``outcome``: ``taken`` (the permit with this ``number``), ``held`` (all are held by
    the ``holders``), or ``without`` (the key-value service couldn't be reached in time,
    and the load starts without a permit)."""

    event: ClassVar[str] = "store_turn"

    outcome: str
    model: str
    turns: int
    number: str | None
    holders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadEnded(LogLine):
    """A load has ended; ``held`` tells whether the engine holds the model now."""

    event: ClassVar[str] = "load_ended"
    failure: ClassVar[bool] = False

    model: str
    held: bool
    seconds: float
    from_store: bool


@dataclass(frozen=True, slots=True)
class CopiesChanged(LogLine):
    """The models whose weights the engine caches on its disk or in its main memory have
    changed.

    ``lost`` copies were evicted by others, or lost with a restart of the engine; a
    model whose only copy is lost must be loaded from the weight store next time."""

    event: ClassVar[str] = "copies_changed"
    failure: ClassVar[bool] = False

    gained: tuple[str, ...]
    lost: tuple[str, ...]
    on_disk: int
    in_memory: int


@dataclass(frozen=True, slots=True)
class WeightStoreIdle(LogLine):
    """No load from the weight store is in progress, although callers wait for models
    that no engine has a copy of.

    ``seconds`` is the duration so far, ``awaited`` the number of such models, ``model``
    the one with the greatest demand, ``obstacles`` what keeps engines from loading
    it."""

    event: ClassVar[str] = "weight_store_idle"

    service: str
    seconds: float
    awaited: int
    model: str
    obstacles: Obstacles | None
