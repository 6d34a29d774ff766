"""Enforces customers' quotas at one entry."""

from __future__ import annotations

import math
from collections.abc import Callable

from bambootiller.gateway import message_codec
from bambootiller.gateway.allocator_client import AllocatorClient, Shortage
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller_core.gateway.attempts import (
    DEFAULT_RETRY_AFTER_S,
    Refusal,
    RefusalReason,
)
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.config import GatewayConfig
from bambootiller_core.gateway.log_lines import QuotaSnapshot
from bambootiller_core.gateway.quota_account import QuotaCharge
from bambootiller_core.gateway.quota_limits import QuotaTolerance, limits_of
from bambootiller_core.timers import TimerService

#: How often the settings are checked for changes. Seconds.
REVIEW_INTERVAL_S = 0.4
#: When callers should retry while no allocator has answered. Seconds.
UNKNOWN_RETRY_AFTER_S = 1.0
LIMIT_GROUP = "customers"


class QuotaAdmission:
    """An admitted call; to be closed when the call has ended."""

    def __init__(
        self, allocator_client: AllocatorClient, name: str, charge: QuotaCharge | None
    ) -> None:
        self._allocator_client = allocator_client
        self._name = name
        self._charge = charge

    def close(self, may_have_run: bool) -> None:
        """Record the end of the call; its charge is refunded if it never ran."""
        charge, self._charge = self._charge, None
        if charge is not None:
            self._allocator_client.record_end(self._name, charge, may_have_run)


class Quotas:
    """The quotas of all customers at one entry; ``tolerance`` returns the platform's
    settings of how far a quota may be exceeded.

    Example::

        admission = await quotas.admit(call)
        if isinstance(admission, Refusal): ...
        admission.close(may_have_run=False)
    """

    def __init__(
        self,
        gateway_state: GatewayState,
        tolerance: Callable[[], QuotaTolerance],
        allocator_client: AllocatorClient,
    ) -> None:
        self._gateway_state = gateway_state
        self._tolerance = tolerance
        self._allocator_client = allocator_client
        self._applied_tolerance = tolerance()

    def start(self, timers: TimerService, now: float) -> None:
        """Follow the configuration and the settings."""
        self._gateway_state.on_config(self._configured)
        timers.every("quotas", REVIEW_INTERVAL_S, now, lambda _: self.review())

    def shares(self) -> dict[str, float]:
        """This entry's shares of the customers' limits, by customer."""
        return self._allocator_client.shares(LIMIT_GROUP)

    def _configured(self, config: GatewayConfig) -> None:
        self._applied_tolerance = self._tolerance()
        limits = limits_of(config.customers, self._applied_tolerance)
        self._allocator_client.set_limits(LIMIT_GROUP, limits)

    async def admit(self, call: Call) -> QuotaAdmission | Refusal:
        """Admit the call, or refuse it."""
        allocator_client = self._allocator_client
        name = call.customer.name if call.customer is not None else ""
        if allocator_client.limit(name) is None:
            return QuotaAdmission(allocator_client, name, None)
        allocator_client.record_demand(name, call.cost)
        found = await allocator_client.obtain(name, call.cost)
        if isinstance(found, QuotaCharge):
            return QuotaAdmission(allocator_client, name, found)
        return self._refusal(call, found)

    def _refusal(self, call: Call, shortage: Shortage) -> Refusal:
        allocator_client, quota = self._allocator_client, call.customer.quota
        name, limit = call.customer.name, allocator_client.limit(call.customer.name)
        account, now = allocator_client.account(name), allocator_client.clock()
        reason, retry_after_s = RefusalReason.QUOTA_UNKNOWN, UNKNOWN_RETRY_AFTER_S
        if shortage is Shortage.NO_ROOM and limit is not None:
            own_s = account.room_in_s(now, limit, call.cost)
            reported_s = allocator_client.room_in_s(name) or math.inf
            room_in_s = max(DEFAULT_RETRY_AFTER_S, min(own_s, reported_s))
            # A longer time means that the whole limit may be held by entries that
            # haven't connected to the allocator yet.
            if room_in_s < message_codec.MAX_ROOM_WAIT_S:
                reason, retry_after_s = RefusalReason.OVER_QUOTA, room_in_s
        age_s = now - allocator_client.last_received_at
        available = account.available(now, limit) if limit is not None else 0.0
        seen = QuotaSnapshot(
            unit=quota.unit.value,
            rate_per_s=quota.rate_per_s,
            burst=quota.burst,
            cost=call.cost,
            demand_per_s=round(account.demand_per_s(now), 1),
            share=round(account.share, 4),
            available=round(available, 1),
            term=allocator_client.term,
            answer_age_ms=None if math.isinf(age_s) else round(age_s * 1000),
        )
        return Refusal(reason, retry_after_s, quota=seen)

    def charge_retry(self, call: Call) -> None:
        """Charge a call that is sent again though it may have run."""
        if call.customer is not None:
            self._allocator_client.charge_retry(call.customer.name, call.cost)

    def review(self) -> None:
        """Apply settings that have changed."""
        if (
            self._tolerance() != self._applied_tolerance
            and self._gateway_state.config is not None
        ):
            self._configured(self._gateway_state.config)
