"""The forms: who may admit a call of a customer, and on what it decides."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bambootiller_core.gateway.customers import Quota
from bambootiller_core.gateway.quota_account import QuotaAccount
from bambootiller_core.gateway.quota_allocator import QuotaAllocator
from bambootiller_core.gateway.quota_limits import Limit, QuotaTolerance
from bambootiller_core.gateway.quota_messages import QuotaAsk
from bambootiller_core.gateway.quota_record import Member
from bambootiller_standins.quotaforms._world import World

Decided = Callable[[bool], None]
_FORMS: dict[str, type[Form]] = {}

#: How often an entry tells its figures. Seconds.
TELL_S = 0.4
#: The longest that a call waits for an answer. Seconds.
WAIT_S = 0.5
#: A call waits for room that is to be there within this time. Seconds.
ROOM_S = 0.3
#: How long after the loss of an allocator, or of the owner of a customer's account,
#: another follows it. Seconds; a lease, and what it takes to notice.
FOLLOW_S = 3.0


def form(name: str) -> Callable[[type[Form]], type[Form]]:
    """Register a form under its name."""

    def register(kind: type[Form]) -> type[Form]:
        _FORMS[name] = kind
        return kind

    return register


def forms() -> dict[str, type[Form]]:
    """All forms by name."""
    return dict(_FORMS)


@dataclass
class Fleet:
    """What all forms are given: entries by name, and the quotas by customer."""

    world: World
    entries: list[str]
    quotas: dict[str, Quota]
    tolerance: QuotaTolerance
    incarnations: dict[str, int] = field(default_factory=dict)

    def limit(self, customer: str) -> Limit:
        """The limit in force."""
        return Limit.of(self.quotas[customer], self.tolerance)


class Form:
    """Decides on calls."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.world = fleet.world

    def admit(self, entry: str, customer: str, cost: float, decided: Decided) -> None:
        """Decide on a call, now or after a while."""
        raise NotImplementedError

    def restarted(self, entry: str) -> None:
        """An entry has lost what it knew."""

    def joined(self, entry: str) -> None:
        """An entry has come."""

    def coordinator_lost(self) -> None:
        """Whoever others depend on is gone, if there is somebody."""


@form("equal shares")
class EqualShares(Form):
    """Each entry has the same part of the limit, whatever it is asked for."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._levels: dict[tuple[str, str], tuple[float, float]] = {}

    def admit(self, entry: str, customer: str, cost: float, decided: Decided) -> None:
        """From the entry's own bucket."""
        limit, now = self.fleet.limit(customer), self.world.now
        count = len(self.fleet.entries)
        key = (entry, customer)
        level, at = self._levels.get(key, (limit.depth / count, now))
        filled = level + (now - at) * limit.rate_per_s / count
        level = min(filled, limit.depth / count)
        admitted = level >= cost
        self._levels[key] = (level - cost if admitted else level, now)
        decided(admitted)

    def restarted(self, entry: str) -> None:
        """It starts with nothing stored."""
        for key in self._levels:
            if key[0] == entry:
                self._levels[key] = (0.0, self.world.now)


