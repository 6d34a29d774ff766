"""Asking a few agents for the figures that a slot's placement is decided on.

A sample of fixed size is asked, chosen by rendezvous hashing of the model, so that the
cost of a placement doesn't grow with the fleet and a model tends to come back to the
backend servers that have cached its checkpoint.
"""

from __future__ import annotations

import asyncio

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller.rpc.channels import Channels
from bambootiller_core.placement import SurveyFigures
from bambootiller_core.types import Member, ModelKey, Tier

SURVEY_TIMEOUT = 1.0


async def survey(
    channels: Channels, key: ModelKey, agents: list[Member]
) -> list[SurveyFigures]:
    """The figures of those agents that answered in time."""
    answers = await asyncio.gather(*(_ask(channels, key, one) for one in agents))
    return [answer for answer in answers if answer is not None]


async def _ask(
    channels: Channels, key: ModelKey, agent: Member
) -> SurveyFigures | None:
    request = pb.SurveyRequest(customer=key.customer, model=key.model)
    stub = channels.backend(agent.address)
    try:
        reply = await stub.Survey(request, timeout=SURVEY_TIMEOUT)
    except grpc.aio.AioRpcError:
        return None
    return SurveyFigures(
        instance=agent.instance,
        zone=agent.zone,
        memory_total=reply.memory_total,
        memory_free=reply.memory_free,
        slots=reply.slots,
        slots_bytes=reply.slots_bytes,
        tier=Tier(reply.tier or Tier.REMOTE.value),
        leaving=reply.leaving,
    )
