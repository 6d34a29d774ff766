"""Lines of the orders to engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine
from bambootiller_core.gateway.log_lines._requests import Obstacles


@dataclass(frozen=True, slots=True)
class FencingToken(LogLine):
    """This agent may give orders from now on; ``token`` is above all before it."""

    event: ClassVar[str] = "fencing_token"

    token: int


@dataclass(frozen=True, slots=True)
class Order(LogLine):
    """An order and the engine's answer.

    ``wanted_for`` is the model that others are unloaded for; ``rate`` and ``waiting``
    are the demand of all entries for it, ``report_age_ms`` the age of the report.
    ``wished_by`` is the entry that load_requested for it last, ``from_store`` whether a load
    draws on the weight store."""

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
    """An entry asked an agent for a load from the weight store.

    ``turn`` tells why it may begin now: the store serves it at full speed (``free``),
    is tried for ``one more``, or is ``crowded``. ``under_way`` loads drew on the store,
    of ``full_speed`` that it is taken to serve. ``waiting`` calls of all entries wait
    for the model, ``unserved`` ended without an answer, the first of them
    ``unserved_s`` ago; ``callers`` wait or are expected back, and ``rate`` calls a
    second have come lately."""

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


@dataclass(frozen=True, slots=True)
class StoreLoadNotBegun(LogLine):
    """An entry gave up a load from the weight store that it had asked for: its agent
    told of no such load."""

    event: ClassVar[str] = "store_load_not_begun"

    service: str
    model: str
    backend: str


@dataclass(frozen=True, slots=True)
class StoreTurn(LogLine):
    """What came of an agent's try to take one of the ``turns`` of the weight store.

    ``outcome``: ``taken`` (its ``number``), ``held`` by the ``holders``, or ``without``
    (the key-value service couldn't be reached in time, and the load begins all the
    same)."""

    event: ClassVar[str] = "store_turn"

    outcome: str
    model: str
    turns: int
    number: str | None
    holders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadEnded(LogLine):
    """A load has ended; ``held`` tells whether the model is there."""

    event: ClassVar[str] = "load_ended"
    failure: ClassVar[bool] = False

    model: str
    held: bool
    seconds: float
    from_store: bool


@dataclass(frozen=True, slots=True)
class CopiesChanged(LogLine):
    """The copies of weights that the engine has on its disk or in its memory.

    ``lost`` were pushed out by others, or went with the engine's last start; a model
    whose only copy is lost comes from the weight store next."""

    event: ClassVar[str] = "copies_changed"
    failure: ClassVar[bool] = False

    gained: tuple[str, ...]
    lost: tuple[str, ...]
    on_disk: int
    in_memory: int


@dataclass(frozen=True, slots=True)
class WeightStoreIdle(LogLine):
    """No load from the weight store is under way, though callers wait for models that
    no engine has a copy of.

    ``seconds`` is for how long, ``awaited`` how many such models there are, ``model``
    the most wanted of them, ``obstacles`` what keeps engines from loading that."""

    event: ClassVar[str] = "weight_store_idle"

    service: str
    seconds: float
    awaited: int
    model: str
    obstacles: Obstacles | None
