"""Peer streams: the bidirectional streams between two processes of the gateway.

An entry opens a stream to the agent beside each engine and to a few other entries. The
first message of each side holds its whole state; each later one holds what has changed
since or what the peer lacks. While nothing changes, both sides send empty messages as
heartbeats. A connection can go silent without an error, so the side that opened a
stream closes and reopens it if nothing has been received on it for
:data:`SILENCE_TIMEOUT_S`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import grpc

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.silence import RunningTimeSource, SilenceDetector
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.rpc.channels import Channels
from bambootiller_core.gateway.document_propagation import (
    AGENT_REPORT_GRACE_S,
    SELF_UPDATE_GRACE_S,
    STAGGER_S,
    PeerQueue,
    agent_rank,
    is_under,
)
from bambootiller_core.gateway.document_table import KeyList
from bambootiller_core.gateway.log_lines import (
    PeerHeard,
    PeerSilent,
    PeerStreamFailed,
)
from bambootiller_core.gateway.update_filter import UpdateFilter
from bambootiller_core.ports import Changed, Record

#: Heartbeat interval of the side that serves a stream, the longest silence of that side
#: while it is healthy; the peer closes the stream if it is silent for longer than
#: :data:`SILENCE_TIMEOUT_S`. A heartbeat may be late by 0.2 s before load figures count
#: as outdated (``fleet.FIGURES_TTL_S``), and by 0.7 s before an agent counts as silent
#: (``fleet.AGENT_TIMEOUT_S``). Seconds.
SERVER_HEARTBEAT_S = 0.8
#: Heartbeat interval of the side that opened a stream. It can be longer, as an agent
#: drops an entry only after 3 s (``agent_updates.ENTRY_TIMEOUT_S``). Seconds.
CLIENT_HEARTBEAT_S = 1.2
#: Minimum interval between messages that carry only changes that can wait, such as load
#: figures and revisions. It is long enough to batch them, and short enough that a peer
#: isn't sent a configuration that it has already
#: (``document_propagation.SELF_UPDATE_GRACE_S``). Seconds.
UPDATE_INTERVAL_S = 0.4
#: A stream on which nothing is received for this long is closed. Seconds.
SILENCE_TIMEOUT_S = 1.5
#: Delay before a stream is opened again, doubled after each failure up to the maximum.
#: Seconds.
REOPEN_DELAY_S = 0.2
MAX_REOPEN_DELAY_S = 1.0
#: The longest description of a failure in a log line, in characters.
MAX_DETAIL_CHARS = 200
#: A store that hasn't answered for longer than this is reported as if it had answered
#: so long ago. Milliseconds.
MAX_STORE_AGE_MS = 2**31
#: Changes within this time of each other are sent in one message. Seconds.
BATCH_DELAY_S = 0.003

Update = pb.ResidencyUpdate
#: Adds what this side has to report, apart from documents, to a message to a peer.
FillUpdate = Callable[[Update, "PeerStream"], None]
#: Handles a message that was received from a peer.
HandleUpdate = Callable[[Update, "PeerStream"], None]


class PeerStream:
    """One side of a stream: sends documents, reports and heartbeats.

    ``peer`` is the name of the other side, empty until its first message, and
    ``last_received_at`` the time of its last message. ``last_sent`` lets
    :data:`FillUpdate` remember what the peer has been sent, and ``report`` lets
    :data:`HandleUpdate` keep what the peer has reported and won't repeat; both end with
    the stream. ``to_entry`` is whether both sides are entries. Entries also send each
    other, with a short delay, the revisions up to which they are complete, as their
    heartbeats are too rare for the peer to learn in time which documents it needn't
    forward.
    """

    def __init__(
        self,
        sender: str,
        gateway_state: GatewayState,
        fill: FillUpdate,
        rank: Callable[[], int],
        heartbeat_s: float,
        to_entry: bool = False,
    ) -> None:
        self._sender = sender
        self.to_entry = to_entry
        self._gateway_state = gateway_state
        self._documents = PeerQueue()
        self._fill = fill
        self._rank = rank
        self._heartbeat_s = heartbeat_s
        self.peer = ""
        self.last_received_at = float("-inf")
        self.last_sent: dict[str, object] = {}
        self.report: object = None
        #: The revision since which the peer holds all removals, by prefix.
        self.removals_since: dict[str, int] = {}
        #: The revisions of the lists of keys received from the peer, by prefix.
        self.key_lists: dict[str, int] = {}
        #: Whether the peer retains what isn't sent again. A peer of an earlier version
        #: treats what isn't repeated as removed.
        self._peer_retains_state = False
        self._peer_lacks_store = False
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        self._batching = False
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = float("-inf")
        now = self._loop.time()
        for change in gateway_state.documents():
            self._documents.add(now, change, rank=0)

    def key_list(self, prefix: str) -> None:
        """Queues the list of keys under a prefix, which the peer may lack."""
        # Later than documents also at rank 0: most peers get the removals themselves or
        # from a process that has them all.
        delay_s = self._registry_grace_s() + self._rank() * STAGGER_S
        revision = self._gateway_state.table.removals_since[prefix]
        self._documents.add_key_list(self._loop.time() + delay_s, prefix, revision)
        self._schedule_wakeup()

    def _registry_grace_s(self) -> float:
        return self._gateway_state.batch_delay_s + AGENT_REPORT_GRACE_S

    def document(self, change: Changed) -> None:
        """Queues a document that the peer may lack."""
        rank = self._rank()
        self_update_grace_s = SELF_UPDATE_GRACE_S
        if not self._gateway_state.is_configuration(change.record.key):
            self_update_grace_s = (
                0.0 if self._peer_lacks_store else self._registry_grace_s()
            )
        self._documents.add(self._loop.time(), change, rank, self_update_grace_s)
        if rank:
            self._schedule_wakeup()
        else:
            self.send_now()

    def received_message(self, update: Update) -> None:
        """Records that a message was received from the peer."""
        first = not self.peer
        self.peer = update.sender or self.peer
        self.last_received_at = self._loop.time()
        self._peer_retains_state = self._peer_retains_state or update.begins
        self.removals_since.update(update.removals_since)
        self._record_store_access(update.lacks_store)
        if first or update.complete:
            self._documents.peer_has(dict(update.complete))
            self.send_later()
        if first:
            for prefix in self._gateway_state.table.removals_since:
                self.key_list(prefix)
        if first and not self._documents.is_empty:
            self.send_now()

    def _record_store_access(self, peer_lacks_store: bool) -> None:
        """Record whether the store answers the peer. If it doesn't, the peer needs
        registrations at once. A configuration may be large, so it isn't sent by all
        peers together even then."""
        begins = peer_lacks_store and not self._peer_lacks_store
        self._peer_lacks_store = peer_lacks_store
        if begins:
            self._documents.skip_grace(
                lambda key: not self._gateway_state.is_configuration(key)
            )
            self._schedule_wakeup()

    def update_filter(self, what: str, version: int, own: bool) -> UpdateFilter | None:
        """Selects the changes of ``what`` that the peer hasn't been sent; None if it
        has been sent ``version``. Records ``version`` as sent. ``own`` leaves out
        changes that other processes reported, unless the peer hasn't been sent anything
        yet."""
        last_sent = self.last_sent.get(what)
        if last_sent == version:
            return None
        self.last_sent[what] = version
        known = last_sent is not None
        return UpdateFilter(last_sent if known else 0, own and known, self.peer)

    def send_now(self) -> None:
        """Sends a message at once, with whatever else changes within
        :data:`BATCH_DELAY_S`."""
        self._batching = True
        self._wake.set()

    def send_later(self) -> None:
        """Sends a message as soon as :data:`UPDATE_INTERVAL_S` has passed since the
        last."""
        self._wake_at(self._sent_at + UPDATE_INTERVAL_S)

    async def updates(self) -> AsyncIterator[Update]:
        """Yields the messages to send for as long as the stream is open."""
        try:
            while True:
                update = self._next_update()
                self._sent_at = self._loop.time()
                self._cancel_timer()
                self._schedule_wakeup()
                yield update
                await self._wake.wait()
                if self._batching:
                    await asyncio.sleep(BATCH_DELAY_S)
                self._batching = False
                self._wake.clear()
        finally:
            self._cancel_timer()

    def _schedule_wakeup(self) -> None:
        """Schedules a wake-up for the next document that is due or the next
        heartbeat."""
        due = self._documents.next_due()
        heartbeat = self._sent_at + self._heartbeat_s
        self._wake_at(heartbeat if due is None else min(due, heartbeat))

    def _wake_at(self, when: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= when:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(when, self._wake.set)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _next_update(self) -> Update:
        update = Update()
        if not self._peer_retains_state:
            self.last_sent.clear()
        if not self.last_sent:
            update.sender, update.begins = self._sender, True
        self._fill_key_lists(update)
        for change in self._documents.due(self._loop.time()):
            record = change.record
            peer_has = self._documents.peer_revision(record.key)
            self._gateway_state.log_forwarded(record, self.peer, peer_has)
            update.documents.add(
                key=record.key,
                revision=record.mod_revision,
                value=record.value,
                deleted=change.deleted,
            )
        self._fill_completeness(update)
        store_age_s = self._gateway_state.store_age_s()
        if store_age_s is not None:
            update.store_age_ms = min(MAX_STORE_AGE_MS, round(store_age_s * 1000))
        update.lacks_store = self._gateway_state.lacks_store
        self._fill(update, self)
        return update

    def _fill_key_lists(self, update: Update) -> None:
        now = self._loop.time()
        table = self._gateway_state.table
        for prefix in self._documents.due_key_lists(now):
            listed = table.key_list(prefix)
            update.key_lists.add(
                prefix=prefix, revision=listed.revision, keys=listed.keys
            )
            # A document that was removed and written again with the same content was
            # no news here, but the peer may have seen the removal.
            for change in table.documents():
                if is_under(change.record.key, prefix):
                    self._documents.add(now, change, rank=0)

    def _fill_completeness(self, update: Update) -> None:
        table = self._gateway_state.table
        completeness = (
            self._gateway_state.completeness_version,
            self._documents.is_empty,
        )
        if self.last_sent.get("knows") != completeness:
            self.last_sent["knows"] = completeness
            update.complete.update(table.complete)
            update.whole = self._documents.is_empty
        if self.last_sent.get("removals_since") != table.removals_since:
            self.last_sent["removals_since"] = dict(table.removals_since)
            update.removals_since.update(table.removals_since)


class _WatchedPeer:
    """The other side of a stream, as a :class:`SilenceDetector` watches it.

    Silence cancels the call itself. A timeout around each read would need a timer for
    each message, and would expire in the same iteration of the event loop that reads
    the messages received while this process was stalled.
    """

    has_waiting_reader = True

    def __init__(
        self, call: grpc.aio.StreamStreamCall, running_time: RunningTimeSource
    ) -> None:
        self._call = call
        self.last_received_at = running_time()
        self.silent = False

    def signal_silence(self, seconds: float) -> None:
        """Cancels the call."""
        self.silent = True
        self._call.cancel()


class Exchanger:
    """Holds all streams of this process, both those that it opened and those that it
    serves."""

    def __init__(
        self,
        name: str,
        gateway_state: GatewayState,
        events: EventLog,
        channels: Channels,
        running_time: RunningTimeSource,
    ) -> None:
        self._name = name
        self._running_time = running_time
        self._gateway_state = gateway_state
        self._events = events
        self._channels = channels
        self._peer_streams: set[PeerStream] = set()
        self._by_address: dict[str, PeerStream] = {}
        gateway_state.on_document(self._queue_document)
        gateway_state.on_complete(self.send_later)
        gateway_state.on_revision(self._send_revisions_later)
        gateway_state.on_listed(self._queue_key_lists)
        gateway_state.on_store_access(self.send_now)

    def send_now(self) -> None:
        """Sends a message to all peers at once."""
        for peer_stream in self._peer_streams:
            peer_stream.send_now()

    def send_later(self) -> None:
        """Sends a message to all peers after :data:`UPDATE_INTERVAL_S`."""
        for peer_stream in self._peer_streams:
            peer_stream.send_later()

    def send_now_to(self, address: str) -> None:
        """Sends a message at once to the peer at ``address``, if a stream to it is
        open."""
        peer_stream = self._by_address.get(address)
        if peer_stream is not None:
            peer_stream.send_now()

    def stream_to(self, address: str) -> PeerStream | None:
        """Returns this side of the stream to ``address``; None if none is open."""
        return self._by_address.get(address)

    def is_open(self, peer_stream: PeerStream) -> bool:
        """Whether the stream is still open."""
        return peer_stream in self._peer_streams

    def streams(self) -> list[PeerStream]:
        """Returns this side of all open streams."""
        return list(self._peer_streams)

    async def keep_open(
        self,
        address: str,
        fill: FillUpdate,
        received: HandleUpdate,
        rank: Callable[[], int] = lambda: 1,
        to_entry: bool = False,
    ) -> None:
        """Keeps a stream to ``address`` open until cancelled. ``rank`` is the order in
        which this side forwards a document to the peer (:mod:`document_propagation`),
        ``to_entry`` whether both sides are entries."""
        delay_s = REOPEN_DELAY_S
        try:
            while True:
                was_responsive = await self._run_stream(
                    address, fill, received, rank, to_entry
                )
                if was_responsive:
                    self._events.emit(PeerSilent(address))
                delay_s = (
                    REOPEN_DELAY_S
                    if was_responsive
                    else min(delay_s * 2, MAX_REOPEN_DELAY_S)
                )
                await asyncio.sleep(delay_s)
        finally:
            await self._channels.drop(address)

    async def serve(
        self,
        requests: AsyncIterator[Update],
        fill: FillUpdate,
        received: HandleUpdate,
        to_entry: bool,
    ) -> AsyncIterator[Update]:
        """Serves a stream that a peer has opened, and yields the messages to it."""

        def rank() -> int:
            return 1 if to_entry else agent_rank(self._name, peer_stream.peer)

        peer_stream = PeerStream(
            self._name, self._gateway_state, fill, rank, SERVER_HEARTBEAT_S, to_entry
        )
        self._peer_streams.add(peer_stream)
        reader = asyncio.create_task(self._read(requests, received, peer_stream))
        try:
            async for update in self._updates(peer_stream):
                if reader.done():
                    return
                yield update
        finally:
            reader.cancel()
            self._peer_streams.discard(peer_stream)

    async def _run_stream(
        self,
        address: str,
        fill: FillUpdate,
        received: HandleUpdate,
        rank: Callable[[], int],
        to_entry: bool,
    ) -> bool:
        peer_stream = PeerStream(
            self._name, self._gateway_state, fill, rank, CLIENT_HEARTBEAT_S, to_entry
        )
        self._peer_streams.add(peer_stream)
        self._by_address[address] = peer_stream
        call = self._channels.residency(address).Exchange(self._updates(peer_stream))
        peer = _WatchedPeer(call, self._running_time)
        detector = SilenceDetector(peer, SILENCE_TIMEOUT_S, self._running_time)
        received_message = False
        try:
            while True:
                update = await call.read()
                if update is grpc.aio.EOF:
                    return received_message
                peer.last_received_at = self._running_time()
                if not received_message:
                    received_message = True
                    self._events.emit(PeerHeard(address))
                self._process(update, received, peer_stream)
        except grpc.aio.AioRpcError:
            return received_message
        except asyncio.CancelledError:
            # The call is cancelled by silence or by a message that couldn't be built,
            # after which the stream is opened again. Only a cancellation from outside
            # has to end this task.
            if asyncio.current_task().cancelling():
                raise
            return received_message
        finally:
            detector.stop()
            self._peer_streams.discard(peer_stream)
            self._by_address.pop(address, None)
            call.cancel()

    async def _read(
        self,
        requests: AsyncIterator[Update],
        received: HandleUpdate,
        peer_stream: PeerStream,
    ) -> None:
        try:
            async for update in requests:
                self._process(update, received, peer_stream)
        except (grpc.aio.AioRpcError, grpc.RpcError, asyncio.CancelledError):
            return
        except Exception as exc:
            self._log_failed(peer_stream, exc)

    async def _updates(self, peer_stream: PeerStream) -> AsyncIterator[Update]:
        """The messages to the peer. gRPC ends a stream whose messages can't be built
        without saying why."""
        try:
            async for update in peer_stream.updates():
                yield update
        except Exception as exc:
            self._log_failed(peer_stream, exc)
            raise

    def _log_failed(self, peer_stream: PeerStream, exc: Exception) -> None:
        detail = f"{type(exc).__name__}: {exc}"[:MAX_DETAIL_CHARS]
        self._events.emit(PeerStreamFailed(peer_stream.peer, detail))

    def _process(
        self, update: Update, received: HandleUpdate, peer_stream: PeerStream
    ) -> None:
        peer_stream.received_message(update)
        if update.HasField("store_age_ms"):
            # Before the documents: removals among them may be due to an outage.
            self._gateway_state.store_answered_peer(update.store_age_ms / 1000)
        for document in update.documents:
            record = Record(document.key, document.value, document.revision)
            change = Changed(record, document.deleted)
            self._gateway_state.apply_document(change, peer_stream.peer, from_peer=True)
        for key_list in update.key_lists:
            listed = KeyList(key_list.prefix, key_list.revision, key_list.keys)
            self._gateway_state.apply_key_list(listed, peer_stream.peer)
            peer_stream.key_lists[listed.prefix] = listed.revision
        if update.whole:
            self._gateway_state.peer_complete(
                update.complete, peer_stream.removals_since, peer_stream.key_lists
            )
        received(update, peer_stream)

    def _queue_document(self, change: Changed) -> None:
        for peer_stream in self._peer_streams:
            peer_stream.document(change)

    def _queue_key_lists(self, prefix: str) -> None:
        for peer_stream in self._peer_streams:
            if peer_stream.peer:
                peer_stream.key_list(prefix)

    def _send_revisions_later(self) -> None:
        for peer_stream in self._peer_streams:
            if peer_stream.to_entry:
                peer_stream.send_later()


class ResidencyServicer(api.ResidencyServicer):
    """Serves the streams that entries open to this process. ``to_entry`` is whether
    this process is an entry too."""

    def __init__(
        self,
        exchanger: Exchanger,
        fill: FillUpdate,
        received: HandleUpdate,
        to_entry: bool = False,
    ) -> None:
        self._exchanger = exchanger
        self._fill = fill
        self._received = received
        self._to_entry = to_entry

    async def Exchange(self, request_iterator, context):
        """Serves one stream."""
        async for update in self._exchanger.serve(
            request_iterator, self._fill, self._received, self._to_entry
        ):
            yield update
