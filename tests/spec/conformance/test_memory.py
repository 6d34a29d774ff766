"""The core's ledger reserves and releases when the specification does."""

import unittest
from collections import Counter

from bambootiller_core.backend_effects import OrderLost, OrderTaken, engine_name
from bambootiller_core.memory import Item, Ledger
from bambootiller_core.types import (
    EngineState,
    ModelKey,
    ModelReport,
    OrderState,
    Phase,
)
from spec import Action, registered
from spec.memory import ABSENT, LAST, LEAVING, LOADED, NONE, ORDERED
from tests.spec.common.walks import walk

WALKS = 30
STEPS = 400
ARRIVES_WITHIN_S = 1000.0
RARE = frozenset({"engine_restarts", "agent_is_killed"})
HEARS = ("agent_hears_order_settled", "agent_hears_unload_settled")


class MemoryMirror:
    """
    A ledger, and the engine's accounts of itself that it is given.

    The ledger learns all models at once from one account. So an account that is read
    is followed in the specification by every step that it enables, up to the load
    orders of which the account says nothing: those are settled by time alone, which
    may pass whenever no load order is on the wire.
    """

    def __init__(self, spec):
        self.spec = spec
        self.sizes = spec.bounds["sizes"]
        self.items = [Item(ModelKey("c", f"m{n}")) for n in range(len(self.sizes))]
        self.now = 1.0
        self.count = 0
        self.version = 1
        self.incarnation = 1
        self.orders: dict[str, OrderState] = {}
        self.order_ids = [""] * len(self.sizes)
        self.until = [0.0] * len(self.sizes)
        self.arrived = [True] * len(self.sizes)
        self.report: tuple[float, EngineState] | None = None
        self._starts(spec.initial())

    # What is drawn.

    def choices(self, state, successors):
        kept = [one for one in successors if one[0].name not in HEARS]
        kept = [one for one in kept if one[0].name != "agent_reads_report"]
        if state.agent_up and state.settled:
            if state.report is not None:
                kept.append((Action("old account read"), self._after_old(state)))
            kept.append((Action("account read"), self._after_fresh(state)))
        if all(model.load == LAST for model in state.models):
            kept.append((Action("time passes"), state))
        return kept

    def _one(self, state, name, *args):
        """The state after one step of the specification."""
        for found, after in getattr(self.spec, name)(state):
            if found == args:
                return after
        return state

    def _after_old(self, state):
        as_of, account = self.report
        after = self._one(state, "agent_reads_report")
        shown = {report.model for report in account.models}
        for number, model in enumerate(after.models):
            absent = engine_name(self.items[number].key) not in shown
            known = self._knows_order(max(as_of, self.as_of), account, number)
            if model.entry == ORDERED and absent and known and self._news(account):
                after = self._one(after, HEARS[0], number)
        return after

    def _after_fresh(self, state):
        after = self._after_old(state) if state.report is not None else state
        after = self._one(after, "report_is_taken")
        after = self._one(after, "agent_reads_report")
        account = self._account(state)
        for number, model in enumerate(after.models):
            known = self._knows_order(self.now, account, number)
            if model.entry == LEAVING or known:
                for name in HEARS:
                    after = self._one(after, name, number)
        return after

    def _knows_order(self, as_of: float, account: EngineState, number: int) -> bool:
        """Whether the agent knows by the account that no copy can arrive any more."""
        listed = account.orders.get(self.order_ids[number])
        arrived = self.arrived[number] or listed is not None
        over = as_of >= self.until[number]
        return (arrived or over) and listed is not OrderState.PENDING

    # What is carried out.

    def follow(self, before, action, after):
        self.now += 0.001
        name = action.name.replace(" ", "_")
        handler = getattr(self, f"_{name}", None)
        if handler is not None:
            handler(before, *action.args)
        if [m.phase for m in after.models] != [m.phase for m in before.models]:
            self.version += 1
        if after.agent_up and after.settled:
            self._compare(after)

    def _compare(self, state):
        entries = [model.entry != NONE for model in state.models]
        held = [self.ledger.held(item) > 0 for item in self.items]
        assert held == entries, f"the ledger holds {held}"
        reserved = sum(size for size, entry in zip(self.sizes, entries) if entry)
        assert self.ledger.free() == self.spec.bounds["total"] - reserved

    def _account(self, state) -> EngineState:
        """The engine's account of itself in a state of the specification."""
        present = [n for n, m in enumerate(state.models) if m.phase != ABSENT]
        reports = tuple(
            ModelReport(
                engine_name(self.items[n].key),
                Phase(state.models[n].phase),
                self.sizes[n],
            )
            for n in present
        )
        return EngineState(
            version=self.version,
            incarnation=f"{self.incarnation:06}",
            memory_total=self.spec.bounds["total"],
            memory_used=sum(self.sizes[n] for n in present),
            models=reports,
            orders=dict(self.orders),
        )

    def _news(self, account: EngineState) -> bool:
        """An agent leaves out accounts older than the newest that it knows."""
        return (account.incarnation, account.version) >= self.known

    def _learn(self, as_of: float, account: EngineState) -> None:
        if not self._news(account):
            return
        self.known = (account.incarnation, account.version)
        self.as_of = max(as_of, self.as_of)
        self.ledger.learn(as_of, account)
        for number, order_id in enumerate(self.order_ids):
            self.arrived[number] |= order_id in account.orders

    def _starts(self, state):
        self.ledger = Ledger()
        self.known = ("", 0)
        self.as_of = 0.0
        self._learn(self.now, self._account(state))

    def _time_passes(self, state):
        self.now += 2 * ARRIVES_WITHIN_S

    def _report_is_taken(self, state):
        self.report = self.now, self._account(state)

    def _old_account_read(self, state):
        self._learn(*self.report)
        self.report = None

    def _account_read(self, state):
        if self.report is not None:
            self._old_account_read(state)
        self._learn(self.now, self._account(state))

    def _agent_orders_load(self, state, number):
        item, size = self.items[number], self.sizes[number]
        assert self.ledger.fits(item, size)
        self.count += 1
        self.order_ids[number] = order_id = f"o-{self.count}"
        self.until[number] = self.now + ARRIVES_WITHIN_S
        self.arrived[number] = False
        self.ledger.reserve(self.now, item, size, order_id, self.until[number])

    def _load_arrives(self, state, number):
        there = state.models[number].phase != ABSENT
        order_id = self.order_ids[number]
        self.orders[order_id] = OrderState.DONE if there else OrderState.PENDING
        self.version += 1
        outcome = OrderTaken() if self.count % 2 else OrderLost()
        self.ledger.answered(self.items[number], order_id, outcome)

    def _load_is_lost(self, state, number):
        item, order_id = self.items[number], self.order_ids[number]
        self.ledger.answered(item, order_id, OrderLost())

    def _load_ends(self, state, number, phase):
        ended = OrderState.DONE if phase == LOADED else OrderState.FAILED
        self.orders[self.order_ids[number]] = ended

    def _engine_restarts(self, state):
        self.incarnation += 1
        self.orders = {}

    def _agent_is_killed(self, state):
        self.report = None

    def _agent_starts(self, state):
        self._starts(state)

    def _agent_settles(self, state):
        self.now += 2 * ARRIVES_WITHIN_S
        self._learn(self.now, self._account(state))


class TestMemoryConformance(unittest.TestCase):
    def test_the_ledger_reserves_and_releases_as_specified(self):
        taken: Counter = Counter()
        for seed in range(WALKS):
            spec = registered()["memory"]({"sizes": (1, 1, 2), "total": 3})
            taken += walk(spec, seed, STEPS, MemoryMirror(spec), RARE)
        replaced = {*HEARS, "agent_reads_report"}
        expected = spec.expected_steps() - replaced
        expected |= {"account read", "old account read", "time passes"}
        self.assertEqual(expected - taken.keys(), set())
