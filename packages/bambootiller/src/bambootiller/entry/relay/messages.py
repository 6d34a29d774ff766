"""Between the relay's data classes and the messages on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller.entry.border import ModelAsk
from bambootiller.entry.relay.calls import Call, Head
from bambootiller.entry.relay.core import Attempt
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.types import LoadFigures

#: The agent gets this much less time than is left here, or a tenth if that is less. So
#: its own refusal, which says truthfully that a waiting request hasn't run, arrives
#: before this process would have to say "unknown". Seconds.
HOP_MARGIN_S = 0.05


@dataclass(frozen=True, slots=True)
class Revisions:
    """The revisions of the template and the slot table that were decided on."""

    template: int
    slots: int


def serve_request(
    call: Call, attempt: Attempt, revisions: Revisions, left: float
) -> pb.ServeRequest:
    """The message of one attempt; ``left`` is the caller's remaining time in s."""
    req = call.request
    message = pb.ServeRequest(
        request_id=req.request_id,
        attempt=attempt.number,
        customer=req.customer,
        caller=req.caller,
        priority=req.priority,
        standing=req.standing,
        batch=req.batch,
        timeout_ms=max(1, int((left - min(HOP_MARGIN_S, left / 10)) * 1000)),
        non_idempotent=req.non_idempotent,
        idempotency_key=req.idempotency_key,
        template_revision=revisions.template,
        slots_revision=revisions.slots,
    )
    if isinstance(call.ask, ModelAsk):
        _fill_model(message, call, attempt)
    else:
        _fill_service(message, call)
    return message


def read_load(load: pb.Load) -> LoadFigures:
    """The figures that came with a reply."""
    return LoadFigures(
        running=load.running,
        waiting=load.waiting,
        queue_ms=load.queue_ms,
        loaded=load.loaded,
        free_bytes=load.free_bytes,
    )


def read_refusal(refusal: pb.Refusal) -> Refused:
    """The refusal; words of a newer agent, unknown here, count as uncertain."""
    try:
        code = Code(refusal.code)
        executed = Executed(refusal.executed)
    except ValueError:
        said = f"{refusal.code!r}, executed {refusal.executed!r}"
        detail = f"the agent refused with {said}: {refusal.detail}"
        return Refused(
            Code.BACKEND_FAILED, Executed.UNKNOWN, detail, refusal.retry_after_ms
        )
    return Refused(code, executed, refusal.detail, refusal.retry_after_ms)


def read_head(head: pb.Head) -> Head:
    """The start of a service's answer."""
    headers = tuple((item.name.lower(), item.value) for item in head.headers)
    return Head(head.status, headers, head.replayed)


def _fill_model(message: pb.ServeRequest, call: Call, attempt: Attempt) -> None:
    ask, target = call.ask, call.request.target
    model = message.model
    model.model = target.model
    model.adapter = target.adapter
    model.api = ask.api
    model.body = ask.body
    model.prompt_tokens = ask.prompt_tokens
    model.max_tokens = ask.max_tokens
    model.prefix = ask.prefix
    model.continue_text = attempt.continue_text
    model.continue_tokens = attempt.continue_tokens


def _fill_service(message: pb.ServeRequest, call: Call) -> None:
    ask = call.ask
    service = message.service
    service.service = ask.service
    service.method = ask.method
    service.path = ask.path
    service.body = ask.body
    for name, value in ask.headers:
        service.headers.add(name=name, value=value)
