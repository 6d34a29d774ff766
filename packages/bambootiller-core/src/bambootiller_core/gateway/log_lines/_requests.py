"""Log lines about a single request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """What was known of a backend server when a call was sent there.

    ``occupied`` is the number of calls running or queued, ``unread`` that of calls
    waiting for their prefill, ``candidates`` the number of backend servers that could
    have been chosen. ``revision`` is the revision of its registration, ``standing`` its
    health state, ``agent_age_ms`` the age of its agent's last report, None without an
    agent. ``documents_age_ms`` is the time since any registration or configuration last
    became known here, ``listed`` is False if only the agent has reported this start."""

    zone: str
    occupied: int
    candidates: int
    revision: int
    standing: str
    agent_age_ms: int | None = None
    unread: int = 0
    documents_age_ms: int | None = None
    listed: bool | None = None


@dataclass(frozen=True, slots=True)
class ModelCopy:
    """An engine that has a copy of a model's weights, and what keeps the model from
    being loaded there: ``leaving``, ``lost``, ``unheard`` (its agent is silent),
    ``loading``, ``unloading``, ``full``, or ``free`` if nothing does."""

    backend: str
    state: str


@dataclass(frozen=True, slots=True)
class Obstacles:
    """The number of engines that can't load a model, by reason.

    ``no_orders``: they accept no orders, or their agent is silent.
    ``kept_for_adapters``: they must stay free to load adapters of other models during
    that time. ``no_room``: the models that they hold mustn't be evicted. ``able``
    counts the other engines, which only wait for the weight store."""

    no_orders: int = 0
    kept_for_adapters: int = 0
    no_room: int = 0
    able: int = 0


@dataclass(frozen=True, slots=True)
class PlanSnapshot:
    """The load plan because of which a call waited for its model, or was refused.

    ``ready_in_s`` is None if no engine can load the model. ``backend`` is the engine of
    the planned load, ``agent_age_ms`` the age of its agent's last report, ``waiting``
    the number of calls of all entries that wait for the model. ``copies`` lists a few
    engines with a copy of the model, ``store_loads`` is the number of loads from the
    weight store in progress. ``obstacles`` tells why no engine can load the model.
    ``unserved`` calls have ended without an answer since an engine last held the model,
    the first of them ``unserved_s`` ago."""

    ready_in_s: float | None = None
    backend: str | None = None
    from_store: bool | None = None
    asked: bool | None = None
    agent_age_ms: int | None = None
    waiting: int = 0
    copies: tuple[ModelCopy, ...] = ()
    store_loads: int = 0
    obstacles: Obstacles | None = None
    unserved: float = 0.0
    unserved_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaSnapshot:
    """The quota because of which a call was refused, in ``unit``.

    ``cost`` is the cost of the call, ``demand_per_s`` the recent cost of the customer's
    calls at this entry a second. The entry held the fraction ``share`` of the limit,
    and could spend ``available``. ``term`` is the allocator's term, None if no
    allocator answers, ``answer_age_ms`` the age of its last answer."""

    unit: str
    rate_per_s: float
    burst: float
    cost: float
    demand_per_s: float
    share: float
    available: float
    term: int | None = None
    answer_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Answered(LogLine):
    """A backend server's answer was forwarded completely. ``sent_ms`` is when the call
    was last sent, in milliseconds after its arrival."""

    event: ClassVar[str] = "answered"
    failure: ClassVar[bool] = False

    request: str
    route: str
    service: str
    kind: str
    model: str | None
    backend: str
    status: int
    attempts: int
    waited_ms: int
    first_ms: int
    total_ms: int
    longest_gap_ms: int
    config_version: int
    chosen_on: BackendSnapshot
    adapter: str | None = None
    customer: str | None = None
    cost: float | None = None
    sent_ms: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptFailed(LogLine):
    """An attempt ended without a complete answer; ``next`` is the action taken."""

    event: ClassVar[str] = "attempt_failed"

    request: str
    route: str
    service: str
    kind: str
    resumable: bool
    backend: str
    ended: str
    attempts: int
    most_attempts: int
    may_have_run: bool
    last_event: int | None
    next: str
    budget_left: float
    left_ms: int
    chosen_on: BackendSnapshot


@dataclass(frozen=True, slots=True)
class Refused(LogLine):
    """The gateway gave its own final answer.

    ``fingerprint`` is set if lost runs of the same request decided that; it is the same
    for all its attempts. ``backend`` is the backend server of the last attempt, and
    ``sent_ms`` when the call was sent there, in milliseconds after its arrival: a
    backend server may read a call much later than that."""

    event: ClassVar[str] = "refused"

    request: str | None
    route: str | None
    service: str | None
    kind: str | None
    model: str | None
    reason: str
    status: int
    come_back_s: float | None
    held_ms: int
    detail: str
    config_version: int | None
    plan: PlanSnapshot | None = None
    fingerprint: str | None = None
    adapter: str | None = None
    customer: str | None = None
    cost: float | None = None
    quota: QuotaSnapshot | None = None
    backend: str | None = None
    sent_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Cut(LogLine):
    """An answer that had begun couldn't be completed, so its connection was cut."""

    event: ClassVar[str] = "cut"

    request: str
    route: str
    service: str
    kind: str
    model: str | None
    last_event: int | None
    held_ms: int
    reason: str
    adapter: str | None = None
    customer: str | None = None
    cost: float | None = None
    backend: str | None = None
    sent_ms: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerLost(LogLine):
    """The connection that a call was sent on broke or brought nothing usable.

    ``fingerprint`` is the same for every attempt of a request, ``parts`` are the prompt
    parts that other requests may share, ``progressed`` tells whether this run had
    produced an event."""

    event: ClassVar[str] = "answer_lost"

    request: str
    backend: str
    detail: str
    reused: bool
    fingerprint: str = ""
    progressed: bool = False
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SilenceBorne(LogLine):
    """A backend server was silent, but the call wasn't failed over.

    ``why``: no attempt or no time left (``attempts``), the retry budget was used up
    (``budget``), no other backend server had capacity (``no_place``), no connection to
    it could be made (``no_connection``), the request is isolated because of crashes and
    may not run elsewhere now (``kept_apart``), or the silent backend server has
    answered after all (``spoke``). Or the call was sent to the backend server that
    ``detail`` names, which refused it (``refused``) or lost it (``failed``)."""

    event: ClassVar[str] = "silence_borne"

    request: str | None
    backend: str
    detail: str
    why: str


