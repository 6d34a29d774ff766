"""The configuration of the gateway: routes, services and the models of an engine.

A configuration is a whole document with a version. It replaces the one before in one
step, and one that is older than the one in force is never taken.

Example::

    route = config.match("classes.example", "/feedback/7")
    service = config.services[route.pick_service(0.3)]
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.customers import Customers

#: A caller leaves a stream after the longest of these: a fixed time, this many times
#: the route's target, and this many times the longest pause that is still on time.
#: Stated by the platform of the first users.
EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_TARGETS = 4.0
EVENT_TIMEOUT_GAPS = 8.0


class CallKind(enum.Enum):
    """What may be repeated: ``IDEMPOTENT`` calls may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes ``weight`` parts of a route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls of one host and path prefix go, and what the operator decided on
    them.

    ``timeout_s`` is the longest that a caller may be kept; None means no limit.
    ``priority`` 0 goes first. A stream is ``resumable`` if another run may go on behind
    the last event that the caller has. A ``public`` route asks for no key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float | None = None
    target_s: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    max_event_gap_s: float = 0.0
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a call whose fate is unknown may be sent again from the start."""
        return self.kind is CallKind.IDEMPOTENT

    @property
    def event_timeout_s(self) -> float | None:
        """How long a caller waits for a stream's next event, None for other calls."""
        if self.kind is not CallKind.STREAM:
            return None
        return max(
            EVENT_TIMEOUT_S,
            EVENT_TIMEOUT_TARGETS * self.target_s,
            EVENT_TIMEOUT_GAPS * self.max_event_gap_s,
        )

    def pick_service(self, draw: float) -> str | None:
        """The service for ``draw`` in [0, 1); None if no service has any weight."""
        total = sum(share.weight for share in self.shares)
        point = draw * total
        for share in self.shares:
            point -= share.weight
            if share.weight > 0 and point < 0:
                return share.service
        return None


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that the engines of a service can load.

    ``load_s`` is a load from the weight store, ``disk_s`` and ``memory_s`` one from a
    copy on the backend server's own disk or in its main memory. Sizes are megabytes.
    """

    name: str
    size_mb: float
    load_s: float
    disk_s: float
    memory_s: float
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What each backend server of a service of engines can hold.

    ``loads_per_s`` is the most that all of them together may load from the weight
    store."""

    memory_mb: float
    adapter_slots: int
    batch: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service. ``engine`` is None for a plain one.

    ``max_connections`` bounds the connections of all callers to one backend server.
    """

    name: str
    max_connections: int | None = None
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallLimits:
    """What a caller may send, in bytes, and how long it may idle, in seconds."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 2**20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the whole configuration.

    ``revision`` is the store's revision of the document; it orders versions. Where
    ``customers`` is None, no call needs a key.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallLimits = CallLimits()
    customers: Customers | None = None
    _by_host: Mapping[str, tuple[Route, ...]] = field(
        default_factory=dict, repr=False, compare=False
    )

    @classmethod
    def build(
        cls,
        version: int,
        revision: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        limits: CallLimits,
        customers: Customers | None = None,
    ) -> GatewayConfig:
        """A configuration with its routes sorted for :meth:`match`."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        by_name = {service.name: service for service in services}
        return cls(version, revision, routes, by_name, limits, customers, ordered)

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of ``path`` on ``host``, if any.

        >>> config.match("Classes.example:80", "/feedback/7").prefix
        '/feedback/'
        """
        name = host.rsplit(":", 1)[0] if not host.endswith("]") else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def is_newer(held: GatewayConfig | None, offered: GatewayConfig) -> bool:
    """Whether ``offered`` replaces ``held``.

    What goes wrong without it: an answer of the store that was under way while a newer
    one arrived, or a stale read, brings an older document. Routes that callers already
    use would vanish again, which shows as 404 for calls that worked a moment ago.
    """
    return held is None or offered.revision > held.revision
