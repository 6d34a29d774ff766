"""The usual JSON forms of chat completions and completions, read and written."""

import json
import time
from collections.abc import Sequence as Items
from dataclasses import dataclass
from typing import Any

from pydantic import AliasChoices, BaseModel, Field

from bambootiller_standins.engine import _answers as answers

FINISH_REASON = "length"


class ContinueFrom(BaseModel):
    """What was already produced of an answer that is to be resumed."""

    text: str
    tokens: int = Field(ge=0)


class CompletionBody(BaseModel):
    """The body of both calls.

    ``max_tokens`` counts the whole answer, and includes what ``continue_from`` says was
    already produced.
    """

    model: str
    messages: list[dict[str, Any]] | None = None
    prompt: str | None = None
    stream: bool = False
    max_tokens: int = Field(
        default=answers.DEFAULT_MAX_TOKENS,
        gt=0,
        validation_alias=AliasChoices("max_tokens", "max_completion_tokens"),
    )
    continue_from: ContinueFrom | None = None

    @property
    def text(self) -> str:
        """The prompt as one text."""
        if self.messages is not None:
            return answers.chat_prompt(self.messages)
        return self.prompt or ""


@dataclass(frozen=True, slots=True)
class AnswerForm:
    """Writes the parts of one answer, in the chat form or the plain one."""

    request_id: str
    model: str
    chat: bool

    def chunk(self, text: str, last: bool) -> bytes:
        """Returns one server-sent event with one token."""
        finish = FINISH_REASON if last else None
        if self.chat:
            choice = {"delta": {"role": "assistant", "content": text}}
        else:
            choice = {"text": text}
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        choice |= {"index": 0, "finish_reason": finish}
        return event(self._body(kind, choice))

    def whole(self, texts: Items[str], prompt: str) -> dict[str, Any]:
        """Returns the body of an answer that isn't streamed."""
        text = "".join(texts)
        if self.chat:
            choice = {"message": {"role": "assistant", "content": text}}
        else:
            choice = {"text": text}
        kind = "chat.completion" if self.chat else "text_completion"
        choice |= {"index": 0, "finish_reason": FINISH_REASON}
        return self._body(kind, choice) | {"usage": _usage(prompt, len(texts))}

    def _body(self, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
        return {
            "id": self.request_id,
            "object": kind,
            "created": int(time.time()),
            "model": self.model,
            "choices": [choice],
        }


def event(body: dict[str, Any]) -> bytes:
    """Returns one server-sent event."""
    return b"data: " + json.dumps(body).encode() + b"\n\n"


DONE = b"data: [DONE]\n\n"


def _usage(prompt: str, completion_tokens: int) -> dict[str, int]:
    prompt_tokens = len(prompt.split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }
