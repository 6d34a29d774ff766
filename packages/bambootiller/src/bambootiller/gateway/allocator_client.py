"""What one entry may spend of limits that all entries share.

The entry spends what the allocator has granted it, and asks for more where a call lacks
something (:mod:`quota_account`). A call whose cost isn't there waits for the answer,
which takes some milliseconds, and is turned down if that says that there is no room.
"""

from __future__ import annotations

import asyncio
import enum
import math
import secrets
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bambootiller.gateway import message_codec
from bambootiller.gateway.boot_clock import boot_now
from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller_core.gateway.quota_account import QuotaAccount, QuotaCharge
from bambootiller_core.gateway.quota_limits import Limit
from bambootiller_core.gateway.quota_messages import (
    SHARE_TTL_S,
    CustomerGrant,
    QuotaAnswer,
    QuotaAsk,
)
from bambootiller_core.timers import TimerService

#: How often it is looked whether shares fit the demand, and whether an allocator is
#: heard. Seconds.
REVIEW_S = 0.4
#: Demand is told this often at most while nothing waits. Seconds.
TOLD_S = 1.0
#: And this often at least: shares end (``quota_messages.SHARE_TTL_S``). Seconds.
RENEWED_S = SHARE_TTL_S / 3
#: Demand that differs from what the share is for by less than this part isn't told.
MOVED_SHARE = 0.3
#: The longest that a call waits for an answer, and for one of an allocator that isn't
#: heard yet while this process starts. Seconds.
WAIT_S = 0.5
STARTING_WAIT_S = 2.0
#: An ask that hasn't been answered for so long is taken for lost. Seconds.
UNANSWERED_S = 0.2
#: A call waits for room that is to be there within this time. Seconds; shorter than the
#: targets of most routes.
ROOM_S = 0.2


class Shortage(enum.Enum):
    """Why a call isn't let in: there is no room, or nobody has told whether there
    is."""

    NO_ROOM = "no room"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class _Waiter:
    """A call whose cost isn't there."""

    cost: float
    decided: asyncio.Future


@dataclass(slots=True)
class _Book:
    """One limit at this entry.

    ``room_in_s`` is what the last answer said, ``next_in_s`` how much later it lets in
    one call after the other; until ``backoff_until`` nothing is asked.
    """

    account: QuotaAccount = field(default_factory=QuotaAccount)
    waiters: deque[_Waiter] = field(default_factory=deque)
    backoff_until: float = float("-inf")
    room_in_s: float = 0.0
    next_in_s: float = 0.0
    told_demand: float = 0.0


@dataclass(frozen=True, slots=True)
class _Kind:
    """Limits that are told together."""

    limits: Mapping[str, Limit]
    pause_s: float


