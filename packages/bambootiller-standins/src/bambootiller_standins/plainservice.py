"""The stand-in for a plain service with a call that may not be repeated.

It counts how often each call has run, so that a test can tell a doubled call from an
answer that was kept.
"""

import asyncio
import collections
import json

import click
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bambootiller_standins._border import read_body
from bambootiller_standins._faults import MS, FaultMode, hang_up
from bambootiller_standins._server import LOOPBACK, StandIn, serve

KEY_HEADERS = ("X-Idempotency", "Idempotency-Key")


class PlainOrder(BaseModel):
    """The body of ``POST /control``."""

    model_config = ConfigDict(extra="forbid")

    mode: FaultMode | None = None
    delay_ms: int = Field(default=0, ge=0)
    count: int = Field(default=0, ge=0)
    before_ms: float | None = Field(default=None, ge=0)
    after_ms: float | None = Field(default=None, ge=0)
    fail_next: int | None = Field(default=None, ge=0)
    reset: bool = False


class PlainService(StandIn):
    """Answers any method under any path with the body it got and the number of the run.

    A call waits *before_ms*, runs (it is counted), waits *after_ms*, and is answered.
    A call that has arrived runs even if its caller goes away, as with a real service.
    The key of a call is the header ``X-Idempotency`` or ``Idempotency-Key``, else the
    field ``id`` of its JSON body.

    >>> service = PlainService(after_ms=200)
    >>> await service.start()
    >>> service.runs["push-1"]
    0
    """

    def __init__(
        self, *, before_ms: float = 0, after_ms: float = 0, **options: object
    ) -> None:
        super().__init__(**options)
        self.before_ms = before_ms
        self.after_ms = after_ms
        self.fail_next = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.total = 0
        self.arrived = 0
        self._tasks: set[asyncio.Task] = set()

    def routes(self) -> list[web.RouteDef]:
        """Returns the control paths, and the call under every other path."""
        return [
            web.get("/control/runs", self._get_runs),
            web.get("/control", self._get_control),
            web.post("/control", self._post_control),
            web.route("*", "/{path:.*}", self._call),
        ]

    async def on_stop(self) -> None:
        """Ends the calls that still run."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.arrived += 1
        task = asyncio.create_task(self._run(request, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # The run goes on when the caller's connection closes.  Otherwise a cut would
        # undo the call, and no test could catch a system that repeats a call whose
        # first run took effect.
        return await asyncio.shield(task)

    async def _run(self, request: web.Request, body: bytes) -> web.Response:
        await asyncio.sleep(self.before_ms * MS)
        await self.faults.thawed()
        if self.fail_next > 0:
            self.fail_next -= 1
            return web.json_response({"error": "ordered to fail"}, status=500)
        key = _key(request, body)
        self.runs[key] += 1
        self.total += 1
        answer = {
            "key": key,
            "run": self.runs[key],
            "number": self.total,
            "method": request.method,
            "path": request.path,
            "request_id": request.headers.get("X-Request-Id"),
            "echo": body.decode(errors="replace"),
        }
        await asyncio.sleep(self.after_ms * MS)
        if self.faults.loses_answer():
            return hang_up(request)
        return web.json_response(answer)

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs))

    async def _get_control(self, request: web.Request) -> web.Response:
        body = {
            "mode": self.faults.mode,
            "before_ms": self.before_ms,
            "after_ms": self.after_ms,
            "arrived": self.arrived,
            "total": self.total,
            "running": len(self._tasks),
            "lost_answers": self.faults.lost_answers,
        }
        return web.json_response(body)

    async def _post_control(self, request: web.Request) -> web.Response:
        order = await read_body(request, PlainOrder)
        self.faults.set_mode(order.mode, order.delay_ms, order.count)
        if order.before_ms is not None:
            self.before_ms = order.before_ms
        if order.after_ms is not None:
            self.after_ms = order.after_ms
        if order.fail_next is not None:
            self.fail_next = order.fail_next
        if order.reset:
            self.runs.clear()
            self.total = 0
            self.arrived = 0
        return await self._get_control(request)


def _key(request: web.Request, body: bytes) -> str:
    for name in KEY_HEADERS:
        if name in request.headers:
            return request.headers[name]
    try:
        fields = json.loads(body)
    except ValueError:
        return ""
    return str(fields.get("id", "")) if isinstance(fields, dict) else ""


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--before-ms", default=0.0, help="Wait before a call runs.")
@click.option("--after-ms", default=0.0, help="Wait after it ran, before the answer.")
def main(**options: object) -> None:
    """Run a plain service whose calls are counted by key.

    GET /control/runs shows the runs by key; POST /control sets before_ms, after_ms,
    fail_next, mode, reset.  Prints one JSON line with the port when it is bound.
    """
    serve(lambda: PlainService(**options))


if __name__ == "__main__":
    main()
