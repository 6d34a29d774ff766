"""Writing a slot table by compare-and-swap, with lost answers settled by reading."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bambootiller_core import slots
from bambootiller_core.documents import TEMPLATES_PREFIX, Document
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
from bambootiller_core.template import Template
from bambootiller_core.types import ModelKey

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


@dataclass(frozen=True, slots=True)
class Basis:
    """What a new table was decided on: the table before it, and both revisions.

    Taken in one step before anything is awaited. What goes wrong otherwise: the table
    held here changes while agents are asked for their figures; a write that names the
    newer revision passes its compare and undoes that change, so that a slot is with two
    instances. The template's revision counts as well: an entry that was paused with an
    old template would else bring a cap back that operators have lowered, whenever the
    table itself didn't have to change in between.
    """

    table: SlotTable | None
    table_revision: int
    template: Template
    template_revision: int


class TableWriter:
    """Writes slot tables and takes what it learns into the documents held here."""

    def __init__(self, app: Application) -> None:
        self._app = app

    def basis(self, key: ModelKey) -> Basis | None:
        """What may be decided on now, or None while the customer's template is unknown.

        Without the template nothing is decided: a cap of 0 taken from a template that
        hasn't arrived yet would retire every replica.
        """
        catalogue = self._app.catalogue
        template = catalogue.template(key.customer)
        if template is None:
            return None
        return Basis(
            catalogue.slots(key),
            catalogue.slots_revision(key),
            template,
            catalogue.template_revision(key.customer),
        )

    async def write(self, basis: Basis, after: SlotTable) -> Written:
        """Write ``after`` if what it was decided on still stands."""
        key = slots.document_key(after.key)
        value = after.encode()
        compares = [
            Compare(key, basis.table_revision),
            Compare(TEMPLATES_PREFIX + after.key.customer, basis.template_revision),
        ]
        outcome = await self._app.kv.transact(compares, [Put(key, value)])
        match outcome:
            case Committed(revision=committed):
                self._learn([Record(key, value, committed)])
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

    def _learn(self, records: Iterable[Record]) -> None:
        for record in records:
            self._app.documents.offer(Document.of(record))


def _settled(after: SlotTable, records: tuple[Record, ...]) -> Written:
    table = SlotTable.decode(records[0].value) if records else None
    read_back = table if isinstance(table, SlotTable) else None
    outcome = slots.settle(after, read_back)
    return Written.IN_FORCE if isinstance(outcome, TookEffect) else Written.LOST_RACE
