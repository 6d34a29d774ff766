"""Which loads from the weight store an entry asks for, until agents tell of them.

Between the wish for a load and the agent's word that it has begun lie some plans. The
next caller may change their order, and each of them would give the store's one turn to
another model at another engine: two loads would begin, and each would take longer.

Example::

    asks = StoreLoadRequests()
    for load in asks.choose(now, planned, is_reported): ...
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.store_concurrency import PROBE_RETRY_S
from bambootiller_core.gateway.store_queue import StartReason

#: An agent tells of a load that it begins, or makes room for, well within this time. If
#: it doesn't, it can't, and another load is asked for. Seconds.
REPORT_TIMEOUT_S = 0.5
#: An engine whose agent didn't begin a load isn't asked for the same one again for so
#: long, and twice as long for each further engine, so many times at most. The plan
#: would choose the model again and again, and nothing else would be loaded. Seconds.
RETRY_COOLDOWN_S = 2.0
MAX_DOUBLINGS = 2


@dataclass(frozen=True, slots=True)
class _Request:
    load: PlannedLoad
    requested_at: float


class StoreLoadRequests:
    """The loads of one service that an entry has asked for and not been told of."""

    def __init__(self) -> None:
        self._requests: list[_Request] = []
        #: Until when a load of a model isn't asked for at an engine.
        self._cooling_down: dict[tuple[str, str], float] = {}
        #: How often in a row the load of a model hasn't begun.
        self._failures: Counter[str] = Counter()
        #: Those of the last choice that were asked for the first time.
        self.newly_requested: list[PlannedLoad] = []
        #: Those that were given up with the last choice: their agents didn't begin.
        self.expired: list[PlannedLoad] = []
        #: Loads beyond the store's known speed whose outcome isn't known yet, and
        #: whether their agents have told of them.
        self._probes: dict[PlannedLoad, bool] = {}
        self._probe_not_before = float("-inf")

    def choose(
        self,
        now: float,
        planned: Iterable[PlannedLoad],
        is_reported: Callable[[PlannedLoad], bool],
        is_listed: Callable[[PlannedLoad], bool] = lambda load: True,
    ) -> list[PlannedLoad]:
        """The loads to ask for now. ``planned`` are those that the store has turns for,
        ``is_reported`` whether the agent has told of the load, so that the plan counts it
        as under way, ``is_listed`` whether the registry has its engine."""
        self._review_probes(now, is_reported, is_listed)
        planned = [load for load in planned if self._may_request(now, load)]
        reported = [request for request in self._requests if is_reported(request.load)]
        unreported = [request for request in self._requests if request not in reported]
        self._requests = [
            request
            for request in unreported
            if now - request.requested_at <= REPORT_TIMEOUT_S
        ]
        self.expired = [
            request.load for request in unreported if request not in self._requests
        ]
        for request in reported:
            self._failures.pop(request.load.model, None)
        for load in self.expired:
            self._start_cooldown(now, load)
        # The plan was made before that.
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
            load for load in self.newly_requested if load.turn is StartReason.PROBE
        ]
        self._probes.update(dict.fromkeys(started_probes, False))
        return [request.load for request in self._requests]

    def may_probe(self, now: float) -> bool:
        """Whether one load more than the store is known to serve may be asked for.

        A trial whose engine leaves the registry is neither seen to end nor to fail, but
        the store may go on serving it.
        """
        return now >= self._probe_not_before

    def _may_request(self, now: float, load: PlannedLoad) -> bool:
        return load.turn is not StartReason.PROBE or self.may_probe(now)

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
                # Its end was seen; the store's speed is learnt from it.
                del self._probes[load]

    def _start_cooldown(self, now: float, load: PlannedLoad) -> None:
        doublings = min(MAX_DOUBLINGS, self._failures[load.model])
        seconds = RETRY_COOLDOWN_S * 2**doublings
        self._cooling_down[(load.model, load.instance)] = now + seconds
        self._failures[load.model] += 1

    def cooling_down(self, now: float) -> frozenset[tuple[str, str]]:
        """The models and engines that an agent hasn't begun a load for."""
        for pair, until in list(self._cooling_down.items()):
            if until <= now:
                del self._cooling_down[pair]
        return frozenset(self._cooling_down)
