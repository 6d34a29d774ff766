"""Starts the relay of each call with what all relays of a process share."""

from __future__ import annotations

import random
from collections.abc import Callable

from bambootiller.entry.arrivals import Arrival, TurnedAway
from bambootiller.entry.intake import Intake
from bambootiller.entry.records import RequestRecord, turned_away
from bambootiller.entry.relay.calls import Call
from bambootiller.entry.relay.core import RelayCore, Repeat
from bambootiller.entry.relay.driver import Backends, Cut, Driver
from bambootiller.entry.routing import Routing
from bambootiller.metrics import Metrics
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.retries import RetryBudget
from bambootiller_core.types import ModelTarget, Request


class Relays:
    """Makes a driver for each call, and ends it when its exchange ends."""

    def __init__(
        self,
        routing: Routing,
        backends: Backends,
        intake: Intake,
        decisions: DecisionLog,
        metrics: Metrics,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        self._routing = routing
        self._backends = backends
        self._intake = intake
        self._decisions = decisions
        self._metrics = metrics
        self._rng = rng
        self._now = now
        self._budget = RetryBudget()

    def start(self, call: Call, arrival: Arrival) -> Driver:
        """The driver of a call; the caller's going away interrupts it."""
        req = call.request
        record = RequestRecord(
            self._now(), req, arrival.name, self._decisions, self._metrics
        )
        patience_s = self._routing.patience.of(self._now(), call.key)
        core = RelayCore(req, repeat_of(req), self._budget, self._rng, patience_s)
        driver = Driver(call, core, self._routing, self._backends, record)
        self._intake.attach(driver)
        arrival.exchange.at_end(lambda: self._intake.detach(driver))
        arrival.exchange.watch(lambda: driver.interrupt(Cut.CALLER_GONE))
        return driver

    def turned_away(self, away: TurnedAway) -> None:
        """Note a request for which no relay was started."""
        turned_away(
            self._now(),
            away.name,
            away.customer,
            away.refused,
            self._decisions,
            self._metrics,
        )


def repeat_of(req: Request) -> Repeat:
    """What a second attempt of this request does."""
    if isinstance(req.target, ModelTarget):
        return Repeat.RESUME
    return Repeat.CLAIMED if req.non_idempotent else Repeat.RESTART
