"""What callers may send, validated before anything is decided on it.

Bodies are checked for what routing and admission need and no more: fields that only the
model engine understands pass through unread, so that a new engine option needs no
release here. Refusals name the field, the value and what is allowed.

Example::

    match read_chat(b'{"model": "tutor", "messages": [{"role": "user", "content":
    "?"}]}'):
        case ModelAsk() as ask: ...
        case Refused() as refused: ...  # code bad_request, executed no
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any, Literal, TypeVar

import pydantic
import xxhash
from pydantic import AfterValidator, BaseModel, ConfigDict, Field
from pydantic_core import PydanticCustomError

from bambootiller_core.outcomes import Code, Executed, Refused

CHAT = "chat/completions"
COMPLETIONS = "completions"

#: A rough ratio for admission's estimates; only the engine knows the tokenizer.
CHARS_PER_TOKEN = 4

#: What is generated if the caller sets no bound.
DEFAULT_MAX_TOKENS = 256

#: Prompts that agree in this many characters count as sharing a cached prefix.
PREFIX_CHARS = 512

#: A refusal quotes at most this much of what the caller sent.
QUOTED_CHARS = 80

#: What an answer may consist of; see :func:`_text_only`.
TEXT = "text"


def _text_only(value: Any) -> Any:
    """Refuse an option whose answer isn't text.

    Between the processes an answer is text, which can be counted and gone on with
    behind a cut. A tool call or a probability would be left out on the way without a
    word: the caller would get an empty answer, marked as whole.
    """
    if value is None or value is False or value in ([], [TEXT]):
        return value
    detail = "only the text of an answer is passed on; allowed: leaving the field out"
    raise PydanticCustomError("text_only", detail)


TextOnly = Annotated[Any, AfterValidator(_text_only)]
ModelName = Annotated[str, Field(min_length=1, max_length=256)]
TokenCount = Annotated[int, Field(ge=1, le=1_000_000)]


@dataclass(frozen=True, slots=True)
class ModelAsk:
    """A validated call of a model; ``body`` is what the caller sent, byte for byte."""

    name: str
    api: str
    body: bytes
    stream: bool
    include_usage: bool
    prompt_tokens: int
    max_tokens: int
    prefix: int


class _Lenient(BaseModel):
    """Strict in the fields that it names, blind to all others."""

    model_config = ConfigDict(extra="ignore", strict=True)


class _Part(_Lenient):
    type: str
    text: str = ""


class _Message(_Lenient):
    role: Annotated[str, Field(min_length=1, max_length=64)]
    content: str | list[_Part] | None = None

    def text(self) -> str:
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class _StreamOptions(_Lenient):
    include_usage: bool = False


class _Body(_Lenient):
    model: ModelName
    stream: bool | None = None
    max_tokens: TokenCount | None = None
    stream_options: _StreamOptions | None = None
    # Several choices for one prompt would need several streams under one request.
    n: Literal[1] | None = None
    logprobs: TextOnly = None


class _ChatBody(_Body):
    messages: Annotated[list[_Message], Field(min_length=1)]
    max_completion_tokens: TokenCount | None = None
    tools: TextOnly = None
    functions: TextOnly = None
    modalities: TextOnly = None

    def texts(self) -> Iterable[str]:
        for message in self.messages:
            yield message.role
            yield message.text()

    def bound(self) -> int:
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class _CompletionBody(_Body):
    prompt: str | Annotated[list[str], Field(min_length=1, max_length=1)]

    def texts(self) -> Iterable[str]:
        yield self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    def bound(self) -> int:
        return self.max_tokens or DEFAULT_MAX_TOKENS


_AnyBody = TypeVar("_AnyBody", _ChatBody, _CompletionBody)


def read_chat(body: bytes) -> ModelAsk | Refused:
    """Validate the body of a chat completion."""
    return _read(_ChatBody, CHAT, body)


def read_completion(body: bytes) -> ModelAsk | Refused:
    """Validate the body of a plain completion."""
    return _read(_CompletionBody, COMPLETIONS, body)


def bad_request(detail: str) -> Refused:
    """The refusal of something malformed; coming back with the same is no use."""
    return Refused(Code.BAD_REQUEST, Executed.NO, detail, retry_after_ms=0)


def quoted(value: object) -> str:
    """``value`` as text for a refusal, cut to a bounded length."""
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if len(text) <= QUOTED_CHARS else text[:QUOTED_CHARS] + "..."


def _read(shape: type[_AnyBody], api: str, body: bytes) -> ModelAsk | Refused:
    try:
        parsed = shape.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return bad_request(_explain(exc))
    text = "\0".join(parsed.texts())
    options = parsed.stream_options
    return ModelAsk(
        name=parsed.model,
        api=api,
        body=body,
        stream=bool(parsed.stream),
        include_usage=options is not None and options.include_usage,
        prompt_tokens=-(-len(text) // CHARS_PER_TOKEN),
        max_tokens=parsed.bound(),
        prefix=prefix_hash(parsed.model, text),
    )


def prefix_hash(model: str, text: str) -> int:
    """The hash under which prompts with a common beginning meet."""
    text = f"{model}\0{text[:PREFIX_CHARS]}"
    return xxhash.xxh3_64_intdigest(text.encode(errors="replace"))


def _explain(exc: pydantic.ValidationError) -> str:
    """The first problem: later ones are often consequences of it."""
    error = exc.errors(include_url=False, include_context=False)[0]
    if error["type"] == "json_invalid":
        return f"the body isn't JSON: {error['msg']}"
    field = ".".join(str(part) for part in error["loc"]) or "body"
    if error["type"] == "missing":
        return f"field {field} is missing; it is required"
    return f"field {field} has the value {quoted(error['input'])}: {error['msg']}"
