"""The ``Peer`` service that every process offers."""

from __future__ import annotations

import hashlib
import hmac
import json
from dataclasses import asdict
from typing import TYPE_CHECKING

import grpc

from bambootiller.peering import wire
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api

if TYPE_CHECKING:
    from bambootiller.peers import PeerNode

AUTHORIZATION = "authorization"
BEARER = "Bearer "
#: Leaves the asking process time to hear the result before its own time is over.
INDIRECT_SHARE = 0.45


class PeerServicer(api.PeerServicer):
    """Answers gossip from other processes, and questions from operators."""

    def __init__(self, node: PeerNode) -> None:
        self._node = node

    async def Exchange(
        self, request: pb.ExchangeRequest, context: grpc.aio.ServicerContext
    ) -> pb.ExchangeReply:
        """One gossip message, and possibly a probe on the sender's behalf."""
        node = self._node
        if not node.started:
            # Its own statement isn't ready, so it can't tell who it is.
            await context.abort(grpc.StatusCode.UNAVAILABLE, "starting")
        node.traffic.received(request)
        message = wire.from_request(request)
        handled = node.gossip.on_request(node.app.now(), message)
        node.calls.carry_out(handled.effects)
        reached = False
        if message.probe_target:
            reached = await self._probe(message.probe_target, message.probe_address)
        reply = wire.reply_of(handled.reply, reached)
        node.traffic.sent(reply)
        return reply

    async def Fetch(
        self, request: pb.FetchRequest, context: grpc.aio.ServicerContext
    ) -> pb.FetchReply:
        """Documents by key, or all of them."""
        node = self._node
        node.traffic.received(request)
        found = node.gossip.on_fetch(tuple(request.keys), request.all)
        reply = pb.FetchReply(documents=[wire.document_of(doc) for doc in found])
        node.traffic.sent(reply)
        return reply

    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusReply:
        """What this process has in force."""
        await self._check_operator(context)
        app = self._node.app
        membership = self._node.gossip.membership
        return pb.StatusReply(
            instance=app.instance,
            role=app.role.value,
            zone=app.settings.zone,
            leaving=self._node.leaving or app.leaving,
            template_versions=app.catalogue.template_versions(),
            revision=self._node.gossip.documents.revision,
            members_alive=membership.alive_count(),
            members_known=len(membership.members()),
            detail_json=json.dumps(self._node.detail()),
        )

    async def Inspect(
        self, request: pb.InspectRequest, context: grpc.aio.ServicerContext
    ) -> pb.InspectReply:
        """The decisions that are kept about a subject."""
        await self._check_operator(context)
        app = self._node.app
        found = [asdict(one) for one in app.decisions.about(request.subject)]
        # Seconds since the decision: the clock that it was noted on means nothing to
        # another process.
        for one in found:
            one["age_s"] = round(app.now() - one.pop("at"), 3)
        return pb.InspectReply(instance=app.instance, decisions_json=json.dumps(found))

    async def _probe(self, instance: str, address: str) -> bool:
        node = self._node
        message = node.gossip.ping(instance)
        timeout = 2 * node.gossip.membership.cfg.probe_timeout * INDIRECT_SHARE
        return await node.calls.ping(instance, address, message, timeout)

    async def _check_operator(self, context: grpc.aio.ServicerContext) -> None:
        """Refuse a caller without an operator's key, if keys are set."""
        allowed = self._node.app.settings.operator_keys
        if not allowed:
            return
        metadata = dict(context.invocation_metadata() or ())
        given = str(metadata.get(AUTHORIZATION, "")).removeprefix(BEARER)
        digest = hashlib.sha256(given.encode()).hexdigest()
        matches = [hmac.compare_digest(digest, key.lower()) for key in allowed]
        if not any(matches):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED, "no operator's key was given"
            )
