"""Holds one agent's permit for the weight store, as a key in the key-value service.

A permit is acquired before its load is ordered, and released when the engine itself
reports that the load has ended. So a load counts until it ends, even at an engine that
the registry doesn't list any more. The key is bound to a lease that the agent renews;
if the agent is gone for good, its permit expires with the lease.

While the key-value service is unreachable, loads start without a permit. Entries still
request only one load at a time, and models would otherwise wait for a service that
plays no part in serving them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.event_log import EventLog
from bambootiller_core.gateway.log_lines import StoreTurn
from bambootiller_core.gateway.store_permit_gate import (
    StorePermitGate,
    StorePermitRequest,
)
from bambootiller_core.gateway.store_permit_record import (
    StorePermitRecord,
    free_key,
    prefix_of,
)
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Granted,
    KeyValue,
    Put,
    ReadOutcome,
    Record,
    Unavailable,
    Unknown,
)

#: If the key-value service hasn't answered for this long, the load starts without a
#: permit. Its answers can be slower than usual by a factor of a hundred. Seconds of
#: running time.
ACQUIRE_TIMEOUT_S = 3.0
#: Delay before a call that the service didn't carry out is tried again. Seconds.
RETRY_S = 0.25
#: Delay before the next attempt to acquire a permit when all are held by others.
#: Seconds.
HELD_RETRY_S = 0.5
#: A permit whose load hasn't been ordered for this long is released, as the load isn't
#: requested any more. Twice as long as a load request is valid
#: (``entry_reports.LOAD_REQUEST_TTL_S``). Seconds.
START_TIMEOUT_S = 0.5
#: Time to live of the lease. The permit of an agent that is gone is free again after
#: this time; until then the weight store may be idle. Seconds.
LEASE_TTL_S = 3.0
#: Interval between two renewals of the lease, which outlasts two renewals that fail.
#: Seconds.
RENEW_INTERVAL_S = 0.75
#: Number of immediate attempts while other agents win the race for a permit.
MAX_ACQUIRE_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _HeldPermit:
    """A permit that this agent holds: its key, the revision at which this agent wrote
    it, its lease, and the model that it was acquired for."""

    key: str
    revision: int
    lease: int
    model: str


@dataclass(frozen=True, slots=True)
class _AcquireOutcome:
    """Result of an attempt to acquire a permit; ``holders`` are the records of all
    permits."""

    name: str
    held: _HeldPermit | None = None
    holders: tuple[Record, ...] = ()


class StorePermitHolder:
    """Opens and closes the gate of one agent's order book.

    Example::

        holder = StorePermitHolder(
            app, kv, "tutor", gate, events, wake, running_time
        )
        await holder.recover()
        holder.acquire(now)
        holder.release_if_unused(now, load_in_progress=book.uses_store())
    """

    def __init__(
        self,
        app: Application,
        kv: KeyValue,
        service: str,
        gate: StorePermitGate,
        events: EventLog,
        wake: Callable[[], None],
        running_time: Callable[[], float],
    ) -> None:
        self._app = app
        self._kv = kv
        self._service = service
        self._gate = gate
        self._events = events
        self._wake = wake
        self._running_time = running_time
        self._held: _HeldPermit | None = None
        self._opened_at = float("-inf")
        self._acquiring_since: float | None = None
        self._retry_at = float("-inf")
        self._last_logged: tuple[str, str] = ("", "")
        #: The running time since which a released permit is being removed, or a permit
        #: of the previous process is being looked for; None if neither is. No permit is
        #: acquired meanwhile: a late removal would delete the next permit while its
        #: load is in progress.
        self._unsettled_since: float | None = None
        #: Whether the permit was acquired by the previous process of this agent, so
        #: that its load isn't known here.
        self.is_recovered = False

    async def recover(self) -> None:
        """Takes over a permit that this agent held before it was restarted."""
        self._unsettled_since = self._running_time()
        while not isinstance(found := await self._read(), Found):
            await asyncio.sleep(RETRY_S)
        own = self._own_record(found.records)
        if own is not None and not self._gate.is_open:
            model = StorePermitRecord.decode(own.value).model
            held = await self._write(own.key, own.mod_revision, model)
            if isinstance(held, _HeldPermit) and not self._gate.is_open:
                self._open_gate(held)
                self.is_recovered = True
        self._unsettled_since = None

    def acquire(self, now: float) -> None:
        """Starts to acquire a permit for the load that the gate blocks, unless this is
        in progress already. To be called several times a second."""
        blocked_load, gate = self._gate.blocked_load, self._gate
        if gate.is_open:
            return
        if self._acquiring_since is not None:
            # The load request may have expired by now, but while a permit is being
            # acquired its load is reported as about to start.
            self._proceed_without_permit(gate.acquiring, self._acquiring_since)
        elif blocked_load is None or now < self._retry_at:
            return
        elif self._unsettled_since is not None:
            self._proceed_without_permit(blocked_load, self._unsettled_since)
        else:
            self._acquiring_since, gate.acquiring = self._running_time(), blocked_load
            acquisition = self._acquire(blocked_load, self._acquiring_since)
            self._app.spawn(f"store turn for {blocked_load.model}", acquisition)

    def _proceed_without_permit(
        self, blocked_load: StorePermitRequest, since: float
    ) -> None:
        """Lets the load start without a permit if the service hasn't answered for
        :data:`ACQUIRE_TIMEOUT_S`."""
        if self._running_time() - since > ACQUIRE_TIMEOUT_S:
            self._open_gate(None)
            self._log_outcome(blocked_load, _AcquireOutcome("without"))

    def release_if_unused(self, now: float, load_in_progress: bool) -> None:
        """Releases the permit if its load has ended or doesn't start."""
        if not self._gate.is_open or load_in_progress:
            return
        if now - self._opened_at > START_TIMEOUT_S:
            self._close_gate()

    def load_ended(self) -> None:
        """Releases the permit, as the load from the store has ended or can't start."""
        if self._gate.is_open:
            self._close_gate()

    def _open_gate(self, held: _HeldPermit | None) -> None:
        self._set_held(held)
        self._gate.is_open = True
        self._acquiring_since = self._gate.acquiring = None
        self._opened_at = self._app.now()
        self._wake()

    def _set_held(self, held: _HeldPermit | None) -> None:
        self._held = held
        if held is not None:
            self._app.spawn(f"lease of {held.key}", self._renew(held))

    async def _renew(self, held: _HeldPermit) -> None:
        """Renews the lease while the permit is held. If the lease has expired, for
        example while the service was unreachable or this process was stalled, acquires
        the permit again unless another agent holds it."""
        await asyncio.sleep(RENEW_INTERVAL_S)
        while self._held is held:
            renewal = await self._kv.keep_lease(held.lease)
            if not isinstance(renewal, Granted):
                renewed = await self._write(held.key, 0, held.model)
                if isinstance(renewed, _HeldPermit) and self._held is held:
                    self._held = held = renewed
            await asyncio.sleep(RENEW_INTERVAL_S)

    def _close_gate(self) -> None:
        held, self._held = self._held, None
        self._gate.is_open = self.is_recovered = False
        self._unsettled_since = self._running_time()
        self._app.spawn("give back a store turn", self._release(held))

    async def _release(self, held: _HeldPermit | None) -> None:
        """Removes all permits of this agent, also one whose write wasn't answered."""
        while held is not None and not await self._remove(held.key, held.revision):
            await asyncio.sleep(RETRY_S)
        while not isinstance(found := await self._read(), Found):
            await asyncio.sleep(RETRY_S)
        own = self._own_record(found.records)
        if own is not None and not self._gate.is_open:
            await self._remove(own.key, own.mod_revision)
        self._unsettled_since = None

    async def _remove(self, key: str, revision: int) -> bool:
        outcome = await self._kv.transact([Compare(key, revision)], [Delete(key)])
        return isinstance(outcome, (Committed, Conflict))

    async def _read(self) -> ReadOutcome:
        return await self._kv.get_prefix(prefix_of(self._service))

    async def _acquire(
        self, blocked_load: StorePermitRequest, started_at: float
    ) -> None:
        outcome = await self._try_acquire(blocked_load, started_at)
        while outcome is None and self._acquiring_since == started_at:
            await asyncio.sleep(RETRY_S)
            outcome = await self._try_acquire(blocked_load, started_at)
        if self._acquiring_since != started_at:
            await self._handle_late_outcome(outcome)
            return
        self._acquiring_since = self._gate.acquiring = None
        if outcome.held is None:
            self._retry_at = self._app.now() + HELD_RETRY_S
            self._wake()
        else:
            self._open_gate(outcome.held)
        self._log_outcome(blocked_load, outcome)

    async def _handle_late_outcome(self, outcome: _AcquireOutcome | None) -> None:
        """Handles an outcome that came after the load had started without a permit; the
        load may have ended since."""
        held = outcome.held if outcome is not None else None
        if held is None:
            return
        if self._gate.is_open and self._held is None:
            self._set_held(held)
        elif self._held is not None and self._held.key == held.key:
            # The late write replaced the record of the permit that was acquired since.
            self._set_held(held)
        else:
            await self._remove(held.key, held.revision)

    async def _try_acquire(
        self, blocked_load: StorePermitRequest, started_at: float
    ) -> _AcquireOutcome | None:
        """Makes one attempt. Returns None if the service didn't answer, or too late."""
        records: tuple[Record, ...] = ()
        for _ in range(MAX_ACQUIRE_ATTEMPTS):
            found = await self._read()
            if not isinstance(found, Found) or self._acquiring_since != started_at:
                return None
            records = found.records
            own = self._own_record(records)
            if own is not None:
                key, revision = own.key, own.mod_revision
            else:
                key, revision = (
                    free_key(self._service, records, blocked_load.permits),
                    0,
                )
            if key is None:
                return _AcquireOutcome("held", holders=records)
            written = await self._write(key, revision, blocked_load.model)
            if isinstance(written, _HeldPermit):
                return _AcquireOutcome("taken", written, records)
            if not isinstance(written, Conflict):
                return None
        return _AcquireOutcome("held", holders=records)

    async def _write(
        self, key: str, revision: int, model: str
    ) -> _HeldPermit | Conflict | Unavailable | Unknown:
        """Writes a permit that is free, or this agent's own at the given revision."""
        granted = await self._kv.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, Granted):
            return granted
        value = StorePermitRecord(self._app.instance, model).encode()
        put = Put(key, value, granted.lease)
        written = await self._kv.transact([Compare(key, revision)], [put])
        if isinstance(written, Committed):
            return _HeldPermit(key, written.revision, granted.lease, model)
        return written

    def _own_record(self, records: tuple[Record, ...]) -> Record | None:
        for record in records:
            decoded = StorePermitRecord.decode(record.value)
            if decoded is not None and decoded.holder == self._app.instance:
                return record
        return None

    def _log_outcome(
        self, blocked_load: StorePermitRequest, outcome: _AcquireOutcome
    ) -> None:
        """Logs the outcome, but a permit held by others only once in a row for the same
        model."""
        if outcome.name == "held" and self._last_logged == (
            blocked_load.model,
            outcome.name,
        ):
            return
        self._last_logged = (blocked_load.model, outcome.name)
        key = outcome.held.key if outcome.held is not None else ""
        self._emit(
            outcome.name, blocked_load.model, blocked_load.permits, outcome.holders, key
        )

    def _emit(
        self,
        outcome: str,
        model: str,
        permits: int,
        holders: tuple[Record, ...],
        key: str,
    ) -> None:
        names = []
        for record in holders:
            decoded = StorePermitRecord.decode(record.value)
            names.append(decoded.holder if decoded is not None else "unreadable")
        number = key.removeprefix(prefix_of(self._service)) if key else None
        line = StoreTurn(outcome, model, permits, number, tuple(names))
        self._events.emit(line)
