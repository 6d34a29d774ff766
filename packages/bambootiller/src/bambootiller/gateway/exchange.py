"""The stream between two processes of the gateway.

An entry opens one to the agent beside each engine, and one to a few other entries. Both
sides send what has changed and what the other lacks, and something at least every half
second. A connection can
go silent without an error; so a stream that hasn't brought anything for a while is
given up, and opened anew.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import grpc

from bambootiller.gateway.eventlog import EventLog
from bambootiller.gateway.knowledge import Knowledge
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.rpc.channels import Channels
from bambootiller_core.gateway.log_lines import PeerHeard, PeerSilent
from bambootiller_core.gateway.relaying import ForPeer
from bambootiller_core.ports import Changed, Record

#: The longest silence of a side that is well. Seconds.
HEARTBEAT_S = 0.4
#: A stream that has been silent for so long is given up. Seconds.
SILENT_S = 1.5
#: The pause before a stream is opened anew; doubled up to the longest. Seconds.
REOPEN_S = 0.2
REOPEN_MAX_S = 1.0
#: Changes closer together than this travel in one message. Seconds.
GATHER_S = 0.003

Update = pb.ResidencyUpdate
#: Fills a message to a peer with what this side has to say beside documents.
Fill = Callable[[Update, "Outgoing"], None]
Received = Callable[[Update], None]


class Outgoing:
    """One side of a stream: gathers documents and figures, and beats.

    ``peer`` is the other side's name, empty as long as it hasn't spoken. ``told`` is
    for :data:`Fill`, to remember what needn't be said again.
    """

    def __init__(
        self, sender: str, knowledge: Knowledge, fill: Fill, at_once: Callable[[], bool]
    ) -> None:
        self._sender = sender
        self._knowledge = knowledge
        self._documents = ForPeer()
        self._fill = fill
        self._at_once = at_once
        self.peer = ""
        self.told: dict[str, object] = {}
        self._wake = asyncio.Event()
        now = asyncio.get_running_loop().time()
        for change in knowledge.documents():
            self._documents.add(now, change, at_once=True)

    def document(self, change: Changed) -> None:
        """The other side may lack a document."""
        at_once = self._at_once()
        now = asyncio.get_running_loop().time()
        self._documents.add(now, change, at_once)
        if at_once:
            self._wake.set()

    def heard(self, update: Update) -> None:
        """The other side has spoken."""
        first = not self.peer
        self.peer = update.sender
        self._documents.peer_has(dict(update.complete))
        if first and not self._documents.is_empty:
            self._wake.set()

    def poke(self) -> None:
        """Have the figures sent soon."""
        self._wake.set()

    async def updates(self) -> AsyncIterator[Update]:
        """The messages, for as long as the stream lives."""
        while True:
            yield self._next()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._wake.wait()
            if self._wake.is_set():
                await asyncio.sleep(GATHER_S)
            self._wake.clear()

    def _next(self) -> Update:
        complete = dict(self._knowledge.complete)
        update = Update(sender=self._sender, complete=complete)
        for change in self._documents.due(asyncio.get_running_loop().time()):
            record = change.record
            update.documents.add(
                key=record.key,
                revision=record.mod_revision,
                value=record.value,
                deleted=change.deleted,
            )
        update.whole = self._documents.is_empty
        self._fill(update, self)
        return update


class Exchanger:
    """All streams of one process, in both directions."""

    def __init__(
        self, name: str, knowledge: Knowledge, events: EventLog, channels: Channels
    ) -> None:
        self._name = name
        self._knowledge = knowledge
        self._events = events
        self._channels = channels
        self._outgoing: set[Outgoing] = set()
        self._kept: dict[str, Outgoing] = {}
        knowledge.on_document(self._document)

    def poke(self) -> None:
        """Figures have changed; tell all peers soon."""
        for outgoing in self._outgoing:
            outgoing.poke()

    def poke_at(self, address: str) -> None:
        """There is something to tell the peer at ``address`` soon."""
        outgoing = self._kept.get(address)
        if outgoing is not None:
            outgoing.poke()

    async def keep_open(
        self,
        address: str,
        fill: Fill,
        received: Received,
        at_once: Callable[[], bool] = lambda: False,
    ) -> None:
        """Keep a stream to ``address`` open until cancelled; ``at_once`` tells whether
        the peer is told of documents without giving it time to learn by itself."""
        pause = REOPEN_S
        try:
            while True:
                lived = await self._once(address, fill, received, at_once)
                if lived:
                    self._events.emit(PeerSilent(address))
                pause = REOPEN_S if lived else min(pause * 2, REOPEN_MAX_S)
                await asyncio.sleep(pause)
        finally:
            await self._channels.drop(address)

    async def serve(
        self, requests: AsyncIterator[Update], fill: Fill, received: Received
    ) -> AsyncIterator[Update]:
        """The answers to a stream that a peer has opened."""
        outgoing = Outgoing(self._name, self._knowledge, fill, lambda: False)
        self._outgoing.add(outgoing)
        reader = asyncio.create_task(self._read(requests, received, outgoing))
        try:
            async for update in outgoing.updates():
                if reader.done():
                    return
                yield update
        finally:
            reader.cancel()
            self._outgoing.discard(outgoing)

    async def _once(
        self,
        address: str,
        fill: Fill,
        received: Received,
        at_once: Callable[[], bool],
    ) -> bool:
        outgoing = Outgoing(self._name, self._knowledge, fill, at_once)
        self._outgoing.add(outgoing)
        self._kept[address] = outgoing
        call = self._channels.residency(address).Exchange(outgoing.updates())
        heard = False
        try:
            while True:
                async with asyncio.timeout(SILENT_S):
                    update = await call.read()
                if update is grpc.aio.EOF:
                    return heard
                if not heard:
                    heard = True
                    self._events.emit(PeerHeard(address))
                outgoing.heard(update)
                self._take(update, received)
        except (grpc.aio.AioRpcError, TimeoutError):
            return heard
        finally:
            self._outgoing.discard(outgoing)
            self._kept.pop(address, None)
            call.cancel()

    async def _read(
        self,
        requests: AsyncIterator[Update],
        received: Received,
        outgoing: Outgoing,
    ) -> None:
        try:
            async for update in requests:
                outgoing.heard(update)
                self._take(update, received)
        except (grpc.aio.AioRpcError, grpc.RpcError, asyncio.CancelledError):
            return

    def _take(self, update: Update, received: Received) -> None:
        for document in update.documents:
            record = Record(document.key, document.value, document.revision)
            change = Changed(record, document.deleted)
            self._knowledge.learnt(change, update.sender)
        if update.whole:
            self._knowledge.has_all(update.complete)
        received(update)

    def _document(self, change: Changed) -> None:
        for outgoing in self._outgoing:
            outgoing.document(change)


class ResidencyServicer(api.ResidencyServicer):
    """Serves the streams that peers open to this process."""

    def __init__(self, exchanger: Exchanger, fill: Fill, received: Received) -> None:
        self._exchanger = exchanger
        self._fill = fill
        self._received = received

    async def Exchange(self, request_iterator, context):
        """One stream."""
        async for update in self._exchanger.serve(
            request_iterator, self._fill, self._received
        ):
            yield update
