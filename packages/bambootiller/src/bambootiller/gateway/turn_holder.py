"""Holds one agent's turn at the weight store, in the key-value service.

A turn is taken before its load is ordered and given back when the load is over, as the
engine itself reports it. So a load counts until it ends, also one at an engine that the
registry lists no more. The key is bound to a lease that the agent renews, so that a
turn doesn't outlive an agent that is gone for good by more than that.

While the key-value service can't be reached, loads begin without a turn: entries still
ask for one at a time, and models would otherwise wait for a service that doesn't serve
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.eventlog import EventLog
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

#: If the key-value service doesn't answer for so long, the load begins without a turn.
#: Seconds of running time; its answers can be slow by a factor of a hundred.
TAKE_S = 3.0
#: The pause before a call is tried again that the service didn't carry out. Seconds.
RETRY_S = 0.25
#: The pause before a turn is sought again that others held. Seconds.
AGAIN_S = 0.5
#: A turn whose load hasn't been ordered for so long is given back: nobody wishes for it
#: any more. Seconds; twice as long as a wish lasts.
BEGIN_S = 0.5
#: A turn whose agent is gone is free after so long: until then the weight store may be
#: idle. Seconds.
LEASE_S = 3.0
#: How often the lease is renewed. Seconds; it outlasts two renewals that fail.
RENEW_S = 0.75
#: How often a turn that was lost to another agent is sought anew at once.
TRIES = 3


@dataclass(frozen=True, slots=True)
class _Held:
    """A turn of this agent: its key, at the revision of its own write, its lease, and
    the model that it was taken for."""

    key: str
    revision: int
    lease: int
    model: str


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What came of a try; ``holders`` are those of all turns."""

    name: str
    held: _Held | None = None
    holders: tuple[Record, ...] = ()


