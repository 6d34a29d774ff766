"""Accounts for what one entry may still run for one customer.

The entry holds a share of the customer's limit: a token bucket of its own that fills at
that fraction of the rate, up to that fraction of the depth. It also holds advances,
which must be spent soon after they are granted. An entry spends nothing that it wasn't
granted. A new entry starts with nothing, and one that can't reach the allocator goes on
with its share until that expires.

Example::

    account = QuotaAccount()
    account.granted(now, limit, asked_at, share=0.25, advance=900.0)
    charge = account.take(now, limit, 640.0)
    if charge is not None:
        ...
        account.refund(now, limit, charge)    # the call never ran
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bambootiller_core.gateway.quota_limits import Limit
from bambootiller_core.gateway.quota_messages import SHARE_TTL_S, CustomerAsk

#: The time constant of the exponential decay of demand. Seconds; long enough for
#: several calls of a customer at one of many entries.
DEMAND_DECAY_S = 4.0

#: The weight of the latest call in the moving average of the cost of a call.
COST_SMOOTHING = 0.2


@dataclass(eq=False, slots=True)
class QuotaCharge:
    """What a call was charged.

    ``refundable`` is what a refund may return to the bucket. It is less than the bucket
    was charged if the bucket would have overflowed in the meantime. ``advances`` are
    the parts taken from advances, each with the time at which the advance expires.
    """

    amount: float
    refundable: float
    advances: tuple[tuple[float, float], ...] = ()


class QuotaAccount:
    """The account of one customer at one entry.

    Times are in seconds on the entry's clock; amounts are in units of the quota.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._level = 0.0
        self._share_expires_at = float("-inf")
        self._advances: list[tuple[float, float]] = []
        self._refilled_at: float | None = None
        self._outstanding: set[QuotaCharge] = set()
        self._demand = 0.0
        self._demand_at = 0.0
        self._call_cost = 0.0

    def record_demand(self, now: float, cost: float) -> None:
        """Record the arrival of a call of this cost, whether it is admitted or not."""
        self._demand = self._decayed_demand(now) + cost / DEMAND_DECAY_S
        self._demand_at = now
        self._call_cost += (cost - self._call_cost) * COST_SMOOTHING

    def demand_per_s(self, now: float) -> float:
        """Return the recent cost of the customer's calls, a second, refused calls
        included."""
        return self._decayed_demand(now)

    def _decayed_demand(self, now: float) -> float:
        return self._demand * math.exp((self._demand_at - now) / DEMAND_DECAY_S)

    def available(self, now: float, limit: Limit) -> float:
        """Return what may be spent now."""
        self._refill(now, limit)
        return self._level + sum(amount for amount, _ in self._advances)

    def take(self, now: float, limit: Limit, cost: float) -> QuotaCharge | None:
        """Charge the cost of a call. Returns None if less than that is available."""
        if self.available(now, limit) < cost:
            return None
        left = cost
        kept, taken = [], []
        for amount, expires_at in self._advances:
            used = min(left, amount)
            left -= used
            if used:
                taken.append((used, expires_at))
            if amount > used:
                kept.append((amount - used, expires_at))
        self._advances = kept
        self._level -= left
        charge = QuotaCharge(cost, left, tuple(taken))
        self._outstanding.add(charge)
        return charge

    def settle(self, charge: QuotaCharge) -> None:
        """Close the charge of a call that has run or may have: it can't be refunded."""
        self._outstanding.discard(charge)

    def refund(self, now: float, limit: Limit, charge: QuotaCharge) -> None:
        """Refund the charge of a call that hasn't run and never will. A second refund,
        or one after :meth:`settle`, has no effect."""
        if charge not in self._outstanding:
            return
        self._refill(now, limit)
        self._outstanding.discard(charge)
        self._level += charge.refundable
        self._advances += [item for item in charge.advances if item[1] > now]

    def overdraw(self, now: float, limit: Limit, cost: float) -> None:
        """Charge a second run of a call, even if less than its cost is available."""
        self._refill(now, limit)
        self._level -= cost

    def granted(
        self, now: float, limit: Limit, asked_at: float, share: float, advance: float
    ) -> None:
        """Apply the grant that answers the request sent at ``asked_at``. Its share and
        its advance expire a fixed time after that request."""
        self._refill(now, limit)
        self.share, self._share_expires_at = share, asked_at + SHARE_TTL_S
        self._level = min(self._level, share * limit.share_depth)
        expires_at = asked_at + limit.advance_s
        if advance > 0 and expires_at > now:
            self._advances.append((advance, expires_at))

    def room_in_s(self, now: float, limit: Limit, cost: float) -> float:
        """Return in how many seconds the entry's own share has room for a call of this
        cost; infinite if it never will."""
        lacking = cost - self.available(now, limit)
        if lacking <= 0:
            return 0.0
        if self.share <= 0 or cost > self.share * limit.share_depth:
            return math.inf
        return lacking / (self.share * limit.rate_per_s)

    def ask(self, now: float, limit: Limit, costs: Sequence[float] = ()) -> CustomerAsk:
        """Return this customer's part of the next request to the allocator; calls of
        these ``costs`` wait for admission."""
        balance = self.available(now, limit)
        wanted = max(0.0, sum(costs) - balance) if costs else 0.0
        least = max(0.0, costs[0] - balance) if costs else 0.0
        return CustomerAsk(
            self._decayed_demand(now), wanted, least, self.share, self._call_cost
        )

    def _refill(self, now: float, limit: Limit) -> None:
        """Fill the bucket up to ``now`` and drop what has expired."""
        filled_to = min(now, self._share_expires_at)
        if self._refilled_at is None:
            self._refilled_at = now
        if filled_to > self._refilled_at:
            depth = self.share * limit.share_depth
            filled = self._level + (filled_to - self._refilled_at) * (
                self.share * limit.rate_per_s
            )
            self._level = max(min(self._level, depth), min(filled, depth))
            for charge in self._outstanding:
                charge.refundable = min(
                    charge.refundable, max(0.0, depth - self._level)
                )
        if now >= self._share_expires_at and self.share:
            # The share has expired, and the allocator may grant it to other entries.
            self.share = 0.0
            self._level = min(self._level, 0.0)
        self._refilled_at = max(self._refilled_at, now)
        self._advances = [item for item in self._advances if item[1] > now]
