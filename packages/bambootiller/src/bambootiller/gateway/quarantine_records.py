"""Stores quarantines in the key-value service.

All processes may end at once. Without these records, a request that crashes engines
would be sent to three more of them after each such restart. A record is written once
for each quarantine, and read once at each start of an entry. Nothing waits for the
service while it is unavailable.
"""

from __future__ import annotations

import asyncio
import time

from bambootiller.app import Application
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.gateway_state import RETRY_MAX_S
from bambootiller.gateway.quarantine import Quarantine
from bambootiller_core.gateway import quarantine_record
from bambootiller_core.gateway.crash_ledger import LostRun
from bambootiller_core.gateway.log_lines import DocumentUnreadable
from bambootiller_core.ports import (
    Compare,
    Delete,
    KeyValue,
    Put,
    Record,
    Unavailable,
    Unknown,
)

#: The number of attempts at a write; a quarantine that isn't recorded still holds.
MAX_WRITE_ATTEMPTS = 10


class QuarantineRecords:
    """The records of one entry's quarantines.

    Example::

        records = QuarantineRecords(app, kv, quarantine, events)
        records.start()
    """

    def __init__(
        self,
        app: Application,
        kv: KeyValue,
        quarantine: Quarantine,
        events: EventLog,
    ) -> None:
        self._app = app
        self._kv = kv
        self._quarantine = quarantine
        self._events = events
        #: Whether the records of earlier processes have been read.
        self.is_loaded = False

    def start(self) -> None:
        """Read the stored records, and store quarantines from now on."""
        self._app.spawn("quarantine records", self._read())
        self._quarantine.on_quarantined(self._on_quarantined)

    def _on_quarantined(self, fingerprint: str, runs: tuple[LostRun, ...]) -> None:
        self._app.spawn(f"quarantine {fingerprint}", self._write(fingerprint, runs))

    async def _read(self) -> None:
        while isinstance(
            found := await self._kv.get_prefix(quarantine_record.PREFIX), Unavailable
        ):
            await asyncio.sleep(RETRY_MAX_S)
        for record in found.records:
            await self._restore(record)
        self.is_loaded = True

    async def _restore(self, record: Record) -> None:
        now = self._app.now()
        try:
            runs = quarantine_record.decode(record.key, record.value, now, time.time())
        except ValueError as exc:
            line = DocumentUnreadable(record.key, record.mod_revision, str(exc))
            self._events.emit(line)
            return
        if runs:
            self._quarantine.restore(runs)
            return
        unchanged = Compare(record.key, record.mod_revision)
        await self._kv.transact([unchanged], [Delete(record.key)])

    async def _write(self, fingerprint: str, runs: tuple[LostRun, ...]) -> None:
        key = quarantine_record.key_of(fingerprint)
        value = quarantine_record.encode(runs, self._app.now(), time.time())
        for _ in range(MAX_WRITE_ATTEMPTS):
            # Other entries that lost a run of this request write the same key.
            written = await self._kv.transact([Compare(key, 0)], [Put(key, value)])
            if not isinstance(written, (Unavailable, Unknown)):
                return
            await asyncio.sleep(RETRY_MAX_S)
