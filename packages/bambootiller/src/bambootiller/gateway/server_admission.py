"""Keeps the calls of all entries within the rate limits that backend servers report.

Each call to such a backend server needs a permit, which is charged to the limit as one
call. The allocator divides the limit between the entries; see
:mod:`bambootiller.gateway.allocator_client`. A call that gets no permit goes to another
backend server, waits if a permit is expected in time, or is refused at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bambootiller.gateway.allocator_client import AllocatorClient, Shortage
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.quota_account import QuotaCharge
from bambootiller_core.gateway.reported_limits import limit_name, shared_limits

#: The allocator client's group of these limits, apart from the customers' quotas.
LIMIT_GROUP = "backend servers"
#: The cost of a call under a limit.
CALL_COST = 1.0
#: A call waits no longer than this for the allocator's answer, since another backend
#: server may take it. Seconds.
ALLOCATOR_TIMEOUT_S = 0.2
#: While a limit is exhausted, the next request to the allocator is sent after this time
#: at the latest, as the demand of other entries may have dropped by then. Seconds.
MAX_PAUSE_S = 2.0
#: The pause, and the retry-after time of a refusal, if no allocator has answered.
#: Seconds.
NO_ALLOCATOR_PAUSE_S = 0.5
NO_ALLOCATOR_RETRY_AFTER_S = 1.0
#: How long a backend server is marked as short of permits after it had none. Seconds.
SHORTAGE_S = 3.0


@dataclass(frozen=True, slots=True)
class PermitEstimate:
    """In how many seconds a backend server's limit allows a call; ``known`` is False if
    there is no allocator and the time is a default."""

    instance: str
    in_s: float
    known: bool


class Permit:
    """Allows one call to be sent to one backend server."""

    def __init__(
        self, allocator_client: AllocatorClient, name: str, charge: QuotaCharge
    ) -> None:
        self._allocator_client = allocator_client
        self._name = name
        self._charge: QuotaCharge | None = charge

    def used(self) -> None:
        """Record that the call was sent."""
        self._close(True)

    def return_unused(self) -> None:
        """Return the permit, unless it was used."""
        self._close(False)

    def _close(self, sent: bool) -> None:
        charge, self._charge = self._charge, None
        if charge is not None:
            self._allocator_client.record_end(self._name, charge, sent)


class ServerAdmission:
    """Issues the permits of one entry.

    Example::

        permit = await admission.permit(backend)
        if permit is None: ...  # another backend server, or a refusal
        permit.used()
    """

    def __init__(
        self,
        limits: ServerLimits,
        allocator_client: AllocatorClient,
        clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._allocator_client = allocator_client
        self._clock = clock
        self._waiting: Counter[str] = Counter()
        limits.on_change(self._limits_changed)

    def _limits_changed(self) -> None:
        limits = shared_limits(self._limits.in_force())
        self._allocator_client.set_limits(LIMIT_GROUP, limits, MAX_PAUSE_S)

    def is_limited(self, backend: Backend) -> bool:
        """Whether the backend server reports a limit."""
        return self._limits.per_s(backend) is not None

    def is_exhausted(self, backend: Backend) -> bool:
        """Whether no permit can be obtained now."""
        if not self.is_limited(backend):
            return False
        return (
            self._allocator_client.backoff_left_s(
                limit_name(backend.instance), CALL_COST
            )
            > 0
        )

    def record_demand(self, backend: Backend) -> None:
        """Count a call in the demand for the backend server's limit."""
        if self.is_limited(backend):
            self._allocator_client.record_demand(
                limit_name(backend.instance), CALL_COST
            )

    async def permit(self, backend: Backend) -> Permit | None:
        """A permit for a call to the backend server now, None if there is none; then no
        further ones are requested for a moment."""
        name = limit_name(backend.instance)
        found = await self._allocator_client.obtain(
            name, CALL_COST, ALLOCATOR_TIMEOUT_S
        )
        if isinstance(found, QuotaCharge):
            return Permit(self._allocator_client, name, found)
        backend.throttled_until = self._clock() + SHORTAGE_S
        if found is Shortage.UNKNOWN:
            self._allocator_client.pause(name, NO_ALLOCATOR_PAUSE_S)
        else:
            self._allocator_client.pause(name, ALLOCATOR_TIMEOUT_S)
        return None

    def estimate(self, backends: Iterable[Backend]) -> PermitEstimate | None:
        """The earliest permit of these backend servers, after the calls that already
        wait for one; None if none of them reports a limit."""
        estimates = [
            self._estimate_for(backend)
            for backend in backends
            if self.is_limited(backend)
        ]
        return min(estimates, key=lambda estimate: estimate.in_s, default=None)

    def _estimate_for(self, backend: Backend) -> PermitEstimate:
        allocator_client, name = self._allocator_client, limit_name(backend.instance)
        if allocator_client.allocator is None:
            return PermitEstimate(
                backend.instance, NO_ALLOCATOR_RETRY_AFTER_S, known=False
            )
        ahead = self._waiting[backend.instance]
        in_s = allocator_client.backoff_left_s(
            name, CALL_COST
        ) + ahead * allocator_client.admission_interval_s(name)
        return PermitEstimate(backend.instance, in_s, known=True)

    def begin_waiting(self, estimate: PermitEstimate) -> None:
        """Count a call that waits for a permit."""
        self._waiting[estimate.instance] += 1

    def end_waiting(self, estimate: PermitEstimate) -> None:
        """Stop counting a call that waited for a permit."""
        self._waiting[estimate.instance] -= 1
        self._waiting += Counter()
