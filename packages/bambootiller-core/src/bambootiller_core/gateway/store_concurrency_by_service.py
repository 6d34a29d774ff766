"""The speed of the weight store, learnt for each service of engines by itself.

Example::

    speed = speeds.observe(now, service, backends)
    planner = Planner(service.engine, speed.loads, remaining_time(speed, now))
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from bambootiller_core.gateway.config import ServiceSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.store_concurrency import StoreConcurrency, initial_loads


class StoreConcurrencyByService:
    """The estimates by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, StoreConcurrency] = {}

    @property
    def min_loads(self) -> float:
        """The loads that the store is taken to serve at full speed, by the slowest of
        the services; 0 if there are none."""
        return min(
            (concurrency.loads for concurrency in self._by_service.values()), default=0
        )

    def observe(
        self, now: float, service: ServiceSpec, backends: Collection[Backend]
    ) -> StoreConcurrency:
        """Take a look at the loads under way; to be called several times a second."""
        concurrency = self._by_service.get(service.name)
        if concurrency is None:
            concurrency = StoreConcurrency(initial_loads(service.engine))
            self._by_service[service.name] = concurrency
        concurrency.observe(now, backends, service.engine)
        return concurrency


def remaining_time(
    concurrency: StoreConcurrency, now: float
) -> Callable[[Backend], float]:
    """When the load under way at an engine ends, the store's speed considered."""

    def left_s(backend: Backend) -> float:
        loading = backend.engine.loading
        if not loading.from_store:
            return loading.left_s
        return concurrency.left_s(now, backend.incarnation, loading)

    return left_s
