"""Between the agent's data classes and the messages on the wire."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bambootiller.agent.calls import Call, ModelBody, ServiceBody
from bambootiller.agent.pieces import Accepted, AnswerHead, Completed, Data, Piece, Text
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.outcomes import Refused
from bambootiller_core.types import (
    LoadFigures,
    ModelTarget,
    Request,
    ServiceTarget,
    Target,
)

MS = 0.001


def read_call(
    message: pb.ServeRequest, request_id: str, now: float, non_idempotent: bool
) -> Call:
    """The call in a message. The deadline is put on this process's own clock."""
    model = message.model
    req = Request(
        request_id=request_id,
        customer=message.customer,
        caller=message.caller,
        target=read_target(message),
        deadline=now + message.timeout_ms * MS,
        priority=message.priority,
        standing=message.standing,
        batch=message.batch,
        non_idempotent=non_idempotent,
        idempotency_key=message.idempotency_key,
        prompt_tokens=model.prompt_tokens,
        max_tokens=model.max_tokens,
        prefix=model.prefix,
    )
    return Call(message.request_id, req, _body(message))


def read_target(message: pb.ServeRequest) -> Target:
    """What a message asks for."""
    if message.WhichOneof("target") == "model":
        return ModelTarget(message.model.model, message.model.adapter)
    service = message.service
    return ServiceTarget(service.service, service.method, service.path)


def load(figures: LoadFigures) -> pb.Load:
    """Load figures for a reply."""
    return pb.Load(
        running=figures.running,
        waiting=figures.waiting,
        queue_ms=figures.queue_ms,
        loaded=figures.loaded,
        free_bytes=figures.free_bytes,
    )


def refusal(refused: Refused, figures: LoadFigures | None) -> pb.Refusal:
    """A refusal for the wire, with load figures if there are any."""
    return pb.Refusal(
        code=refused.code.value,
        executed=refused.executed.value,
        detail=refused.detail,
        retry_after_ms=refused.retry_after_ms,
        load=None if figures is None else load(figures),
    )


class EventWriter:
    """Numbers the events of one attempt and counts the chunks among them.

    Example::

        writer = EventWriter("r-1")
        writer.refused(refused, None)  # ServeEvent with sequence 0
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._sequence = 0
        self._chunks = 0

    def pieces(
        self, pieces: Iterable[Piece], figures: Callable[[], LoadFigures]
    ) -> Iterable[pb.ServeEvent]:
        """Events for pieces that arrived together; neighbours become one chunk.

        ``figures`` is called for the event of an admission alone: it costs a tenth of
        what a token takes, and no other event carries figures.
        """
        texts: list[Text] = []
        data: list[bytes] = []
        for piece in pieces:
            match piece:
                case Text():
                    texts.append(piece)
                case Data():
                    data.append(piece.data)
                case AnswerHead():
                    yield self._event(head=_head(piece))
                case Accepted():
                    yield self._event(admitted=_admitted(piece, figures()))
        if texts:
            text = "".join(item.text for item in texts)
            tokens = sum(item.tokens for item in texts)
            yield self._chunk(pb.Chunk(text=text, tokens=tokens))
        if data:
            yield self._chunk(pb.Chunk(data=b"".join(data)))

    def done(self, final: Completed, figures: LoadFigures) -> pb.ServeEvent:
        """The event that says that the answer is whole, and of how many chunks."""
        return self._event(
            done=pb.Done(
                chunks=self._chunks,
                tokens=final.tokens,
                finish_reason=final.finish_reason,
                replayed=final.replayed,
                load=load(figures),
            )
        )

    def refused(self, refused: Refused, figures: LoadFigures | None) -> pb.ServeEvent:
        """The event that refuses the attempt."""
        return self._event(refused=refusal(refused, figures))

    def _chunk(self, chunk: pb.Chunk) -> pb.ServeEvent:
        self._chunks += 1
        return self._event(chunk=chunk)

    def _event(self, **kind: object) -> pb.ServeEvent:
        event = pb.ServeEvent(
            request_id=self._request_id, sequence=self._sequence, **kind
        )
        self._sequence += 1
        return event


def _body(message: pb.ServeRequest) -> ModelBody | ServiceBody:
    if message.WhichOneof("target") == "model":
        model = message.model
        return ModelBody(
            model.api, model.body, model.continue_text, model.continue_tokens
        )
    headers = tuple((item.name, item.value) for item in message.service.headers)
    return ServiceBody(headers, message.service.body)


def _head(piece: AnswerHead) -> pb.Head:
    headers = [pb.Header(name=name, value=value) for name, value in piece.headers]
    return pb.Head(status=piece.status, headers=headers, replayed=piece.replayed)


def _admitted(piece: Accepted, figures: LoadFigures) -> pb.Admitted:
    return pb.Admitted(wait_ms=piece.wait_ms, cold=piece.cold, load=load(figures))
