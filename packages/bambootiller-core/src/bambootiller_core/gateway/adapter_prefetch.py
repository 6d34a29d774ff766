"""Prefetches the adapters that refused callers will need when they come back.

A caller that names an adapter is refused while its model isn't loaded. Once the model
is loaded, its engine may start a long load at once, and accepts no order for an adapter
until that ends; the caller would come back to its model and be refused again. So the
adapter is loaded as soon as the model is.

Example::

    prefetch = AdapterPrefetch()
    prefetch.refused(now, request, come_back_s=6.0)
    for request in prefetch.load_requests(now, backend, fleet.of_service("tutor")): ...
"""

from __future__ import annotations

from collections.abc import Collection

from bambootiller_core.gateway.calls import ModelRequest
from bambootiller_core.gateway.demand_tracker import RETURN_SLACK_S
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.order_messages import LoadRequest

#: Seconds after which callers no longer come back, whatever retry time they were given:
#: they wait for at most a third of the time that they have left.
MAX_RETURN_S = 10.0


class AdapterPrefetch:
    """The adapters that refused callers of one entry named, for the engines of one
    service."""

    def __init__(self) -> None:
        #: When the last caller is expected back, by model and adapter.
        self._due: dict[str, dict[str, float]] = {}

    def refused(self, now: float, request: ModelRequest, come_back_s: float) -> None:
        """Record that a caller was refused because its model couldn't be loaded in
        time."""
        if not request.adapter:
            return
        for model in list(self._due):
            self._still_due(now, model)
        due_in_s = min(come_back_s, MAX_RETURN_S) + RETURN_SLACK_S
        self._due.setdefault(request.model, {})[request.adapter] = now + due_in_s

    def load_requests(
        self, now: float, backend: Backend, backends: Collection[Backend]
    ) -> list[LoadRequest]:
        """Which adapters to load at the engine whose agent has just reported;
        ``backends`` are all engines of the service."""
        if not self._due:
            return []
        can_load = backend.accepts_orders(now) and backend.engine.loading is None
        models = [model for model in self._due if backend.serves(now, model)]
        found = []
        for model in models:
            due = self._still_due(now, model)
            for adapter in due if can_load else ():
                if not any(other.serves(now, model, adapter) for other in backends):
                    found.append(LoadRequest(model, adapter))
        return found

    def _still_due(self, now: float, model: str) -> dict[str, float]:
        """Drop callers who were expected back before now; returns the remaining
        ones."""
        due = {name: at for name, at in self._due.pop(model).items() if at >= now}
        if due:
            self._due[model] = due
        return due
