"""One gateway process's copy of the configuration and the registry.

Documents arrive from watches of the key-value service and from peers. Both carry the
service's revision, so the newer one wins whatever its source: a document is never
replaced by an older one, nor does one come back that was removed
(:mod:`bambootiller_core.gateway.document_table`). The last documents received stay in
force while the service is unavailable."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.ports import Bounds, Directory, Unreadable
from bambootiller.gateway.registry_faults import MAX_DETAIL_CHARS, RegistryFaults
from bambootiller.gateway.stall_monitor import StallCheck, TimeReading
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.config import GatewayConfig, is_newer
from bambootiller_core.gateway.document_table import DocumentTable, KeyList
from bambootiller_core.gateway.fleet import (
    EXPIRY_GRACE_S,
    Backend,
    Fleet,
    Registration,
)
from bambootiller_core.gateway.store_continuity import StoreContinuity
from bambootiller_core.ports import Changed, Found, KeyValue, Record, Unavailable

#: The delay after a failed call of the key-value service, doubled up to the maximum.
#: Seconds. The service counts refused calls too.
RETRY_S = 0.2
RETRY_MAX_S = 0.8

#: The delay after a batch of changes before the next one is read, as a fraction of the
#: time within which a backend server that is leaving must get no more work: a change is
#: seen at most this much later. Each backend server writes to the registry about once a
#: second, and without a delay each write costs every watcher a call of the key-value
#: service. With 2 s and this fraction, less than 2 calls a second remain.
BATCH_DELAY_FRACTION = 0.3
#: The delay shortly after the key-value service has come back: registrations that
#: expired are written again within two seconds, and those still missing 0.3 s later
#: count as removed (``fleet.EXPIRY_GRACE_S``). Seconds.
RECOVERY_BATCH_DELAY_S = 0.25
#: A registration expires after three heartbeat intervals without a renewal, and its
#: last renewal may be one of them old when an outage begins. No outage that is shorter
#: than this many intervals makes one expire.
MIN_EXPIRY_HEARTBEATS = 2
#: How often a paused watcher checks whether it is needed again. Seconds.
IDLE_POLL_S = 0.5

Listener = Callable[[Changed], None]


class GatewayState:
    """The configuration in force and the registered backend servers, as this process
    has received them."""

    def __init__(
        self,
        directory: Directory,
        events: EventLog,
        clock: Callable[[], float],
        running_time: Callable[[float], float] = lambda now: now,
        bounds: Callable[[], Bounds] = Bounds,
    ) -> None:
        self.config: GatewayConfig | None = None
        self.fleet = Fleet(running_time)
        self._running_time = running_time
        self._bounds = bounds
        self._store_continuity = StoreContinuity()
        #: In running time.
        self._failed_call_sent_at = float("inf")
        self.changed = ChangeNotifier()
        #: The delay between two reads of the registry, here and in other processes.
        #: Seconds.
        self.batch_delay_s = BATCH_DELAY_FRACTION * Bounds().leaving_s
        self._directory = directory
        self._events = events
        self._clock = clock
        self.table = DocumentTable()
        #: How often ``table.complete`` has changed.
        self.completeness_version = 0
        self._advanced_at: float | None = None
        self._registry_faults = RegistryFaults(self.fleet, events)
        self._listeners: list[Listener] = []
        self._config_keys: set[str] = set()
        #: A configuration has been received since ``_complete_listeners`` were last
        #: called.
        self._config_received = False
        self._config_listeners: list[Callable[[GatewayConfig], None]] = []
        self._complete_listeners: list[Callable[[], None]] = []
        self._revision_listeners: list[Callable[[], None]] = []
        self._listed_listeners: list[Callable[[str], None]] = []
        self._store_access_listeners: list[Callable[[], None]] = []
        #: The key-value service doesn't answer this process.
        self.lacks_store = False

    def on_document(self, listener: Listener) -> None:
        """Call ``listener`` for each document whose content is new.

        Each backend server rewrites its registration about once a second. If every
        process forwarded those writes to every other, they would be most of the work of
        an idle fleet.
        """
        self._listeners.append(listener)

    def on_complete(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when all documents up to a newly received configuration
        have arrived. Other revisions are reported with the next message."""
        self._complete_listeners.append(listener)

    def on_revision(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when all documents up to any higher revision have
        arrived."""
        self._revision_listeners.append(listener)

    def on_listed(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the prefix when removals before some revision have
        become unknown, as a list was applied."""
        self._listed_listeners.append(listener)

    def on_store_access(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever :attr:`lacks_store` changes."""
        self._store_access_listeners.append(listener)

    def set_lacks_store(self, lacks_store: bool) -> None:
        """Set whether the key-value service doesn't answer this process."""
        if lacks_store == self.lacks_store:
            return
        self.lacks_store = lacks_store
        for listener in self._store_access_listeners:
            listener()

    def is_configuration(self, key: str) -> bool:
        """Whether a configuration has been received under the key."""
        return key in self._config_keys

    def on_config(self, listener: Callable[[GatewayConfig], None]) -> None:
        """Call ``listener`` for each configuration that comes into force."""
        self._config_listeners.append(listener)
        if self.config is not None:
            listener(self.config)

    def store_failed(self, sent_at: TimeReading) -> None:
        """Record that a call of the key-value service, sent at ``sent_at``, failed."""
        self._store_continuity.failed()
        self._failed_call_sent_at = sent_at.running_time

    def store_answered(self) -> None:
        """Record that the key-value service answered this process."""
        now = self._clock()
        if self._ends_outage(now, 0.0):
            # The service may have come back just after the last call that failed was
            # sent, so ``contact_s`` counts from there.
            failed_s = self._running_time(now) - self._failed_call_sent_at
            settled_at = now + self._bounds().contact_s - failed_s
            self.fleet.store_returned(min(now, settled_at - EXPIRY_GRACE_S))

    def store_answered_peer(self, age_s: float) -> None:
        """Record that a peer knows of an answer of the key-value service ``age_s``
        seconds ago."""
        now = self._clock()
        if self._ends_outage(now, age_s):
            self.fleet.store_returned(now - age_s)

    def _ends_outage(self, now: float, age_s: float) -> bool:
        """Record an answer of the key-value service; returns whether it ends an outage
        in which registrations may have expired."""
        min_outage_s = MIN_EXPIRY_HEARTBEATS * self._bounds().heartbeat_s
        running_now = self._running_time(now)
        return self._store_continuity.confirm(now, running_now, age_s, min_outage_s)

    def store_age_s(self) -> float | None:
        """How long ago the key-value service last answered this process or, as far as
        known, any other. Seconds; None if no answer is known."""
        return self._store_continuity.age_s(self._clock())

    def documents_age_s(self) -> float | None:
        """The time since documents up to a higher revision last arrived, in seconds;
        None before the first. Backend servers rewrite their registrations about once a
        second, so more than that shows a delay on the way."""
        if self._advanced_at is None:
            return None
        return self._clock() - self._advanced_at

    def documents(self) -> list[Changed]:
        """All documents held, including recent removals."""
        return self.table.documents()

    def apply_document(
        self, change: Changed, source: str, from_peer: bool = False
    ) -> bool:
        """Apply a document unless it is outdated, and return whether it was applied."""
        record = change.record
        if not self._registry_faults.can_forward(record, source):
            return False
        if not self.table.is_news(change):
            return False
        self.table.put(change)
        if change.deleted:
            self._on_removed(record, source)
            is_new = True
        else:
            is_new = self._on_written(record, source, from_peer)
        if is_new:
            for listener in self._listeners:
                listener(change)
        return True

    def log_forwarded(self, record: Record, peer: str, peer_has: int | None) -> None:
        """Log that a configuration is forwarded to a peer; other documents are too
        small to be logged."""
        if self.is_configuration(record.key):
            size = len(record.value)
            line = lines.ConfigPassedOn(record.mod_revision, size, peer, peer_has)
            self._events.emit(line)

    def apply_listing(self, prefix: str, found: Found, source: str) -> None:
        """Apply all documents under a prefix; those that aren't listed are removed."""
        for record in found.records:
            self.apply_document(Changed(record), source)
        keys = [record.key for record in found.records]
        self.apply_key_list(KeyList(prefix, found.revision, keys), source)
        before = dict(self.table.removals_since)
        self.table.listed(prefix, found.revision)
        self.mark_complete({prefix: found.revision})
        self._notify_listed(before)

    def peer_complete(
        self,
        complete: Mapping[str, int],
        removals_since: Mapping[str, int],
        key_lists: Mapping[str, int],
    ) -> None:
        """Record that a peer that is complete up to these revisions has sent all its
        documents; see :meth:`DocumentTable.accept_from_peer`."""
        before = dict(self.table.removals_since)
        accepted = self.table.accept_from_peer(complete, removals_since, key_lists)
        self.mark_complete(accepted)
        self._notify_listed(before)

    def _notify_listed(self, before: Mapping[str, int]) -> None:
        for prefix, revision in self.table.removals_since.items():
            if revision != before.get(prefix):
                for listener in self._listed_listeners:
                    listener(prefix)

    def apply_key_list(self, listed: KeyList, source: str) -> None:
        """Remove the documents that aren't in a list of all keys under a prefix."""
        for removal in self.table.removed_by(listed):
            self.apply_document(removal, source)

    def mark_complete(self, complete: Mapping[str, int]) -> None:
        """Record that all documents up to these revisions have been applied. Each
        revision belongs to a prefix of keys or to one key."""
        if not self.table.advance(complete):
            return
        self._advanced_at = self._clock()
        self.completeness_version += 1
        for listener in self._revision_listeners:
            listener()
        if not self._config_received:
            return
        self._config_received = False
        for listener in self._complete_listeners:
            listener()

    def _on_removed(self, record: Record, source: str) -> None:
        self._registry_faults.mark_readable(record.key)
        instance = self._directory.instance_of(record.key)
        if instance is None:
            return
        held = self.fleet.get(instance)
        was_leaving = held.registration.leaving if held is not None else None
        now = self._clock()
        self.fleet.registry_removed(now, instance)
        kept = self.fleet.get(instance) is not None
        line = lines.BackendRemoved(
            instance,
            "removed",
            record.mod_revision,
            was_leaving,
            source,
            kept,
            round(self.fleet.grace_left_s(now) * 1000) if kept else None,
        )
        self._events.emit(line)
        self.changed.notify()

    def _on_written(self, record: Record, source: str, from_peer: bool) -> bool:
        """Apply a written document, and return whether it has to be forwarded."""
        config = self._directory.config(record)
        if config is not None:
            self._config_keys.add(record.key)
            self._config_received = True
            self._on_config(config, record, source)
            # Reported by key: a process that has it from a peer, not from the key-value
            # service, can't tell that it has all documents up to this revision, and
            # every peer would send the configuration to it.
            self.mark_complete({record.key: record.mod_revision})
            return True
        registration = self._directory.registration(record)
        if isinstance(registration, Unreadable):
            instance = self._directory.instance_of(record.key)
            self._registry_faults.mark_unreadable(
                record, instance, registration, source
            )
            self.changed.notify()
            return True
        if registration is None:
            return True
        self._registry_faults.mark_readable(record.key)
        return self._on_registration(registration, source, from_peer)

    def _on_config(
        self, config: GatewayConfig | Unreadable, record: Record, source: str
    ) -> None:
        if isinstance(config, Unreadable):
            # The previous configuration stays in force: without one no call is served.
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

    def _on_registration(
        self, registration: Registration, source: str, from_peer: bool
    ) -> bool:
        """Apply a registration, and return whether it has to be forwarded."""
        held = self.fleet.get(registration.instance)
        before = held.registration if held is not None else None
        usability_before = self._usability(registration.instance)
        is_applied = self.fleet.registry_changed(self._clock(), registration)
        if held is not None and held.replaced:
            self.log_restart(held, source)
        if not is_applied:
            # It belongs to an earlier start or is outdated. It isn't forwarded: a peer
            # that gets this registration less often than the service's readers do would
            # take it for the latest.
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
        is_new = differs or usability != usability_before
        if is_new:
            # Each backend server rewrites its registration about once a second. A write
            # without new content wakes no waiter and causes no new load plan.
            self.changed.notify()
        # A peer sends only the last of several changes. It may have the same content as
        # the one held here, although other processes have seen a removal in between.
        return is_new or from_peer

    def log_restart(self, before: Backend, source: str) -> None:
        """Log that a backend server has restarted; ``before`` is its state of the
        previous start."""
        current = self.fleet.get(before.instance)
        line = lines.BackendRestarted(
            before.instance,
            current.registration.started_ms,
            before.registration.started_ms,
            source,
            before.registration.leaving,
            current.registration.leaving,
        )
        self._events.emit(line)

    def _usability(self, instance: str) -> tuple[bool, bool] | None:
        """Whether a backend server's registration is readable and whether it is
        leaving; None if it isn't registered."""
        held = self.fleet.get(instance)
        return (held.readable, held.registration.leaving) if held is not None else None


def _differs(before: Registration, current: Registration, agent_reports: bool) -> bool:
    """Whether two registrations differ in more than their revision.

    Where the agent reports what its engine holds, the holdings in the registration are
    ignored: nothing uses them, and they change with each load.
    """
    ignored = {"revision": current.revision}
    if agent_reports:
        ignored["holdings"] = current.holdings
    return replace(before, **ignored) != current


class ChangeNotifier:
    """Wakes tasks that wait for a change of the fleet or the configuration."""

    def __init__(self) -> None:
        #: The number of changes so far.
        self.count = 0
        self._waiting: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self.count += 1
        waiting, self._waiting = self._waiting, set()
        for fut in waiting:
            if not fut.done():
                fut.set_result(None)

    async def wait(self, seconds: float) -> None:
        """Wait for a change, at most ``seconds``."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting.add(fut)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, seconds)):
                    await fut
        finally:
            self._waiting.discard(fut)


class StoreWatcher:
    """Keeps :class:`GatewayState` up to date from the key-value service, with one task
    for each prefix."""

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
        #: When the first call about a prefix failed, as long as none has succeeded
        #: since.
        self._lost_at: dict[str, float] = {}

    async def follow(
        self, prefix: str, is_needed: Callable[[], bool] = lambda: True
    ) -> None:
        """Read the prefix and watch its changes; never returns. Pauses while
        ``is_needed()`` is false."""
        pause = RETRY_S
        while True:
            if not is_needed():
                # Peers send all documents.
                self._gateway_state.set_lacks_store(False)
                await asyncio.sleep(IDLE_POLL_S)
                continue
            began = self._stall_check.now()
            found = await self._kv.get_prefix(prefix)
            if isinstance(found, Unavailable):
                if self._stall_check.was_stalled(began):
                    continue
                self._on_lost(prefix, found.detail, began)
                await asyncio.sleep(pause)
                pause = min(pause * 2, RETRY_MAX_S)
                continue
            self._on_regained(prefix)
            self._gateway_state.apply_listing(prefix, found, "store")
            listed_at = self._clock()
            await self._watch(prefix, found.revision + 1, is_needed)
            if self._clock() - listed_at >= RETRY_MAX_S:
                pause = RETRY_S
                continue
            # The service may accept lists and refuse watches.
            await asyncio.sleep(pause)
            pause = min(pause * 2, RETRY_MAX_S)

    async def _watch(
        self, prefix: str, revision: int, is_needed: Callable[[], bool]
    ) -> None:
        """Apply changes until the watch ends or isn't needed."""
        began = self._stall_check.now()
        async for batch in self._kv.watch(prefix, revision):
            if isinstance(batch, Unavailable):
                # A watch that is cut says nothing about the service, and neither does
                # one that timed out while this process stalled.
                if batch.timed_out and not self._stall_check.was_stalled(began):
                    self._on_lost(prefix, batch.detail, began)
                return
            self._gateway_state.store_answered()
            self._apply(prefix, batch)
            if not is_needed():
                return
            if batch:
                await asyncio.sleep(self._batch_delay())
            began = self._stall_check.now()

    def _apply(self, prefix: str, batch: Sequence[Changed]) -> None:
        if not batch:
            return
        for change in batch:
            self._gateway_state.apply_document(change, "store")
        # Several keys may change in one revision, so it is complete only here.
        revision = max(change.record.mod_revision for change in batch)
        self._gateway_state.mark_complete({prefix: revision})

    def _batch_delay(self) -> float:
        """The delay before the next read. It is short after the key-value service has
        come back: live backend servers would be dropped if their renewed registrations
        were read too late."""
        pause = BATCH_DELAY_FRACTION * self._bounds().leaving_s
        self._gateway_state.batch_delay_s = pause
        if self._gateway_state.fleet.grace_left_s(self._clock()):
            return min(pause, RECOVERY_BATCH_DELAY_S)
        return pause

    def _on_lost(self, prefix: str, detail: str, sent_at: TimeReading) -> None:
        self._gateway_state.store_failed(sent_at)
        self._gateway_state.set_lacks_store(True)
        if prefix not in self._lost_at:
            self._lost_at[prefix] = self._clock()
            self._events.emit(lines.DependencyLost("store", f"{prefix}: {detail}"))

    def _on_regained(self, prefix: str) -> None:
        self._gateway_state.store_answered()
        lost_at = self._lost_at.pop(prefix, None)
        if lost_at is None:
            return
        self._gateway_state.set_lacks_store(bool(self._lost_at))
        now = self._clock()
        away_ms = round((now - lost_at) * 1000)
        grace_ms = round(self._gateway_state.fleet.grace_left_s(now) * 1000)
        self._events.emit(lines.DependencyRegained("store", away_ms, grace_ms or None))
