"""The HTTP side of the key-value service."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from http import HTTPStatus

import pydantic
from aiohttp import web

from bambootiller_standins._border import read_body
from bambootiller_standins._faults import FaultOrder, hang_up
from bambootiller_standins._server import StandIn
from bambootiller_standins.keyvalue import (
    _forms as forms,
    _messages as messages,
    _transactions as transactions,
)
from bambootiller_standins.keyvalue._limits import CallCounts, RateLimit
from bambootiller_standins.keyvalue._store import (
    Compacted,
    FutureRevision,
    Store,
    UnknownLease,
)
from bambootiller_standins.keyvalue._watches import Watch, Watches

EXPIRY_SECONDS = 0.05
PROGRESS_SECONDS = 600.0

INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11

_ERRORS: dict[type[Exception], tuple[int, HTTPStatus, str]] = {
    UnknownLease: (
        NOT_FOUND,
        HTTPStatus.NOT_FOUND,
        "etcdserver: requested lease not found",
    ),
    Compacted: (
        OUT_OF_RANGE,
        HTTPStatus.BAD_REQUEST,
        "etcdserver: mvcc: required revision has been compacted",
    ),
    FutureRevision: (
        OUT_OF_RANGE,
        HTTPStatus.BAD_REQUEST,
        "etcdserver: mvcc: required revision is a future revision",
    ),
    transactions.DuplicateKey: (
        INVALID_ARGUMENT,
        HTTPStatus.BAD_REQUEST,
        "etcdserver: duplicate key given in txn request",
    ),
    transactions.ValueTooLarge: (
        INVALID_ARGUMENT,
        HTTPStatus.BAD_REQUEST,
        "etcdserver: request is too large",
    ),
}

Answer = Callable[[web.Request], Awaitable[forms.Form]]


def _error(code: int, status: HTTPStatus, text: str) -> web.Response:
    body = {"error": text, "code": code, "message": text}
    return web.json_response(body, status=status)


class KeyValueService(StandIn):
    """The stand-in for the platform's key-value service, with the published etcd v3
    JSON gateway.

    Limits are calls a second, 0 for none; ``progress_seconds`` is how long a quiet
    watch that asked for it waits for a progress message.  Faults and counts are under
    ``/control``.

    >>> service = KeyValueService(writes_per_second=300, reads_per_second=2000)
    >>> await service.start()
    """

    def __init__(
        self,
        *,
        writes_per_second: float = 0,
        reads_per_second: float = 0,
        progress_seconds: float = PROGRESS_SECONDS,
        **options: object,
    ) -> None:
        super().__init__(**options)
        self.counts = CallCounts()
        self.store = Store(self._committed)
        self._progress_seconds = progress_seconds
        self._write_limit = RateLimit(writes_per_second)
        self._read_limit = RateLimit(reads_per_second)
        self._watches = Watches()
        self._expiry: asyncio.Task | None = None

    def routes(self) -> list[web.RouteDef]:
        """Returns the calls of the gateway, and the control path."""
        return [
            web.post("/v3/kv/range", self._reading(self._range)),
            web.post("/v3/kv/put", self._writing(self._put)),
            web.post("/v3/kv/deleterange", self._writing(self._delete_range)),
            web.post("/v3/kv/txn", self._writing(self._txn)),
            web.post("/v3/kv/compaction", self._writing(self._compact)),
            web.post("/v3/lease/grant", self._writing(self._grant)),
            web.post("/v3/lease/keepalive", self._writing(self._keep_alive)),
            web.post("/v3/lease/revoke", self._writing(self._revoke)),
            web.post("/v3/kv/lease/revoke", self._writing(self._revoke)),
            web.post("/v3/watch", self._watch),
            web.get("/control", self._get_control),
            web.post("/control", self._post_control),
        ]

    async def on_start(self) -> None:
        """Starts the expiry of leases."""
        self._expiry = asyncio.create_task(self._expire_forever())

    async def on_stop(self) -> None:
        """Ends the expiry of leases."""
        self._expiry.cancel()
        await asyncio.gather(self._expiry, return_exceptions=True)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _committed(self, changes: list) -> None:
        self._watches.deliver(changes)

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            self.store.expire(self._now())

    def _reading(self, answer: Answer) -> Callable:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.counts.reads += 1
            if not self._read_limit.take(self._now()):
                return self._too_many()
            return await self._run(request, answer)

        return handle

    def _writing(self, answer: Answer) -> Callable:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.counts.writes += 1
            if not self._write_limit.take(self._now()):
                return self._too_many()
            response = await self._run(request, answer)
            if response.status == HTTPStatus.OK and self.faults.loses_answer():
                return hang_up(request)
            return response

        return handle

    def _too_many(self) -> web.Response:
        self.counts.refused += 1
        return _error(
            RESOURCE_EXHAUSTED,
            HTTPStatus.TOO_MANY_REQUESTS,
            "etcdserver: too many requests",
        )

    async def _run(self, request: web.Request, answer: Answer) -> web.Response:
        self.counts.bytes_in += request.content_length or 0
        try:
            form = await answer(request)
        except tuple(_ERRORS) as exc:
            return _error(*_ERRORS[type(exc)])
        response = web.json_response(form)
        self.counts.bytes_out += len(response.body)
        return response

    async def _range(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.RangeRequest)
        return transactions.run_range(self.store, req)

    async def _put(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.PutRequest)
        op = messages.RequestOp(request_put=req)
        transactions.check_ops(self.store, [op])
        self.store.begin()
        form = transactions.run_put(self.store, req)
        self.store.commit()
        return {"header": forms.header(self.store.revision)} | form

    async def _delete_range(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.DeleteRangeRequest)
        self.store.begin()
        form = transactions.run_delete(self.store, req)
        self.store.commit()
        return {"header": forms.header(self.store.revision)} | form

    async def _txn(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.TxnRequest)
        return transactions.run_txn(self.store, req)

    async def _compact(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.CompactionRequest)
        self.store.compact(req.revision)
        return {"header": forms.header(self.store.revision)}

    async def _grant(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.LeaseGrantRequest)
        lease = self.store.grant(req.ID, req.TTL, self._now())
        return {
            "header": forms.header(self.store.revision),
            "ID": str(lease.lease_id),
            "TTL": str(lease.ttl),
        }

    async def _keep_alive(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.LeaseRequest)
        self.counts.keepalives += 1
        lease = self.store.keep_alive(req.ID, self._now())
        result = {"header": forms.header(self.store.revision), "ID": str(req.ID)}
        if lease is not None:
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    async def _revoke(self, request: web.Request) -> forms.Form:
        req = await read_body(request, messages.LeaseRequest)
        self.store.revoke(req.ID)
        return {"header": forms.header(self.store.revision)}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        creates = await _read_creates(request)
        if not self._read_limit.take(self._now()):
            return self._too_many()
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        await response.prepare(request)
        lock = asyncio.Lock()
        self.counts.watches_opened += len(creates)
        self.counts.watches += len(creates)
        tasks = [
            asyncio.create_task(self._feed(response, lock, create, number))
            for number, create in enumerate(creates)
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            self.counts.watches -= len(creates)
            for task in tasks:
                task.cancel()
        return response

    async def _feed(
        self,
        response: web.StreamResponse,
        lock: asyncio.Lock,
        create: messages.WatchCreate,
        number: int,
    ) -> None:
        watch_id = create.watch_id or number
        # The history is read and the watch is added without a wait in between.  A
        # change that fell between the two would otherwise reach nobody, and the watcher
        # would miss it for good.
        first = self.store.revision + 1
        try:
            past = self._past(create)
        except Compacted:
            await self._send(response, lock, self._canceled(watch_id))
            return
        watch = Watch(
            create.key, create.range_end, max(first, create.start_revision), watch_id
        )
        self._watches.add(watch)
        try:
            await self._send(response, lock, self._created(watch_id, first - 1))
            if past:
                form = forms.watch_events(past, first - 1, watch_id)
                await self._send(response, lock, form)
            await self._pump(response, lock, watch, create.progress_notify)
        finally:
            self._watches.discard(watch)

    def _past(self, create: messages.WatchCreate) -> list:
        if not 0 < create.start_revision <= self.store.revision:
            return []
        return self.store.history(create.key, create.range_end, create.start_revision)

    async def _pump(
        self,
        response: web.StreamResponse,
        lock: asyncio.Lock,
        watch: Watch,
        progress: bool,
    ) -> None:
        patience = self._progress_seconds if progress else None
        while True:
            try:
                delivery = await asyncio.wait_for(watch.queue.get(), patience)
                form = forms.watch_events(
                    delivery.changes, delivery.revision, watch.watch_id
                )
            except TimeoutError:
                form = forms.watch_events([], self.store.revision, watch.watch_id)
            await self.faults.pause()
            await self._send(response, lock, form)

    async def _send(
        self, response: web.StreamResponse, lock: asyncio.Lock, form: forms.Form
    ) -> None:
        line = json.dumps(form).encode() + b"\n"
        self.counts.bytes_out += len(line)
        async with lock:
            await response.write(line)

    def _created(self, watch_id: int, revision: int) -> forms.Form:
        form = forms.watch_events([], revision, watch_id)
        form["result"]["created"] = True
        return form

    def _canceled(self, watch_id: int) -> forms.Form:
        form = forms.watch_events([], self.store.revision, watch_id)
        form["result"]["canceled"] = True
        form["result"]["compact_revision"] = str(self.store.compacted)
        return form

    async def _get_control(self, request: web.Request) -> web.Response:
        body = asdict(self.counts) | {
            "mode": self.faults.mode,
            "lost_answers": self.faults.lost_answers,
            "revision": self.store.revision,
            "leases": len(self.store.leases),
        }
        return web.json_response(body)

    async def _post_control(self, request: web.Request) -> web.Response:
        order = await read_body(request, FaultOrder)
        self.faults.apply(order)
        if order.reset:
            self.counts.reset()
        return await self._get_control(request)


async def _read_creates(request: web.Request) -> list[messages.WatchCreate]:
    """Reads the watch requests of a body; several may follow one another."""
    text = (await request.read()).decode()
    decoder = json.JSONDecoder()
    creates = []
    while text := text.lstrip():
        try:
            raw, end = decoder.raw_decode(text)
            creates.append(messages.WatchRequest.model_validate(raw).create_request)
        except (json.JSONDecodeError, pydantic.ValidationError) as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        text = text[end:]
    return creates
