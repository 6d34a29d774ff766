"""The loads and faults on which the forms are compared."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller_core.gateway.customers import Quota, QuotaUnit
from bambootiller_core.gateway.quota_limits import QuotaTolerance
from bambootiller_standins.quotaforms._forms import Fleet, Form
from bambootiller_standins.quotaforms._world import Network, World

#: A customer's limit is so many times what it usually sends.
LIMIT_TO_USUAL = 1.8
CUSTOMERS = 16
#: What a call costs on average, in tokens.
MEAN_COST = 1000.0
#: Calls a second and entry, of all customers.
CALLS_PER_ENTRY = 7.5
TERMS = QuotaTolerance(window_s=8.0, overage=0.1, slack=7400.0)
BEGIN_S = 4.0
END_S = 34.0

_SCENARIOS: dict[str, Callable[[Run], None]] = {}


def scenario(name: str) -> Callable:
    """Register what happens in a scenario."""

    def register(function: Callable[[Run], None]) -> Callable[[Run], None]:
        _SCENARIOS[name] = function
        return function

    return register


def scenarios() -> dict[str, Callable[[Run], None]]:
    """All scenarios by name."""
    return dict(_SCENARIOS)


@dataclass
class Figures:
    """What came of a run. ``false_refusals`` are calls refused that a single counter
    of all calls would have admitted, ``owed`` those that it admits, ``most_over`` the
    fullest window as a part of what is allowed."""

    owed: int = 0
    false_refusals: int = 0
    most_over: float = 0.0
    messages: float = 0.0


@dataclass
class Run:
    """One run of one form."""

    kind: type[Form]
    entry_count: int
    seed: int
    factors: dict[str, Callable[[float], float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.rng = rng
        self.world = World(rng, Network())
        entries = [f"e{number}" for number in range(self.entry_count)]
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(CUSTOMERS)]
        calls_per_s = CALLS_PER_ENTRY * self.entry_count
        self.rates = {
            f"c{rank}": calls_per_s * weight / sum(weights)
            for rank, weight in enumerate(weights)
        }
        quotas = {}
        for name, rate in self.rates.items():
            per_s = LIMIT_TO_USUAL * rate * MEAN_COST
            quotas[name] = Quota(per_s, per_s, QuotaUnit.TOKEN)
        self.fleet = Fleet(self.world, entries, quotas, TERMS)
        self.form = self.kind(self.fleet)
        self.clients = {
            name: rng.choices(entries, k=max(3, int(rate * 1.4)))
            for name, rate in self.rates.items()
        }
        self.figures = Figures()
        self._counters: dict[str, tuple[float, float]] = {}
        self._spent: dict[str, deque[tuple[float, float]]] = {}

    def play(self) -> Figures:
        """Run it to its end."""
        for name in self.rates:
            self._next_call(name)
        self.world.run(END_S)
        seconds = END_S * len(self.fleet.entries)
        self.figures.messages = self.world.messages / seconds
        return self.figures

    def _next_call(self, customer: str) -> None:
        factor = self.factors.get(customer, lambda now: 1.0)(self.world.now)
        gap_s = self.rng.expovariate(self.rates[customer] * factor)
        self.world.after(gap_s, lambda: self._call(customer))

    def _call(self, customer: str) -> None:
        self._next_call(customer)
        if self.world.now < BEGIN_S:
            return
        cost = min(3300.0, self.rng.lognormvariate(0.0, 0.6) * MEAN_COST * 0.83)
        entry = self.rng.choice(self.clients[customer])
        owed = self._owed(customer, cost)
        sent_at = self.world.now

        def decided(admitted: bool) -> None:
            if admitted:
                self._admitted(customer, cost)
            elif owed and sent_at < END_S - 1:
                self.figures.false_refusals += 1

        self.figures.owed += owed
        self.form.admit(entry, customer, cost, decided)

    def _owed(self, customer: str, cost: float) -> bool:
        """Whether one counter of all calls would admit it."""
        quota, now = self.fleet.quotas[customer], self.world.now
        level, at = self._counters.get(customer, (quota.burst, now))
        level = min(quota.burst, level + (now - at) * quota.rate_per_s)
        owed = level >= cost
        self._counters[customer] = (level - cost if owed else level, now)
        return owed

    def _admitted(self, customer: str, cost: float) -> None:
        now = self.world.now
        spent = self._spent.setdefault(customer, deque())
        spent.append((now, cost))
        while spent[0][0] < now - TERMS.window_s:
            spent.popleft()
        total = sum(amount for _, amount in spent)
        allowed = TERMS.allowed(self.fleet.quotas[customer])
        self.figures.most_over = max(self.figures.most_over, total / allowed)


@scenario("usual load")
def _usual(run: Run) -> None:
    """Nothing happens."""


@scenario("a customer at five times its usual")
def _hot(run: Run) -> None:
    run.factors["c1"] = lambda now: 5.0 if 8.0 < now < 20.0 else 1.0


@scenario("a limit lowered far below what is sent")
def _lowered(run: Run) -> None:
    def lower() -> None:
        quota = run.fleet.quotas["c0"]
        run.fleet.quotas["c0"] = Quota(
            quota.rate_per_s / 6, quota.burst / 6, quota.unit
        )
        # Binds one window later.
        run._spent["c0"] = deque()

    run.world.at(10.0, lower)


@scenario("all processes end at once")
def _all_killed(run: Run) -> None:
    run.factors["c1"] = lambda now: 5.0 if 8.0 < now < 20.0 else 1.0

    def kill() -> None:
        for entry in run.fleet.entries:
            run.form.restarted(entry)
        run.form.coordinator_lost()

    run.world.at(13.0, kill)


@scenario("a third of the entries cut off")
def _cut(run: Run) -> None:
    run.factors["c1"] = lambda now: 5.0 if 8.0 < now < 20.0 else 1.0
    third = run.fleet.entries[: len(run.fleet.entries) // 3]
    run.world.at(9.0, lambda: run.world.cut.update(third))
    run.world.at(18.0, run.world.cut.clear)


@scenario("the allocator is lost")
def _allocator_lost(run: Run) -> None:
    run.world.at(12.0, run.form.coordinator_lost)


@scenario("messages lost, late and twice")
def _bad_network(run: Run) -> None:
    run.factors["c1"] = lambda now: 5.0 if 8.0 < now < 20.0 else 1.0
    run.world.network = Network(lost=0.1, doubled=0.1, late=0.1)


@scenario("entries join")
def _join(run: Run) -> None:
    def join() -> None:
        for number in range(4):
            name = f"n{number}"
            run.fleet.entries.append(name)
            run.form.joined(name)
            for clients in run.clients.values():
                clients.append(name)

    run.world.at(10.0, join)
