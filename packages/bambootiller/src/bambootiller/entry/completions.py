"""Answers of models in the widely used JSON form, streamed or whole.

A stream's chunks differ only in their text. So the JSON around it is built once for
each answer, and a chunk costs one string escape and one concatenation.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from json.encoder import encode_basestring_ascii
from typing import Any

from bambootiller.entry.border import CHAT, ModelAsk
from bambootiller.entry.problems import problem_json
from bambootiller.entry.relay.calls import Ended, Output, Text
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Answered

EVENT_STREAM = "text/event-stream"
DONE = b"data: [DONE]\n\n"

#: Stands where a chunk's text goes while the JSON around it is built.
_MARK = "\u0000text\u0000"
_DEFAULT_FINISH = "stop"


class ChunkForm:
    """The chunks of one streamed answer.

    Example::

        form = ChunkForm(ask, "r-1", created=1700000000)
        form.first("Hel")   # b'data: {"id": ..., "delta": {"role": "assistant", ...
        form.piece("lo")
        form.last("stop", tokens=2)
    """

    def __init__(self, ask: ModelAsk, request_id: str, created: int) -> None:
        self._ask = ask
        self._chat = ask.api == CHAT
        self._base = _base(ask, request_id, created, streamed=True)
        self._before, self._after = self._around(self._piece_choice(_MARK))

    def first(self, text: str) -> bytes:
        """The first chunk, which names the role in a chat."""
        if not self._chat:
            return self.piece(text)
        choice = self._piece_choice(text)
        choice["delta"] = {"role": "assistant", "content": text}
        return _event({**self._base, "choices": [choice]})

    def piece(self, text: str) -> bytes:
        """A chunk behind the first."""
        return (self._before + encode_basestring_ascii(text) + self._after).encode()

    def last(self, finish_reason: str, tokens: int) -> bytes:
        """The finish reason, the usage if it was asked for, and the end mark."""
        choice = self._piece_choice("")
        choice["finish_reason"] = finish_reason or _DEFAULT_FINISH
        if self._chat:
            choice["delta"] = {}
        events = _event({**self._base, "choices": [choice]})
        if self._ask.include_usage:
            usage = _usage(self._ask, tokens)
            events += _event({**self._base, "choices": [], "usage": usage})
        return events + DONE

    def _piece_choice(self, text: str) -> dict[str, Any]:
        if self._chat:
            return {"index": 0, "delta": {"content": text}, "finish_reason": None}
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": None}

    def _around(self, choice: dict[str, Any]) -> tuple[str, str]:
        whole = _event({**self._base, "choices": [choice]}).decode()
        before, _, after = whole.partition(json.dumps(_MARK))
        return before, after


async def streamed(
    first: Output, rest: AsyncIterator[Output], form: ChunkForm, request_id: str
) -> AsyncIterator[bytes]:
    """The server-sent events of an answer whose first output has arrived.

    The end mark says that the answer is whole. A caller that doesn't get it has got a
    last ``error`` event instead, or a cut connection.
    """
    written = 0
    output = first
    if isinstance(output, Text):
        yield form.first(output.text)
        written = 1
        async for output in rest:
            if not isinstance(output, Text):
                break
            yield form.piece(output.text)
            written += 1
    if not isinstance(output, Ended):
        return
    if isinstance(output.final, Answered):
        ensure_whole(written, output, request_id)
        yield form.last(output.finish_reason, output.final.tokens)
    else:
        yield b"event: error\ndata: " + problem_json(output.final, request_id) + b"\n\n"


def ensure_whole(written: int, ended: Ended, request_id: str) -> None:
    """Stop the process if an answer is about to be called whole and isn't.

    The relay counts what the agent sent and what it passed on; this counts what was
    written. A difference is a fault of this program, and every answer it gives from
    then on may lack a piece.
    """
    ensure(
        written == ended.pieces,
        "whole-answer",
        f"request {request_id}: {written} of {ended.pieces} pieces were written",
    )


def whole_json(
    ask: ModelAsk, request_id: str, created: int, text: str, ended: Ended
) -> bytes:
    """An answer that isn't streamed."""
    choice: dict[str, Any] = {"index": 0}
    if ask.api == CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
        choice["logprobs"] = None
    choice["finish_reason"] = ended.finish_reason or _DEFAULT_FINISH
    base = _base(ask, request_id, created, streamed=False)
    usage = _usage(ask, ended.final.tokens)
    return json.dumps({**base, "choices": [choice], "usage": usage}).encode()


def _base(
    ask: ModelAsk, request_id: str, created: int, streamed: bool
) -> dict[str, Any]:
    if ask.api == CHAT:
        prefix = "chatcmpl"
        kind = "chat.completion.chunk" if streamed else "chat.completion"
    else:
        prefix = "cmpl"
        kind = "text_completion"
    return {
        "id": f"{prefix}-{request_id}",
        "object": kind,
        "created": created,
        "model": ask.name,
    }


def _usage(ask: ModelAsk, tokens: int) -> dict[str, int]:
    """Generated tokens as the engine counted them; the prompt's are an estimate."""
    return {
        "prompt_tokens": ask.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": ask.prompt_tokens + tokens,
    }


def _event(payload: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(payload, separators=(",", ":")).encode() + b"\n\n"
