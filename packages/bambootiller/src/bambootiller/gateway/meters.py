"""Counters and latency histograms, updated from the events that a process logs.

Each counted kind of event has a function here, registered by a decorator. Every event
is counted, also those that the log drops when there are too many. The number of values
of a label is bounded: an operator may have hundreds of routes, and a label value for
each would overload the metrics collector.

Example::

    meters = Meters()
    events.on_line(meters.count)
    page = meters.page()
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import asdict

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.unserved import UnservedTracker

#: The most distinct values of one label; all further ones count as "other".
MAX_LABEL_VALUES = 40
OTHER = "other"
PREFIX = "bambootiller_"
#: From a few milliseconds, the time of a good answer, to the longest deadlines.
#: Seconds.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0)

#: Models and adapters are counted by the time for which no call to them has been
#: served. Seconds.
UNSERVED_AGES_S = (4, 8, 16, 32)

CountFunction = Callable[["Meters", lines.LogLine], None]
_COUNT_FUNCTIONS: dict[type[lines.LogLine], CountFunction] = {}


def counts(kind: type[lines.LogLine]) -> Callable[[CountFunction], CountFunction]:
    """Register the decorated function to count events of one kind."""

    def register(function: CountFunction) -> CountFunction:
        _COUNT_FUNCTIONS[kind] = function
        return function

    return register


class BoundedLabel:
    """Keeps the first values of a label, and replaces the rest by "other".

    >>> label = BoundedLabel(max_values=1)
    >>> label("a"), label("b"), label("a")
    ('a', 'other', 'a')
    """

    def __init__(self, max_values: int = MAX_LABEL_VALUES) -> None:
        self._max_values = max_values
        self._seen: set[str] = set()

    def __call__(self, value: str) -> str:
        """The value, or "other"."""
        if value in self._seen:
            return value
        if len(self._seen) >= self._max_values:
            return OTHER
        self._seen.add(value)
        return value


class Meters:
    """All metrics of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._route = BoundedLabel()
        self._service = BoundedLabel()
        self._customer = BoundedLabel()
        self.unserved = UnservedTracker()
        self.requests = self._counter(
            "requests", "Calls by their end", "route", "kind", "outcome"
        )
        self.attempts = self._counter(
            "attempts",
            "Calls sent to backend servers, by their end",
            "service",
            "ended",
        )
        self.refusals = self._counter(
            "refusals", "The gateway's own final answers", "reason", "status"
        )
        self.call_errors = self._counter(
            "call_errors", "Calls that were ended by an unexpected error"
        )
        self.connection_ends = self._counter(
            "unanswered_connection_ends",
            "Connections of callers that ended before the answer was complete",
            "closed_by",
        )
        self.first_part = self._histogram(
            "first_part_seconds", "From a call's arrival to its answer's first part"
        )
        self.longest_gap = self._histogram(
            "longest_gap_seconds", "The longest pause between two parts of an answer"
        )
        self.held = self._histogram(
            "refusal_held_seconds", "From a call's arrival to the gateway's own answer"
        )
        self.waited = self._histogram(
            "placement_seconds",
            "From a call's arrival to the choice of a backend server",
        )
        self.health_changes = self._counter(
            "backend_judgements", "Changed judgements", "service", "standing"
        )
        self.registrations = self._counter(
            "backend_registrations", "Changes of the registry", "change"
        )
        self.unreadable = self._counter(
            "unreadable_documents", "Documents that can't be read", "document"
        )
        self.passed_on = self._counter(
            "configurations_passed_on_bytes", "Configurations sent to peers"
        )
        self.dependency_changes = self._counter(
            "dependency_changes",
            "Dependencies lost and regained",
            "dependency",
            "change",
        )
        self.stalls = self._histogram(
            "standstill_seconds", "Times in which the process didn't see its sockets"
        )
        self.orders = self._counter(
            "orders", "Orders to the engine", "order", "target", "answer"
        )
        self.store_loads_asked = self._counter(
            "store_loads_asked",
            "Loads from the weight store that this entry asked for",
            "turn",
        )
        self.store_turns = self._counter(
            "store_turns", "Tries to take a turn of the weight store", "outcome"
        )
        self.loads = self._histogram("load_seconds", "Loads of models", "tier", "held")
        self.copies = self._counter(
            "copies", "Copies of weights that came to the engine or went", "change"
        )
        self.store_calls = self._counter(
            "store_calls", "Calls of the store", "call", "answer"
        )
        self.suspicions = self._counter(
            "request_suspicions",
            "Requests quarantined, and found sound after lost runs",
            "change",
        )
        self.obstacles = self._counter(
            "load_obstacles",
            "Engines that were kept from a load that a refused call needed",
            "obstacle",
        )
        self.customer_calls = self._counter(
            "customer_calls", "Calls of customers by their end", "customer", "outcome"
        )
        self.quota_share = Gauge(
            PREFIX + "quota_share",
            "The part of a customer's limit that this entry holds",
            ["customer"],
            registry=self.registry,
        )
        self._add_unserved_gauges()
        self.config_version = self._gauge(
            "config_version", "The configuration in force"
        )

    def count(self, line: lines.LogLine) -> None:
        """Update the metrics from one event."""
        function = _COUNT_FUNCTIONS.get(type(line))
        if function is not None:
            function(self, line)

    def route(self, name: str | None) -> str:
        """A route's name as a label."""
        return self._route(name) if name else "none"

    def service(self, name: str) -> str:
        """A service's name as a label."""
        return self._service(name)

    def customer(self, name: str) -> str:
        """A customer's name as a label."""
        return self._customer(name)

    def shares(self, shares: Mapping[str, float]) -> None:
        """Set the gauges of this entry's shares of customers' limits. Customers beyond
        the bound on label values are left out."""
        for name, share in shares.items():
            label = self._customer(name)
            if label != OTHER:
                self.quota_share.labels(label).set(share)

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read each time the page is requested."""
        self._gauge(name, text).set_function(read)

    def _add_unserved_gauges(self) -> None:
        unserved = self.unserved
        ages = Gauge(
            PREFIX + "models_unserved",
            "Models and adapters asked for here of which no call has been served for"
            " so many seconds",
            ["seconds"],
            registry=self.registry,
        )
        for age_s in UNSERVED_AGES_S:
            ages.labels(str(age_s)).set_function(
                lambda age_s=age_s: unserved.count(time.monotonic(), age_s)
            )
        self.add_gauge(
            "oldest_unserved_seconds",
            "For how long a model or adapter that is asked for here hasn't been served",
            lambda: unserved.oldest_s(time.monotonic()),
        )

    def page(self) -> bytes:
        """All metrics in the text format that scrapers read."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(PREFIX + name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(PREFIX + name, text, registry=self.registry)

    def _histogram(self, name: str, text: str, *labels: str) -> Histogram:
        return Histogram(
            PREFIX + name,
            text,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )


