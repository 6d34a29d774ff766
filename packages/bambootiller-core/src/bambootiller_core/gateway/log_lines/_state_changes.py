"""Lines that say what a process believes from now on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class ConfigInForce(LogLine):
    """A configuration came into force here; ``source``: the store, or who told."""

    event: ClassVar[str] = "config_in_force"

    config_version: int
    revision: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class ConfigPassedOn(LogLine):
    """A configuration was sent to a peer that, as far as known, lacked it.

    ``peer_has`` is up to which revision the peer said to have all configurations, None
    if it hasn't said so."""

    event: ClassVar[str] = "config_passed_on"
    failure: ClassVar[bool] = False

    revision: int
    size_bytes: int
    peer: str
    peer_has: int | None


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
class BackendLimit(LogLine):
    """A backend server names another limit than before: ``per_s`` calls a second of all
    instances together, none where it has ended. ``source``: "answer", or the peer that
    told."""

    event: ClassVar[str] = "backend_limit"

    backend: str
    per_s: float | None
    before_per_s: float | None
    source: str


@dataclass(frozen=True, slots=True)
class BackendLimitUnreadable(LogLine):
    """What a backend server names as its limit isn't one; the one before holds."""

    event: ClassVar[str] = "backend_limit_unreadable"

    backend: str
    detail: str


@dataclass(frozen=True, slots=True)
class RequestQuarantined(LogLine):
    """A request is kept from all backend servers from now on: it ended those that ran
    it. ``crashes`` is how much counts against it, ``backends`` where it was lost."""

    event: ClassVar[str] = "request_quarantined"

    fingerprint: str
    crashes: float
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestCleared(LogLine):
    """A request that was at ``lost_runs`` lost runs has completed, so it ended no
    backend server. ``source``: "run" if it did so here, or the peer that told."""

    event: ClassVar[str] = "request_cleared"

    fingerprint: str
    lost_runs: int
    source: str


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
class Overloaded(LogLine):
    """This entry has more work than time, and closes a part of the new connections
    unread (``begins``), or takes all again. ``late_s`` is how late its loop was."""

    event: ClassVar[str] = "overloaded"

    begins: bool
    late_s: float


@dataclass(frozen=True, slots=True)
class StoodStill(LogLine):
    """This process didn't look at its sockets for ``seconds``: it was starved of its
    processor, stopped, or held up by one piece of its own work."""

    event: ClassVar[str] = "stood_still"

    seconds: float
