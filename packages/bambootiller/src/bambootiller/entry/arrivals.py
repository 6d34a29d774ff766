"""From an HTTP request to a call that can be relayed, or to a refusal.

The checks go from cheap to dear: whether this process can serve at all, who calls, what
the headers say, the body, and last what the caller may reach.
"""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Callable
from dataclasses import dataclass, replace

import falcon.asgi

from bambootiller.entry import access, headers, servicepaths
from bambootiller.entry.border import ModelAsk
from bambootiller.entry.exchange import SCOPE_KEY, Exchange
from bambootiller.entry.headers import RequestName, Steering
from bambootiller.entry.intake import Intake
from bambootiller.entry.relay.calls import Call, ServiceAsk
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.types import Request, ServiceTarget, Target

#: When to come back to an entry that has just started. Milliseconds.
NOT_READY_RETRY_MS = 1000

ReadAsk = Callable[[bytes], ModelAsk | Refused]


@dataclass(frozen=True, slots=True)
class Arrival:
    """An authenticated request under way. ``deadline`` is on the loop's clock."""

    name: RequestName
    ref: access.Caller
    steering: Steering
    deadline: float
    exchange: Exchange


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that was refused before anything was sent to an agent."""

    name: RequestName
    customer: str
    refused: Refused


class Arrivals:
    """Takes requests in.

    Example::

        match arrivals.accept(req):
            case Arrival() as arrival:
                call = await arrivals.model_call(req, arrival, read_chat)
            case TurnedAway(name, customer, refused):
                ...
    """

    def __init__(
        self,
        callers: access.Callers,
        intake: Intake,
        max_body_bytes: int,
        is_ready: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._callers = callers
        self._intake = intake
        self._max_body_bytes = max_body_bytes
        self._is_ready = is_ready
        self._now = now

    def authenticate(self, req: falcon.asgi.Request) -> access.Caller | Refused:
        """Find the caller; while nobody is known yet, nobody is told to be unknown."""
        if not self._is_ready():
            detail = "this entry has no configuration yet"
            return Refused(Code.NOT_READY, Executed.NO, detail, NOT_READY_RETRY_MS)
        return access.authenticate(self._callers, req.get_header("authorization") or "")

    def accept(self, req: falcon.asgi.Request) -> Arrival | TurnedAway:
        """Authenticate a request and count it among those under way."""
        name = headers.request_name(req.get_header(headers.REQUEST_ID))
        if isinstance(name, Refused):
            return TurnedAway(headers.request_name(None), "", name)
        ref = self.authenticate(req)
        if isinstance(ref, Refused):
            return TurnedAway(name, "", ref)
        customer = ref.template.customer
        steering = headers.read_steering(req.headers)
        if isinstance(steering, Refused):
            return TurnedAway(name, customer, steering)
        ticket = self._intake.enter()
        if isinstance(ticket, Refused):
            return TurnedAway(name, customer, ticket)
        exchange: Exchange = req.scope[SCOPE_KEY]
        exchange.at_end(ticket.release)
        deadline = self._now() + _time_given(ref, steering)
        return Arrival(name, ref, steering, deadline, exchange)

    async def model_call(
        self, req: falcon.asgi.Request, arrival: Arrival, read: ReadAsk
    ) -> Call | Refused:
        """The call of a model that the request's body asks for."""
        body = await self._body(req, arrival)
        if isinstance(body, Refused):
            return body
        ask = read(body)
        if isinstance(ask, Refused):
            return ask
        target = access.find_model(arrival.ref, ask.name)
        if isinstance(target, Refused):
            return target
        request = replace(
            _request(arrival, target),
            prompt_tokens=ask.prompt_tokens,
            max_tokens=ask.max_tokens,
            prefix=ask.prefix,
        )
        return Call(request, ask)

    async def service_call(
        self, req: falcon.asgi.Request, arrival: Arrival
    ) -> Call | Refused:
        """The call of a plain service that the request's path asks for."""
        scope = req.scope
        raw = scope.get("raw_path") or req.path.encode()
        path = servicepaths.read_path(scope["path"], raw, scope["query_string"])
        if isinstance(path, Refused):
            return path
        policy = access.find_service(arrival.ref, path.service)
        if isinstance(policy, Refused):
            return policy
        claimed = servicepaths.may_not_repeat(policy, path.path)
        if claimed and not arrival.steering.idempotency_key:
            return servicepaths.key_required(path.path)
        body = await self._body(req, arrival)
        if isinstance(body, Refused):
            return body
        ask = ServiceAsk(
            service=path.service,
            method=req.method,
            path=path.forwarded,
            headers=tuple(headers.passed_on(_decoded(scope["headers"]))),
            body=body,
        )
        target = ServiceTarget(path.service, req.method, path.path)
        return Call(replace(_request(arrival, target), non_idempotent=claimed), ask)

    async def _body(
        self, req: falcon.asgi.Request, arrival: Arrival
    ) -> bytes | Refused:
        """The whole body, never more of it than is allowed."""
        limit = self._max_body_bytes
        if (req.content_length or 0) > limit:
            return _too_large(limit)
        parts, total = [], 0
        try:
            async with asyncio.timeout_at(arrival.deadline):
                async for part in req.stream:
                    total += len(part)
                    if total > limit:
                        return _too_large(limit)
                    parts.append(part)
        except TimeoutError:
            detail = f"{total} bytes of the body arrived before the deadline"
            return Refused(Code.DEADLINE_PASSED, Executed.NO, detail)
        if arrival.exchange.gone or total < (req.content_length or 0):
            # The stream ends in the same way when the caller breaks off. Passed on, the
            # part would be taken for the whole: half a submission, acknowledged.
            detail = f"the caller closed the connection after {total} bytes"
            return Refused(Code.CALLER_GONE, Executed.NO, detail)
        return b"".join(parts)


def _time_given(ref: access.Caller, steering: Steering) -> float:
    """The caller's time in seconds: what it asks for, within the template's ceiling."""
    template = ref.template
    asked = steering.timeout_ms or template.default_timeout_ms
    return min(asked, template.max_timeout_ms) / 1000.0


def _request(arrival: Arrival, target: Target) -> Request:
    ref = arrival.ref
    return Request(
        request_id=arrival.name.unique,
        customer=ref.template.customer,
        caller=ref.caller.name,
        target=target,
        deadline=arrival.deadline,
        priority=access.priority_of(ref, datetime.datetime.now(datetime.UTC)),
        standing=ref.caller.standing,
        batch=ref.caller.batch,
        idempotency_key=arrival.steering.idempotency_key,
    )


def _decoded(raw: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw]


def _too_large(limit: int) -> Refused:
    detail = f"the body is larger than {limit} bytes, the most allowed"
    return Refused(Code.BODY_TOO_LARGE, Executed.NO, detail, retry_after_ms=0)
