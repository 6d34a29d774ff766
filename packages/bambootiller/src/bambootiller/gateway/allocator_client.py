"""An entry's side of the allocator of limits that all entries share.

The entry spends what the allocator has granted it (:mod:`quota_account`), and asks for
more when that doesn't cover a call. Such a call waits for the answer, which takes some
milliseconds, and is refused if the answer says that there is no room.
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

#: How often shares are compared with the demand, and the connection to an allocator is
#: checked. Seconds.
REVIEW_INTERVAL_S = 0.4
#: The shortest interval between reports of demand while no call waits. Seconds.
MIN_REPORT_INTERVAL_S = 1.0
#: The longest one: shares expire (``quota_messages.SHARE_TTL_S``). Seconds.
MAX_REPORT_INTERVAL_S = SHARE_TTL_S / 3
#: A change of demand since the last report by less than this fraction isn't reported.
DEMAND_CHANGE_FRACTION = 0.3
#: The longest that a call waits for an answer, and the longest while this process is
#: starting and hasn't reached an allocator yet. Seconds.
ANSWER_TIMEOUT_S = 0.5
STARTUP_ANSWER_TIMEOUT_S = 2.0
#: An ask without an answer for this long is treated as lost. Seconds.
ASK_TIMEOUT_S = 0.2
#: A call waits for room that is expected within this time. Seconds; shorter than the
#: target latencies of most routes.
MAX_ADMISSION_WAIT_S = 0.2


class Shortage(enum.Enum):
    """Why a call isn't admitted: the limit has no room, or no allocator has answered
    whether it has."""

    NO_ROOM = "no room"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class _Waiter:
    """A call that waits until the account covers its cost.

    ``decision`` gets the charge, or None if the call isn't admitted.
    """

    cost: float
    decision: asyncio.Future


@dataclass(slots=True)
class _LimitState:
    """One limit at this entry.

    ``room_in_s`` is in how many seconds there is room, by the last answer;
    ``admission_interval_s`` is the time between two admitted calls; until
    ``backoff_until`` calls without cover are refused without asking.
    """

    account: QuotaAccount = field(default_factory=QuotaAccount)
    waiters: deque[_Waiter] = field(default_factory=deque)
    backoff_until: float = float("-inf")
    room_in_s: float = 0.0
    admission_interval_s: float = 0.0
    reported_demand: float = 0.0


@dataclass(frozen=True, slots=True)
class _LimitGroup:
    """Limits that are set together."""

    limits: Mapping[str, Limit]
    pause_s: float


class AllocatorClient:
    """The accounts of all limits at one entry, by the names of the limits.

    ``is_open`` returns whether a stream is still open.

    Example::

        allocator_client.set_limits("customers", {"c1": limit})
        charge = await allocator_client.obtain("c1", 640.0)
        if isinstance(charge, Shortage): ...
        allocator_client.record_end("c1", charge, may_have_run=False)
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
        self._limit_states: dict[str, _LimitState] = {}
        self._groups: dict[str, _LimitGroup] = {}
        self._limits: dict[str, Limit] = {}
        #: The longest backoff when there is no room, by limit.
        self._max_pauses_s: dict[str, float] = {}
        self._allocator: PeerStream | None = None
        self._term = 0
        self._last_answered = 0
        self.last_received_at = float("-inf")
        self._last_number = 0
        self._asked_at: dict[int, float] = {}
        self._reported_at = float("-inf")
        #: Whether the next message to the allocator is to carry an ask.
        self._ask_pending = False
        #: When the ask was sent that isn't answered yet. Only one ask is open at a
        #: time: if what calls lack were asked for again, it would be granted twice, and
        #: one of the grants would be lost.
        self._asking_since: float | None = None

    def start(self, timers: TimerService, now: float) -> None:
        """Start the periodic review of demand and shares."""
        timers.every(
            "allocator_client", REVIEW_INTERVAL_S, now, lambda _: self.review()
        )

    def set_limits(
        self,
        group: str,
        limits: Mapping[str, Limit],
        pause_s: float = MAX_ADMISSION_WAIT_S,
    ) -> None:
        """Replace the limits of one group. After an answer that there is no room, the
        allocator is asked again after ``pause_s`` at most."""
        self._groups[group] = _LimitGroup(dict(limits), pause_s)
        self._limits, self._max_pauses_s = {}, {}
        for found in self._groups.values():
            self._limits.update(found.limits)
            self._max_pauses_s.update(dict.fromkeys(found.limits, found.pause_s))
        for name in [name for name in self._limit_states if name not in self._limits]:
            for waiter in self._limit_states.pop(name).waiters:
                # The limit has been removed.
                _resolve(waiter, QuotaCharge(0.0, 0.0))

    @property
    def has_limits(self) -> bool:
        """Whether there is any limit."""
        return bool(self._limits)

    @property
    def lacks_allocator(self) -> bool:
        """Whether an allocator is needed and none is connected."""
        return self.has_limits and self.allocator is None

    @property
    def allocator(self) -> PeerStream | None:
        """This side of the stream to the allocator, None if none is connected."""
        if self._allocator is not None and not self._is_open(self._allocator):
            self._allocator = None
        return self._allocator

    @property
    def term(self) -> int | None:
        """The allocator's term, None if none is connected."""
        return self._term if self.allocator is not None else None

    def limit(self, name: str) -> Limit | None:
        """The limit of that name, None if there is none."""
        return self._limits.get(name)

    def account(self, name: str) -> QuotaAccount:
        """This entry's account of a limit."""
        return self._limit_state(name).account

    def shares(self, group: str) -> dict[str, float]:
        """This entry's shares of the limits of one group, by name."""
        found = self._groups.get(group)
        names = found.limits if found is not None else ()
        return {
            name: state.account.share
            for name, state in self._limit_states.items()
            if name in names
        }

    def room_in_s(self, name: str) -> float:
        """In how many seconds there is room for what was asked, by the allocator's last
        answer."""
        return self._limit_state(name).room_in_s

    def admission_interval_s(self, name: str) -> float:
        """The seconds between two admitted calls, by the allocator's last answer."""
        return self._limit_state(name).admission_interval_s

    def backoff_left_s(self, name: str, cost: float) -> float:
        """For how many seconds a call of that cost would be refused without asking."""
        limit, state = self._limits.get(name), self._limit_states.get(name)
        if limit is None or state is None:
            return 0.0
        now = self.clock()
        if now >= state.backoff_until or state.account.available(now, limit) >= cost:
            return 0.0
        return state.backoff_until - now

    def pause(self, name: str, seconds: float) -> None:
        """Don't ask again for that many seconds."""
        state = self._limit_state(name)
        state.backoff_until = max(state.backoff_until, self.clock() + seconds)

    def record_demand(self, name: str, cost: float) -> None:
        """Record that a call of that cost has arrived."""
        self._limit_state(name).account.record_demand(self.clock(), cost)

    async def obtain(
        self, name: str, cost: float, wait_s: float = ANSWER_TIMEOUT_S
    ) -> QuotaCharge | Shortage:
        """Charge the cost of a call, waiting for the allocator's answer if the account
        doesn't cover it."""
        limit = self._limits.get(name)
        if limit is None:
            return QuotaCharge(0.0, 0.0)
        now, state = self.clock(), self._limit_state(name)
        charge = None if state.waiters else state.account.take(now, limit, cost)
        if charge is not None:
            return charge
        if now < state.backoff_until:
            return Shortage.NO_ROOM
        return await self._wait(state, cost, wait_s)

    def record_end(self, name: str, charge: QuotaCharge, may_have_run: bool) -> None:
        """Record the end of an admitted call; its charge is refunded if it never
        ran."""
        state, limit = self._limit_states.get(name), self._limits.get(name)
        if state is None or limit is None:
            return
        if may_have_run:
            state.account.settle(charge)
        else:
            state.account.refund(self.clock(), limit, charge)
            self._admit_waiters(state, limit)

    def charge_retry(self, name: str, cost: float) -> None:
        """Charge a call that is sent again though it may have run."""
        state, limit = self._limit_states.get(name), self._limits.get(name)
        if state is not None and limit is not None:
            state.account.overdraw(self.clock(), limit, cost)

    def fill(self, update: Update, peer_stream: PeerStream) -> None:
        """Add an ask to a message to the allocator, if one is due."""
        if not self._ask_pending or peer_stream is not self._allocator:
            return
        self._ask_pending = False
        now = self.clock()
        self._reported_at = self._asking_since = now
        self._last_number += 1
        self._asked_at[self._last_number] = now
        self._asked_at = {
            number: at
            for number, at in self._asked_at.items()
            if now - at < SHARE_TTL_S
        }
        asked = {}
        for name, state in self._limit_states.items():
            limit = self._limits.get(name)
            if limit is None:
                continue
            costs = [waiter.cost for waiter in state.waiters]
            asked[name] = state.account.ask(now, limit, costs)
            state.reported_demand = asked[name].demand_per_s
        ask = QuotaAsk(
            self._entry,
            self._incarnation,
            self._last_number,
            self._term,
            self._last_answered,
            asked,
        )
        message_codec.set_quota_ask(update, ask)

    def take(self, update: Update, peer_stream: PeerStream) -> None:
        """Apply the allocator's term and answer from an agent's message."""
        if update.HasField("allocator_term"):
            self._on_allocator_term(update.allocator_term, peer_stream)
        if update.HasField("quota_answer"):
            self._on_answer(message_codec.quota_answer_of(update.quota_answer))

    def review(self) -> None:
        """Admit calls for which there is room by now, and report changed demand."""
        now = self.clock()
        for name, state in self._limit_states.items():
            limit = self._limits.get(name)
            if state.waiters and limit is not None:
                self._admit_waiters(state, limit)
        if any(state.waiters for state in self._limit_states.values()):
            self._schedule_ask()
        since_s = now - self._reported_at
        if since_s >= MAX_REPORT_INTERVAL_S and self._limit_states:
            self._schedule_ask()
        elif since_s >= MIN_REPORT_INTERVAL_S and any(
            _has_changed(state.reported_demand, state.account.demand_per_s(now))
            for state in self._limit_states.values()
        ):
            self._schedule_ask()

    def _limit_state(self, name: str) -> _LimitState:
        return self._limit_states.setdefault(name, _LimitState())

    async def _wait(
        self, state: _LimitState, cost: float, wait_s: float
    ) -> QuotaCharge | Shortage:
        waiter = _Waiter(cost, asyncio.get_running_loop().create_future())
        state.waiters.append(waiter)
        self._schedule_ask()
        awaits_allocator = self._is_starting() and self.allocator is None
        try:
            async with asyncio.timeout(
                max(wait_s, STARTUP_ANSWER_TIMEOUT_S) if awaits_allocator else wait_s
            ):
                found = await waiter.decision
        except TimeoutError:
            was_answered = self.clock() - self.last_received_at < wait_s
            return Shortage.NO_ROOM if was_answered else Shortage.UNKNOWN
        finally:
            if waiter in state.waiters:
                state.waiters.remove(waiter)
        return found or Shortage.NO_ROOM

    def _on_allocator_term(self, term: int, peer_stream: PeerStream) -> None:
        if term >= max(1, self._term):
            if term > self._term:
                self._last_answered = 0
            self._asking_since = None
            self._term, self._allocator = term, peer_stream
            self._schedule_ask()
        elif peer_stream is self._allocator:
            self._allocator = None

    def _on_answer(self, answer: QuotaAnswer) -> None:
        asked_at = self._asked_at.pop(answer.number, None)
        is_late = answer.term != self._term or answer.number <= self._last_answered
        if asked_at is None or is_late:
            return
        self._last_answered, self.last_received_at = answer.number, self.clock()
        self._asking_since = None
        next_ask_s = math.inf
        for name, grant in answer.customers.items():
            if name in self._limit_states and name in self._limits:
                next_ask_s = min(next_ask_s, self._apply_grant(name, grant, asked_at))
        if not math.isinf(next_ask_s):
            asyncio.get_running_loop().call_later(next_ask_s, self._schedule_ask)
        elif any(state.waiters for state in self._limit_states.values()):
            # These calls arrived after the answered ask had been sent.
            self._schedule_ask()

    def _apply_grant(self, name: str, grant: CustomerGrant, asked_at: float) -> float:
        """Apply a grant, and return in how many seconds to ask again."""
        now, state, limit = self.clock(), self._limit_states[name], self._limits[name]
        state.account.granted(now, limit, asked_at, grant.share, grant.advance)
        state.room_in_s = grant.room_in_s or state.room_in_s
        self._admit_waiters(state, limit)
        if not state.waiters or not grant.room_in_s:
            return math.inf
        if grant.room_in_s <= MAX_ADMISSION_WAIT_S:
            return grant.room_in_s
        state.admission_interval_s = grant.room_in_s / len(state.waiters)
        pause_s = max(
            MAX_ADMISSION_WAIT_S,
            min(
                state.admission_interval_s,
                self._max_pauses_s.get(name, MAX_ADMISSION_WAIT_S),
            ),
        )
        state.backoff_until = now + pause_s
        for waiter in state.waiters:
            _resolve(waiter, None)
        state.waiters.clear()
        return math.inf

    def _admit_waiters(self, state: _LimitState, limit: Limit) -> None:
        """Admit waiting calls in their order, while the account covers them."""
        now = self.clock()
        while state.waiters:
            charge = state.account.take(now, limit, state.waiters[0].cost)
            if charge is None:
                return
            _resolve(state.waiters.popleft(), charge)

    def _schedule_ask(self) -> None:
        allocator = self.allocator
        since = self._asking_since
        if since is not None and self.clock() - since < ASK_TIMEOUT_S:
            return
        if allocator is not None:
            self._ask_pending = True
            allocator.send_now()


def _resolve(waiter: _Waiter, charge: QuotaCharge | None) -> None:
    if not waiter.decision.done():
        waiter.decision.set_result(charge)


def _has_changed(reported: float, demand: float) -> bool:
    return abs(reported - demand) > DEMAND_CHANGE_FRACTION * max(reported, demand)
