"""Stands in for thousands of members around one real process.

Only the few members that the process gossips with answer: they are the bounded set that
it chooses from the names, which anybody can compute. All others are told of and listed,
at an address where nobody listens.
"""

from __future__ import annotations

import asyncio
import random

import grpc

from bambootiller.peering import wire
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller_core import _peerset
from bambootiller_core.gossip import Message
from bambootiller_core.membership import PeerSetSizes, Statement, Status
from bambootiller_core.types import Member
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.harness import INSTANCE_LIST, Fleet

LOOPBACK = "127.0.0.1"
#: A port at which a connection is refused at once.
NOWHERE = f"{LOOPBACK}:9"
#: A digest of members that no process has.
UNLIKE = 1
#: The other members together probe a process about as often as it probes them.
ASKED_EVERY = 0.9


class _Peer(api.PeerServicer):
    """One member that answers: it tells of everybody to who asks for everything, and
    otherwise knows nothing new, and holds what the asker holds."""

    def __init__(self, instance: str, crowd: Crowd) -> None:
        self.instance = instance
        self._crowd = crowd

    async def Exchange(
        self, request: pb.ExchangeRequest, context: grpc.aio.ServicerContext
    ) -> pb.ExchangeReply:
        """Answer under this member's name.

        Until it has told of everybody, its digests differ from the asker's, which then
        asks for everything.
        """
        crowd, asked = self._crowd, request.deltas
        digest = asked.members_digest if crowd.has_told else UNLIKE
        statements = ()
        if request.full:
            statements, crowd.has_told = crowd.statements(), True
        message = Message(
            self.instance,
            statements=statements,
            members_digest=digest,
            documents_digest=asked.documents_digest,
        )
        return wire.reply_of(message, probe_ok=True)


class Crowd:
    """Members around one real process, by the name under which it runs."""

    def __init__(self, count: int, me: Member) -> None:
        found = {one.instance: one for one in map(state.member, range(count))}
        chosen = _peerset.choose(me, found.values(), PeerSetSizes())
        self.instance = me.instance
        self.has_told = False
        self._answering = [found[name] for name in chosen]
        self._members = found
        self._servers: list[grpc.aio.Server] = []
        self._asking: asyncio.Task | None = None

    async def start(self) -> None:
        """Let the members answer that the process will gossip with."""
        for name in self._members:
            self._members[name] = _at(self._members[name], NOWHERE)
        for one in self._answering:
            server = grpc.aio.server()
            api.add_PeerServicer_to_server(_Peer(one.instance, self), server)
            port = server.add_insecure_port(f"{LOOPBACK}:0")
            await server.start()
            self._servers.append(server)
            self._members[one.instance] = _at(one, f"{LOOPBACK}:{port}")

    async def stop(self) -> None:
        """End answering and asking."""
        if self._asking is not None:
            self._asking.cancel()
        for server in self._servers:
            await server.stop(0)

    def statements(self) -> tuple[Statement, ...]:
        """What is told of all members."""
        return tuple(Statement(one, Status.ALIVE) for one in self._members.values())

    def probe(self, address: str) -> None:
        """Begin to probe the process now and then, as its peers do."""
        self._asking = asyncio.create_task(self._ask(address))

    async def publish(self, fleet: Fleet, *, whole: bool) -> None:
        """Put the members on the fleet's instance list, beside the real processes: all
        of them, or just those that answer."""
        url = fleet.url(INSTANCE_LIST) + "/control/instances"
        named = self._members if whole else [one.instance for one in self._answering]
        rows = [_row(self._members[name]) for name in named]
        await fleet.publish()
        async with fleet._session.get(url) as response:
            real = await response.json()
        async with fleet._session.put(url, json=real + rows, params={"lag": "no"}) as r:
            r.raise_for_status()

    async def _ask(self, address: str) -> None:
        rng = random.Random(1)
        async with grpc.aio.insecure_channel(address) as channel:
            while self._answering:
                message = Message(rng.choice(self._answering).instance)
                await api.PeerStub(channel).Exchange(wire.request_of(message))
                await asyncio.sleep(ASKED_EVERY)


def _at(member: Member, address: str) -> Member:
    return Member(
        member.instance,
        member.role,
        member.zone,
        member.region,
        address,
        member.incarnation,
    )


def _row(member: Member) -> dict[str, object]:
    labels = {
        "instance": member.instance,
        "role": member.role.value,
        "zone": member.zone,
        "region": member.region,
        "state": "live",
    }
    return {"targets": [member.address], "labels": labels}
