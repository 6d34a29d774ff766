"""Counts the agents that are registered in the key-value service.

An agent registers when it starts, before the registry lists its engine. The records of
agents that are gone remain, so the count is an upper bound of the agents that exist.

Example::

    census = AgentCensus(app, kv, plans.needs_agent_count)
    census.start()
    census.count  # None until it has been read
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bambootiller.app import Application
from bambootiller_core.ports import Found, KeyValue

#: Prefix of the keys at which agents, the holders of fencing tokens, are recorded.
HOLDERS_PREFIX = "bambootiller/holders/"
#: Interval between two counts while they are needed. Seconds.
CENSUS_INTERVAL_S = 0.5


class AgentCensus:
    """Counts the registered agents for as long as ``is_needed`` returns True."""

    def __init__(
        self, app: Application, kv: KeyValue, is_needed: Callable[[], bool]
    ) -> None:
        self._app = app
        self._kv = kv
        self._is_needed = is_needed
        #: The number of registered agents, None until it has been read.
        self.count: int | None = None

    def start(self) -> None:
        """Starts to count."""
        self._app.spawn("agent census", self._count_repeatedly())

    async def _count_repeatedly(self) -> None:
        while True:
            if self._is_needed():
                await self.read()
            await asyncio.sleep(CENSUS_INTERVAL_S)

    async def read(self) -> None:
        """Counts once; keeps the last count if the service doesn't answer."""
        found = await self._kv.get_prefix(HOLDERS_PREFIX)
        if isinstance(found, Found):
            self.count = len(found.records)
