"""Carrying out the gossip's effects as RPCs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import grpc

from bambootiller.peering import wire
from bambootiller.peering.traffic import Traffic
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gossip import FetchFrom, Gossip, Message, Send
from bambootiller_core.types import Member, Role

if TYPE_CHECKING:
    from bambootiller.app import Application


class PeerCalls:
    """Sends messages and fetches documents; each result goes back to the gossip.

    Each call is a task of its own, so that a peer that doesn't answer delays nobody.
    """

    def __init__(self, app: Application, gossip: Gossip, traffic: Traffic) -> None:
        self._app = app
        self._gossip = gossip
        self._traffic = traffic
        self._open: Counter[str] = Counter()
        self._closed = False

    def carry_out(self, effects: Iterable[Send | FetchFrom]) -> None:
        """Start a task for each effect."""
        if self._closed:
            return
        for effect in effects:
            self._app.spawn("peer call", self._carry_out(effect))

    def close(self) -> None:
        """Start nothing more."""
        self._closed = True

    async def ping(
        self, instance: str, address: str, message: Message, timeout: float
    ) -> bool:
        """Probe ``instance`` for another process; what it tells counts here as well."""
        reply = await self._exchange(address, message, timeout)
        if reply is None:
            return False
        # No ticket of this process is behind it, so only its statements are taken over.
        now = self._app.now()
        self.carry_out(self._gossip.on_reply(now, 0, wire.from_reply(reply)))
        return reply.sender == instance

    async def _carry_out(self, effect: Send | FetchFrom) -> None:
        address = effect.to.address
        self._open[address] += 1
        try:
            if isinstance(effect, Send):
                await self._send(effect)
            else:
                await self._fetch(effect)
        finally:
            self._open[address] -= 1
            if not self._open[address]:
                del self._open[address]
        await self._let_go(effect.to)

    async def _send(self, effect: Send) -> None:
        reply = await self._exchange(effect.to.address, effect.message, effect.timeout)
        now = self._app.now()
        if reply is None:
            self.carry_out(self._gossip.on_failed(now, effect.ticket))
            return
        message = wire.from_reply(reply)
        self.carry_out(
            self._gossip.on_reply(now, effect.ticket, message, reply.probe_ok)
        )

    async def _exchange(
        self, address: str, message: Message, timeout: float
    ) -> pb.ExchangeReply | None:
        stub = self._app.channels.peer(address)
        return await self._call(stub.Exchange, wire.request_of(message), timeout)

    async def _fetch(self, effect: FetchFrom) -> None:
        stub = self._app.channels.peer(effect.to.address)
        request = pb.FetchRequest(keys=effect.keys)
        reply = await self._call(stub.Fetch, request, effect.timeout)
        now = self._app.now()
        if reply is None:
            self.carry_out(self._gossip.on_failed(now, effect.ticket))
            return
        found = [wire.from_document(form) for form in reply.documents]
        self.carry_out(self._gossip.on_fetched(now, effect.ticket, found))

    async def _call(
        self, method: Callable[..., Any], request: Any, timeout: float
    ) -> Any | None:
        """One RPC; None if it wasn't answered.

        What goes wrong: a channel is closed under a call, because its process is gone,
        and gRPC then ends the call as cancelled, or as a wrong use of the channel.
        Taken for a cancellation of this task, the call's ticket would never be settled.
        One notices that nobody has cancelled the task itself.
        """
        self._traffic.sent(request)
        try:
            reply = await method(request, timeout=timeout)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError):
            self._traffic.failed()
            return None
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            self._traffic.failed()
            return None
        self._traffic.received(reply)
        return reply

    async def _let_go(self, member: Member) -> None:
        """Close a channel that was only needed once.

        What goes wrong: comparisons and joins go to any member, so that after an hour a
        process would hold a channel to each member, and its memory would grow with the
        fleet. Peers of the bounded set keep theirs. So do agents at an entry, which
        routes requests over the same channels.
        """
        if member.address in self._open:
            return
        if self._app.role is Role.ENTRY and member.role is Role.AGENT:
            return
        kept = {peer.address for peer in self._gossip.membership.peers()}
        if member.address not in kept:
            await self._app.channels.drop(member.address)
