"""Divides each customer's limit among the entries; no part of it is granted twice.

The limits that backend servers report are divided like those of customers.

The allocator is the only process that may grant parts of a limit. An entry holds a
share of it, a fraction of rate and depth, for :data:`quota_messages.SHARE_TTL_S` after
its request. What no entry holds is the allocator's own bucket, from which it advances
what a call lacks. Shares follow demand. Part of a share is granted to another entry
only after its holder has confirmed the smaller share or can't hold it any longer.

This bounds what entries run in any window. Their buckets and the allocator's together
fill at the limit's rate and store its depth at most. An advance is deducted when it is
granted and spent within :attr:`quota_limits.Limit.advance_s`. If less than the depth
has been stored throughout a window, the allocator's bucket fills faster by the
difference.

What isn't known counts as held. A new allocator starts with empty buckets. It counts
each entry of the record at its ceiling until that entry has reported what it holds, a
later process of the same instance has shown that the recorded one is gone, or its
shares have expired.

Example::

    allocator = QuotaAllocator(term=91, now=now, members=record)
    answer = allocator.answer(now, request, limits)
    if allocator.pending_record is not None:
        ...    # write it, then:
        allocator.record_written(allocator.pending_record)
"""

from __future__ import annotations

import contextlib
import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.quota_limits import Limit
from bambootiller_core.gateway.quota_messages import (
    SHARE_TTL_S,
    CustomerAsk,
    CustomerGrant,
    QuotaAnswer,
    QuotaAsk,
)
from bambootiller_core.gateway.quota_record import Member

#: An entry's share is this multiple of the recent cost of its calls, so that it seldom
#: needs an advance.
HEADROOM = 1.0
#: The fraction of a limit that all shares together take at most. The rest is kept for
#: advances to entries whose demand is new.
MAX_SHARED_FRACTION = 0.6
#: A share is left unchanged if it differs from the new one by no more than this
#: fraction of the larger of the two.
MIN_SHARE_CHANGE = 0.2
#: A share has room for at least this many calls. A smaller one would sit unused at an
#: entry without serving a call, so such calls are served by advances instead.
MIN_SHARE_CALLS = 2.0
#: A ceiling is recorded this many times as large as the share that needs it, so that
#: not every growth of a share requires a write.
CEILING_MARGIN = 1.3
#: How often entries whose shares have expired are removed and the sums are recomputed.
#: Seconds.
REVIEW_INTERVAL_S = 1.0


@dataclass(slots=True)
class _Holding:
    """What one process of an entry may hold of one customer's limit.

    ``reported`` is the share that it reported last. ``granted`` maps the number of an
    answer to the share granted in it, for answers on which the entry may yet act.
    """

    reported: float = 0.0
    granted: dict[int, float] = field(default_factory=dict)
    demand_per_s: float = 0.0
    call_cost: float = 0.0

    @property
    def upper_bound(self) -> float:
        return max(self.reported, *self.granted.values(), 0.0)


@dataclass(slots=True)
class _Entry:
    """A process of an entry.

    ``confirmed`` is True once the process has acted on an answer of this allocator, so
    that it is the one that runs at its instance now.
    """

    name: str
    incarnation: str
    number: int = 0
    expires_at: float = 0.0
    ceilings: dict[str, float] = field(default_factory=dict)
    confirmed: bool = False
    customers: defaultdict[str, _Holding] = field(
        default_factory=lambda: defaultdict(_Holding)
    )


@dataclass(slots=True)
class _Bucket:
    """The bucket for what no entry holds of one customer's limit.

    ``free`` is the fraction of the limit that no entry holds. The bucket had filled to
    ``level`` at the time ``at``.

    ``stored`` is a queue of pairs of a time and the amount that the bucket and all
    shares together could store then. A pair is dropped once a later amount is at least
    as large, so the first pair has the maximum of the last span.
    """

    free: float
    level: float
    at: float
    stored: deque[tuple[float, float]]

    def record_stored(self, amount: float) -> None:
        """Record the amount that may be stored now."""
        while self.stored and self.stored[-1][1] <= amount:
            self.stored.pop()
        self.stored.append((self.at, amount))

    def max_stored(self, since: float) -> float:
        """Return the maximum amount stored at or after ``since``."""
        while len(self.stored) > 1 and self.stored[1][0] <= since:
            self.stored.popleft()
        return self.stored[0][1]


