"""What a process of the gateway knows from the store and from its peers.

Documents come from the store's watch and from peers; both carry the store's revision,
so whichever is newer wins, wherever it came from. What was last known stays in force
while the store is away. Nothing is ever replaced by something older."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import replace

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.ports import Bounds, Directory, Unreadable
from bambootiller.gateway.registry_faults import MAX_DETAIL_CHARS, RegistryFaults
from bambootiller.gateway.stall_monitor import StallCheck
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.config import GatewayConfig, is_newer
from bambootiller_core.gateway.fleet import (
    EXPIRY_GRACE_S,
    Backend,
    Fleet,
    Registration,
)
from bambootiller_core.ports import Changed, Found, KeyValue, Record, Unavailable

#: The pause after a failed call of the store; doubled up to the longest. Seconds. The
#: store counts refused calls too.
RETRY_S = 0.2
RETRY_MAX_S = 0.8

#: The pause between two answers of a watch that had something to tell, as a part of
#: the time within which a backend server that leaves has to get no more work: news of
#: it are so much later at most. Backend servers write to the registry about once a
#: second each, and without a pause every write is a call of the store by every watcher;
#: with 2 s and this, less than 2 calls a second remain.
BATCH_DELAY_FRACTION = 0.3
#: The pause shortly after the store's return: what it lost is written anew within two
#: seconds, and taken for gone 0.3 s later (``fleet.EXPIRY_GRACE_S``). Seconds.
RECOVERY_BATCH_DELAY_S = 0.25
#: How often a watcher that isn't wanted looks whether it is. Seconds.
IDLE_POLL_S = 0.5

Listener = Callable[[Changed], None]


class GatewayState:
    """The configuration in force, and the backend servers."""

    def __init__(
        self,
        directory: Directory,
        events: EventLog,
        clock: Callable[[], float],
        running_time: Callable[[float], float] | None = None,
    ) -> None:
        self.config: GatewayConfig | None = None
        self.fleet = Fleet(running_time) if running_time is not None else Fleet()
        self.changed = ChangeNotifier()
        #: The pause between two reads of the registry, here as elsewhere. Seconds.
        self.batch_delay_s = BATCH_DELAY_FRACTION * Bounds().leaving_s
        self._directory = directory
        self._events = events
        self._clock = clock
        #: Up to which revision everything is known, by the part of the store.
        self.complete: dict[str, int] = {}
        #: How often that has changed.
        self.completeness_version = 0
        self._records: dict[str, Changed] = {}
        self._registry = RegistryFaults(self.fleet, events)
        self._listeners: list[Listener] = []
        self._config_keys: set[str] = set()
        #: A configuration has come since the listeners heard of a revision.
        self._config_received = False
        self._config_listeners: list[Callable[[GatewayConfig], None]] = []
        self._complete_listeners: list[Callable[[], None]] = []
        self._revision_listeners: list[Callable[[], None]] = []

    def on_document(self, listener: Listener) -> None:
        """Call ``listener`` for each document that says something new.

        Each backend server writes its entry about once a second; passed on by all to
        all, those writes would be most of what a fleet at rest does.
        """
        self._listeners.append(listener)

    def on_complete(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when everything is known up to a configuration that has
        come; other revisions are told with whatever is said next."""
        self._complete_listeners.append(listener)

    def on_revision(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when everything is known up to any higher revision."""
        self._revision_listeners.append(listener)

    def is_configuration(self, key: str) -> bool:
        """Whether the document under the key has been a configuration."""
        return key in self._config_keys

    def on_config(self, listener: Callable[[GatewayConfig], None]) -> None:
        """Call ``listener`` for each configuration that comes into force."""
        self._config_listeners.append(listener)
        if self.config is not None:
            listener(self.config)

    def documents(self) -> list[Changed]:
        """All documents held, removals of the recent past included."""
        return list(self._records.values())

    def apply_document(self, change: Changed, source: str) -> bool:
        """Take over a document, unless it is older than what is held."""
        record = change.record
        if not self._registry.can_forward(record, source):
            return False
        held = self._records.get(record.key)
        if held is not None and held.record.mod_revision >= record.mod_revision:
            return False
        self._records[record.key] = change
        if change.deleted:
            self._on_removed(record, source)
            is_news = True
        else:
            is_news = self._on_written(record, source)
        if is_news:
            for listener in self._listeners:
                listener(change)
        return True

    def log_forwarded(self, record: Record, peer: str, peer_has: int | None) -> None:
        """A document goes to a peer; a configuration is large enough to be logged."""
        if self.is_configuration(record.key):
            size = len(record.value)
            line = lines.ConfigPassedOn(record.mod_revision, size, peer, peer_has)
            self._events.emit(line)

    def apply_listing(self, prefix: str, found: Found, source: str) -> None:
        """Take over everything under a prefix; what isn't listed is gone."""
        keys = set()
        for record in found.records:
            keys.add(record.key)
            self.apply_document(Changed(record), source)
        for key, held in list(self._records.items()):
            missing = key.startswith(prefix) and key not in keys and not held.deleted
            if missing and held.record.mod_revision <= found.revision:
                gone = Record(key, b"", found.revision)
                self.apply_document(Changed(gone, deleted=True), source)

    def mark_complete(self, complete: Mapping[str, int]) -> None:
        """Everything up to these revisions has been learnt, by the part of the store: a
        prefix of keys, or one key."""
        news = {
            part: revision
            for part, revision in complete.items()
            if revision > self.complete.get(part, -1)
        }
        if not news:
            return
        self.complete.update(news)
        self.completeness_version += 1
        for listener in self._revision_listeners:
            listener()
        if not self._config_received:
            return
        self._config_received = False
        for listener in self._complete_listeners:
            listener()

    def _on_removed(self, record: Record, source: str) -> None:
        self._registry.mark_readable(record.key)
        instance = self._directory.instance_of(record.key)
        if instance is None:
            return
        held = self.fleet.get(instance)
        was_leaving = held.registration.leaving if held is not None else None
        self.fleet.registry_removed(self._clock(), instance)
        line = lines.BackendRemoved(
            instance, "removed", record.mod_revision, was_leaving, source
        )
        self._events.emit(line)
        self.changed.notify()

    def _on_written(self, record: Record, source: str) -> bool:
        """Take over what a document says; returns whether peers have to hear it."""
        config = self._directory.config(record)
        if config is not None:
            self._config_keys.add(record.key)
            self._config_received = True
            self._on_config(config, record, source)
            # Told to peers by its key: who has it from a peer, and not from the store,
            # doesn't know that it has all up to there, and would be sent it by each.
            self.mark_complete({record.key: record.mod_revision})
            return True
        registration = self._directory.registration(record)
        if isinstance(registration, Unreadable):
            instance = self._directory.instance_of(record.key)
            self._registry.mark_unreadable(record, instance, registration, source)
            self.changed.notify()
            return True
        if registration is None:
            return True
        self._registry.mark_readable(record.key)
        return self._on_registration(registration, source)

    def _on_config(
        self, config: GatewayConfig | Unreadable, record: Record, source: str
    ) -> None:
        if isinstance(config, Unreadable):
            # What was in force stays: without a configuration no call is served.
            line = lines.DocumentUnreadable(
                record.key, record.mod_revision, config.detail[:MAX_DETAIL_CHARS]
            )
            self._events.emit(line)
            return
        if not is_newer(self.config, config):
            return
        self.config = config
        line = lines.ConfigInForce(
            config.version, config.revision, len(config.routes), source
        )
        self._events.emit(line)
        for listener in self._config_listeners:
            listener(config)
        self.changed.notify()

    def _on_registration(self, registration: Registration, source: str) -> bool:
        """Take over an entry of the registry; returns whether it says anything new."""
        held = self.fleet.get(registration.instance)
        before = held.registration if held is not None else None
        usability_before = self._usability(registration.instance)
        taken = self.fleet.registry_changed(self._clock(), registration)
        if held is not None and held.replaced:
            self.log_restart(held, source)
        if not taken:
            # Of an earlier start, or overtaken: a peer that hears of this entry less
            # often than the store's readers would take it for the latest.
            return False
        usability = self._usability(registration.instance)
        if usability != usability_before:
            line = lines.BackendListed(
                registration.instance,
                registration.service,
                registration.address,
                registration.leaving,
                registration.revision,
                source,
            )
            self._events.emit(line)
        agent_reports = (
            held is not None and held.engine is not None and not held.replaced
        )
        differs = before is None or _differs(before, registration, agent_reports)
        is_news = differs or usability != usability_before
        if is_news:
            # Each backend server writes its entry about once a second. A write that
            # says nothing new wakes nobody, and no plan is made for it.
            self.changed.notify()
        return is_news

    def log_restart(self, before: Backend, source: str) -> None:
        """Say that another start has followed ``before``, known a moment ago."""
        current = self.fleet.get(before.instance)
        line = lines.BackendRestarted(
            before.instance,
            current.registration.started_ms,
            before.registration.started_ms,
            source,
        )
        self._events.emit(line)

    def _usability(self, instance: str) -> tuple[bool, bool] | None:
        """Whether a backend server is used and whether it leaves, if it is known."""
        held = self.fleet.get(instance)
        return (held.readable, held.registration.leaving) if held is not None else None


def _differs(before: Registration, current: Registration, agent_reports: bool) -> bool:
    """Whether two registry entries differ in more than when they were written.

    Where the agent tells what its engine holds, the registry's word on that is used by
    nobody, and it changes with each load.
    """
    same = {"revision": current.revision}
    if agent_reports:
        same["holdings"] = current.holdings
    return replace(before, **same) != current


class ChangeNotifier:
    """Wakes those who wait for the fleet or the configuration to change."""

    def __init__(self) -> None:
        #: How many changes there have been.
        self.count = 0
        self._waiting: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all who wait."""
        self.count += 1
        waiting, self._waiting = self._waiting, set()
        for fut in waiting:
            if not fut.done():
                fut.set_result(None)

    async def wait(self, seconds: float) -> None:
        """Wait for a change, for ``seconds`` at most."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting.add(fut)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, seconds)):
                    await fut
        finally:
            self._waiting.discard(fut)


class StoreWatcher:
    """Keeps :class:`GatewayState` up to date from the store, one prefix at a time."""

    def __init__(
        self,
        kv: KeyValue,
        gateway_state: GatewayState,
        events: EventLog,
        clock: Callable[[], float],
        running_time: Callable[[float], float] = lambda now: now,
        bounds: Callable[[], Bounds] = Bounds,
    ) -> None:
        self._bounds = bounds
        self._kv = kv
        self._gateway_state = gateway_state
        self._events = events
        self._clock = clock
        self._stall_check = StallCheck(clock, running_time)
        self._unavailable_since: dict[str, float] = {}
        self._regained_at = float("-inf")

    async def follow(
        self, prefix: str, wanted: Callable[[], bool] = lambda: True
    ) -> None:
        """Read the prefix and follow its changes, for ever, but only while
        ``wanted()``."""
        pause = RETRY_S
        while True:
            if not wanted():
                await asyncio.sleep(IDLE_POLL_S)
                continue
            began = self._stall_check.now()
            found = await self._kv.get_prefix(prefix)
            if isinstance(found, Unavailable):
                if self._stall_check.was_stalled(began):
                    continue
                self._on_lost(prefix, found.detail)
                await asyncio.sleep(pause)
                pause = min(pause * 2, RETRY_MAX_S)
                continue
            pause = RETRY_S
            self._on_regained(prefix)
            self._gateway_state.apply_listing(prefix, found, "store")
            self._gateway_state.mark_complete({prefix: found.revision})
            await self._watch(prefix, found.revision + 1, wanted)

    async def _watch(
        self, prefix: str, revision: int, wanted: Callable[[], bool]
    ) -> None:
        began = self._stall_check.now()
        async for batch in self._kv.watch(prefix, revision):
            if isinstance(batch, Unavailable):
                # After an absence, entries that vanish count as lapsed for a while. A
                # standstill of this process isn't one: backend servers that left
                # would be given calls all that time.
                if not self._stall_check.was_stalled(began):
                    self._on_lost(prefix, batch.detail)
                return
            for change in batch:
                self._gateway_state.apply_document(change, "store")
                self._gateway_state.mark_complete({prefix: change.record.mod_revision})
            if not wanted():
                return
            await asyncio.sleep(self._pause())
            began = self._stall_check.now()

    def _pause(self) -> float:
        """The pause before the next read; live backend servers that come back after the
        store's return would be dropped if they were read of later than that."""
        pause = BATCH_DELAY_FRACTION * self._bounds().leaving_s
        self._gateway_state.batch_delay_s = pause
        if self._clock() - self._regained_at < EXPIRY_GRACE_S:
            return min(pause, RECOVERY_BATCH_DELAY_S)
        return pause

    def _on_lost(self, prefix: str, detail: str) -> None:
        if prefix not in self._unavailable_since:
            self._unavailable_since[prefix] = self._clock()
            self._events.emit(lines.DependencyLost("store", f"{prefix}: {detail}"))

    def _on_regained(self, prefix: str) -> None:
        since = self._unavailable_since.pop(prefix, None)
        if since is not None:
            self._regained_at = now = self._clock()
            self._gateway_state.fleet.store_returned(now)
            away_ms = round((now - since) * 1000)
            self._events.emit(lines.DependencyRegained("store", away_ms))
