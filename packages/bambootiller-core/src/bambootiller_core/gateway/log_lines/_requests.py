"""Lines of one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class BackendSnapshot:
    """What was known of a backend server when a call was sent there.

    ``occupied`` are calls running or queued, ``unread`` those whose prompts it had
    still to read, ``candidates`` the backend servers that could have been chosen,
    ``revision`` the version of its registration, ``standing`` how it is judged,
    ``agent_age_ms`` the age of its agent's word, None without one."""

    zone: str
    occupied: int
    candidates: int
    revision: int
    standing: str
    agent_age_ms: int | None = None
    unread: int = 0


@dataclass(frozen=True, slots=True)
class ModelCopy:
    """An engine that has a copy of a model, and what keeps the model from being loaded
    there: ``leaving``, ``lost``, ``unheard`` (its agent is silent), ``loading``,
    ``unloading``, ``full``, or ``free`` if nothing does."""

    backend: str
    state: str


@dataclass(frozen=True, slots=True)
class Obstacles:
    """How many engines are kept from loading a model, by what keeps them: ``no_orders``
    (they take none, or their agent is silent), ``kept_for_adapters``, ``no_room`` (what
    they hold doesn't make way). ``able`` are the others: they only wait for the weight
    store."""

    no_orders: int = 0
    kept_for_adapters: int = 0
    no_room: int = 0
    able: int = 0


@dataclass(frozen=True, slots=True)
class PlanSnapshot:
    """The plan on which a call waited for its model, or was refused.

    ``ready_in_s`` None: no engine can load it. ``backend`` is the engine of the planned
    load; ``agent_age_ms`` the age of its agent's word, ``waiting`` the calls of all
    entries that wait for the model. ``copies`` are engines with a copy of the model, a
    few at most, ``store_loads`` the loads from the weight store that are under way.
    ``obstacles`` tells why no engine can load it. ``unserved`` calls have ended without
    an answer since an engine held the model last, the first ``unserved_s`` ago."""

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
    """The quota on which a call was refused, in ``unit``.

    ``cost`` is what the call counts, ``demand_per_s`` what calls of the customer cost
    here lately. This entry held the part ``share`` of the limit, and could spend
    ``available``. ``term`` is the allocator's, None if none is heard, ``answer_age_ms``
    how old its last answer is."""

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
    """A backend server's answer was passed on whole."""

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


@dataclass(frozen=True, slots=True)
class AttemptFailed(LogLine):
    """An attempt ended without a whole answer; ``next`` says what was done then."""

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
    """The gateway gave its own final answer; ``fingerprint`` is the request's across
    its tries, where that decided it."""

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


@dataclass(frozen=True, slots=True)
class Cut(LogLine):
    """An answer that had begun couldn't be finished, so its connection was cut."""

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


@dataclass(frozen=True, slots=True)
class AnswerLost(LogLine):
    """The connection that a call was sent on broke or brought nothing usable.

    ``fingerprint`` is the same for each try of a request, ``parts`` are those of its
    prompt that others may have as well, ``progressed`` is whether this run had brought
    an event."""

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
    """A backend server was silent, and the call stays there all the same.

    ``why``: no attempt or no time left (``attempts``), the budget of second attempts
    used up (``budget``), no other backend server with a place (``no_place``), no
    connection to it (``no_connection``), its request may not run elsewhere now because
    of crashes (``kept_apart``), or the silent one has spoken after all (``spoke``). The
    call was sent to the one that ``detail`` names, which refused it (``refused``) or
    lost it (``failed``)."""

    event: ClassVar[str] = "silence_borne"

    request: str | None
    backend: str
    detail: str
    why: str


@dataclass(frozen=True, slots=True)
class KeptApart(LogLine):
    """A call waited before it was sent: its request was at crashes, and has to run
    apart from others that were, or what became of its last run isn't known yet."""

    event: ClassVar[str] = "kept_apart"

    request: str
    fingerprint: str
    crashes: float
    waited_ms: int


@dataclass(frozen=True, slots=True)
class CannotConnect(LogLine):
    """No connection to a backend server was made."""

    event: ClassVar[str] = "cannot_connect"

    request: str
    backend: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallerGone(LogLine):
    """The caller closed before its answer was whole."""

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
