"""What the gateway's processes write to their logs: one type for each kind of line.

Each line says what was decided, or what is believed from now on, what decided it, and
how old or of which version that was. Metrics count the same lines, so both tell the
same story. docs/OPERATIONS.md explains the events and their fields under these names.

Example::

    events.emit(ConfigInForce(config_version=7, revision=91, routes=12, source="store"))
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any, ClassVar


@dataclass(frozen=True, slots=True)
class LogLine:
    """The common part. ``failure`` lines go before others where room is short."""

    event: ClassVar[str] = ""
    failure: ClassVar[bool] = True

    def to_json(self) -> dict[str, Any]:
        """The fields by name, those of nested values as mappings.

        >>> PeerHeard("10.0.0.1:7").to_json()
        {'peer': '10.0.0.1:7'}
        """
        return {
            item.name: _plain(getattr(self, item.name))
            for item in fields(self)
            if getattr(self, item.name) is not None
        }


def _plain(value: Any) -> Any:
    if hasattr(value, "__dataclass_fields__"):
        return {
            item.name: _plain(getattr(value, item.name))
            for item in fields(value)
            if getattr(value, item.name) is not None
        }
    return value


# -- lines of one request


@dataclass(frozen=True, slots=True)
class ChosenOn:
    """What was known of a backend server when a call was sent there.

    ``occupied`` are calls running or queued, ``candidates`` the backend servers that
    could have been chosen, ``revision`` the version of its registration, ``standing``
    how it is judged, ``agent_age_ms`` the age of its agent's word, None without one."""

    zone: str
    occupied: int
    candidates: int
    revision: int
    standing: str
    agent_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PlanSeen:
    """The plan on which a call waited for its model, or was refused.

    ``ready_in_s`` None: no engine can load it. ``backend`` is the engine of the planned
    load; ``agent_age_ms`` the age of its agent's word, ``waiting`` the calls of all
    entries that wait for the model."""

    ready_in_s: float | None = None
    backend: str | None = None
    from_store: bool | None = None
    asked: bool | None = None
    agent_age_ms: int | None = None
    waiting: int = 0


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
    chosen_on: ChosenOn


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
    chosen_on: ChosenOn


@dataclass(frozen=True, slots=True)
class Refused(LogLine):
    """The gateway gave its own final answer."""

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
    plan: PlanSeen | None = None


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


@dataclass(frozen=True, slots=True)
class AnswerLost(LogLine):
    """The connection that a call was sent on broke or brought nothing usable."""

    event: ClassVar[str] = "answer_lost"

    request: str
    backend: str
    detail: str
    reused: bool


@dataclass(frozen=True, slots=True)
class SilenceBorne(LogLine):
    """A backend server was silent, and the call stays there all the same.

    ``why``: no attempt or no time left (``attempts``), the budget of second attempts
    used up (``budget``), no other backend server with a place (``no_place``), no
    connection to it (``no_connection``), or the silent one has spoken after all
    (``spoke``)."""

    event: ClassVar[str] = "silence_borne"

    request: str | None
    backend: str
    detail: str
    why: str


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


# -- what a process believes


@dataclass(frozen=True, slots=True)
class ConfigInForce(LogLine):
    """A configuration came into force here; ``source``: the store, or who told."""

    event: ClassVar[str] = "config_in_force"

    config_version: int
    revision: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class DocumentUnreadable(LogLine):
    """The configuration can't be read; what was in force before stays."""

    event: ClassVar[str] = "document_unreadable"

    key: str
    revision: int
    detail: str


@dataclass(frozen=True, slots=True)
class BackendUnreadable(LogLine):
    """An entry of the registry can't be read, so it names no backend server to use.

    Said once for each reason until the entry is good again. ``was_used`` tells a
    backend server that is lost for calls from an entry that never was good."""

    event: ClassVar[str] = "backend_unreadable"

    key: str
    revision: int
    detail: str
    was_used: bool
    source: str


@dataclass(frozen=True, slots=True)
class BackendListed(LogLine):
    """A backend server is registered, or its registration says something new."""

    event: ClassVar[str] = "backend_listed"

    backend: str
    service: str
    address: str
    leaving: bool
    revision: int
    source: str