@dataclass(frozen=True, slots=True)
class KeptApart(LogLine):
    """A call was delayed before it was sent: its request was involved in crashes and
    must run isolated from other suspects, or its last lost run has no verdict yet."""

    event: ClassVar[str] = "kept_apart"

    request: str
    fingerprint: str
    crashes: float
    waited_ms: int


@dataclass(frozen=True, slots=True)
class CannotConnect(LogLine):
    """No connection to a backend server could be made."""

    event: ClassVar[str] = "cannot_connect"

    request: str
    backend: str
    detail: str


@dataclass(frozen=True, slots=True)
class NotSent(LogLine):
    """A call wasn't sent to the backend server that was chosen for it, as that has
    begun to leave, ended or restarted since.

    ``waited_ms`` is the time since the choice, ``leaving`` None if the backend server
    isn't registered any more."""

    event: ClassVar[str] = "not_sent"

    request: str
    backend: str
    waited_ms: int
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class CallerGone(LogLine):
    """The caller's connection ended before its answer was complete.

    ``closed_by`` is ``caller``, ``error`` (the connection broke, see ``detail``) or
    ``entry`` (this process closed it, although the call was still running)."""

    event: ClassVar[str] = "caller_gone"

    request: str
    route: str
    service: str
    kind: str
    model: str | None
    backend: str | None
    held_ms: int
    attempts: int
    last_event: int | None
    adapter: str | None = None
    customer: str | None = None
    cost: float | None = None
    closed_by: str | None = None
    detail: str = ""
    sent_ms: int | None = None


@dataclass(frozen=True, slots=True)
class CallError(LogLine):
    """An unexpected error ended a call. Its caller got status 500, or its connection
    was closed if the answer had begun."""

    event: ClassVar[str] = "call_error"

    request: str | None
    error: str
    where: str
