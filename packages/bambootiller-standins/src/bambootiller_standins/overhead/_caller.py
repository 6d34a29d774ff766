"""A caller who streams one answer and notes when each token came."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass

import aiohttp

DATA = b"data:"
DONE = b"[DONE]"
PROMPT = "my assignment does not build: undefined reference to main"


class AnswerBroken(Exception):
    """An answer wasn't whole; a figure of such a run would mean nothing."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where to ask, by which name the model goes there, and the caller's key."""

    url: str
    model: str
    key: str = ""


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds to the first token, and from it to the last one."""

    first: float
    rest: float
    tokens: int

    @property
    def gap(self) -> float:
        """Seconds between two tokens on average."""
        return self.rest / (self.tokens - 1)


async def ask(http: aiohttp.ClientSession, target: Target, tokens: int) -> Timing:
    """Stream an answer of ``tokens`` tokens."""
    body = {
        "model": target.model,
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {target.key}"} if target.key else {}
    url = f"{target.url}/v1/chat/completions"
    begun = time.perf_counter()
    first = last = 0.0
    text, done = "", False
    async with http.post(url, json=body, headers=headers) as resp:
        if resp.status != 200:
            raise AnswerBroken(f"{url}: {resp.status}: {await resp.text()}")
        async for line in resp.content:
            payload = line.removeprefix(DATA).strip()
            if not payload or payload == line.strip():
                continue
            if payload == DONE:
                done = True
                continue
            if piece := _text(payload):
                last = time.perf_counter()
                first = first or last
                text += piece
    given = len(text.split())
    if not done or given != tokens:
        raise AnswerBroken(f"{url}: {given} of {tokens} tokens, end mark: {done}")
    return Timing(first - begun, last - first, tokens)


def _text(payload: bytes) -> str:
    choices = json.loads(payload).get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""
