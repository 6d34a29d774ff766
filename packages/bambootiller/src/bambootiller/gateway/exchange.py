"""The stream between two processes of the gateway.

An entry opens one to the agent beside each engine, and one to a few other entries. Both
sides send what has changed, and something at least every half second. A connection can
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
#: Fills a message to a peer with what this side has to say beside documents. The peer's
#: name is empty as long as it hasn't spoken.
Fill = Callable[[Update, str], None]
Received = Callable[[Update], None]


class Outgoing:
    """One side of a stream: gathers documents and figures, and beats."""

    def __init__(self, sender: str, knowledge: Knowledge, fill: Fill) -> None:
        self._sender = sender
        self._documents: dict[str, Changed] = {}
        self._fill = fill
        self.peer = ""
        self._wake = asyncio.Event()
        for change in knowledge.documents():
            self.document(change)

    def document(self, change: Changed) -> None:
        """Have a document sent."""
        self._documents[change.record.key] = change
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
        update = Update(sender=self._sender)
        for change in self._documents.values():
            record = change.record
            update.documents.add(
                key=record.key,
                revision=record.mod_revision,
                value=record.value,
                deleted=change.deleted,
            )
        self._documents.clear()
        self._fill(update, self.peer)
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

    async def keep_open(self, address: str, fill: Fill, received: Received) -> None:
        """Keep a stream to ``address`` open until cancelled."""
        pause = REOPEN_S
        try:
            while True:
                lived = await self._once(address, fill, received)
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
        outgoing = Outgoing(self._name, self._knowledge, fill)
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

    async def _once(self, address: str, fill: Fill, received: Received) -> bool:
        outgoing = Outgoing(self._name, self._knowledge, fill)
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
                outgoing.peer = update.sender
                self._take(update, received)
        except (grpc.aio.AioRpcError, grpc.RpcError, asyncio.CancelledError):
            return

    def _take(self, update: Update, received: Received) -> None:
        for document in update.documents:
            record = Record(document.key, document.value, document.revision)
            change = Changed(record, document.deleted)
            self._knowledge.learnt(change, update.sender)
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
