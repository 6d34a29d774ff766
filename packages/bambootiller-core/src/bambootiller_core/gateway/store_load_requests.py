"""Which loads from the weight store an entry asks for, until agents tell of them.

Between the wish for a load and the agent's word that it has begun lie some plans. The
next caller may change their order, and each of them would give the store's one turn to
another model at another engine: two loads would begin, and each would take longer.

Example::

    asks = StoreLoadRequests()
    for load in asks.choose(now, planned, is_told): ...
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
class _Ask:
    load: PlannedLoad
    first_at: float


class StoreLoadRequests:
    """The loads of one service that an entry has asked for and not been told of."""

    def __init__(self) -> None:
        self._asks: list[_Ask] = []
        #: Until when a load of a model isn't asked for at an engine.
        self._cooling_down: dict[tuple[str, str], float] = {}
        #: How often in a row the load of a model hasn't begun.
        self._failures: Counter[str] = Counter()
        #: Those of the last choice that were asked for the first time.
        self.begun: list[PlannedLoad] = []
        #: Those that were given up with the last choice: their agents didn't begin.
        self.given_up: list[PlannedLoad] = []
        #: Loads beyond the store's known speed whose outcome isn't known yet, and
        #: whether their agents have told of them.
        self._trials: dict[PlannedLoad, bool] = {}
        self._tries_from = float("-inf")

    def choose(
        self,
        now: float,
        planned: Iterable[PlannedLoad],
        is_told: Callable[[PlannedLoad], bool],
        is_listed: Callable[[PlannedLoad], bool] = lambda load: True,
    ) -> list[PlannedLoad]:
        """The loads to ask for now. ``planned`` are those that the store has turns for,
        ``is_told`` whether the agent has told of the load, so that the plan counts it
        as under way, ``is_listed`` whether the registry has its engine."""
        self._review_trials(now, is_told, is_listed)
        planned = [load for load in planned if self._may_ask(now, load)]
        told = [ask for ask in self._asks if is_told(ask.load)]
        untold = [ask for ask in self._asks if ask not in told]
        self._asks = [ask for ask in untold if now - ask.first_at <= REPORT_TIMEOUT_S]
        self.given_up = [ask.load for ask in untold if ask not in self._asks]
        for ask in told:
            self._failures.pop(ask.load.model, None)
        for load in self.given_up:
            self._bar(now, load)
        # The plan was made before that.
        planned = [
            load
            for load in planned
            if (load.model, load.instance) not in self._cooling_down
        ]
        asked = {ask.load.model for ask in self._asks}
        permits = max(0, len(planned) - len(self._asks))
        others = [load for load in planned if load.model not in asked]
        self.begun = others[:permits]
        self._asks += [_Ask(load, now) for load in self.begun]
        for load in self.given_up:
            self._trials.pop(load, None)
        tried = [load for load in self.begun if load.turn is StartReason.PROBE]
        self._trials.update(dict.fromkeys(tried, False))
        return [ask.load for ask in self._asks]

    def may_probe(self, now: float) -> bool:
        """Whether one load more than the store is known to serve may be asked for.

        A trial whose engine leaves the registry is neither seen to end nor to fail, but
        the store may go on serving it.
        """
        return now >= self._tries_from

    def _may_ask(self, now: float, load: PlannedLoad) -> bool:
        return load.turn is not StartReason.PROBE or self.may_probe(now)

    def _review_trials(
        self,
        now: float,
        is_told: Callable[[PlannedLoad], bool],
        is_listed: Callable[[PlannedLoad], bool],
    ) -> None:
        for load, was_told in list(self._trials.items()):
            if not is_listed(load):
                self._tries_from = now + PROBE_RETRY_S
                self._asks = [ask for ask in self._asks if ask.load != load]
                del self._trials[load]
            elif is_told(load):
                self._trials[load] = True
            elif was_told:
                # Its end was seen; the store's speed is learnt from it.
                del self._trials[load]

    def _bar(self, now: float, load: PlannedLoad) -> None:
        doubled = min(MAX_DOUBLINGS, self._failures[load.model])
        seconds = RETRY_COOLDOWN_S * 2**doubled
        self._cooling_down[(load.model, load.instance)] = now + seconds
        self._failures[load.model] += 1

    def cooling_down(self, now: float) -> frozenset[tuple[str, str]]:
        """The models and engines that an agent hasn't begun a load for."""
        for pair, until in list(self._cooling_down.items()):
            if until <= now:
                del self._cooling_down[pair]
        return frozenset(self._cooling_down)
