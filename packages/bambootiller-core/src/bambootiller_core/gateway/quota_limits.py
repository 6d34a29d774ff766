"""What a quota allows of one customer, as a bucket.

The platform bounds what runs in any window. A bucket keeps to that if what it stores as
the window begins, what fills it meanwhile, and the advances that were granted before
the window and are spent in it, are together within the bound. A deep bucket lets more
in at once, a shallow one more in the long run; so what isn't stored through a window
fills the bucket faster (:attr:`Limit.extra_per_s`).
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.gateway.customers import Customers, Quota

#: The part of what a window allows that is used. The rest covers second runs of calls.
USABLE_FRACTION = 0.97
#: The depth is this part of what a window allows, or the quota's burst if that is more.
#: What is left fills the bucket in the time of a window.
DEPTH_FRACTION = 0.25
MAX_DEPTH_FRACTION = 0.6
#: Shares store no more than this part of it: what lies at entries serves nobody else.
SHARED_DEPTH_FRACTION = 0.12
#: An advance is spent within so long of having been asked for. Seconds; a few round
#: trips between instances that are busy.
ADVANCE_TTL_S = 0.3


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """In any ``window_s`` seconds a customer may run its quota, a part ``overage`` more
    and ``slack`` units."""

    window_s: float = 10.0
    overage: float = 0.0
    slack: float = 0.0

    def allowed(self, quota: Quota) -> float:
        """The most that may run in a window."""
        plain = quota.rate_per_s * self.window_s + quota.burst
        return plain * (1 + self.overage) + self.slack


@dataclass(frozen=True, slots=True)
class Limit:
    """The bucket of one customer: filled at ``rate_per_s`` up to ``depth``, of which
    all shares together store ``share_depth`` at most. ``span_s`` is the window with the
    time that an advance may be under way."""

    rate_per_s: float
    depth: float
    share_depth: float
    span_s: float
    advance_s: float = ADVANCE_TTL_S

    @classmethod
    def of(cls, quota: Quota, tolerance: QuotaTolerance) -> Limit:
        """The limit by the platform's terms.

        >>> limit = Limit.of(Quota(100.0, 100.0), QuotaTolerance(8.0, 0.1, 10.0))
        >>> round(limit.depth), round(limit.rate_per_s)
        (242, 88)
        """
        used = USABLE_FRACTION * tolerance.allowed(quota)
        depth = max(DEPTH_FRACTION * used, min(quota.burst, MAX_DEPTH_FRACTION * used))
        span_s = tolerance.window_s + ADVANCE_TTL_S
        share_depth = min(depth, SHARED_DEPTH_FRACTION * used)
        return cls((used - depth) / span_s, depth, share_depth, span_s)

    def extra_per_s(self, stored: float) -> float:
        """How much faster the bucket may fill while no more than ``stored`` has been
        stored for a span."""
        return max(0.0, self.depth - stored) / self.span_s


def limits_of(
    customers: Customers | None, tolerance: QuotaTolerance
) -> dict[str, Limit]:
    """The limits of all customers that have a quota, by name."""
    by_name = customers.by_name if customers is not None else {}
    return {
        name: Limit.of(customer.quota, tolerance)
        for name, customer in by_name.items()
        if customer.quota is not None
    }