@counts(lines.Answered)
def _answered(meters: Meters, line: lines.Answered) -> None:
    meters.requests.labels(meters.route(line.route), line.kind, "answered").inc()
    meters.attempts.labels(meters.service(line.service), "answered").inc()
    meters.first_part.observe(line.first_ms / 1000)
    meters.waited.observe(line.waited_ms / 1000)
    meters.longest_gap.observe(line.longest_gap_ms / 1000)
    _count_customer(meters, line, "answered")
    if line.model is not None:
        meters.unserved.served(line.model, line.adapter or "")


@counts(lines.AttemptFailed)
def _attempt_failed(meters: Meters, line: lines.AttemptFailed) -> None:
    meters.attempts.labels(meters.service(line.service), line.ended).inc()


@counts(lines.Refused)
def _refused(meters: Meters, line: lines.Refused) -> None:
    kind = line.kind or "none"
    meters.requests.labels(meters.route(line.route), kind, "refused").inc()
    meters.refusals.labels(line.reason, str(line.status)).inc()
    meters.held.observe(line.held_ms / 1000)
    _count_customer(meters, line, line.reason)
    _record_unserved(meters, line)
    if line.plan and line.plan.obstacles:
        for obstacle, engines in asdict(line.plan.obstacles).items():
            meters.obstacles.labels(obstacle).inc(engines)


def _count_customer(
    meters: Meters,
    line: lines.Answered | lines.Refused | lines.Cut | lines.CallerGone,
    outcome: str,
) -> None:
    if line.customer is not None:
        customer = meters.customer(line.customer)
        meters.customer_calls.labels(customer, outcome).inc()


def _record_unserved(
    meters: Meters, line: lines.Refused | lines.Cut | lines.CallerGone
) -> None:
    if line.model is not None:
        now = time.monotonic()
        meters.unserved.refused(now, line.model, line.adapter or "")


