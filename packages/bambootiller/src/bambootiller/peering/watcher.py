"""Watching the key-value service, in the few processes per zone that do.

A watcher reads a prefix whole, then watches it from the next revision on, so that
nothing falls between the two. When the watch ends it begins anew after a growing pause:
the deletions that it missed show only in a full read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import aclosing
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.peering.calls import PeerCalls
from bambootiller_core.documents import PREFIXES, Document, watchers
from bambootiller_core.gossip import Gossip
from bambootiller_core.membership import Status
from bambootiller_core.ports import Changed, Found, Record, Unavailable

if TYPE_CHECKING:
    from bambootiller.app import Application

FIRST_PAUSE_SECONDS = 0.25
LONGEST_PAUSE_SECONDS = 4.0

log = logs.logger("watcher")


class Watcher:
    """Watches while this process is one of its zone's watchers."""

    def __init__(self, app: Application, gossip: Gossip, calls: PeerCalls) -> None:
        self._app = app
        self._gossip = gossip
        self._calls = calls
        self._tasks: list[asyncio.Task] = []

    @property
    def watching(self) -> bool:
        """Whether this process watches now."""
        return bool(self._tasks)

    def choose(self) -> None:
        """Begin or end watching, as the members known now ask for.

        A process that knows nobody watches, so the first of a fleet does.
        """
        wanted = self._is_chosen()
        if wanted and not self._tasks:
            self._tasks = [
                self._app.spawn(f"watch {prefix}", self._watch_forever(prefix))
                for prefix in PREFIXES
            ]
        elif not wanted and self._tasks:
            self.stop()

    def stop(self) -> None:
        """End watching."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def _is_chosen(self) -> bool:
        cfg = self._app.settings
        alive = [
            view.member.instance
            for view in self._gossip.membership.members()
            if view.member.zone == cfg.zone and view.status is Status.ALIVE
        ]
        return cfg.instance in watchers(cfg.zone, alive, cfg.watchers_per_zone)

    async def _watch_forever(self, prefix: str) -> None:
        pause = FIRST_PAUSE_SECONDS
        while True:
            if await self._watch_once(prefix):
                pause = FIRST_PAUSE_SECONDS
            # The jitter keeps watchers that lost the service together from reading
            # everything at the same moment when it is back.
            await asyncio.sleep(pause * self._app.rng.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _watch_once(self, prefix: str) -> bool:
        """Read, then watch until the watch ends; False if the read failed."""
        found = await self._app.kv.get_prefix(prefix)
        if not isinstance(found, Found):
            self._app.metrics.incr("watcher.read_failed")
            log.debug("reading {}: {}", prefix, found.detail)
            return False
        self._adopt(prefix, found.records, found.revision)
        async with aclosing(self._app.kv.watch(prefix, found.revision + 1)) as batches:
            async for batch in batches:
                if isinstance(batch, Unavailable):
                    self._app.metrics.incr("watcher.watch_ended")
                    log.info("watch of {} ended: {}", prefix, batch.detail)
                    break
                self._offer(batch)
        return True

    def _adopt(self, prefix: str, records: Sequence[Record], revision: int) -> None:
        found = [Document.of(record) for record in records]
        now = self._app.now()
        self._calls.carry_out(self._gossip.adopt_read(now, prefix, found, revision))

    def _offer(self, batch: Sequence[Changed]) -> None:
        changed = [
            Document(
                change.record.key,
                change.record.mod_revision,
                change.record.value,
                change.deleted,
            )
            for change in batch
        ]
        self._calls.carry_out(self._gossip.offer(self._app.now(), changed))
