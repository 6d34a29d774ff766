"""Sending one request of a load run, and judging its answer."""

import json
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from bambootiller_standins.engine import chat_prompt, expected_answer, split_model
from bambootiller_standins.load._outcome import Outcome, Verdict
from bambootiller_standins.load._plan import LoadPlan, PlannedRequest

DONE = "[DONE]"
ERROR_EVENT = "error"


@dataclass(slots=True)
class _Reading:
    """What has been read of one answer so far."""

    sent_at: float
    text: str = ""
    first_token: float | None = None
    last_at: float = 0.0
    gaps: list[float] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Notes one token and when it came."""
        now = time.perf_counter()
        if self.first_token is None:
            self.first_token = now - self.sent_at
        else:
            self.gaps.append(now - self.last_at)
        self.last_at = now
        self.text += text


@dataclass(frozen=True, slots=True)
class _End:
    verdict: Verdict
    code: str = ""
    executed: str = ""


async def send(
    session: aiohttp.ClientSession, plan: LoadPlan, req: PlannedRequest
) -> Outcome:
    """Sends one request and returns what became of it."""
    reading = _Reading(time.perf_counter())
    try:
        async with session.post(
            req.url + _path(plan), json=_body(plan, req), headers=_headers(plan, req)
        ) as response:
            end = await _read(response, plan, req, reading)
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        end = _End(Verdict.FAILED, type(exc).__name__)
    return Outcome(
        number=req.number,
        model=req.model,
        caller=req.caller.name,
        verdict=end.verdict,
        code=end.code,
        executed=end.executed,
        first_token=reading.first_token,
        between_tokens=tuple(reading.gaps),
        total=time.perf_counter() - reading.sent_at,
    )


def request_id(plan: LoadPlan, req: PlannedRequest) -> str:
    """Returns the id under which a request of a run is sent."""
    return f"load-{plan.seed}-{req.number}"


def _path(plan: LoadPlan) -> str:
    return "/v1/chat/completions" if plan.chat else "/v1/completions"


def _messages(req: PlannedRequest) -> list[dict[str, str]]:
    return [{"role": "user", "content": req.prompt}]


def _body(plan: LoadPlan, req: PlannedRequest) -> dict[str, Any]:
    body = {"model": req.model, "max_tokens": plan.max_tokens, "stream": req.stream}
    if plan.chat:
        return body | {"messages": _messages(req)}
    return body | {"prompt": req.prompt}


def _headers(plan: LoadPlan, req: PlannedRequest) -> dict[str, str]:
    headers = {"X-Request-Id": request_id(plan, req)}
    if req.caller.key:
        headers["Authorization"] = f"Bearer {req.caller.key}"
    if plan.timeout_ms is not None:
        headers["X-Request-Timeout-Ms"] = str(plan.timeout_ms)
    return headers


def _expected(plan: LoadPlan, req: PlannedRequest) -> str:
    model, adapter = split_model(req.model)
    prompt = chat_prompt(_messages(req)) if plan.chat else req.prompt
    # Engines know a customer's model by both names, so that none is shared.
    name = f"{plan.customer}/{model}" if plan.customer else model
    return expected_answer(name, adapter, prompt, plan.max_tokens)


async def _read(
    response: aiohttp.ClientResponse,
    plan: LoadPlan,
    req: PlannedRequest,
    reading: _Reading,
) -> _End:
    if response.status != 200:
        return _problem(Verdict.REFUSED, await response.text(), response.status)
    if req.stream:
        end = await _read_stream(response, reading)
    else:
        body = await response.json(content_type=None)
        reading.add(_whole_text(body))
        end = _End(Verdict.ANSWERED)
    if end.verdict is Verdict.ANSWERED and reading.text != _expected(plan, req):
        return _End(Verdict.WRONG)
    return end


async def _read_stream(response: aiohttp.ClientResponse, reading: _Reading) -> _End:
    async for event, data in _events(response):
        if event == ERROR_EVENT:
            return _problem(Verdict.BROKEN_OFF, data, response.status)
        if data == DONE:
            return _End(Verdict.ANSWERED)
        text = _chunk_text(json.loads(data))
        if text:
            reading.add(text)
    return _End(Verdict.CUT)


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[tuple[str, str]]:
    event = ""
    data: list[str] = []
    async for raw in response.content:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("event:"):
            event = line.removeprefix("event:").strip()
        elif line.startswith("data:"):
            data.append(line.removeprefix("data:").strip())
        elif not line and data:
            yield event, "\n".join(data)
            event, data = "", []


def _chunk_text(chunk: dict[str, Any]) -> str:
    text = ""
    for choice in chunk.get("choices", ()):
        text += choice.get("delta", {}).get("content") or choice.get("text") or ""
    return text


def _whole_text(body: dict[str, Any]) -> str:
    choice = body["choices"][0]
    return choice["message"]["content"] if "message" in choice else choice["text"]


def _problem(verdict: Verdict, text: str, status: int) -> _End:
    try:
        fields = json.loads(text)
    except ValueError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    code = str(fields.get("code") or f"http_{status}")
    return _End(verdict, code, str(fields.get("executed", "")))