@counts(lines.Cut)
def _cut(meters: Meters, line: lines.Cut) -> None:
    _count_customer(meters, line, "cut")
    _record_unserved(meters, line)
    meters.requests.labels(meters.route(line.route), line.kind, "cut").inc()
    meters.connection_ends.labels("cut").inc()


@counts(lines.CallerGone)
def _caller_gone(meters: Meters, line: lines.CallerGone) -> None:
    _count_customer(meters, line, "caller_gone")
    _record_unserved(meters, line)
    meters.requests.labels(meters.route(line.route), line.kind, "caller_gone").inc()
    meters.connection_ends.labels(line.closed_by or "unknown").inc()


@counts(lines.CallError)
def _call_error(meters: Meters, line: lines.CallError) -> None:
    meters.call_errors.inc()


@counts(lines.ConfigInForce)
def _config_in_force(meters: Meters, line: lines.ConfigInForce) -> None:
    meters.config_version.set(line.config_version)


@counts(lines.ConfigPassedOn)
def _config_passed_on(meters: Meters, line: lines.ConfigPassedOn) -> None:
    meters.passed_on.inc(line.size_bytes)


@counts(lines.BackendListed)
def _backend_listed(meters: Meters, line: lines.BackendListed) -> None:
    change = "leaving" if line.leaving else "listed"
    meters.registrations.labels(change).inc()


@counts(lines.BackendRestarted)
def _backend_restarted(meters: Meters, line: lines.BackendRestarted) -> None:
    meters.registrations.labels("restarted").inc()


@counts(lines.DocumentUnreadable)
def _document_unreadable(meters: Meters, line: lines.DocumentUnreadable) -> None:
    meters.unreadable.labels("configuration").inc()


@counts(lines.BackendUnreadable)
def _backend_unreadable(meters: Meters, line: lines.BackendUnreadable) -> None:
    meters.unreadable.labels("registry").inc()


@counts(lines.BackendRemoved)
def _backend_removed(meters: Meters, line: lines.BackendRemoved) -> None:
    meters.registrations.labels(line.reason).inc()


@counts(lines.BackendJudged)
def _backend_judged(meters: Meters, line: lines.BackendJudged) -> None:
    meters.health_changes.labels(meters.service(line.service), line.standing).inc()


@counts(lines.RequestQuarantined)
def _request_quarantined(meters: Meters, line: lines.RequestQuarantined) -> None:
    meters.suspicions.labels("quarantined").inc()


@counts(lines.RequestCleared)
def _request_cleared(meters: Meters, line: lines.RequestCleared) -> None:
    meters.suspicions.labels("cleared").inc()


@counts(lines.DependencyLost)
def _dependency_lost(meters: Meters, line: lines.DependencyLost) -> None:
    meters.dependency_changes.labels(line.dependency, "lost").inc()


@counts(lines.DependencyRegained)
def _dependency_regained(meters: Meters, line: lines.DependencyRegained) -> None:
    meters.dependency_changes.labels(line.dependency, "regained").inc()


@counts(lines.StoodStill)
def _stood_still(meters: Meters, line: lines.StoodStill) -> None:
    meters.stalls.observe(line.seconds)


@counts(lines.Order)
def _order(meters: Meters, line: lines.Order) -> None:
    target = "adapter" if line.adapter else "model"
    meters.orders.labels(line.order, target, line.answer).inc()


@counts(lines.StoreLoadAsked)
def _store_load_asked(meters: Meters, line: lines.StoreLoadAsked) -> None:
    meters.store_loads_asked.labels(line.turn).inc()


@counts(lines.StoreLoadDeclined)
def _store_load_declined(meters: Meters, line: lines.StoreLoadDeclined) -> None:
    meters.store_loads_asked.labels("declined").inc()


@counts(lines.StoreLoadNotBegun)
def _store_load_not_begun(meters: Meters, line: lines.StoreLoadNotBegun) -> None:
    meters.store_loads_asked.labels("not begun").inc()


@counts(lines.StoreTurn)
def _store_turn(meters: Meters, line: lines.StoreTurn) -> None:
    meters.store_turns.labels(line.outcome).inc()


@counts(lines.LoadEnded)
def _load_ended(meters: Meters, line: lines.LoadEnded) -> None:
    tier = "store" if line.from_store else "copy"
    meters.loads.labels(tier, "yes" if line.held else "no").observe(line.seconds)


@counts(lines.CopiesChanged)
def _copies_changed(meters: Meters, line: lines.CopiesChanged) -> None:
    meters.copies.labels("gained").inc(len(line.gained))
    meters.copies.labels("lost").inc(len(line.lost))
