"""Elects one agent as the allocator of quotas and of the limits that backend servers
report, and has it answer the entries' requests.

The allocator holds a key of the key-value service, bound to a lease that it renews. It
answers while the lease is valid by its own clock, which goes on while the instance is
suspended. An agent stands for election when an entry reports that it reaches no
allocator. Several agents may try at once; a transaction on the key decides.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from weakref import WeakKeyDictionary

from bambootiller.app import Application
from bambootiller.gateway import message_codec
from bambootiller.gateway.boot_clock import boot_now
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller_core.gateway import quota_record
from bambootiller_core.gateway.config import GatewayConfig
from bambootiller_core.gateway.log_lines import DocumentUnreadable, QuotaAllocator
from bambootiller_core.gateway.quota_allocator import QuotaAllocator as Allocator
from bambootiller_core.gateway.quota_limits import Limit, QuotaTolerance, limits_of
from bambootiller_core.gateway.quota_messages import QuotaAnswer
from bambootiller_core.gateway.quota_record import HOLDER_KEY, MEMBERS_KEY, Member
from bambootiller_core.gateway.reported_limits import shared_limits
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Granted,
    KeyValue,
    Put,
)

#: A lost allocator is replaced after this time. Seconds. It isn't shorter because the
#: key-value service is unavailable for several seconds more often than the allocator is
#: lost, and without a lease no advance on a quota is granted.
LEASE_TTL_S = 8.0
RENEW_INTERVAL_S = 1.5
#: The lease is treated as expired this much earlier than the service says. Seconds.
LEASE_MARGIN_S = 0.3
#: The longest that a planned stop waits for the key's release. Seconds.
RELEASE_TIMEOUT_S = 1.0
#: The delay before a call of the key-value service is repeated. Seconds.
RETRY_S = 0.4


class AllocatorElection:
    """One agent's part in the election, and the allocator's work while it is elected.

    ``send_now`` has a message sent to all peers soon; ``has_live_entry`` returns
    whether any entry has sent a message lately; ``server_limits`` holds the limits that
    backend servers report.

    Example::

        election = AllocatorElection(
            app, kv, events, tolerance, exchanger.send_now, has_live_entry, limits
        )
        election.configured(config)
        election.received(update, peer_stream)
    """

    def __init__(
        self,
        app: Application,
        kv: KeyValue,
        events: EventLog,
        tolerance: Callable[[], QuotaTolerance],
        send_now: Callable[[], None],
        has_live_entry: Callable[[], bool],
        server_limits: ServerLimits,
    ) -> None:
        self._server_limits = server_limits
        server_limits.on_change(self._update_limits)
        self._app = app
        self._kv = kv
        self._events = events
        self._tolerance = tolerance
        self._send_now = send_now
        self._has_live_entry = has_live_entry
        self._config: GatewayConfig | None = None
        self._limits: dict[str, Limit] = {}
        self._applied_tolerance = tolerance()
        self._allocator: Allocator | None = None
        self._valid_until = float("-inf")
        self._lease = 0
        self._members_revision = 0
        #: Whether the task that tries to become the allocator, or renews its lease, is
        #: running.
        self._is_running = False
        self._is_writing = False
        #: Whether the check for a key of the previous process has been started.
        self._earlier_key_checked = False
        self._answers: WeakKeyDictionary[PeerStream, QuotaAnswer] = WeakKeyDictionary()

    @property
    def term(self) -> int:
        """This agent's term as the allocator, 0 if it isn't the allocator."""
        if self._allocator is None or boot_now() >= self._valid_until:
            return 0
        return self._allocator.term

    def configured(self, config: GatewayConfig) -> None:
        """Apply the limits of a configuration that has come into force."""
        self._config, self._applied_tolerance = config, self._tolerance()
        self._update_limits()

    def _update_limits(self) -> None:
        customers = self._config.customers if self._config is not None else None
        self._limits = {
            **limits_of(customers, self._applied_tolerance),
            **shared_limits(self._server_limits.in_force()),
        }
        if self._limits and not self._earlier_key_checked:
            self._earlier_key_checked = True
            self._app.spawn("earlier allocator", self._release_earlier_key())
        if self._allocator is not None:
            self._allocator.configured(boot_now(), self._limits)

    def fill(self, update: Update, peer_stream: PeerStream) -> None:
        """Add the term, if the receiver hasn't been sent it yet, and the answer to the
        receiver's request."""
        term = self.term
        if peer_stream.last_sent.get("allocator", 0) != term:
            update.allocator_term = term
        peer_stream.last_sent["allocator"] = term
        answer = self._answers.pop(peer_stream, None)
        if answer is not None and answer.term == term:
            message_codec.set_quota_answer(update, answer)

    def received(self, update: Update, peer_stream: PeerStream) -> None:
        """Process an entry's message."""
        if update.lacks_allocator and not self._is_running and self._limits:
            self._is_running = True
            self._app.spawn("allocator of quotas", self._allocate())
        if not update.HasField("quota_ask") or not self.term:
            return
        if self._tolerance() != self._applied_tolerance and self._config is not None:
            # The platform's settings have changed.
            self.configured(self._config)
        ask = message_codec.quota_ask_of(update.quota_ask, peer_stream.peer)
        answer = self._allocator.answer(boot_now(), ask, self._limits)
        if answer is not None:
            self._answers[peer_stream] = answer
            peer_stream.send_now()
        if self._allocator.pending_record is not None and not self._is_writing:
            self._is_writing = True
            self._app.spawn("members of quotas", self._write_members())

    async def _release_earlier_key(self) -> None:
        """Remove the key if the previous process of this agent held it.

        That process is gone, and entries may not be connected to this one. Until its
        lease expired, the key would keep all other agents from being elected.
        """
        while not isinstance(found := await self._kv.get(HOLDER_KEY), Found):
            await asyncio.sleep(RETRY_S)
        for record in found.records:
            if record.value == self._app.instance.encode() and not self._is_running:
                held = Compare(HOLDER_KEY, record.mod_revision)
                await self._kv.transact([held], [Delete(HOLDER_KEY)])

    async def release(self) -> None:
        """Release the key, so that another agent is elected at once."""
        term = self.term
        self._step_down("stopped")
        if not term:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                delete = Delete(HOLDER_KEY)
                await self._kv.transact([Compare(HOLDER_KEY, term)], [delete])

    async def _allocate(self) -> None:
        try:
            if await self._acquire():
                await self._renew()
            else:
                await asyncio.sleep(RETRY_S)
        finally:
            self._is_running = False

    async def _acquire(self) -> bool:
        """Acquire the key if it is free or held by an earlier process of this agent."""
        found = await self._kv.get(HOLDER_KEY)
        if not isinstance(found, Found):
            return False
        held = found.records[0] if found.records else None
        own = self._app.instance.encode()
        if held is not None and held.value != own:
            return False
        asked_at = boot_now()
        granted = await self._kv.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, Granted):
            return False
        revision = held.mod_revision if held is not None else 0
        put = Put(HOLDER_KEY, own, granted.lease)
        written = await self._kv.transact([Compare(HOLDER_KEY, revision)], [put])
        if not isinstance(written, Committed):
            return False
        members = await self._read_members()
        if members is None:
            return False
        self._lease = granted.lease
        self._valid_until = asked_at + granted.ttl_s - LEASE_MARGIN_S
        now = boot_now()
        self._allocator = Allocator(written.revision, now, members)
        self._allocator.configured(now, self._limits)
        line = QuotaAllocator(True, written.revision, "key taken", len(members))
        self._events.emit(line)
        self._send_now()
        return True

    async def _read_members(self) -> dict[str, Member] | None:
        found = await self._kv.get(MEMBERS_KEY)
        if not isinstance(found, Found):
            return None
        if not found.records:
            self._members_revision = 0
            return {}
        record = found.records[0]
        self._members_revision = record.mod_revision
        try:
            return quota_record.decode(record.value)
        except quota_record.UnreadableRecord as exc:
            line = DocumentUnreadable(record.key, record.mod_revision, str(exc))
            self._events.emit(line)
            return {"unreadable": Member("", dict.fromkeys(self._limits, 1.0))}

    async def _renew(self) -> None:
        """Renew the lease until it expires or this agent should not hold it."""
        while self.term:
            await asyncio.sleep(RENEW_INTERVAL_S)
            if not self._limits or not self._has_live_entry():
                # Entries connect only to agents of listed engines. If this agent's
                # engine is gone, another agent has to take over.
                await self.release()
                return
            asked_at = boot_now()
            renewed = await self._kv.keep_lease(self._lease)
            if isinstance(renewed, Granted) and self.term:
                self._valid_until = asked_at + renewed.ttl_s - LEASE_MARGIN_S
        self._step_down("lease not renewed")

    def _step_down(self, reason: str) -> None:
        if self._allocator is None:
            return
        self._events.emit(QuotaAllocator(False, self._allocator.term, reason))
        self._allocator = None
        self._answers.clear()
        self._send_now()

    async def _write_members(self) -> None:
        try:
            while self.term and self._allocator.pending_record is not None:
                wanted = self._allocator.pending_record
                if not await self._write(self._allocator, wanted):
                    await asyncio.sleep(RETRY_S)
        finally:
            self._is_writing = False

    async def _write(self, allocator: Allocator, wanted: dict[str, Member]) -> bool:
        compares = [
            Compare(HOLDER_KEY, allocator.term),
            Compare(MEMBERS_KEY, self._members_revision),
        ]
        put = Put(MEMBERS_KEY, quota_record.encode(wanted))
        written = await self._kv.transact(compares, [put])
        if isinstance(written, Committed):
            self._members_revision = written.revision
            allocator.record_written(wanted)
            return True
        if isinstance(written, Conflict):
            held = {record.key: record for record in written.records}
            holder = held.get(HOLDER_KEY)
            if holder is None or holder.mod_revision != allocator.term:
                self._step_down("key lost")
                return False
            # An earlier write of this allocator took effect, but its answer was lost.
            members = held.get(MEMBERS_KEY)
            self._members_revision = members.mod_revision if members else 0
        return False