class AllocatorClient:
    """The accounts of all limits at one entry, by the names of the limits.

    ``is_open`` tells whether a stream still lives.

    Example::

        allowances.limited("customers", {"c1": limit})
        spent = await allowances.obtain("c1", 640.0)
        if isinstance(spent, Shortage): ...
        allowances.ended("c1", spent, may_have_run=False)
    """

    def __init__(
        self,
        entry: str,
        is_open: Callable[[PeerStream], bool],
        is_starting: Callable[[], bool],
        clock: Callable[[], float] = boot_now,
    ) -> None:
        self._entry = entry
        self._incarnation = secrets.token_hex(4)
        self._is_open = is_open
        self._is_starting = is_starting
        self.clock = clock
        self._books: dict[str, _Book] = {}
        self._kinds: dict[str, _Kind] = {}
        self._limits: dict[str, Limit] = {}
        #: For how long nothing is asked where there is no room.
        self._pauses: dict[str, float] = {}
        self._allocator: PeerStream | None = None
        self._term = 0
        self._heard = 0
        self.last_received_at = float("-inf")
        self._number = 0
        self._asked_at: dict[int, float] = {}
        self._told_at = float("-inf")
        #: Something is to be asked with the next message to the allocator.
        self._due = False
        #: When the ask was sent that isn't answered yet. What calls lack is asked for
        #: once at a time: asked for again, it would be granted twice and lost once.
        self._asking_since: float | None = None

    def start(self, timers: TimerService, now: float) -> None:
        """Begin to review demand and shares."""
        timers.every("allowances", REVIEW_S, now, lambda _: self.review())

    def limited(
        self, kind: str, limits: Mapping[str, Limit], pause_s: float = ROOM_S
    ) -> None:
        """The limits of one kind are these from now on. Where there is no room, it is
        asked again after ``pause_s`` at most."""
        self._kinds[kind] = _Kind(dict(limits), pause_s)
        self._limits, self._pauses = {}, {}
        for found in self._kinds.values():
            self._limits.update(found.limits)
            self._pauses.update(dict.fromkeys(found.limits, found.pause_s))
        for name in [name for name in self._books if name not in self._limits]:
            for waiter in self._books.pop(name).waiters:
                # There is no limit any more.
                _decide(waiter, QuotaCharge(0.0, 0.0))

    @property
    def has_limits(self) -> bool:
        """Whether there is any limit."""
        return bool(self._limits)

    @property
    def lacks_allocator(self) -> bool:
        """Whether an allocator is needed, and none is heard."""
        return self.has_limits and self.allocator is None

    @property
    def allocator(self) -> PeerStream | None:
        """This side of the stream to the allocator, if one is heard."""
        if self._allocator is not None and not self._is_open(self._allocator):
            self._allocator = None
        return self._allocator

    @property
    def term(self) -> int | None:
        """The allocator's term, if one is heard."""
        return self._term if self.allocator is not None else None

    def limit(self, name: str) -> Limit | None:
        """The limit of that name."""
        return self._limits.get(name)

    def account(self, name: str) -> QuotaAccount:
        """What this entry may spend of a limit."""
        return self._book(name).account

    def shares(self, kind: str) -> dict[str, float]:
        """The parts of the limits of one kind that this entry holds."""
        found = self._kinds.get(kind)
        names = found.limits if found is not None else ()
        return {
            name: book.account.share
            for name, book in self._books.items()
            if name in names
        }

    def room_in_s(self, name: str) -> float:
        """When there is room for what had been asked, as the allocator told last."""
        return self._book(name).room_in_s

    def next_in_s(self, name: str) -> float:
        """How much time lies between two calls that are let in, as told last."""
        return self._book(name).next_in_s

    def backoff_left_s(self, name: str, cost: float) -> float:
        """For how long there is no use in asking for so much. Seconds."""
        limit, book = self._limits.get(name), self._books.get(name)
        if limit is None or book is None:
            return 0.0
        now = self.clock()
        if now >= book.backoff_until or book.account.available(now, limit) >= cost:
            return 0.0
        return book.backoff_until - now

    def pause(self, name: str, seconds: float) -> None:
        """Don't ask again for so long."""
        book = self._book(name)
        book.backoff_until = max(book.backoff_until, self.clock() + seconds)

    def record_demand(self, name: str, cost: float) -> None:
        """A call of that cost has come."""
        self._book(name).account.record_demand(self.clock(), cost)

    async def obtain(
        self, name: str, cost: float, wait_s: float = WAIT_S
    ) -> QuotaCharge | Shortage:
        """Spend the cost of a call, waiting for an answer if it isn't there."""
        limit = self._limits.get(name)
        if limit is None:
            return QuotaCharge(0.0, 0.0)
        now, book = self.clock(), self._book(name)
        charge = None if book.waiters else book.account.take(now, limit, cost)
        if charge is not None:
            return charge
        if now < book.backoff_until:
            return Shortage.NO_ROOM
        return await self._wait(book, cost, wait_s)

    def ended(self, name: str, charge: QuotaCharge, may_have_run: bool) -> None:
        """A call has ended that was let in; what it cost is given back if it never
        ran."""
        book, limit = self._books.get(name), self._limits.get(name)
        if book is None or limit is None:
            return
        if may_have_run:
            book.account.settle(charge)
        else:
            book.account.refund(self.clock(), limit, charge)
            self._look(book, limit)

    def charge_retry(self, name: str, cost: float) -> None:
        """A call is sent once more though it may have run."""
        book, limit = self._books.get(name), self._limits.get(name)
        if book is not None and limit is not None:
            book.account.overdraw(self.clock(), limit, cost)

    def fill(self, update: Update, peer_stream: PeerStream) -> None:
        """Put what is to be asked into a message to the allocator."""
        if not self._due or peer_stream is not self._allocator:
            return
        self._due = False
        now = self.clock()
        self._told_at = self._asking_since = now
        self._number += 1
        self._asked_at[self._number] = now
        self._asked_at = {
            number: at
            for number, at in self._asked_at.items()
            if now - at < SHARE_TTL_S
        }
        asked = {}
        for name, book in self._books.items():
            limit = self._limits.get(name)
            if limit is None:
                continue
            costs = [waiter.cost for waiter in book.waiters]
            asked[name] = book.account.ask(now, limit, costs)
            book.told_demand = asked[name].demand_per_s
        ask = QuotaAsk(
            self._entry,
            self._incarnation,
            self._number,
            self._term,
            self._heard,
            asked,
        )
        message_codec.set_quota_ask(update, ask)

    def take(self, update: Update, peer_stream: PeerStream) -> None:
        """Take in what an agent tells."""
        if update.HasField("allocator_term"):
            self._allocator_told(update.allocator_term, peer_stream)
        if update.HasField("quota_answer"):
            self._answered(message_codec.quota_answer_of(update.quota_answer))

    def review(self) -> None:
        """Tell demand that has moved; let in calls for which there is room by now."""
        now = self.clock()
        for name, book in self._books.items():
            limit = self._limits.get(name)
            if book.waiters and limit is not None:
                self._look(book, limit)
        if any(book.waiters for book in self._books.values()):
            self._ask()
        since_s = now - self._told_at
        if since_s >= RENEWED_S and self._books:
            self._ask()
        elif since_s >= TOLD_S and any(
            _moved(book.told_demand, book.account.demand_per_s(now))
            for book in self._books.values()
        ):
            self._ask()

    def _book(self, name: str) -> _Book:
        return self._books.setdefault(name, _Book())

    async def _wait(
        self, book: _Book, cost: float, wait_s: float
    ) -> QuotaCharge | Shortage:
        waiter = _Waiter(cost, asyncio.get_running_loop().create_future())
        book.waiters.append(waiter)
        self._ask()
        patient = self._is_starting() and self.allocator is None
        try:
            async with asyncio.timeout(
                max(wait_s, STARTING_WAIT_S) if patient else wait_s
            ):
                found = await waiter.decided
        except TimeoutError:
            is_told = self.clock() - self.last_received_at < wait_s
            return Shortage.NO_ROOM if is_told else Shortage.UNKNOWN
        finally:
            if waiter in book.waiters:
                book.waiters.remove(waiter)
        return found or Shortage.NO_ROOM

    def _allocator_told(self, term: int, peer_stream: PeerStream) -> None:
        if term >= max(1, self._term):
            if term > self._term:
                self._heard = 0
            self._asking_since = None
            self._term, self._allocator = term, peer_stream
            self._ask()
        elif peer_stream is self._allocator:
            self._allocator = None

    def _answered(self, answer: QuotaAnswer) -> None:
        asked_at = self._asked_at.pop(answer.number, None)
        is_late = answer.term != self._term or answer.number <= self._heard
        if asked_at is None or is_late:
            return
        self._heard, self.last_received_at = answer.number, self.clock()
        self._asking_since = None
        asks_again_s = math.inf
        for name, grant in answer.customers.items():
            if name in self._books and name in self._limits:
                asks_again_s = min(asks_again_s, self._granted(name, grant, asked_at))
        if not math.isinf(asks_again_s):
            asyncio.get_running_loop().call_later(asks_again_s, self._ask)
        elif any(book.waiters for book in self._books.values()):
            # They came after what was answered had been asked.
            self._ask()

    def _granted(self, name: str, grant: CustomerGrant, asked_at: float) -> float:
        """Take over a grant; returns in how many seconds to ask again."""
        now, book, limit = self.clock(), self._books[name], self._limits[name]
        book.account.granted(now, limit, asked_at, grant.share, grant.advance)
        book.room_in_s = grant.room_in_s or book.room_in_s
        self._look(book, limit)
        if not book.waiters or not grant.room_in_s:
            return math.inf
        if grant.room_in_s <= ROOM_S:
            return grant.room_in_s
        book.next_in_s = grant.room_in_s / len(book.waiters)
        pause_s = max(ROOM_S, min(book.next_in_s, self._pauses.get(name, ROOM_S)))
        book.backoff_until = now + pause_s
        for waiter in book.waiters:
            _decide(waiter, None)
        book.waiters.clear()
        return math.inf

    def _look(self, book: _Book, limit: Limit) -> None:
        """Let in calls that wait, in their order."""
        now = self.clock()
        while book.waiters:
            charge = book.account.take(now, limit, book.waiters[0].cost)
            if charge is None:
                return
            _decide(book.waiters.popleft(), charge)

    def _ask(self) -> None:
        allocator = self.allocator
        since = self._asking_since
        if since is not None and self.clock() - since < UNANSWERED_S:
            return
        if allocator is not None:
            self._due = True
            allocator.send_now()


def _decide(waiter: _Waiter, charge: QuotaCharge | None) -> None:
    if not waiter.decided.done():
        waiter.decided.set_result(charge)


def _moved(told: float, demand: float) -> bool:
    return abs(told - demand) > MOVED_SHARE * max(told, demand)
