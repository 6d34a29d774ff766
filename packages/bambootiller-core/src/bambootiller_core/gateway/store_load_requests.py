"""The weight store loads that an entry has requested and agents haven't reported yet.

Several plans are made between the request for a load and the agent's report that it has
started. A new call may change their order, and without this record each plan could give
the store's only free permit to another model at another engine: two loads would start,
and both would take longer.

Example::

    requests = StoreLoadRequests()
    for load in requests.choose(now, planned, is_reported): ...
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.store_concurrency import PROBE_RETRY_S
from bambootiller_core.gateway.store_queue import StartReason

#: An agent that starts a load, or frees memory for it, reports that well within this
#: time. If it hasn't, it can't start the load, and another one is requested. Seconds.
REPORT_TIMEOUT_S = 0.5
#: For how long a load that an agent didn't start isn't requested from the same engine
#: again. Without this cooldown the plan would choose the model again and again, and
#: nothing else would be loaded. Seconds.
RETRY_COOLDOWN_S = 2.0
#: The cooldown doubles with each further engine that doesn't start the model, at most
#: this many times.
MAX_DOUBLINGS = 2


@dataclass(frozen=True, slots=True)
class _Request:
    load: PlannedLoad
    requested_at: float


class StoreLoadRequests:
    """The loads of one service that an entry requested and no agent has reported."""

    def __init__(self) -> None:
        self._requests: list[_Request] = []
        #: When the cooldown of a (model, instance) pair ends.
        self._cooling_down: dict[tuple[str, str], float] = {}
        #: How many requests in a row for a model's load have expired.
        self._failures: Counter[str] = Counter()
        #: The loads that the last call of :meth:`choose` requested for the first time.
        self.newly_requested: list[PlannedLoad] = []
        #: The requests that the last call of :meth:`choose` dropped, as their agents
        #: declined the load or hadn't started it in time.
        self.expired: list[PlannedLoad] = []
        #: Probes (loads beyond the store's known concurrency) whose outcome is open,
        #: and whether their agents have reported them.
        self._probes: dict[PlannedLoad, bool] = {}
        self._probe_not_before = float("-inf")

    def choose(
        self,
        now: float,
        planned: Iterable[PlannedLoad],
        is_reported: Callable[[PlannedLoad], bool],
        is_listed: Callable[[PlannedLoad], bool] = lambda load: True,
        is_declined: Callable[[PlannedLoad], bool] = lambda load: False,
    ) -> list[PlannedLoad]:
        """Return the loads to request now.

        ``planned`` are the loads for which the store has a permit. ``is_reported``
        tells whether the agent has reported the load, so that the plan counts it as
        under way; ``is_listed`` whether the registry lists the load's engine;
        ``is_declined`` whether it is known that the load doesn't start there, so that
        there is nothing to wait for.
        """
        self._review_probes(now, is_reported, is_listed)
        planned = [load for load in planned if self._may_request(now, load)]
        reported = [request for request in self._requests if is_reported(request.load)]
        unreported = [request for request in self._requests if request not in reported]
        self._requests = [
            request
            for request in unreported
            if now - request.requested_at <= REPORT_TIMEOUT_S
            and not is_declined(request.load)
        ]
        self.expired = [
            request.load for request in unreported if request not in self._requests
        ]
        for request in reported:
            self._failures.pop(request.load.model, None)
        for load in self.expired:
            self._start_cooldown(now, load)
        # The plan was made before these cooldowns began.
        planned = [
            load
            for load in planned
            if (load.model, load.instance) not in self._cooling_down
        ]
        requested = {request.load.model for request in self._requests}
        permits = max(0, len(planned) - len(self._requests))
        others = [load for load in planned if load.model not in requested]
        self.newly_requested = others[:permits]
        self._requests += [_Request(load, now) for load in self.newly_requested]
        for load in self.expired:
            self._probes.pop(load, None)
        started_probes = [
            load
            for load in self.newly_requested
            if load.start_reason is StartReason.PROBE
        ]
        self._probes.update(dict.fromkeys(started_probes, False))
        return [request.load for request in self._requests]

    def may_probe(self, now: float) -> bool:
        """Whether a load beyond the store's known concurrency may be requested.

        No probe starts for a while after the engine of one has left the registry: the
        end of that load can't be observed, and the store may still be serving it.
        """
        return now >= self._probe_not_before

    def _may_request(self, now: float, load: PlannedLoad) -> bool:
        return load.start_reason is not StartReason.PROBE or self.may_probe(now)

    def _review_probes(
        self,
        now: float,
        is_reported: Callable[[PlannedLoad], bool],
        is_listed: Callable[[PlannedLoad], bool],
    ) -> None:
        for load, was_reported in list(self._probes.items()):
            if not is_listed(load):
                self._probe_not_before = now + PROBE_RETRY_S
                self._requests = [
                    request for request in self._requests if request.load != load
                ]
                del self._probes[load]
            elif is_reported(load):
                self._probes[load] = True
            elif was_reported:
                # The end of the load was observed, and counts in the estimate of the
                # store's concurrency.
                del self._probes[load]

    def _start_cooldown(self, now: float, load: PlannedLoad) -> None:
        doublings = min(MAX_DOUBLINGS, self._failures[load.model])
        seconds = RETRY_COOLDOWN_S * 2**doublings
        self._cooling_down[(load.model, load.instance)] = now + seconds
        self._failures[load.model] += 1

    def cooling_down(self, now: float) -> frozenset[tuple[str, str]]:
        """The (model, instance) pairs that are in their cooldown."""
        for pair, until in list(self._cooling_down.items()):
            if until <= now:
                del self._cooling_down[pair]
        return frozenset(self._cooling_down)
