"""Writing a slot table by compare-and-swap, with lost answers settled by reading."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from bambootiller_core import slots
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
from bambootiller_core.slots import SlotTable, TookEffect

if TYPE_CHECKING:
    from bambootiller.app import Application

READ_BACK_TRIES = 5
READ_BACK_DELAY = 0.5


class Written(enum.Enum):
    """What became of a write, as far as it is known."""

    IN_FORCE = "in_force"
    LOST_RACE = "lost_race"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class TableWriter:
    """Writes slot tables and takes what it learns into the documents held here."""

    def __init__(self, app: Application) -> None:
        self._app = app

    async def write(self, before: SlotTable | None, after: SlotTable) -> Written:
        """Replace ``before`` (None: no table yet), as held here, by ``after``."""
        key = slots.document_key(after.key)
        revision = 0
        if before is not None:
            revision = self._app.catalogue.slots_revision(after.key)
        value = after.encode()
        outcome = await self._app.kv.transact(
            [Compare(key, revision)], [Put(key, value)]
        )
        match outcome:
            case Committed(revision=committed):
                self._offer(key, committed, value)
                return Written.IN_FORCE
            case Conflict(records=records):
                self._learn(records)
                return Written.LOST_RACE
            case Unavailable():
                return Written.UNAVAILABLE
        return await self._read_back(key, after)

    async def _read_back(self, key: str, after: SlotTable) -> Written:
        """Settle a write whose answer was lost.

        The write may have taken effect. Writing again without looking would meet its
        own effect as a conflict and count it as somebody else's; the writer's token in
        the value tells whose write it was."""
        for _ in range(READ_BACK_TRIES):
            found = await self._app.kv.get(key)
            if isinstance(found, Found):
                self._learn(found.records)
                return _settled(after, found.records)
            await asyncio.sleep(READ_BACK_DELAY)
        return Written.UNKNOWN

    def _learn(self, records: tuple[Record, ...]) -> None:
        for record in records:
            self._offer(record.key, record.mod_revision, record.value)

    def _offer(self, key: str, revision: int, value: bytes) -> None:
        self._app.documents.offer(Document(key, revision, value, False))


def _settled(after: SlotTable, records: tuple[Record, ...]) -> Written:
    table = SlotTable.decode(records[0].value) if records else None
    read_back = table if isinstance(table, SlotTable) else None
    outcome = slots.settle(after, read_back)
    return Written.IN_FORCE if isinstance(outcome, TookEffect) else Written.LOST_RACE