class TurnHolder:
    """Opens and shuts the gate of one agent's order book.

    Example::

        turn = TurnHolder(app, kv, "tutor", gate, events, wake, ran)
        await turn.recall()
        turn.seek(now)
        turn.review(now, load_goes_on=book.uses_store())
    """

    def __init__(
        self,
        app: Application,
        kv: KeyValue,
        service: str,
        gate: StorePermitGate,
        events: EventLog,
        wake: Callable[[], None],
        ran: Callable[[], float],
    ) -> None:
        self._app = app
        self._kv = kv
        self._service = service
        self._gate = gate
        self._events = events
        self._wake = wake
        self._ran = ran
        self._held: _Held | None = None
        self._opened_at = float("-inf")
        self._sought_at: float | None = None
        self._again_at = float("-inf")
        self._told: tuple[str, str] = ("", "")
        #: Since when a turn that this agent has given back is being removed, or one of
        #: the process before is looked for, in running time. None is sought meanwhile:
        #: a removal that is late would take the next one away while its load goes on.
        self._unsettled_since: float | None = None
        #: Whether the turn is of an agent before this one, whose load isn't known here.
        self.recalled = False

    async def recall(self) -> None:
        """Take over a turn that this agent held before it was started anew."""
        self._unsettled_since = self._ran()
        while not isinstance(found := await self._read(), Found):
            await asyncio.sleep(RETRY_S)
        own = self._own(found.records)
        if own is not None and not self._gate.is_open:
            model = StorePermitRecord.decode(own.value).model
            held = await self._write(own.key, own.mod_revision, model)
            if isinstance(held, _Held) and not self._gate.is_open:
                self._open(held)
                self.recalled = True
        self._unsettled_since = None

    def seek(self, now: float) -> None:
        """Take a turn for what the gate wants, unless that is being done; to be called
        several times a second."""
        blocked_load, gate = self._gate.blocked_load, self._gate
        if gate.is_open:
            return
        if self._sought_at is not None:
            # By now nobody may wish for the load any more: it is told as one to come.
            self._go_without(gate.acquiring, self._sought_at)
        elif blocked_load is None or now < self._again_at:
            return
        elif self._unsettled_since is not None:
            self._go_without(blocked_load, self._unsettled_since)
        else:
            self._sought_at, gate.acquiring = self._ran(), blocked_load
            seeking = self._seek(blocked_load, self._sought_at)
            self._app.spawn(f"store turn for {blocked_load.model}", seeking)

    def _go_without(self, blocked_load: StorePermitRequest, since: float) -> None:
        """Have the load begin without a turn if the service hasn't answered for so
        long."""
        if self._ran() - since > TAKE_S:
            self._open(None)
            self._say(blocked_load, _Outcome("without"))

    def review(self, now: float, load_goes_on: bool) -> None:
        """Give the turn back if its load is over, or doesn't begin."""
        if not self._gate.is_open or load_goes_on:
            return
        if now - self._opened_at > BEGIN_S:
            self._shut()

    def load_ended(self) -> None:
        """The load from the store is over."""
        if self._gate.is_open:
            self._shut()

    def _open(self, held: _Held | None) -> None:
        self._hold(held)
        self._gate.is_open = True
        self._sought_at = self._gate.acquiring = None
        self._opened_at = self._app.now()
        self._wake()

    def _hold(self, held: _Held | None) -> None:
        self._held = held
        if held is not None:
            self._app.spawn(f"lease of {held.key}", self._renew(held))

    async def _renew(self, held: _Held) -> None:
        """Keep the lease while the turn is held. If it has ended, as while the service
        or this process was away, the turn is taken anew unless another has it."""
        await asyncio.sleep(RENEW_S)
        while self._held is held:
            kept = await self._kv.keep_lease(held.lease)
            if not isinstance(kept, Granted):
                again = await self._write(held.key, 0, held.model)
                if isinstance(again, _Held) and self._held is held:
                    self._held = held = again
            await asyncio.sleep(RENEW_S)

    def _shut(self) -> None:
        held, self._held = self._held, None
        self._gate.is_open = self.recalled = False
        self._unsettled_since = self._ran()
        self._app.spawn("give back a store turn", self._give_back(held))

    async def _give_back(self, held: _Held | None) -> None:
        """Remove all turns of this agent, also one whose write got no answer."""
        while held is not None and not await self._remove(held.key, held.revision):
            await asyncio.sleep(RETRY_S)
        while not isinstance(found := await self._read(), Found):
            await asyncio.sleep(RETRY_S)
        own = self._own(found.records)
        if own is not None and not self._gate.is_open:
            await self._remove(own.key, own.mod_revision)
        self._unsettled_since = None

    async def _remove(self, key: str, revision: int) -> bool:
        outcome = await self._kv.transact([Compare(key, revision)], [Delete(key)])
        return isinstance(outcome, (Committed, Conflict))

    async def _read(self) -> ReadOutcome:
        return await self._kv.get_prefix(prefix_of(self._service))

    async def _seek(self, blocked_load: StorePermitRequest, began: float) -> None:
        outcome = await self._take(blocked_load, began)
        while outcome is None and self._sought_at == began:
            await asyncio.sleep(RETRY_S)
            outcome = await self._take(blocked_load, began)
        if self._sought_at != began:
            await self._took_too_long(outcome)
            return
        self._sought_at = self._gate.acquiring = None
        if outcome.held is None:
            self._again_at = self._app.now() + AGAIN_S
            self._wake()
        else:
            self._open(outcome.held)
        self._say(blocked_load, outcome)

    async def _took_too_long(self, outcome: _Outcome | None) -> None:
        """The load has begun without a turn, and may be over."""
        held = outcome.held if outcome is not None else None
        if held is None:
            return
        if self._gate.is_open and self._held is None:
            self._hold(held)
        elif self._held is not None and self._held.key == held.key:
            # It has written the turn anew that was taken since.
            self._hold(held)
        else:
            await self._remove(held.key, held.revision)

    async def _take(
        self, blocked_load: StorePermitRequest, began: float
    ) -> _Outcome | None:
        """Try once; None if the service didn't answer, or too late."""
        records: tuple[Record, ...] = ()
        for _ in range(TRIES):
            found = await self._read()
            if not isinstance(found, Found) or self._sought_at != began:
                return None
            records = found.records
            own = self._own(records)
            if own is not None:
                key, revision = own.key, own.mod_revision
            else:
                key, revision = (
                    free_key(self._service, records, blocked_load.permits),
                    0,
                )
            if key is None:
                return _Outcome("held", holders=records)
            written = await self._write(key, revision, blocked_load.model)
            if isinstance(written, _Held):
                return _Outcome("taken", written, records)
            if not isinstance(written, Conflict):
                return None
        return _Outcome("held", holders=records)

    async def _write(
        self, key: str, revision: int, model: str
    ) -> _Held | Conflict | Unavailable | Unknown:
        """Take a turn that is free, or this agent's own at that revision."""
        granted = await self._kv.grant_lease(LEASE_S)
        if not isinstance(granted, Granted):
            return granted
        value = StorePermitRecord(self._app.instance, model).encode()
        put = Put(key, value, granted.lease)
        written = await self._kv.transact([Compare(key, revision)], [put])
        if isinstance(written, Committed):
            return _Held(key, written.revision, granted.lease, model)
        return written

    def _own(self, records: tuple[Record, ...]) -> Record | None:
        for record in records:
            decoded = StorePermitRecord.decode(record.value)
            if decoded is not None and decoded.holder == self._app.instance:
                return record
        return None

    def _say(self, blocked_load: StorePermitRequest, outcome: _Outcome) -> None:
        """Write a line, once for each model and outcome."""
        if outcome.name == "held" and self._told == (blocked_load.model, outcome.name):
            return
        self._told = (blocked_load.model, outcome.name)
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
