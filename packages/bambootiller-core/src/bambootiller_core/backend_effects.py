"""What the backend's decisions say to the shell round them, and what they are told.

:class:`~bambootiller_core.backend.BackendCore` never touches an engine or a caller.
Each of its event methods returns a list of effects, which the agent carries out in
order; what comes of them returns as further events. Requests are named by their
``request_id``, which has to be unique among all attempts that reach one agent.

Example::

    for effect in core.arrive(now, req):
        match effect:
            case Admit(request_id, wait_ms, cold): ...  # tell the caller's entry
            case Start(request_id): ...  # run it at the engine or service now
            case Refuse(request_id, refused): ...  # its final outcome, it hasn't run
            case SendOrder(): ...  # POST /orders, then core.on_order_outcome(...)
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bambootiller_core.outcomes import Refused
from bambootiller_core.types import ModelKey, Tier


class OrderKind(enum.Enum):
    """What an engine can be ordered to do; the values are the engine protocol's own."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    PREFETCH = "prefetch"


def engine_name(key: ModelKey) -> str:
    """The name under which an engine knows a customer's model: ``customer/model``.

    Two customers may give their models the same name, and they never share a replica,
    so the customer is part of the name. The ``model`` of a call to the engine is this
    name, with ``:adapter`` behind it where one is used.
    """
    return f"{key.customer}/{key.model}"


def key_of(name: str) -> ModelKey:
    """The key behind an engine's name; a name without customer has the customer ""."""
    customer, slash, model = name.partition("/")
    return ModelKey(customer, model) if slash else ModelKey("", name)


@dataclass(frozen=True, slots=True)
class Admit:
    """The request is accepted and waits; ``wait_ms`` is the estimate to its first
    token.

    ``cold`` says that the wait includes a load. ``Start``, ``Refuse`` or the caller's
    own cancellation follows.
    """

    request_id: str
    wait_ms: int
    cold: bool


@dataclass(frozen=True, slots=True)
class Start:
    """Run the request at the engine or service now; report ``finished`` when it
    ends."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The final outcome of a request that was never started. No event about it is
    due."""

    request_id: str
    refused: Refused


@dataclass(frozen=True, slots=True)
class Abort:
    """The final outcome of a started request: stop it. A later ``finished`` is
    ignored."""

    request_id: str
    refused: Refused


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to the engine, once, and report its fate to ``on_order_outcome``.

    The same ``order_id`` may be sent again later, when its answer was lost; the engine
    ignores a repetition. ``model`` is the engine's name, ``adapter`` is empty for
    orders about the model itself. An order must not be sent later than it was decided:
    a shell that couldn't send it within ``valid_s`` reports ``OrderRejected("not
    sent")``.
    """

    order_id: str
    kind: OrderKind
    key: ModelKey
    model: str
    adapter: str
    memory_bytes: int
    fence: int
    valid_s: float = 2.0


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Vacate this instance's slot of ``key`` with the evidence ``GivenBack``.

    Emitted only when the engine has confirmed that the model isn't loaded, and no order
    for it can still be on its way; holds for the slot at ``fence`` only, so a writer
    that finds it at another one must leave it as it is. It is repeated until a table
    without the slot is seen.
    """

    key: ModelKey
    fence: int


@dataclass(frozen=True, slots=True)
class Retired:
    """Remove this instance's retiring slot of ``key`` with the evidence ``GivenBack``.

    Under the same conditions as :class:`GiveBack`, and repeated like it. A writer that
    finds the slot at another fence, or no longer retiring, must leave it as it is.
    """

    key: ModelKey
    fence: int


@dataclass(frozen=True, slots=True)
class ConfirmSlot:
    """Write the table with :func:`bambootiller_core.slots.confirm`, then report it.

    Report the fence of this instance's slot in the written table to
    ``on_slot_confirmed``. Until then the model isn't loaded here, though a replica that
    is loaded already serves. Repeated until confirmed; only emitted if
    ``BackendConfig.confirm_slots`` is set.
    """

    key: ModelKey
    fence: int


@dataclass(frozen=True, slots=True)
class Drained:
    """The agent that leaves holds no request any more, and no slot, or its time is
    up."""


Effect = (
    Admit
    | Start
    | Refuse
    | Abort
    | SendOrder
    | GiveBack
    | Retired
    | ConfirmSlot
    | Drained
)


@dataclass(frozen=True, slots=True)
class OrderTaken:
    """The engine answered 202. Only its state tells what becomes of the order."""


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """The order had no effect and will have none: refused by the engine, or never sent.

    ``reason`` is the engine's: ``stale_fence``, ``no_memory``, ``unknown_model``, or
    ``not sent``.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class OrderLost:
    """No answer came. The order may have been taken, or may still arrive."""


OrderOutcome = OrderTaken | OrderRejected | OrderLost


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """The settings of one backend server's decisions; times in seconds.

    ``settle_s`` bounds how long an order can be on its way after it was sent.
    ``resend_s`` is the pause before an order whose answer was lost is sent again.
    ``load_attempts`` failures in a row end a series of loads; the model is then refused
    for ``cool_down_s``. Between attempts, waits grow from ``backoff_s`` by doubling.
    After ``silent_s`` without the engine's state it counts as unreachable.
    ``confirm_slots`` has each slot confirmed by a write of this process before its
    first load. Without it, the shell vouches that the tables it passes on stand in the
    key-value service, and that a slot write of an earlier process arrives, and is known
    here, within the settle time.
    """

    settle_s: float = 10.0
    headroom_bytes: int = 0
    resend_s: float = 1.0
    load_attempts: int = 3
    backoff_s: float = 0.5
    cool_down_s: float = 10.0
    silent_s: float = 3.0
    release_repeat_s: float = 2.0
    max_waiting: int = 1000
    confirm_slots: bool = False


@dataclass(frozen=True, slots=True)
class Survey:
    """What a slot's placement on this backend server is decided on.

    ``memory_free`` counts all reservations, ``slots_bytes`` what the ``slots`` held
    here would take if all were loaded, ``tier`` where the engine keeps the checkpoint.
    """

    memory_total: int
    memory_free: int
    slots: int
    slots_bytes: int
    tier: Tier
    leaving: bool