class QuotaAllocator:
    """The allocator of one ``term``.

    ``members`` are the entries in the record. The very first allocator finds no record,
    and starts with empty buckets like any other.
    """

    def __init__(self, term: int, now: float, members: Mapping[str, Member]) -> None:
        self.term = term
        self._silent_members = dict(members)
        self._silent_until = now + SHARE_TTL_S
        self._entries: dict[tuple[str, str], _Entry] = {}
        #: Processes that a later process of the same instance has replaced.
        self._superseded: set[tuple[str, str]] = set()
        self._buckets: dict[str, _Bucket] = {}
        #: The fraction of each customer's limit that entries hold, and the demand at
        #: all of them. These sums are maintained, as the cost of computing them for
        #: each request would grow with the number of entries.
        self._held: Counter[str] = Counter()
        self._demand: Counter[str] = Counter()
        self._reviewed_at = now
        #: The record that must be written before larger shares can be granted.
        self.pending_record: dict[str, Member] | None = None

    @property
    def entry_count(self) -> int:
        """The number of entries from which a request has come lately."""
        return len(self._entries)

    def configured(self, now: float, limits: Mapping[str, Limit]) -> None:
        """Set the limits in force, by customer. Their buckets fill from now on."""
        for name in list(self._buckets):
            if name not in limits:
                del self._buckets[name]
        for name, limit in limits.items():
            self._bucket(now, name, limit)

    def answer(
        self, now: float, request: QuotaAsk, limits: Mapping[str, Limit]
    ) -> QuotaAnswer | None:
        """Answer an entry's request. Returns None if it is late or a duplicate.

        ``limits`` are those of the configuration in force, by customer.
        """
        entry = self._receive(now, request)
        if entry is None:
            return None
        grants = {}
        for name, customer_request in request.customers.items():
            limit = limits.get(name)
            if limit is not None:
                grants[name] = self._grant(now, name, limit, entry, customer_request)
        return QuotaAnswer(self.term, request.number, grants)

    def record_written(self, members: Mapping[str, Member]) -> None:
        """Note that a record has been written: its ceilings are in force."""
        if self.pending_record == members:
            self.pending_record = None
        for name, member in members.items():
            entry = self._entries.get((name, member.incarnation))
            if entry is not None:
                entry.ceilings = dict(member.ceilings)

    def _receive(self, now: float, request: QuotaAsk) -> _Entry | None:
        if now - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._review(now)
        key = (request.entry, request.incarnation)
        if key in self._superseded:
            return None
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry(*key)
            before = self._silent_members.get(request.entry)
            if before is not None and before.incarnation == request.incarnation:
                entry.ceilings = dict(before.ceilings)
                del self._silent_members[request.entry]
        if request.number <= entry.number:
            return None
        entry.number = request.number
        entry.expires_at = now + SHARE_TTL_S
        heard = request.heard if request.term == self.term else 0
        for name in entry.customers.keys() | request.customers.keys():
            customer_request = request.customers.get(name, CustomerAsk())
            with self._updating_sums(name, entry.customers[name]) as holding:
                _apply_report(holding, heard, customer_request)
        if heard and not entry.confirmed:
            self._confirm(entry)
        return entry

    def _confirm(self, entry: _Entry) -> None:
        """Mark the process as the running one, and drop all others of its instance.

        A request alone doesn't prove that its process runs: a request of a process that
        has ended may arrive late.
        """
        entry.confirmed = True
        before = self._silent_members.pop(entry.name, None)
        if before is not None:
            self._superseded.add((entry.name, before.incarnation))
        for key in list(self._entries):
            if key[0] == entry.name and key[1] != entry.incarnation:
                self._superseded.add(key)
                del self._entries[key]
        self._recompute_sums()

    @contextlib.contextmanager
    def _updating_sums(self, name: str, holding: _Holding) -> Iterator[_Holding]:
        """Update the sums with the changes that the caller makes to a holding."""
        held, demand = holding.upper_bound, holding.demand_per_s
        yield holding
        self._held[name] += holding.upper_bound - held
        self._demand[name] += holding.demand_per_s - demand

    def _review(self, now: float) -> None:
        """Remove entries whose shares have expired."""
        self._reviewed_at = now
        for key, entry in list(self._entries.items()):
            if now >= entry.expires_at:
                del self._entries[key]
        if now >= self._silent_until:
            self._silent_members.clear()
        self._recompute_sums()

    def _recompute_sums(self) -> None:
        self._held, self._demand = Counter(), Counter()
        for entry in self._entries.values():
            for name, holding in entry.customers.items():
                self._held[name] += holding.upper_bound
                self._demand[name] += holding.demand_per_s

    def _free(self, name: str) -> float:
        """Return the fraction of a customer's limit that certainly no entry holds."""
        silent = sum(
            member.ceilings.get(name, 0.0) for member in self._silent_members.values()
        )
        return max(0.0, 1.0 - silent - self._held[name])

    def _bucket(self, now: float, name: str, limit: Limit) -> _Bucket:
        """Return the customer's bucket, filled up to now.

        It has filled at the rate of what was free at the last update: since then
        entries may have given up shares, but none was granted. How much was stored
        before this allocator started isn't known, so the full depth is assumed.
        """
        free = self._free(name)
        bucket = self._buckets.get(name)
        if bucket is None:
            stored = deque([(now, limit.depth)])
            bucket = self._buckets[name] = _Bucket(free, 0.0, now, stored)
        least_free = min(free, bucket.free)
        rate = least_free * limit.rate_per_s
        rate += limit.extra_per_s(bucket.max_stored(bucket.at - limit.span_s))
        filled = bucket.level + max(0.0, now - bucket.at) * rate
        bucket.level = min(filled, limit.depth - (1.0 - free) * limit.share_depth)
        bucket.free, bucket.at = free, max(bucket.at, now)
        bucket.record_stored((1.0 - least_free) * limit.share_depth + bucket.level)
        return bucket

    def _grant(
        self,
        now: float,
        name: str,
        limit: Limit,
        entry: _Entry,
        customer_request: CustomerAsk,
    ) -> CustomerGrant:
        bucket = self._bucket(now, name, limit)
        holding = entry.customers[name]
        share = self._share(name, limit, entry, holding)
        if share != holding.reported:
            with self._updating_sums(name, holding):
                holding.granted[entry.number] = share
        # What moves from the bucket to the share isn't available for an advance.
        bucket.free = self._free(name)
        held = 1.0 - bucket.free
        bucket.level = min(bucket.level, limit.depth - held * limit.share_depth)
        bucket.record_stored(held * limit.share_depth + bucket.level)
        advance = (
            _advance(customer_request, bucket.level) if limit.advance_s > 0 else 0.0
        )
        bucket.level -= advance
        lacking = customer_request.wanted - advance
        room_in_s = 0.0
        if lacking > 0:
            part = share + bucket.free * self._contended_part(
                name, limit, bucket, holding
            )
            rate = part * limit.rate_per_s
            room_in_s = lacking / rate if rate > 0 else math.inf
        return CustomerGrant(share, advance, room_in_s)

    def _contended_part(
        self, name: str, limit: Limit, bucket: _Bucket, holding: _Holding
    ) -> float:
        """Return the fraction of the free part that this entry may count on: all of it,
        or its fraction of the demand if the demand exceeds the free rate."""
        demand = self._demand[name]
        if demand <= bucket.free * limit.rate_per_s:
            return 1.0
        return holding.demand_per_s / demand

    def _share(
        self, name: str, limit: Limit, entry: _Entry, holding: _Holding
    ) -> float:
        """Return the share that the entry holds from now on."""
        due = HEADROOM * holding.demand_per_s / limit.rate_per_s
        due_to_all = HEADROOM * self._demand[name] / limit.rate_per_s
        if due_to_all > MAX_SHARED_FRACTION:
            due *= MAX_SHARED_FRACTION / due_to_all
        if due * limit.share_depth < MIN_SHARE_CALLS * holding.call_cost:
            due = 0.0
        if abs(due - holding.reported) <= MIN_SHARE_CHANGE * max(due, holding.reported):
            return holding.reported
        if due <= holding.reported:
            return due
        if not entry.confirmed:
            return holding.reported
        reserved = 1.0 - MAX_SHARED_FRACTION
        can_grow = max(
            0.0, self._free(name) + holding.upper_bound - holding.reported - reserved
        )
        due = min(due, holding.reported + can_grow)
        ceiling = entry.ceilings.get(name, 0.0)
        if due > ceiling:
            self._request_ceiling(entry, name, due)
            due = max(holding.reported, min(due, ceiling))
        return due

    def _request_ceiling(self, entry: _Entry, name: str, share: float) -> None:
        members = dict(self._silent_members)
        wanted = self.pending_record or {}
        for known in self._entries.values():
            ceilings = known.ceilings
            other = wanted.get(known.name)
            if other is not None and other.incarnation == known.incarnation:
                ceilings = other.ceilings
            if known is entry:
                ceilings = {**ceilings, name: min(1.0, share * CEILING_MARGIN)}
            if ceilings:
                members[known.name] = Member(known.incarnation, ceilings)
        self.pending_record = members


def _advance(customer_request: CustomerAsk, level: float) -> float:
    """Return the amount to advance: all that is wanted, or enough for the first call,
    or nothing. An amount that doesn't suffice for a call would be lost."""
    if customer_request.wanted <= level:
        return customer_request.wanted
    return customer_request.least if customer_request.least <= level else 0.0


def _apply_report(holding: _Holding, heard: int, customer_request: CustomerAsk) -> None:
    """Apply an entry's report. Shares granted in answers up to number ``heard``, the
    last one that it has received, are replaced by the share that it reports."""
    holding.reported = customer_request.share
    holding.demand_per_s = customer_request.demand_per_s
    holding.call_cost = customer_request.call_cost
    holding.granted = {
        number: share for number, share in holding.granted.items() if number > heard
    }
