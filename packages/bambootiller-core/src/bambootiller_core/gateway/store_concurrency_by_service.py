"""The estimates of the weight store's concurrency, one for each service of engines.

Example::

    concurrency = by_service.observe(now, service, backends)
    planner = Planner(
        service.engine, concurrency.loads, remaining_time(concurrency, now)
    )
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from bambootiller_core.gateway.config import ServiceSpec
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.store_concurrency import StoreConcurrency, initial_loads


class StoreConcurrencyByService:
    """Creates and updates the estimate of each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, StoreConcurrency] = {}

    @property
    def min_loads(self) -> float:
        """The lowest estimate among the services, in loads at a time; 0 if there are no
        services."""
        return min(
            (concurrency.loads for concurrency in self._by_service.values()), default=0
        )

    def observe(
        self, now: float, service: ServiceSpec, backends: Collection[Backend]
    ) -> StoreConcurrency:
        """Update the estimate of a service from the loads under way and return it. To
        be called several times a second."""
        concurrency = self._by_service.get(service.name)
        if concurrency is None:
            concurrency = StoreConcurrency(initial_loads(service.engine))
            self._by_service[service.name] = concurrency
        concurrency.observe(now, backends, service.engine)
        return concurrency


def remaining_time(
    concurrency: StoreConcurrency, now: float
) -> Callable[[Backend], float]:
    """Return a function that estimates in how many seconds the load under way at an
    engine ends, with the store's concurrency taken into account."""

    def left_s(backend: Backend) -> float:
        loading = backend.engine.loading
        if not loading.from_store:
            return loading.left_s
        return concurrency.left_s(now, backend.incarnation, loading)

    return left_s
