"""The HTTP resources that callers use."""

from __future__ import annotations

import json
import time
from collections.abc import AsyncIterator

import falcon.asgi

from bambootiller.entry import access, completions, headers
from bambootiller.entry.arrivals import Arrivals, ReadAsk, TurnedAway
from bambootiller.entry.exchange import AnswerCut
from bambootiller.entry.headers import RequestName
from bambootiller.entry.holdback import Begun, Whole, hold_back
from bambootiller.entry.relay.calls import Call, Data, Ended, Output
from bambootiller.entry.relay.driver import Driver
from bambootiller.entry.relays import Relays
from bambootiller.entry.responses import (
    write_head,
    write_json,
    write_refusal,
    write_turned_away,
)
from bambootiller_core.outcomes import Refused


class ModelResource:
    """``POST /v1/chat/completions`` or ``/v1/completions``, by its ``read``."""

    def __init__(self, arrivals: Arrivals, relays: Relays, read: ReadAsk) -> None:
        self._arrivals = arrivals
        self._relays = relays
        self._read = read

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Serve one model call."""
        arrival = self._arrivals.accept(req)
        if isinstance(arrival, TurnedAway):
            self._turn_away(resp, arrival)
            return
        call = await self._arrivals.model_call(req, arrival, self._read)
        if isinstance(call, Refused):
            customer = arrival.ref.template.customer
            self._turn_away(resp, TurnedAway(arrival.name, customer, call))
            return
        driver = self._relays.start(call, arrival)
        outputs = driver.outputs()
        arrival.exchange.await_at_end(outputs.aclose)
        if call.ask.stream:
            await _streamed(resp, call, arrival.name, outputs)
        else:
            await _whole(resp, call, arrival.name, driver, outputs)

    def _turn_away(self, resp: falcon.asgi.Response, away: TurnedAway) -> None:
        self._relays.turned_away(away)
        write_turned_away(resp, away)


async def _streamed(
    resp: falcon.asgi.Response,
    call: Call,
    name: RequestName,
    outputs: AsyncIterator[Output],
) -> None:
    # The status can't be changed once sent, so it waits for the first output.
    first = await anext(outputs)
    if isinstance(first, Ended) and isinstance(first.final, Refused):
        write_refusal(resp, first.final, name)
        return
    form = completions.ChunkForm(call.ask, name.shown, int(time.time()))
    resp.content_type = completions.EVENT_STREAM
    resp.set_header("cache-control", "no-store")
    resp.set_header(headers.REQUEST_ID, name.shown)
    resp.stream = completions.streamed(first, outputs, form, name.shown)


async def _whole(
    resp: falcon.asgi.Response,
    call: Call,
    name: RequestName,
    driver: Driver,
    outputs: AsyncIterator[Output],
) -> None:
    pieces = 0
    async for output in outputs:
        if isinstance(output, Ended):
            break
        pieces += 1
    if isinstance(output.final, Refused):
        write_refusal(resp, output.final, name)
        return
    completions.ensure_whole(pieces, output, name.shown)
    created = int(time.time())
    data = completions.whole_json(call.ask, name.shown, created, driver.text, output)
    write_json(resp, data, name)


class ServiceSink:
    """``ANY /services/NAME/PATH``."""

    def __init__(self, arrivals: Arrivals, relays: Relays) -> None:
        self._arrivals = arrivals
        self._relays = relays

    async def __call__(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, **parts: str
    ) -> None:
        """Serve one call of a plain service."""
        arrival = self._arrivals.accept(req)
        if isinstance(arrival, TurnedAway):
            self._turn_away(resp, arrival)
            return
        call = await self._arrivals.service_call(req, arrival)
        if isinstance(call, Refused):
            customer = arrival.ref.template.customer
            self._turn_away(resp, TurnedAway(arrival.name, customer, call))
            return
        driver = self._relays.start(call, arrival)
        outputs = driver.outputs()
        arrival.exchange.await_at_end(outputs.aclose)
        held = await hold_back(outputs)
        if isinstance(held, Refused):
            write_refusal(resp, held, arrival.name)
        elif isinstance(held, Whole):
            completions.ensure_whole(held.pieces, held.ended, arrival.name.shown)
            write_head(resp, held.head, arrival.name)
            resp.data = held.body
        else:
            driver.passed_on()
            write_head(resp, held.head, arrival.name)
            resp.stream = _rest(held, outputs, arrival.name)

    def _turn_away(self, resp: falcon.asgi.Response, away: TurnedAway) -> None:
        self._relays.turned_away(away)
        write_turned_away(resp, away)


async def _rest(
    begun: Begun, outputs: AsyncIterator[Output], name: RequestName
) -> AsyncIterator[bytes]:
    """The body of an answer that was too long to be held back."""
    written = begun.pieces
    if begun.body:
        yield begun.body
    async for output in outputs:
        if isinstance(output, Data):
            written += 1
            yield output.data
        elif isinstance(output, Ended):
            if isinstance(output.final, Refused):
                raise AnswerCut(output.final.detail)
            completions.ensure_whole(written, output, name.shown)
            return


class ModelsResource:
    """``GET /v1/models``: what the caller may call."""

    def __init__(self, arrivals: Arrivals) -> None:
        self._arrivals = arrivals

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """List the models and adapters of the caller's customer."""
        name = headers.request_name(req.get_header(headers.REQUEST_ID))
        if isinstance(name, Refused):
            write_refusal(resp, name, headers.request_name(None))
            return
        ref = self._arrivals.authenticate(req)
        if isinstance(ref, Refused):
            write_refusal(resp, ref, name)
            return
        models = [
            {
                "id": item.name,
                "object": "model",
                "created": 0,
                "owned_by": item.customer,
            }
            for item in access.visible_models(ref)
        ]
        data = json.dumps({"object": "list", "data": models}).encode()
        write_json(resp, data, name)
