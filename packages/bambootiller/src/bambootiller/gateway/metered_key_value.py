"""Counts calls of the key-value service by their outcomes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence

from bambootiller.gateway.meters import Meters
from bambootiller_core.ports import (
    Changed,
    Compare,
    Delete,
    KeyValue,
    LeaseOutcome,
    Put,
    ReadOutcome,
    Unavailable,
    WriteOutcome,
)


class MeteredKeyValue:
    """Wraps a key-value service and counts the calls; forwards each unchanged.

    Example::

        kv = MeteredKeyValue(kv, meters)
    """

    def __init__(self, kv: KeyValue, meters: Meters) -> None:
        self._kv = kv
        self._meters = meters

    async def get(self, key: str) -> ReadOutcome:
        """Read one key."""
        return self._counted("get", await self._kv.get(key))

    async def get_prefix(self, prefix: str) -> ReadOutcome:
        """Read all keys that start with ``prefix``."""
        return self._counted("get_prefix", await self._kv.get_prefix(prefix))

    async def transact(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> WriteOutcome:
        """Apply ``writes`` if all ``compares`` hold."""
        return self._counted("transact", await self._kv.transact(compares, writes))

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Grant a lease of that many seconds."""
        return self._counted("grant_lease", await self._kv.grant_lease(ttl_s))

    async def keep_lease(self, lease: int) -> LeaseOutcome:
        """Renew a lease for its full duration."""
        return self._counted("keep_lease", await self._kv.keep_lease(lease))

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[tuple[Changed, ...] | Unavailable]:
        """Yield changes under ``prefix``; each batch counts as a call."""
        async for batch in self._kv.watch(prefix, from_revision):
            if isinstance(batch, Unavailable):
                self._counted("watch", batch)
            else:
                self._meters.store_calls.labels("watch", "changes").inc()
            yield batch

    async def close(self) -> None:
        """Release the connections."""
        await self._kv.close()

    def _counted(self, call, outcome):
        answer = type(outcome).__name__.lower()
        self._meters.store_calls.labels(call, answer).inc()
        return outcome
