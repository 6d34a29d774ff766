"""Holds one agent's turn at the weight store, in the key-value service.

A turn is taken before its load is ordered and given back when the load is over, as the
engine itself reports it. So a load counts until it ends, also one at an engine that the
registry lists no more. The key is bound to a lease, so that a turn ends in time if its
agent does.

While the key-value service can't be reached, loads begin without a turn: entries still
ask for one at a time, and models would otherwise wait for a service that doesn't serve
them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bambootiller.app import Application
from bambootiller.gateway.eventlog import EventLog
from bambootiller_core.gateway.log_lines import StoreTurn
from bambootiller_core.gateway.turn_gate import TurnGate, TurnWanted
from bambootiller_core.gateway.turn_record import TurnRecord, free_key, prefix_of
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Granted,
    KeyValue,
    Put,
    Record,
    Unavailable,
)

#: A turn that isn't settled by then is done without: the service is slow or away.
#: Seconds.
TAKE_S = 0.8
#: The pause before a turn is sought again that others held. Seconds.
AGAIN_S = 0.5
#: A turn whose load hasn't been ordered for so long is given back: nobody wishes for it
#: any more. Seconds; twice as long as a wish lasts.
BEGIN_S = 0.5
#: How long a load may take at most, as a multiple of its stated time, and the room that
#: is made for it before that, in seconds: the length of the lease.
SLOWED_MOST = 2.0
PREPARE_MOST_S = 3.0
#: How often a turn that was lost to another agent is sought anew at once.
TRIES = 3


@dataclass(frozen=True, slots=True)
class _Held:
    """A turn of this agent: its key, at the revision of its own write."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What came of a try; ``holders`` are those of all turns."""

    name: str
    held: _Held | None = None
    holders: tuple[Record, ...] = ()


class TurnHolder:
    """Opens and shuts the gate of one agent's order book.

    Example::

        turn = TurnHolder(app, kv, "tutor", gate, events, wake)
        await turn.recall()
        turn.seek(now)
        turn.review(now, load_goes_on=book.draws_on_store())
    """

    def __init__(
        self,
        app: Application,
        kv: KeyValue,
        service: str,
        gate: TurnGate,
        events: EventLog,
        wake: Callable[[], None],
    ) -> None:
        self._app = app
        self._kv = kv
        self._service = service
        self._gate = gate
        self._events = events
        self._wake = wake
        self._held: _Held | None = None
        self._opened_at = float("-inf")
        self._sought_at: float | None = None
        self._again_at = float("-inf")
        self._told: tuple[str, str] = ("", "")
        #: Whether the turn is of an agent before this one, whose load isn't known here.
        self.recalled = False

    async def recall(self) -> None:
        """Take over a turn that this agent held before it was started anew."""
        found = await self._kv.get_prefix(prefix_of(self._service))
        records = found.records if isinstance(found, Found) else ()
        own = self._own(records)
        if own is not None and not self._gate.is_open:
            self._open(_Held(own.key, own.mod_revision))
            self.recalled = True

    def seek(self, now: float) -> None:
        """Take a turn for what the gate wants, unless that is being done."""
        wanted = self._gate.wanted
        if wanted is None or self._gate.is_open or now < self._again_at:
            return
        if self._sought_at is None:
            self._sought_at = now
            self._app.spawn(f"store turn for {wanted.model}", self._seek(wanted))
        elif now - self._sought_at > TAKE_S:
            self._again_at = now + AGAIN_S
            self._open(None)
            self._say(wanted, _Outcome("without"))

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
        self._held = held
        self._gate.is_open = True
        self._opened_at = self._app.now()
        self._wake()

    def _shut(self) -> None:
        held, self._held = self._held, None
        self._gate.is_open = self.recalled = False
        if held is not None:
            self._app.spawn(f"give back {held.key}", self._give_back(held))

    async def _give_back(self, held: _Held) -> None:
        """If that fails the lease ends the turn."""
        mine = Compare(held.key, held.revision)
        outcome = await self._kv.transact([mine], [Delete(held.key)])
        if not isinstance(outcome, (Committed, Conflict)):
            self._emit("not given back", "", 0, (), held.key)

    async def _seek(self, wanted: TurnWanted) -> None:
        outcome = await self._take(wanted)
        self._sought_at = None
        if self._gate.is_open:
            # It took too long, and the load has begun without.
            self._held = outcome.held
            return
        if outcome.name == "held":
            self._again_at = self._app.now() + AGAIN_S
        else:
            self._open(outcome.held)
        self._say(wanted, outcome)

    async def _take(self, wanted: TurnWanted) -> _Outcome:
        records: tuple[Record, ...] = ()
        for _ in range(TRIES):
            found = await self._kv.get_prefix(prefix_of(self._service))
            if not isinstance(found, Found):
                return _Outcome("without")
            records = found.records
            own = self._own(records)
            if own is not None:
                return _Outcome("taken", _Held(own.key, own.mod_revision), records)
            key = free_key(self._service, records, wanted.turns)
            if key is None:
                return _Outcome("held", holders=records)
            outcome = await self._write(key, wanted, records)
            if outcome is not None:
                return outcome
        return _Outcome("held", holders=records)

    async def _write(
        self, key: str, wanted: TurnWanted, records: tuple[Record, ...]
    ) -> _Outcome | None:
        """Take the free turn; None if somebody else was quicker."""
        ttl_s = SLOWED_MOST * wanted.load_s + PREPARE_MOST_S
        granted = await self._kv.grant_lease(ttl_s)
        if not isinstance(granted, Granted):
            return _Outcome("without")
        value = TurnRecord(self._app.instance, wanted.model).encode()
        written = await self._kv.transact(
            [Compare(key, 0)], [Put(key, value, granted.lease)]
        )
        if isinstance(written, Committed):
            return _Outcome("taken", _Held(key, written.revision), records)
        if isinstance(written, (Conflict, Unavailable)):
            return None
        return _Outcome("without")

    def _own(self, records: tuple[Record, ...]) -> Record | None:
        for record in records:
            decoded = TurnRecord.decode(record.value)
            if decoded is not None and decoded.holder == self._app.instance:
                return record
        return None

    def _say(self, wanted: TurnWanted, outcome: _Outcome) -> None:
        """Write a line, once for each model and outcome."""
        if outcome.name == "held" and self._told == (wanted.model, outcome.name):
            return
        self._told = (wanted.model, outcome.name)
        key = outcome.held.key if outcome.held is not None else ""
        self._emit(outcome.name, wanted.model, wanted.turns, outcome.holders, key)

    def _emit(
        self,
        outcome: str,
        model: str,
        turns: int,
        holders: tuple[Record, ...],
        key: str,
    ) -> None:
        names = []
        for record in holders:
            decoded = TurnRecord.decode(record.value)
            names.append(decoded.holder if decoded is not None else "unreadable")
        number = key.removeprefix(prefix_of(self._service)) if key else None
        line = StoreTurn(outcome, model, turns, number, tuple(names))
        self._events.emit(line)
