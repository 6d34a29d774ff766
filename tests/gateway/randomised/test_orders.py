"""Orders never exceed an engine's memory, though answers are lost and orders late."""

import random
import unittest
from dataclasses import replace

from bambootiller_core.gateway.order_messages import (
    EngineReport,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.orders import OrderBook
from tests.common import counting, profiles
from tests.gateway.common import samples

MODELS = {f"m{n}": 20.0 + 10 * n for n in range(6)}
ADAPTER_MB = 2.0
MEMORY_MB = 100.0
ADAPTER_SLOTS = 3
LOAD_S = 2.0
#: The latest execution of an unanswered order, as the platform names it. Seconds.
LATEST_S = 12.0


class FakeEngine:
    """An engine that follows the published rules of orders and fails the test on an
    order that exceeds its memory or adapter slots."""

    def __init__(self, rng):
        self.rng = rng
        self.latest_s = 9
        self.start = 0
        self.restart()
        self.late_orders = []

    def restart(self):
        self.start += 1
        self.held = {}
        self.accepted = 0
        self.current_order = None

    def new_agent(self):
        pass

    @property
    def instance(self):
        return f"b{self.start}"

    def used(self):
        total = sum(MODELS[name] for name in self.held)
        total += ADAPTER_MB * sum(len(adapters) for adapters in self.held.values())
        if (
            self.current_order is not None
            and self.current_order[1].kind is OrderKind.LOAD
        ):
            total += MODELS[self.current_order[1].model]
        return total

    def report(self, now):
        self.advance(now)
        held = {name: frozenset(adapters) for name, adapters in self.held.items()}
        return EngineReport(
            self.instance, held, self.accepted, self.current_order is not None
        )

    def advance(self, now):
        for at, instance, order in [
            item for item in self.late_orders if item[0] <= now
        ]:
            self.late_orders.remove((at, instance, order))
            self.execute(now, instance, order)
        if self.current_order is not None and self.current_order[0] <= now:
            order = self.current_order[1]
            if order.kind is OrderKind.LOAD:
                self.held[order.model] = set()
            else:
                self.held.pop(order.model, None)
            self.current_order = None

    def order(self, now, instance, order):
        draw = self.rng.random()
        if draw < 0.2:
            late_at = now + self.rng.uniform(0.1, self.latest_s)
            self.late_orders.append((late_at, instance, order))
            return OrderAnswer.UNANSWERED
        answer = self.execute(now, instance, order)
        return OrderAnswer.UNANSWERED if draw < 0.3 else answer

    def execute(self, now, instance, order):
        if instance != self.instance:
            return OrderAnswer.OTHER_INSTANCE
        if self.current_order is not None or order.expected != self.accepted:
            return OrderAnswer.CONFLICT
        self.accepted += 1
        if order.adapter:
            held = self.held.get(order.model, set())
            change = held.add if order.kind is OrderKind.LOAD else held.discard
            change(order.adapter)
        else:
            seconds = LOAD_S if order.kind is OrderKind.LOAD else 0.1
            self.current_order = (now + seconds, order)
        slots = sum(len(adapters) for adapters in self.held.values())
        if self.used() > MEMORY_MB or slots > ADAPTER_SLOTS:
            raise AssertionError(f"crashed by {order}: {self.used()} MB, {slots} slots")
        return OrderAnswer.ACCEPTED


class SameNameEngine(FakeEngine):
    """An engine that restarts under the same name, so that it gets late orders that
    were sent to the previous start.

    It remembers the highest fencing token since its start. Each new agent has a higher
    one; ``token`` is that of the present agent.
    """

    instance = "b1"

    def __init__(self, rng):
        self.token = 1
        super().__init__(rng)

    def restart(self):
        super().restart()
        self.fence = 0

    def report(self, now):
        return replace(super().report(now), started_ms=self.start)

    def order(self, now, instance, order):
        return super().order(now, self.token, order)

    def execute(self, now, instance, order):
        token = instance
        if token < self.fence:
            return OrderAnswer.FENCED
        self.fence = token
        if not order.adapter and order.kind is OrderKind.LOAD:
            if order.model in self.held and order.expected == self.accepted:
                # Only a late order is for a model that is held. It takes no memory.
                return OrderAnswer.HOLDS
        return super().execute(now, self.instance, order)

    def new_agent(self):
        self.token += 1


def simulate(seed, steps, engine_class=FakeEngine, restarts=0.01, latest_s=9):
    rng = random.Random(seed)
    models = [
        samples.model(name, size, adapters=4, adapter_mb=ADAPTER_MB)
        for name, size in MODELS.items()
    ]
    spec = samples.engine(*models, memory_mb=MEMORY_MB, adapter_slots=ADAPTER_SLOTS)
    book, engine, now, loads = OrderBook(spec), engine_class(rng), 0.0, 0
    engine.latest_s = latest_s
    for _ in range(steps):
        now += rng.uniform(0.0, 0.3)
        model = rng.choice(list(MODELS))
        adapter = rng.choice(["", "", "a1", "a2", "a3", "a4"])
        book.load_requested(now, LoadRequest(model, adapter, rng.choice([0, 5])))
        if rng.random() < restarts:
            engine.restart()
        if rng.random() < 0.01:
            # A new agent process has no record of orders that haven't arrived yet.
            book = OrderBook(spec)
            engine.new_agent()
        instance = engine.instance
        book.reported(now, engine.report(now))
        order = book.next_order(now)
        if order is None:
            continue
        book.order_sent(order)
        answer = engine.order(now, instance, order)
        book.answered(now, order, answer)
        loads += order.kind is OrderKind.LOAD
        if answer is OrderAnswer.CONFLICT:
            book.reported(now, engine.report(now))
            if book.report.accepted <= order.expected:
                book.conflict_confirmed(order)
    return loads


class TestOrders(unittest.TestCase):
    def test_orders_never_exceed_the_memory_of_an_engine(self):
        for seed in range(profiles.scale(60, 4000)):
            with self.subTest(seed=seed):
                loads = simulate(seed, 300)
                counting.add("gateway orders", 300)
                self.assertGreater(loads, 5)

    def test_seed_7075_of_restarts_under_the_same_name(self):
        """Symptom: an engine is ordered beyond its memory.

        Two unanswered loads were sent to two starts of the engine. Both arrive late at
        a third start, one after the other, before an agent that was restarted meanwhile
        has sent its first order. Each has the count that the third start expects at
        that moment, and no process is left that knows of both.
        """
        simulate(7075, 300, SameNameEngine, restarts=0.05)

    def test_orders_never_exceed_the_memory_after_restarts_under_the_same_name(self):
        for seed in range(profiles.scale(100, 4000)):
            with self.subTest(seed=seed):
                loads = simulate(seed, 300, SameNameEngine, restarts=0.05)
                counting.add("gateway orders", 300)
                self.assertGreater(loads, 5)

    def test_orders_as_late_as_the_platform_allows_never_exceed_the_memory(self):
        """An engine that had restarted was overfilled by an order 11.6 s late."""
        for seed in range(profiles.scale(100, 4000)):
            with self.subTest(seed=seed):
                simulate(seed, 300, SameNameEngine, restarts=0.05, latest_s=LATEST_S)
                counting.add("gateway orders", 300)
