"""Turns a customer's quota into the parameters of a token bucket.

The platform bounds what runs in any window. A bucket respects the bound if these are
together within it: what is stored when the window begins, what fills the bucket during
the window, and the advances that were granted before the window and are spent in it. A
deep bucket admits larger bursts, a shallow one a higher rate in the long run. So depth
that stays unused throughout a window fills the bucket faster
(:meth:`Limit.extra_per_s`).
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.gateway.customers import Customers, Quota

#: The fraction of a window's allowance that is used. The rest covers calls that run a
#: second time.
USABLE_FRACTION = 0.97
#: The depth is this fraction of the usable allowance, or the quota's burst if that is
#: larger. What remains of the allowance fills the bucket in the course of a window.
DEPTH_FRACTION = 0.25
#: The largest fraction of the usable allowance that a burst may make the depth.
MAX_DEPTH_FRACTION = 0.6
#: All shares together store at most this fraction of the usable allowance: what is
#: stored at one entry can't serve calls at another.
SHARED_DEPTH_FRACTION = 0.12
#: How long after its request an advance may be spent. Seconds; a few round trips
#: between busy instances.
ADVANCE_TTL_S = 0.3


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """What the platform tolerates beyond a quota: in any ``window_s`` seconds, a
    customer may run its quota, the fraction ``overage`` more, and ``slack`` units."""

    window_s: float = 10.0
    overage: float = 0.0
    slack: float = 0.0

    def allowed(self, quota: Quota) -> float:
        """Return the maximum amount that may run in a window."""
        plain = quota.rate_per_s * self.window_s + quota.burst
        return plain * (1 + self.overage) + self.slack


@dataclass(frozen=True, slots=True)
class Limit:
    """The token bucket of one customer.

    It fills at ``rate_per_s`` up to ``depth``, of which all shares together store
    ``share_depth`` at most. ``span_s`` is the length of the window plus the time that
    an advance may be outstanding. An advance may be spent for ``advance_s`` seconds
    after its request; if this is 0, no advances are granted.
    """

    rate_per_s: float
    depth: float
    share_depth: float
    span_s: float
    advance_s: float = ADVANCE_TTL_S

    @classmethod
    def of(cls, quota: Quota, tolerance: QuotaTolerance) -> Limit:
        """Return the limit for a quota under the platform's tolerance.

        >>> limit = Limit.of(Quota(100.0, 100.0), QuotaTolerance(8.0, 0.1, 10.0))
        >>> round(limit.depth), round(limit.rate_per_s)
        (243, 88)
        """
        used = USABLE_FRACTION * tolerance.allowed(quota)
        depth = max(DEPTH_FRACTION * used, min(quota.burst, MAX_DEPTH_FRACTION * used))
        span_s = tolerance.window_s + ADVANCE_TTL_S
        share_depth = min(depth, SHARED_DEPTH_FRACTION * used)
        return cls((used - depth) / span_s, depth, share_depth, span_s)

    def extra_per_s(self, stored: float) -> float:
        """Return the rate at which the bucket may fill in addition, if at most
        ``stored`` has been stored throughout the last span."""
        return max(0.0, self.depth - stored) / self.span_s


def limits_of(
    customers: Customers | None, tolerance: QuotaTolerance
) -> dict[str, Limit]:
    """Return the limits of all customers that have a quota, by name."""
    by_name = customers.by_name if customers is not None else {}
    return {
        name: Limit.of(customer.quota, tolerance)
        for name, customer in by_name.items()
        if customer.quota is not None
    }
