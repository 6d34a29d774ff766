"""The HTTP side of the engine stand-in."""

import asyncio
import json
import os
import secrets
from collections.abc import AsyncIterator
from dataclasses import asdict

from aiohttp import web

from bambootiller_standins._border import read_body
from bambootiller_standins._faults import MS, hang_up
from bambootiller_standins._server import StandIn
from bambootiller_standins.engine import _answers as answers
from bambootiller_standins.engine._batch import BatchTiming, Cut, Sequence
from bambootiller_standins.engine._cachecalls import export_prefix, import_prefix
from bambootiller_standins.engine._completions import (
    DONE,
    AnswerForm,
    CompletionBody,
)
from bambootiller_standins.engine._config import EngineConfig
from bambootiller_standins.engine._control import (
    EngineOrder,
    RequestCounts,
    StreamCuts,
)
from bambootiller_standins.engine._events import PrefixCache
from bambootiller_standins.engine._journal import Entry, Journal
from bambootiller_standins.engine._orders import Order, Orders, Verdict
from bambootiller_standins.engine._state import EngineState, Phase

CRASH_EXIT_CODE = 70
DEFAULT_PRIORITY = 5
LONGEST_WAIT_MS = 60_000

_STATUS = {
    Verdict.ACCEPTED: 202,
    Verdict.STALE_FENCE: 409,
    Verdict.UNKNOWN_MODEL: 409,
    Verdict.NO_MEMORY: 507,
}


class CutByUnload(Exception):
    """The model of a running request was unloaded."""


class CutByFault(Exception):
    """A test ordered that this answer is closed early."""


