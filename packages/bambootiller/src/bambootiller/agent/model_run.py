"""Running a model call at the engine."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from bambootiller.agent.calls import Call
from bambootiller.agent.engine import CONNECT_SECONDS, EngineClient
from bambootiller.agent.engine_forms import EventReader, Unreadable
from bambootiller.agent.pieces import Completed, Final, Text
from bambootiller.agent.refusals import ELSEWHERE_RETRY_MS, backend_failed, malformed
from bambootiller_core.backend_effects import engine_name
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.types import ModelKey

API_PATHS = {"chat/completions", "completions"}
LARGEST_ERROR = 500
END_SECONDS = 0.1


async def run_model(engine: EngineClient, call: Call) -> Final:
    """Stream one completion into the call's outbox.

    Ending the task that runs this closes the connection, which cancels the work at the
    engine. The answer is whole only if the engine's end mark was seen: a connection
    that is cut between two events looks like an end otherwise.
    """
    form = _form(call)
    if isinstance(form, Refused):
        return form
    headers = {"X-Request-Id": call.name, "X-Priority": str(call.req.priority)}
    limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
    call.sent = True
    try:
        async with engine.session.post(
            f"{engine.url}/v1/{call.body.api}",
            json=form,
            headers=headers,
            timeout=limit,
        ) as response:
            if response.status != 200:
                return await _refused(call, response)
            return await _stream(call, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        call.sent = False
        return backend_failed(Executed.NO, f"the engine can't be reached: {exc}")
    except (aiohttp.ClientError, OSError) as exc:
        return backend_failed(Executed.UNKNOWN, f"the engine's answer was cut: {exc!r}")


async def _stream(call: Call, response: aiohttp.ClientResponse) -> Final:
    reader = EventReader()
    tokens, finish = 0, ""
    async for data in response.content.iter_any():
        read = reader.feed(data)
        if isinstance(read, Unreadable):
            return backend_failed(Executed.UNKNOWN, read.detail)
        if read.text:
            tokens += read.count
            await call.put(Text(read.text, read.count))
        finish = read.finish_reason or finish
        if read.done:
            await _read_to_end(response)
            return Completed(tokens, finish)
    return backend_failed(
        Executed.UNKNOWN, "the engine's answer ended without its end mark"
    )


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Let the connection end in order, so that the next call can use it again."""
    try:
        async with asyncio.timeout(END_SECONDS):
            async for _ in response.content.iter_any():
                pass
    except (TimeoutError, aiohttp.ClientError, OSError):
        # The answer is whole already; only the connection is lost.
        return


def _form(call: Call) -> dict[str, Any] | Refused:
    """The caller's JSON with what only this agent can fill in."""
    if call.body.api not in API_PATHS:
        return malformed(
            f"api {call.body.api!r}; allowed: {', '.join(sorted(API_PATHS))}"
        )
    try:
        form = json.loads(call.body.body)
    except ValueError as exc:
        return malformed(f"the body is no JSON: {exc}")
    if not isinstance(form, dict):
        return malformed("the body is no JSON object")
    target = call.req.target
    name = engine_name(ModelKey(call.req.customer, target.model))
    form["model"] = f"{name}:{target.adapter}" if target.adapter else name
    # Always streamed here; the entry puts whole answers together for those who asked
    # for one, and can resume a stream that was cut.
    form["stream"] = True
    form.pop("continue_from", None)
    if call.body.continue_text:
        form["continue_from"] = {
            "text": call.body.continue_text,
            "tokens": call.body.continue_tokens,
        }
    return form


async def _refused(call: Call, response: aiohttp.ClientResponse) -> Refused:
    """An answer other than 200, which the engine gives before it runs anything."""
    text = (await response.content.read(LARGEST_ERROR)).decode(errors="replace")
    detail = f"the engine answered {response.status}: {text}"
    if response.status == 404:
        # The model went between the decision and the call, as it does if the engine
        # restarts; another replica may serve.
        return Refused(Code.NO_REPLICA, Executed.NO, detail, ELSEWHERE_RETRY_MS)
    if 400 <= response.status < 500:
        return malformed(detail)
    return backend_failed(Executed.UNKNOWN, detail)
