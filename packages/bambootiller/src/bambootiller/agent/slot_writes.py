"""Writing this agent's part of slot tables: give back, remove a retired slot, confirm.

The core repeats what it asks for until a table shows the effect, so one try is made for
each request, and at most one at a time for each model.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller_core import slots
from bambootiller_core.backend_effects import ConfirmSlot, GiveBack, Retired
from bambootiller_core.documents import Document
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Found,
    Put,
    Record,
    Unavailable,
)
from bambootiller_core.slots import SlotTable
from bambootiller_core.types import ModelKey

if TYPE_CHECKING:
    from bambootiller.app import Application

log = logs.logger("slots")

SlotEffect = GiveBack | Retired | ConfirmSlot
Confirmed = Callable[[ConfirmSlot], None]


class SlotWrites:
    """Changes slot tables by compare-and-swap on behalf of this instance."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._under_way: set[ModelKey] = set()

    def begin(self, effect: SlotEffect, confirmed: Confirmed) -> None:
        """Try to write what the core asks for; tell ``confirmed`` of confirmations."""
        if effect.key not in self._under_way:
            self._under_way.add(effect.key)
            self._app.spawn("slot write", self._write(effect, confirmed))

    async def _write(self, effect: SlotEffect, confirmed: Confirmed) -> None:
        try:
            done = await self._try(effect)
        finally:
            self._under_way.discard(effect.key)
        kind = type(effect).__name__
        log.info("{} of {} at fence {}: {}", kind, effect.key, effect.fence, done)
        self._app.metrics.incr(f"agent.slot_write.{'done' if done else 'again'}")
        if done and isinstance(effect, ConfirmSlot):
            confirmed(effect)

    async def _try(self, effect: SlotEffect) -> bool:
        """Read the table and replace it; whether the change stands."""
        key = slots.document_key(effect.key)
        found = await self._app.kv.get(key)
        if not isinstance(found, Found) or not found.records:
            return False
        record = found.records[0]
        before = SlotTable.decode(record.value)
        if not isinstance(before, SlotTable):
            log.error("slot table {}: {}", key, before)
            return False
        after = self._changed(before, effect)
        if after is None:
            self._learn(record)
            return False
        return await self._replace(key, record, after)

    def _changed(self, table: SlotTable, effect: SlotEffect) -> SlotTable | None:
        """The table with the change, or None if it no longer fits.

        The request was made on a table that may be out of date: the slot may have been
        given to us anew since, with a load under way. Its fencing number tells.
        """
        instance = self._app.instance
        slot = table.slot_of(instance)
        if slot is None or slot.fence != effect.fence:
            return None
        token = f"{instance}/{secrets.token_hex(16)}"
        match effect:
            case ConfirmSlot():
                return slots.confirm(table, instance, token)
            case Retired() if slot.retiring:
                evidence = slots.GivenBack(instance)
                return slots.remove_retired(table, slot.number, evidence, token)
            case GiveBack():
                evidence = slots.GivenBack(instance)
                return slots.vacate(table, slot.number, evidence, token)
        return None

    async def _replace(self, key: str, record: Record, after: SlotTable) -> bool:
        value = after.encode()
        compare = Compare(key, record.mod_revision)
        outcome = await self._app.kv.transact([compare], [Put(key, value)])
        match outcome:
            case Committed(revision):
                self._learn(Record(key, value, revision))
                return True
            case Conflict(records):
                for present in records:
                    self._learn(present)
                return False
            case Unavailable():
                return False
        return await self._read_back(key, after)

    async def _read_back(self, key: str, after: SlotTable) -> bool:
        """Settle a write whose answer was lost, by the writer's token.

        If this read fails as well, the core asks again, on the table as it then stands.
        """
        found = await self._app.kv.get(key)
        if not isinstance(found, Found) or not found.records:
            return False
        self._learn(found.records[0])
        table = SlotTable.decode(found.records[0].value)
        if not isinstance(table, SlotTable):
            return False
        return not isinstance(slots.settle(after, table), slots.NoEffect)

    def _learn(self, record: Record) -> None:
        self._app.documents.offer(Document.of(record))
