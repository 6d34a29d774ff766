"""Keeps the calls of all entries within the limits that backend servers name.

Whatever is sent to such a backend server takes a permit first: one call of the limit,
which the allocator shares out (:mod:`allowances`). Those that aren't there go to
another backend server, wait if there is room in time, or are refused at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bambootiller.gateway.allowances import Allowances, Shortage
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.quota_account import QuotaCharge
from bambootiller_core.gateway.reported_limits import limit_name, shared_limits

LIMIT_KIND = "backend servers"
#: What a call costs of a limit.
CALL_COST = 1.0
#: A call waits no longer than this for the allocator's answer: another backend server
#: may take it. Seconds.
ALLOCATOR_TIMEOUT_S = 0.2
#: Where there is no room the allocator is asked again after this time at the latest, as
#: others may ask for less by then. Seconds.
MAX_PAUSE_S = 2.0
#: The same where no allocator has answered, and when to come back then. Seconds.
NO_ALLOCATOR_PAUSE_S = 0.5
NO_ALLOCATOR_COME_BACK_S = 1.0
#: A backend server that had no room counts as short of it for so long. Seconds.
SHORTAGE_S = 3.0


@dataclass(frozen=True, slots=True)
class PermitEstimate:
    """When a backend server has room for a call, in seconds; ``known`` is whether an
    allocator tells."""

    instance: str
    in_s: float
    known: bool


class Permit:
    """What lets one call be sent to one backend server."""

    def __init__(self, allowances: Allowances, name: str, charge: QuotaCharge) -> None:
        self._allowances = allowances
        self._name = name
        self._charge: QuotaCharge | None = charge

    def used(self) -> None:
        """The call was sent."""
        self._close(True)

    def give_back(self) -> None:
        """It wasn't, unless it was said before that it was."""
        self._close(False)

    def _close(self, sent: bool) -> None:
        charge, self._charge = self._charge, None
        if charge is not None:
            self._allowances.ended(self._name, charge, sent)


class ServerAdmission:
    """The permits of one entry.

    Example::

        permit = await admission.permit(backend)
        if permit is None: ...  # another backend server, or a refusal
        permit.used()
    """

    def __init__(
        self, limits: ServerLimits, allowances: Allowances, clock: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._allowances = allowances
        self._clock = clock
        self._waiting: Counter[str] = Counter()
        limits.on_change(self._limits_changed)

    def _limits_changed(self) -> None:
        limits = shared_limits(self._limits.in_force())
        self._allowances.limited(LIMIT_KIND, limits, MAX_PAUSE_S)

    def is_limited(self, backend: Backend) -> bool:
        """Whether the backend server names a limit."""
        return self._limits.per_s(backend) is not None

    def is_exhausted(self, backend: Backend) -> bool:
        """Whether there is no use in trying for a permit now."""
        if not self.is_limited(backend):
            return False
        return self._allowances.dry_s(limit_name(backend.instance), CALL_COST) > 0

    def asked(self, backend: Backend) -> None:
        """A call would go to the backend server, if it may."""
        if self.is_limited(backend):
            self._allowances.record_demand(limit_name(backend.instance), CALL_COST)

    async def permit(self, backend: Backend) -> Permit | None:
        """What lets a call be sent there now."""
        name = limit_name(backend.instance)
        found = await self._allowances.obtain(name, CALL_COST, ALLOCATOR_TIMEOUT_S)
        if isinstance(found, QuotaCharge):
            return Permit(self._allowances, name, found)
        backend.throttled_until = self._clock() + SHORTAGE_S
        if found is Shortage.UNKNOWN:
            self._allowances.pause(name, NO_ALLOCATOR_PAUSE_S)
        else:
            self._allowances.pause(name, ALLOCATOR_TIMEOUT_S)
        return None

    def estimate(self, backends: Iterable[Backend]) -> PermitEstimate | None:
        """Where there is room first, behind the calls that wait for it already; None if
        none of them names a limit."""
        estimates = [
            self._estimate_for(backend)
            for backend in backends
            if self.is_limited(backend)
        ]
        return min(estimates, key=lambda estimate: estimate.in_s, default=None)

    def _estimate_for(self, backend: Backend) -> PermitEstimate:
        allowances, name = self._allowances, limit_name(backend.instance)
        if allowances.allocator is None:
            return PermitEstimate(
                backend.instance, NO_ALLOCATOR_COME_BACK_S, known=False
            )
        ahead = self._waiting[backend.instance]
        in_s = allowances.dry_s(name, CALL_COST) + ahead * allowances.next_in_s(name)
        return PermitEstimate(backend.instance, in_s, known=True)

    def begin_waiting(self, estimate: PermitEstimate) -> None:
        """A call waits for room there."""
        self._waiting[estimate.instance] += 1

    def end_waiting(self, estimate: PermitEstimate) -> None:
        """It waits no more."""
        self._waiting[estimate.instance] -= 1
        self._waiting += Counter()
