"""The stand-in for the weight store, which all engines share.

Up to a number of transfers run at full speed at once; above it, all slow down alike.
"""

import asyncio
from dataclasses import dataclass

import click
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bambootiller_standins._border import read_body
from bambootiller_standins._faults import MS, FaultMode
from bambootiller_standins._server import LOOPBACK, StandIn, serve

TICK_SECONDS = 0.005
FULL_SPEED_TRANSFERS = 4


class StoreOrder(BaseModel):
    """The body of ``POST /control``; *speed* is the part of the full speed at which
    each transfer runs.
    """

    model_config = ConfigDict(extra="forbid")

    mode: FaultMode | None = None
    delay_ms: int = Field(default=0, ge=0)
    count: int = 0
    speed: float | None = Field(default=None, ge=0)
    reset: bool = False


@dataclass(eq=False, slots=True)
class _Transfer:
    model: str
    left_ms: float


class WeightStore(StandIn):
    """Answers ``GET /weights/{model}?work_ms=N`` when a transfer is through that takes
    N milliseconds at full speed.

    *starts_per_second* limits how many transfers begin in a second, 0 for no limit;
    those above it wait.  Closing the connection ends the transfer.

    >>> store = WeightStore(full_speed=4)
    >>> await store.start()
    """

    def __init__(
        self,
        *,
        full_speed: int = FULL_SPEED_TRANSFERS,
        starts_per_second: float = 0,
        **options: object,
    ) -> None:
        super().__init__(**options)
        self.full_speed = full_speed
        self.starts_per_second = starts_per_second
        self.speed = 1.0
        self.started = 0
        self.finished = 0
        self.most_at_once = 0
        self._next_start = 0.0
        self._running: set[_Transfer] = set()

    def routes(self) -> list[web.RouteDef]:
        """Returns the transfer call and the control path."""
        return [
            web.get("/weights/{model}", self._fetch),
            web.get("/control", self._get_control),
            web.post("/control", self._post_control),
        ]

    def transfer_speed(self) -> float:
        """Returns the speed of each transfer now, 1 for full speed."""
        running = max(1, len(self._running))
        return self.speed * min(1.0, self.full_speed / running)

    async def _fetch(self, request: web.Request) -> web.Response:
        try:
            work_ms = float(request.query.get("work_ms", "0"))
        except ValueError as exc:
            text = f"work_ms {request.query['work_ms']!r} is not a number"
            raise web.HTTPBadRequest(text=text) from exc
        await self._await_start()
        transfer = _Transfer(request.match_info["model"], work_ms)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.started += 1
        self._running.add(transfer)
        self.most_at_once = max(self.most_at_once, len(self._running))
        try:
            await self._work_off(transfer)
        finally:
            self._running.discard(transfer)
        self.finished += 1
        took_ms = (loop.time() - begun) / MS
        return web.json_response({"model": transfer.model, "took_ms": took_ms})

    async def _await_start(self) -> None:
        if self.starts_per_second <= 0:
            return
        now = asyncio.get_running_loop().time()
        start = max(now, self._next_start)
        self._next_start = start + 1 / self.starts_per_second
        await asyncio.sleep(start - now)

    async def _work_off(self, transfer: _Transfer) -> None:
        loop = asyncio.get_running_loop()
        last = loop.time()
        while transfer.left_ms > 0:
            speed = self.transfer_speed()
            rest = transfer.left_ms * MS / speed if speed > 0 else TICK_SECONDS
            await asyncio.sleep(min(TICK_SECONDS, rest))
            await self.faults.pause()
            now = loop.time()
            transfer.left_ms -= (now - last) / MS * speed
            last = now

    async def _get_control(self, request: web.Request) -> web.Response:
        body = {
            "mode": self.faults.mode,
            "speed": self.speed,
            "running": len(self._running),
            "started": self.started,
            "finished": self.finished,
            "most_at_once": self.most_at_once,
        }
        return web.json_response(body)

    async def _post_control(self, request: web.Request) -> web.Response:
        order = await read_body(request, StoreOrder)
        self.faults.set_mode(order.mode, order.delay_ms, order.count)
        if order.speed is not None:
            self.speed = order.speed
        if order.reset:
            self.started = 0
            self.finished = 0
            self.most_at_once = len(self._running)
        return await self._get_control(request)


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option(
    "--full-speed",
    default=FULL_SPEED_TRANSFERS,
    show_default=True,
    help="Transfers at once that run at full speed.",
)
@click.option(
    "--starts-per-second", default=0.0, help="Limit of begun transfers; 0 for none."
)
def main(**options: object) -> None:
    """Run a weight store whose transfers slow each other down above a number at once.

    POST /control sets mode and speed; GET /control counts.  Prints one JSON line with
    the port when it is bound.
    """
    serve(lambda: WeightStore(**options))


if __name__ == "__main__":
    main()
