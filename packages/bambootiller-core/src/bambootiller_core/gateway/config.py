"""The configuration of the gateway: routes, services and the models of an engine.

A configuration is one versioned document. It replaces the previous one atomically, and
a document older than the one in force is never applied.

Example::

    route = config.match("classes.example", "/feedback/7")
    service = config.services[route.pick_service(0.3)]
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.customers import Customers

#: The caller of a stream disconnects if no event comes for the longest of these: a
#: fixed time in seconds, this multiple of the route's target latency, and this multiple
#: of the longest gap between events that is still on time. The platform's protocol
#: specifies these values.
EVENT_TIMEOUT_S = 2.0
EVENT_TIMEOUT_TARGETS = 4.0
EVENT_TIMEOUT_GAPS = 8.0


class CallKind(enum.Enum):
    """How the calls of a route may be repeated: ``IDEMPOTENT`` ones may run more than
    once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service and the relative weight of its part of a route's calls."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services that calls of one host and path prefix go to, and the operator's
    settings for these calls.

    ``timeout_s`` is the longest time in which a call must be answered; None means no
    limit. ``target_s`` is the target latency. ``priority`` 0 is the highest. A stream
    is ``resumable`` if another run may continue after the last event that the caller
    has. ``max_event_gap_s`` is the longest gap between events that is still on time. A
    ``public`` route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    service_weights: tuple[ServiceWeight, ...]
    timeout_s: float | None = None
    target_s: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    max_event_gap_s: float = 0.0
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a call whose outcome is unknown may be sent again from the start."""
        return self.kind is CallKind.IDEMPOTENT

    @property
    def event_timeout_s(self) -> float | None:
        """How long a caller waits for a stream's next event in seconds, None for other
        calls."""
        if self.kind is not CallKind.STREAM:
            return None
        return max(
            EVENT_TIMEOUT_S,
            EVENT_TIMEOUT_TARGETS * self.target_s,
            EVENT_TIMEOUT_GAPS * self.max_event_gap_s,
        )

    def pick_service(self, draw: float) -> str | None:
        """The service that the random number ``draw`` in [0, 1) selects by weight; None
        if no service has any weight."""
        total = sum(service_weight.weight for service_weight in self.service_weights)
        point = draw * total
        for service_weight in self.service_weights:
            point -= service_weight.weight
            if service_weight.weight > 0 and point < 0:
                return service_weight.service
        return None


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that the engines of a service can load.

    ``load_s`` is the duration of a load from the weight store, ``disk_s`` and
    ``memory_s`` that of one from a copy on the backend server's own disk or in its main
    memory, in seconds. Sizes are in megabytes. ``adapters`` is the number of adapters.
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
    """The capacity of each engine of a service.

    ``batch`` is the number of calls that an engine runs at once. ``loads_per_s`` limits
    the loads from the weight store, counted over all engines of the service."""

    memory_mb: float
    adapter_slots: int
    batch: int
    loads_per_s: float
    models: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service. ``engine`` is None if its backend servers aren't engines.

    ``max_connections`` limits the connections to one backend server, counted over all
    callers.
    """

    name: str
    max_connections: int | None = None
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on a caller's request sizes, in bytes, and idle times, in seconds."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 2**20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the configuration.

    ``revision`` is the store's revision of the document; it orders versions. If
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

    A delayed answer of the store, or a stale read, can bring an older document after a
    newer one. Without this check, routes that callers already use would disappear, and
    calls that worked a moment ago would get a 404.
    """
    return held is None or offered.revision > held.revision
