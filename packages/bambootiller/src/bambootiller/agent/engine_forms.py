"""What a model engine sends, validated at the border."""

from __future__ import annotations

import json
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bambootiller_core.types import (
    EngineState,
    ModelReport,
    OrderState,
    Phase,
    Tier,
)

DONE = b"[DONE]"
DATA = b"data:"
#: An event longer than this is no token; the stream is given up.
LARGEST_EVENT = 1024 * 1024
#: Parts of a delta that stand instead of text. Left out without a word, they would turn
#: into an empty answer that looks whole; callers aren't let in who ask for them.
_CALLS = frozenset({"tool_calls", "function_call"})


class _Form(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _ModelForm(_Form):
    model: str
    phase: Phase
    memory_bytes: int = Field(ge=0)
    fence: int = 0
    adapters: tuple[str, ...] = ()
    running: int = 0
    waiting: int = 0


class _StateForm(_Form):
    version: int
    incarnation: str
    memory_total: int = Field(ge=0)
    memory_used: int = Field(ge=0)
    models: tuple[_ModelForm, ...] = ()
    tiers: dict[str, Tier] = {}
    orders: dict[str, OrderState] = {}
    fencing: bool = False


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Something that isn't in the engine's published form."""

    detail: str


@dataclass(frozen=True, slots=True)
class Tokens:
    """What events that arrived together hold of an answer."""

    text: str
    count: int
    finish_reason: str
    done: bool


def read_state(body: bytes) -> EngineState | Unreadable:
    """The engine's account of itself."""
    try:
        form = _StateForm.model_validate_json(body)
    except ValidationError as exc:
        return Unreadable(str(exc.errors(include_url=False)[:1]))
    return EngineState(
        version=form.version,
        incarnation=form.incarnation,
        memory_total=form.memory_total,
        memory_used=form.memory_used,
        models=tuple(ModelReport(**dict(model)) for model in form.models),
        tiers=form.tiers,
        orders=form.orders,
        fencing=form.fencing,
    )


class EventReader:
    """Reads server-sent events from bytes as they come.

    Example::

        reader = EventReader()
        reader.feed(b'data: {"choices": [{"delta": {"content": "Hi"}}]}\\n\\n')
        # Tokens("Hi", 1, "", False)
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> Tokens | Unreadable:
        """Read all whole events; a part of one is kept for the next call."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > LARGEST_EVENT:
            return Unreadable(f"an event is longer than {LARGEST_EVENT} bytes")
        texts: list[str] = []
        count, finish, done = 0, "", False
        for line in lines:
            if not line.startswith(DATA):
                continue
            payload = line[len(DATA) :].strip()
            if payload == DONE:
                done = True
                break
            read = _choice(payload)
            if isinstance(read, Unreadable):
                return read
            text, reason = read
            texts.append(text)
            count += bool(text)
            finish = reason or finish
        return Tokens("".join(texts), count, finish, done)


def _choice(payload: bytes) -> tuple[str, str] | Unreadable:
    """The text and the finish reason of one event."""
    try:
        form = json.loads(payload)
        if "error" in form:
            return Unreadable(f"the engine reports {str(form['error'])[:200]}")
        if not form.get("choices"):
            return "", ""
        choice = form["choices"][0]
        delta = choice.get("delta")
        if delta and not _CALLS.isdisjoint(delta):
            called = next(name for name in _CALLS if name in delta)
            if delta[called]:
                return Unreadable(f"the engine answers with {called}, not with text")
        text = choice.get("text") if delta is None else delta.get("content")
        return text or "", choice.get("finish_reason") or ""
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as exc:
        return Unreadable(f"an event can't be read: {type(exc).__name__}: {exc}")