@dataclass(frozen=True, slots=True)
class BackendRestarted(LogLine):
    """A backend server has started again under its name; nothing of before holds.

    ``started_ms`` and ``before_ms`` are the Unix milliseconds of both starts;
    ``source`` is who told: the store, a peer, or the engine's own report."""

    event: ClassVar[str] = "backend_restarted"

    backend: str
    started_ms: int
    before_ms: int
    source: str


@dataclass(frozen=True, slots=True)
class BackendRemoved(LogLine):
    """A backend server is registered no more.

    ``reason``: "removed" (the registration went), "missing_after_outage" (it hadn't
    come back some seconds after the store had). ``was_leaving`` tells a planned leave
    from a loss."""

    event: ClassVar[str] = "backend_removed"

    backend: str
    reason: str
    revision: int | None = None
    was_leaving: bool | None = None
    source: str | None = None


@dataclass(frozen=True, slots=True)
class BackendJudged(LogLine):
    """A backend server is held to be good, failing, slow or unreachable from now on,
    by what became of calls."""

    event: ClassVar[str] = "backend_judged"

    backend: str
    service: str
    standing: str
    before: str
    failure_rate: float
    latency_ms: int | None


@dataclass(frozen=True, slots=True)
class EntryHeard(LogLine):
    """An agent hears an entry, or doesn't any more."""

    event: ClassVar[str] = "entry_heard"

    entry: str
    heard: bool


@dataclass(frozen=True, slots=True)
class PeerHeard(LogLine):
    """The stream to another process brings something."""

    event: ClassVar[str] = "peer_heard"

    peer: str


@dataclass(frozen=True, slots=True)
class PeerSilent(LogLine):
    """The stream to another process has ended or brings nothing any more."""

    event: ClassVar[str] = "peer_silent"

    peer: str


@dataclass(frozen=True, slots=True)
class DependencyLost(LogLine):
    """The store or the engine can't be reached, or doesn't answer sensibly."""

    event: ClassVar[str] = "dependency_lost"

    dependency: str
    detail: str


@dataclass(frozen=True, slots=True)
class DependencyRegained(LogLine):
    """The store or the engine answers again."""

    event: ClassVar[str] = "dependency_regained"

    dependency: str
    away_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StoodStill(LogLine):
    """This process didn't look at its sockets for ``seconds``: it was starved of its
    processor, stopped, or held up by one piece of its own work."""

    event: ClassVar[str] = "stood_still"

    seconds: float


# -- orders to engines


@dataclass(frozen=True, slots=True)
class FencingToken(LogLine):
    """This agent may give orders from now on; ``token`` is above all before it."""

    event: ClassVar[str] = "fencing_token"

    token: int


@dataclass(frozen=True, slots=True)
class Order(LogLine):
    """An order and the engine's answer.

    ``wanted_for`` is the model that others are unloaded for; ``rate`` and ``waiting``
    are the demand of all entries for it, ``report_age_ms`` the age of the report."""

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


@dataclass(frozen=True, slots=True)
class LoadEnded(LogLine):
    """A load has ended; ``held`` tells whether the model is there."""

    event: ClassVar[str] = "load_ended"
    failure: ClassVar[bool] = False

    model: str
    held: bool
    seconds: float
    from_store: bool


# -- the process itself


@dataclass(frozen=True, slots=True)
class Started(LogLine):
    """The process serves from now on."""

    event: ClassVar[str] = "started"

    role: str
    zone: str
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stopping(LogLine):
    """A planned stop has begun."""

    event: ClassVar[str] = "stopping"

    role: str
    under_way: int = 0


@dataclass(frozen=True, slots=True)
class CutAtStop(LogLine):
    """The time for a planned stop is over and some answers aren't."""

    event: ClassVar[str] = "cut_at_stop"

    under_way: int


@dataclass(frozen=True, slots=True)
class Stopped(LogLine):
    """The process has closed its ports and ends."""

    event: ClassVar[str] = "stopped"

    role: str


@dataclass(frozen=True, slots=True)
class Reloaded(LogLine):
    """Settings were read anew and taken over."""

    event: ClassVar[str] = "reloaded"

    bounds: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ReloadRejected(LogLine):
    """Settings that were to be read anew can't be used; the old ones stay."""

    event: ClassVar[str] = "reload_rejected"

    detail: str


@dataclass(frozen=True, slots=True)
class LinesLeftOut(LogLine):
    """How many lines of each event weren't written since this was last said."""

    event: ClassVar[str] = "lines_left_out"

    counts: Mapping[str, int]