@form("spend told to all")
class ToldToAll(Form):
    """Each entry tells all what it spent, and admits by the sum that it knows."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._spent: dict[str, deque[tuple[float, str, float]]] = {}
        self._known: dict[str, deque[tuple[float, str, float]]] = {}
        for entry in fleet.entries:
            self.joined(entry)

    def joined(self, entry: str) -> None:
        """It knows of nothing yet."""
        self._spent[entry], self._known[entry] = deque(), deque()
        self.world.after(TELL_S, lambda: self._tell(entry))

    def restarted(self, entry: str) -> None:
        """What it knew is gone."""
        self._spent[entry].clear()
        self._known[entry].clear()

    def _tell(self, entry: str) -> None:
        news = list(self._spent[entry])
        self._spent[entry].clear()
        for other in self.fleet.entries if news else ():
            if other != entry:
                known = self._known[other]
                self.world.send(entry, other, lambda known=known: known.extend(news))
        self.world.after(TELL_S, lambda: self._tell(entry))

    def admit(self, entry: str, customer: str, cost: float, decided: Decided) -> None:
        """By what was spent in the window, as far as it is known here."""
        now, quota = self.world.now, self.fleet.quotas[customer]
        known = self._known[entry]
        horizon = now - self.fleet.tolerance.window_s
        while known and known[0][0] < horizon:
            known.popleft()
        total = sum(
            amount for at, name, amount in known if name == customer and at >= horizon
        )
        most = quota.rate_per_s * self.fleet.tolerance.window_s + quota.burst
        admitted = total + cost <= most
        if admitted:
            self._spent[entry].append((now, customer, cost))
            known.append((now, customer, cost))
        decided(admitted)


class _Asking(Form):
    """Entries that ask an allocator, and calls that wait for its answer."""

    keeps_shares = True

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self._accounts: dict[tuple[str, str], QuotaAccount] = {}
        self._numbers = itertools.count(1)
        self._heard: dict[str, tuple[int, int]] = {}
        self._waiting: dict[tuple[str, str], list] = {}
        self._asked_at: dict[str, float] = {}
        self._record: dict[str, Member] = {}
        self._terms = itertools.count(1)
        self._allocator: QuotaAllocator | None = None
        self._follow()
        for entry in fleet.entries:
            self.world.after(TELL_S, lambda entry=entry: self._review(entry))

    def joined(self, entry: str) -> None:
        """It begins to ask."""
        self.world.after(TELL_S, lambda: self._review(entry))

    def restarted(self, entry: str) -> None:
        """A new process of the instance holds nothing."""
        incarnations = self.fleet.incarnations
        incarnations[entry] = incarnations.get(entry, 0) + 1
        self._heard.pop(entry, None)
        for key in list(self._accounts):
            if key[0] == entry:
                del self._accounts[key]

    def coordinator_lost(self) -> None:
        """Another allocator follows once the lease has ended."""
        self._allocator = None
        self.world.after(FOLLOW_S, self._follow)

    def _follow(self) -> None:
        self._allocator = QuotaAllocator(
            next(self._terms), self.world.now, self._record
        )
        self._allocator.configured(self.world.now, self._limits())

    def _limits(self) -> dict[str, Limit]:
        return {name: self.fleet.limit(name) for name in self.fleet.quotas}

    def admit(self, entry: str, customer: str, cost: float, decided: Decided) -> None:
        """From the entry's account, after an ask if that lacks something."""
        now, limit = self.world.now, self.fleet.limit(customer)
        account = self._account(entry, customer)
        account.record_demand(now, cost)
        spent = account.take(now, limit, cost)
        if spent is not None:
            account.settle(spent)
            decided(True)
            return
        waiting = self._waiting.setdefault((entry, customer), [])
        waiting.append([now + WAIT_S, cost, decided])
        self._ask(entry)
        self.world.after(WAIT_S, lambda: self._look(entry, customer, False))

    def _account(self, entry: str, customer: str) -> QuotaAccount:
        return self._accounts.setdefault((entry, customer), QuotaAccount())

    def _review(self, entry: str) -> None:
        if self.world.now - self._asked_at.get(entry, -9.0) >= TELL_S:
            self._ask(entry)
        self.world.after(TELL_S, lambda: self._review(entry))

    def _ask(self, entry: str) -> None:
        now = self.world.now
        self._asked_at[entry] = now
        asks = {}
        for customer in self.fleet.quotas:
            account = self._account(entry, customer)
            limit = self.fleet.limit(customer)
            waiting = self._waiting.get((entry, customer), ())
            costs = [item[1] for item in waiting]
            asked = account.ask(now, limit, costs)
            if not self.keeps_shares:
                asked = replace(asked, demand_per_s=0.0)
            asks[customer] = asked
        term, heard = self._heard.get(entry, (0, 0))
        incarnation = self.fleet.incarnations.get(entry, 0)
        ask = QuotaAsk(entry, str(incarnation), next(self._numbers), term, heard, asks)
        self.world.send(entry, "allocator", lambda: self._answer(ask, now))

    def _answer(self, ask: QuotaAsk, asked_at: float) -> None:
        allocator, now = self._allocator, self.world.now
        if allocator is None:
            return
        answer = allocator.answer(now, ask, self._limits())
        if allocator.pending_record is not None:
            self._record = allocator.pending_record
            allocator.record_written(self._record)
        if answer is not None:
            self.world.send(
                "allocator", ask.entry, lambda: self._heard_back(ask, answer, asked_at)
            )

    def _heard_back(self, ask: QuotaAsk, answer, asked_at: float) -> None:
        entry, now = ask.entry, self.world.now
        if ask.incarnation != str(self.fleet.incarnations.get(entry, 0)):
            return
        key = (answer.term, answer.number)
        if key <= self._heard.get(entry, (0, 0)):
            return
        self._heard[entry] = key
        for customer, grant in answer.customers.items():
            account, limit = self._account(entry, customer), self.fleet.limit(customer)
            account.granted(now, limit, asked_at, grant.share, grant.advance)
            self._look(entry, customer, grant.room_in_s > ROOM_S)
            if 0 < grant.room_in_s <= ROOM_S and self._waiting.get((entry, customer)):
                self.world.after(grant.room_in_s, lambda: self._ask(entry))

    def _look(self, entry: str, customer: str, dry: bool) -> None:
        """Decide on the calls that wait; ``dry``: there is no room for more."""
        now, limit = self.world.now, self.fleet.limit(customer)
        account = self._account(entry, customer)
        left = []
        for until, cost, decided in self._waiting.get((entry, customer), ()):
            spent = account.take(now, limit, cost)
            if spent is not None:
                account.settle(spent)
                decided(True)
            elif dry or now >= until - 1e-9:
                decided(False)
            else:
                left.append([until, cost, decided])
        self._waiting[(entry, customer)] = left


@form("lent amounts")
class LentAmounts(_Asking):
    """One owner of each account lends what each call needs."""

    keeps_shares = False


@form("shares by demand")
class SharesByDemand(_Asking):
    """One allocator: shares that follow demand, and advances of what calls lack."""
