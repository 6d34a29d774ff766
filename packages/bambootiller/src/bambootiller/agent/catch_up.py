"""Fetching documents that a caller of this agent already decided on.

News of a template or a slot table travels by gossip and reaches an entry and an agent
at different moments. A request that was routed by a newer table than the one held here
would be refused as sent to the wrong place, although the table is right. So it waits a
short time for the newer document, which is fetched at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bambootiller_core.documents import Document
from bambootiller_core.ports import Found

if TYPE_CHECKING:
    from bambootiller.app import Application

#: The longest wait. A document that comes later finds the request refused, with a
#: truthful reason, and another attempt on its way.
WAIT_SECONDS = 0.5
POLL_SECONDS = 0.02


class CatchUp:
    """Brings documents held here up to a revision, one read at a time for each key."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._reading: set[str] = set()

    async def reach(self, key: str, revision: int) -> bool:
        """Wait until the document is held at ``revision`` or above, within the bound.

        The key-value service is asked, and gossip may be faster where it is down.
        """
        documents = self._app.documents
        until = self._app.now() + WAIT_SECONDS
        while documents.revision_of(key) < revision:
            if self._app.now() >= until:
                return False
            if key not in self._reading:
                self._reading.add(key)
                self._app.spawn("catch up", self._read(key))
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def _read(self, key: str) -> None:
        try:
            found = await self._app.kv.get(key)
            if isinstance(found, Found):
                for record in found.records:
                    self._app.documents.offer(Document.of(record))
            # Without the pause, a service that answers with an older revision (or fails
            # at once) would be asked again and again within the wait.
            await asyncio.sleep(WAIT_SECONDS)
        finally:
            self._reading.discard(key)