class Engine(StandIn):
    """A model engine: orders, state, completions, cache events.

    With *exits* a crash ends the process, as the program does it; without, it drops all
    state and begins a new incarnation behind the same port, so that a test in process
    can go on.

    >>> engine = Engine(EngineConfig(token_ms=1))
    >>> await engine.start()
    """

    def __init__(
        self, cfg: EngineConfig | None = None, *, exits: bool = False, **options: object
    ) -> None:
        super().__init__(**options)
        self.cfg = cfg or EngineConfig()
        self.requests = RequestCounts()
        self.cuts = StreamCuts()
        self.orders_to_lose = 0
        self._exits = exits
        self._tasks: set[asyncio.Task] = set()
        self._reporter: asyncio.Task | None = None

    def routes(self) -> list[web.RouteDef]:
        """Returns the engine's calls and the control paths."""
        return [
            web.post("/v1/chat/completions", self._chat),
            web.post("/v1/completions", self._completion),
            web.post("/orders", self._post_order),
            web.get("/state", self._get_state),
            web.get("/events", self._get_events),
            web.post("/kv/export", self._export_prefix),
            web.post("/kv/import", self._import_prefix),
            web.get("/health", self._get_health),
            web.get("/control", self._get_control),
            web.get("/control/runs", self._get_runs),
            web.post("/control", self._post_control),
        ]

    async def on_start(self) -> None:
        """Begins the first incarnation."""
        self.journal = Journal(self.cfg.journal, secrets.token_hex(4))
        self._begin()

    async def on_stop(self) -> None:
        """Ends orders, batches and the load report."""
        await self._end()
        self.journal.write(Entry.GONE)
        self.journal.close()

    def _begin(self) -> None:
        self.journal.write(Entry.START)
        self.state = EngineState(self.cfg, secrets.token_hex(8), self.journal)
        self.cache = PrefixCache(
            self.cfg.prefix_slots, self.cfg.event_lag_ms, self.cfg.event_gap_every
        )
        timing = BatchTiming(self._step_ms, self.faults.thawed, self.cfg.max_batch)
        self.orders = Orders(self.state, self.cache, timing, self.faults.thawed)
        self._reporter = asyncio.create_task(self._report_forever())

    async def _end(self) -> None:
        self._reporter.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(self._reporter, *self._tasks, return_exceptions=True)
        await self.orders.close()

    async def crash(self) -> None:
        """Loses all state at once like a killed process; checkpoints on disk stay."""
        if self._exits:
            self.journal.write(Entry.GONE)
            os._exit(CRASH_EXIT_CODE)
        self.faults.cut_streams()
        tiers = self.state.tiers
        await self._end()
        self._begin()
        self.state.tiers.update(tiers)

    def _step_ms(self, joined: list[Sequence]) -> float:
        self.state.check_memory()
        step = self.cfg.token_ms
        step += self.cfg.token_ms_per_running * max(0, self.state.running - 1)
        for sequence in joined:
            model = sequence.model
            cached = self.cache.use(model, sequence.prefix)
            step += self.cfg.cached_prefill_ms if cached else self.cfg.prefill_ms
        return step

    async def _report_forever(self) -> None:
        state = self.state
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.cfg.report_every_ms * MS)
            sample = state.sample()
            loop.call_later(self.cfg.report_lag_ms * MS, state.show, sample)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._complete(request, chat=True)

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._complete(request, chat=False)

    async def _complete(self, request: web.Request, chat: bool) -> web.StreamResponse:
        body = await read_body(request, CompletionBody)
        request_id = request.headers.get("X-Request-Id") or secrets.token_hex(8)
        refusal = self._refusal(body)
        if refusal is not None:
            self.requests.refused += 1
            return refusal
        sequence = self._sequence(body, request_id, _priority(request))
        form = AnswerForm(request_id, body.model, chat)
        batch = self.state.replicas[sequence.model].batch
        self.requests.requests += 1
        self.requests.runs[request_id] += 1
        batch.add(sequence)
        try:
            if body.stream:
                return await self._stream(request, form, sequence)
            texts = [text async for text, _ in self._texts(sequence)]
            return web.json_response(form.whole(texts, body.text))
        except CutByUnload:
            self.requests.cut += 1
            return hang_up(request)
        except CutByFault:
            self.requests.cut += 1
            return hang_up(request)
        except (asyncio.CancelledError, ConnectionError):
            self.requests.cancelled += 1
            raise
        finally:
            batch.remove(sequence)

    def _refusal(self, body: CompletionBody) -> web.Response | None:
        model, adapter = answers.split_model(body.model)
        replica = self.state.replicas.get(model)
        if replica is None or replica.phase is not Phase.LOADED:
            return _error(404, "model_not_loaded", f"model {model!r} is not loaded")
        if adapter and adapter not in replica.adapters:
            text = f"adapter {adapter!r} is not loaded on model {model!r}"
            return _error(404, "adapter_not_loaded", text)
        if body.continue_from is None:
            return None
        done = body.continue_from
        whole = answers.expected_answer(model, adapter, body.text, done.tokens)
        # A text that isn't the start of this very answer means that answers were
        # crossed on the way.
        if done.tokens > body.max_tokens or done.text != whole:
            text = "continue_from is not the start of this request's answer"
            return _error(400, "continue_mismatch", text)
        return None

    def _sequence(
        self, body: CompletionBody, request_id: str, priority: int
    ) -> Sequence:
        model, adapter = answers.split_model(body.model)
        first = body.continue_from.tokens if body.continue_from else 0
        return Sequence(
            request_id=request_id,
            model=model,
            priority=priority,
            prefix=answers.prefix_of(model, adapter, body.text),
            tokens=answers.AnswerTokens(
                model, adapter, body.text, body.max_tokens, first
            ),
        )

    async def _texts(self, sequence: Sequence) -> AsyncIterator[tuple[str, bool]]:
        given = 0
        while given < len(sequence.tokens):
            if self.cuts.due(given):
                raise CutByFault
            item = await sequence.queue.get()
            if isinstance(item, Cut):
                raise CutByUnload
            given += 1
            self.requests.tokens += 1
            yield item.text, item.last
        self.requests.finished += 1

    async def _stream(
        self, request: web.Request, form: AnswerForm, sequence: Sequence
    ) -> web.StreamResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            "X-Request-Id": form.request_id,
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        async for text, last in self._texts(sequence):
            await self.faults.pause()
            await response.write(form.chunk(text, last))
        await response.write(DONE)
        await response.write_eof()
        return response

    async def _post_order(self, request: web.Request) -> web.StreamResponse:
        order = await read_body(request, Order)
        task = asyncio.create_task(self._take_order(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # The order goes on when its sender dies: it is already on the wire.  That is
        # the case against which a take-over has to wait before it trusts the engine's
        # state.
        verdict = await asyncio.shield(task)
        if verdict is Verdict.ACCEPTED and self._loses_order():
            return hang_up(request)
        body = {"order_id": order.order_id, "code": verdict}
        return web.json_response(body, status=_STATUS[verdict])

    async def _take_order(self, order: Order) -> Verdict:
        await asyncio.sleep(self.cfg.order_delay_ms * MS)
        await self.faults.thawed()
        return self.orders.accept(order)

    def _loses_order(self) -> bool:
        if self.orders_to_lose > 0:
            self.orders_to_lose -= 1
            return True
        return self.faults.loses_answer()

    async def _get_state(self, request: web.Request) -> web.Response:
        after = _whole(request, "after")
        wait_ms = min(_whole(request, "wait_ms"), LONGEST_WAIT_MS)
        await self.state.wait_above(after, wait_ms * MS)
        await self.faults.pause()
        return web.json_response(self.state.form())

    async def _get_events(self, request: web.Request) -> web.Response:
        events = self.cache.after(_whole(request, "after"))
        return web.json_response({"events": [asdict(event) for event in events]})

    async def _export_prefix(self, request: web.Request) -> web.Response:
        return await export_prefix(request, self.cache)

    async def _import_prefix(self, request: web.Request) -> web.Response:
        return await import_prefix(request, self.cache)

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"incarnation": self.state.incarnation})

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.requests.runs))

    async def _get_control(self, request: web.Request) -> web.Response:
        counts = asdict(self.requests)
        del counts["runs"]
        body = counts | {
            "incarnation": self.state.incarnation,
            "mode": self.faults.mode,
            "orders": asdict(self.orders.counts),
            "running": self.state.running,
            "waiting": self.state.waiting,
            "loaded": sorted(self.state.replicas),
            "max_loaded": self.state.most_loaded,
            "overcommitted": self.state.overcommitted,
            "overcommits": self.state.overcommits,
            "max_memory_used": self.state.most_memory_used,
        }
        return web.json_response(body)

    async def _post_control(self, request: web.Request) -> web.Response:
        order = await read_body(request, EngineOrder)
        self.faults.set_mode(order.mode, order.delay_ms, order.count)
        self._set_faults(order)
        self._set_config(order)
        if order.freeze_ms:
            self.faults.freeze(order.freeze_ms)
        if order.reset:
            self.reset_counts()
        if order.crash:
            await self.crash()
        return await self._get_control(request)

    def _set_faults(self, order: EngineOrder) -> None:
        if order.fail_loads is not None:
            self.orders.faults.fail_loads = order.fail_loads
        if order.load_factor is not None:
            self.orders.faults.load_factor = order.load_factor
        if order.lose_orders is not None:
            self.orders_to_lose = order.lose_orders
        if order.cut_streams is not None:
            self.cuts.left = order.cut_streams
            self.cuts.after = order.cut_after
        for model, tier in order.tiers.items():
            self.state.set_tier(model, tier)

    def _set_config(self, order: EngineOrder) -> None:
        names = ("order_delay_ms", "fencing", "report_lag_ms", "token_ms")
        for name in names:
            value = getattr(order, name)
            if value is not None:
                setattr(self.cfg, name, value)

    def reset_counts(self) -> None:
        """Sets the counts to zero and forgets a recorded overcommitment."""
        self.requests = RequestCounts()
        self.orders.counts = type(self.orders.counts)()
        self.state.reset_records()


def _error(status: int, code: str, text: str) -> web.Response:
    body = {"error": {"message": text, "type": "invalid_request", "code": code}}
    return web.json_response(body, status=status)


def _whole(request: web.Request, name: str) -> int:
    raw = request.query.get(name, "0")
    if not raw.isdigit():
        text = json.dumps({"error": f"{name} {raw!r} is not a whole number"})
        raise web.HTTPBadRequest(text=text, content_type="application/json")
    return int(raw)


def _priority(request: web.Request) -> int:
    raw = request.headers.get("X-Priority", "")
    return int(raw) if raw.isdigit() else DEFAULT_PRIORITY
