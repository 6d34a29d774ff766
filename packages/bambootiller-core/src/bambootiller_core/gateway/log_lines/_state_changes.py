"""Log lines about changes in a process's view of the system."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class ConfigInForce(LogLine):
    """A configuration came into force here; ``source`` is the store, or the peer that
    sent it."""

    event: ClassVar[str] = "config_in_force"

    config_version: int
    revision: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigPassedOn(LogLine):
    """A configuration was sent to a peer that, as far as known, lacked it.

    ``peer_has`` is the revision up to which the peer reported to have all
    configurations, None if it hasn't reported one."""

    event: ClassVar[str] = "config_passed_on"
    failure: ClassVar[bool] = False

    revision: int
    size_bytes: int
    peer: str
    peer_has: int | None


@dataclass(frozen=True, slots=True)
class DocumentUnreadable(LogLine):
    """The configuration can't be parsed; the previous one stays in force."""

    event: ClassVar[str] = "document_unreadable"

    key: str
    revision: int
    detail: str


@dataclass(frozen=True, slots=True)
class BackendUnreadable(LogLine):
    """A registration can't be parsed, so its backend server isn't used.

    Logged once for each reason until the registration is valid again. ``was_used``
    tells whether an earlier registration was valid, so that calls lose a backend
    server."""

    event: ClassVar[str] = "backend_unreadable"

    key: str
    revision: int
    detail: str
    was_used: bool
    source: str


@dataclass(frozen=True, slots=True)
class BackendListed(LogLine):
    """A backend server is registered, or its registration has changed."""

    event: ClassVar[str] = "backend_listed"

    backend: str
    service: str
    address: str
    leaving: bool
    revision: int
    source: str


@dataclass(frozen=True, slots=True)
class BackendRestarted(LogLine):
    """A backend server has restarted under its name; all earlier state about it is
    dropped.

    ``started_ms`` and ``before_ms`` are the Unix milliseconds of the new and the
    previous start; ``source`` is the store, a peer, or the engine's own report.
    ``was_leaving`` and ``leaving`` are whether the previous and the new start leave, as
    far as an entry knows."""

    event: ClassVar[str] = "backend_restarted"

    backend: str
    started_ms: int
    before_ms: int
    source: str
    was_leaving: bool | None = None
    leaving: bool | None = None


@dataclass(frozen=True, slots=True)
class BackendRemoved(LogLine):
    """A backend server is no longer registered.

    ``reason``: "removed" (the registration was removed), "missing_after_outage" (the
    registration hadn't come back some seconds after the store had). ``was_leaving``
    distinguishes a planned leave from a loss. ``kept`` is True if calls are sent there
    for the time being, at most ``kept_ms`` milliseconds, as the registration may have
    expired in an outage."""

    event: ClassVar[str] = "backend_removed"

    backend: str
    reason: str
    revision: int | None = None
    was_leaving: bool | None = None
    source: str | None = None
    kept: bool | None = None
    kept_ms: int | None = None


@dataclass(frozen=True, slots=True)
class BackendJudged(LogLine):
    """The health state of a backend server has changed to good, failing, slow or
    unreachable, because of the outcome of calls."""

    event: ClassVar[str] = "backend_judged"

    backend: str
    service: str
    standing: str
    before: str
    failure_rate: float
    latency_ms: int | None


@dataclass(frozen=True, slots=True)
class BackendLimit(LogLine):
    """A backend server reports another rate limit than before: ``per_s`` calls a second
    for all instances together, None if the limit has ended. ``source``: "answer", or
    the peer that reported it."""

    event: ClassVar[str] = "backend_limit"

    backend: str
    per_s: float | None
    before_per_s: float | None
    source: str


@dataclass(frozen=True, slots=True)
class BackendLimitUnreadable(LogLine):
    """The rate limit that a backend server reports can't be parsed; the previous one
    stays in force."""

    event: ClassVar[str] = "backend_limit_unreadable"

    backend: str
    detail: str


@dataclass(frozen=True, slots=True)
class RequestQuarantined(LogLine):
    """A request is quarantined: no backend server gets it from now on, because those
    that ran it crashed. ``crashes`` is the weighted number of crashes that count
    against it, ``backends`` are the backend servers where its runs were lost."""

    event: ClassVar[str] = "request_quarantined"

    fingerprint: str
    crashes: float
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestCleared(LogLine):
    """A request with ``lost_runs`` lost runs has completed, so it isn't the cause of a
    crash. ``source``: "run" if it completed here, or the peer that reported it."""

    event: ClassVar[str] = "request_cleared"

    fingerprint: str
    lost_runs: int
    source: str


@dataclass(frozen=True, slots=True)
class EntryHeard(LogLine):
    """An agent receives messages from an entry again (``heard``), or has stopped
    receiving them."""

    event: ClassVar[str] = "entry_heard"

    entry: str
    heard: bool


@dataclass(frozen=True, slots=True)
class PeerHeard(LogLine):
    """The stream from another process delivers messages."""

    event: ClassVar[str] = "peer_heard"

    peer: str


@dataclass(frozen=True, slots=True)
class PeerSilent(LogLine):
    """The stream from another process has ended or no longer delivers messages."""

    event: ClassVar[str] = "peer_silent"

    peer: str


@dataclass(frozen=True, slots=True)
class PeerStreamFailed(LogLine):
    """A message to or from another process couldn't be built or processed, which ends
    the stream."""

    event: ClassVar[str] = "peer_stream_failed"

    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class DependencyLost(LogLine):
    """The store or the engine can't be reached, or gives unusable answers."""

    event: ClassVar[str] = "dependency_lost"

    dependency: str
    detail: str


@dataclass(frozen=True, slots=True)
class DependencyRegained(LogLine):
    """The store or the engine answers again. ``grace_ms`` is for how long missing
    registrations now count as expired in the outage, None if they don't."""

    event: ClassVar[str] = "dependency_regained"

    dependency: str
    away_ms: int | None = None
    grace_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Overloaded(LogLine):
    """This entry is overloaded and closes some of the new connections without reading
    from them (``begins``), or accepts all of them again. ``late_s`` is the delay of its
    event loop."""

    event: ClassVar[str] = "overloaded"

    begins: bool
    late_s: float


@dataclass(frozen=True, slots=True)
class StoodStill(LogLine):
    """This process didn't poll its sockets for ``seconds``: it got no processor time,
    was stopped, or was blocked by a piece of its own work."""

    event: ClassVar[str] = "stood_still"

    seconds: float
