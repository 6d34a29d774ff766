"""The stand-in for the platform's instance list.

The true list is set under ``/control/instances``; ``GET /instances`` answers with the
list as it stood a lag ago, in the published HTTP service-discovery JSON.
"""

import asyncio
import collections
from collections.abc import Iterable
from dataclasses import dataclass

import click
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, RootModel

from bambootiller_standins._border import read_body
from bambootiller_standins._faults import MS, FaultMode
from bambootiller_standins._server import LOOPBACK, StandIn, serve


class ListedInstance(BaseModel):
    """One entry of the list: the RPC address, and the labels instance, role, zone,
    region and state.
    """

    targets: list[str]
    labels: dict[str, str] = {}


class InstanceListBody(RootModel[list[ListedInstance]]):
    """The body of ``PUT /control/instances``."""


class ListOrder(BaseModel):
    """The body of ``POST /control``."""

    model_config = ConfigDict(extra="forbid")

    mode: FaultMode | None = None
    delay_ms: int = Field(default=0, ge=0)
    count: int = 0
    lag_ms: float | None = Field(default=None, ge=0)


@dataclass(frozen=True, slots=True)
class _Edition:
    since: float
    instances: tuple[ListedInstance, ...]


class InstanceList(StandIn):
    """A list of instances that is shown *lag_ms* milliseconds late.

    The first list that is set shows at once, since a test has nothing to compare it
    with; every later one lags.

    >>> listing = InstanceList(lag_ms=500)
    >>> await listing.start()
    >>> listing.set([ListedInstance(targets=["127.0.0.1:7001"])])
    """

    def __init__(self, *, lag_ms: float = 0, **options: object) -> None:
        super().__init__(**options)
        self.lag_ms = lag_ms
        self.reads = 0
        self._editions: collections.deque[_Edition] = collections.deque()

    def routes(self) -> list[web.RouteDef]:
        """Returns the published call and the control paths."""
        return [
            web.get("/instances", self._get),
            web.put("/control/instances", self._put),
            web.get("/control/instances", self._get_true),
            web.get("/control", self._get_control),
            web.post("/control", self._post_control),
        ]

    def set(self, instances: Iterable[ListedInstance], *, lag: bool = True) -> None:
        """Sets the true list; without *lag* it shows at once."""
        now = asyncio.get_running_loop().time()
        if not self._editions or not lag:
            self._editions.clear()
            now -= self.lag_ms * MS
        self._editions.append(_Edition(now, tuple(instances)))

    def shown(self) -> tuple[ListedInstance, ...]:
        """Returns the list that a reader gets now."""
        due = asyncio.get_running_loop().time() - self.lag_ms * MS
        while len(self._editions) > 1 and self._editions[1].since <= due:
            self._editions.popleft()
        return self._editions[0].instances if self._editions else ()

    async def _get(self, request: web.Request) -> web.Response:
        self.reads += 1
        return _answer(self.shown())

    async def _get_true(self, request: web.Request) -> web.Response:
        return _answer(self._editions[-1].instances if self._editions else ())

    async def _put(self, request: web.Request) -> web.Response:
        body = await read_body(request, InstanceListBody)
        self.set(body.root, lag=request.query.get("lag") != "no")
        return web.json_response({"count": len(body.root)})

    async def _get_control(self, request: web.Request) -> web.Response:
        body = {"mode": self.faults.mode, "lag_ms": self.lag_ms, "reads": self.reads}
        return web.json_response(body)

    async def _post_control(self, request: web.Request) -> web.Response:
        order = await read_body(request, ListOrder)
        self.faults.set_mode(order.mode, order.delay_ms, order.count)
        if order.lag_ms is not None:
            self.lag_ms = order.lag_ms
        return await self._get_control(request)


def _answer(instances: Iterable[ListedInstance]) -> web.Response:
    return web.json_response([instance.model_dump() for instance in instances])


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--lag-ms", default=0.0, help="How late a change of the list shows.")
def main(**options: object) -> None:
    """Run a lagging instance list in HTTP service-discovery JSON.

    Set the true list by PUT /control/instances (``?lag=no`` shows it at once), faults
    and the lag by POST /control. Prints one JSON line with the port when it is bound.
    """
    serve(lambda: InstanceList(**options))


if __name__ == "__main__":
    main()
