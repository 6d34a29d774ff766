"""The callers of the demonstration: a pupil who asks and a program that submits."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass

import aiohttp

from bambootiller_standins.engine import chat_prompt, expected_answer

MAX_TOKENS = 24
DATA = b"data: "
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class Streamed:
    """A streamed answer as its caller saw it; times in milliseconds from the call."""

    request_id: str
    text: str
    whole: bool
    tokens: int
    first_token_ms: float
    total_ms: float


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The answer to a submission; ``replayed`` if it is an earlier one again."""

    status: int
    replayed: bool


async def stream_answer(
    http: aiohttp.ClientSession, url: str, key: str, model: str, prompt: str
) -> Streamed:
    """Ask a model and read the stream to its end."""
    messages = [{"role": "user", "content": prompt}]
    body = {
        "model": model,
        "messages": messages,
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}"}
    begun = time.monotonic()
    first = None
    texts = []
    done = False
    async with http.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as resp:
        request_id = resp.headers.get("X-Request-Id", "")
        if resp.status != 200:
            raise RuntimeError(f"{resp.status}: {await resp.text()}")
        async for line in resp.content:
            if not line.startswith(DATA):
                continue
            data = line.removeprefix(DATA).strip()
            done = data == DONE
            text = "" if done else _text(data)
            if text and first is None:
                first = time.monotonic()
            texts.append(text)
    ended = time.monotonic()
    text = "".join(texts)
    wanted = expected_answer(f"forge/{model}", "", chat_prompt(messages), MAX_TOKENS)
    return Streamed(
        request_id=request_id,
        text=text,
        whole=done and text == wanted,
        tokens=len(text.split()),
        first_token_ms=((first or ended) - begun) * 1000,
        total_ms=(ended - begun) * 1000,
    )


async def push(
    http: aiohttp.ClientSession, url: str, key: str, submission: str
) -> Acknowledged:
    """Submit under an idempotency key, as a client does that isn't sure."""
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": submission}
    async with http.post(
        f"{url}/services/pushes/submissions", json={"id": submission}, headers=headers
    ) as resp:
        await resp.read()
        replayed = resp.headers.get("X-Bambootiller-Replayed") is not None
        return Acknowledged(resp.status, replayed)


def _text(data: bytes) -> str:
    choices = json.loads(data).get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""
