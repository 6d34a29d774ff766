"""A sink for statsd metrics: takes UDP packets, adds them up, shows the totals over
HTTP.
"""

import asyncio
from dataclasses import asdict, dataclass, field

import click
from aiohttp import web

from bambootiller_standins._server import LOOPBACK, StandIn, serve

COUNTER = "c"
GAUGE = "g"
TIMER_KINDS = ("ms", "h", "d")
SET = "s"


@dataclass(slots=True)
class TimerTotal:
    """What is kept of a timer; values are milliseconds."""

    count: int = 0
    sum: float = 0.0
    max: float = 0.0


@dataclass(slots=True)
class Totals:
    """Everything that the sink has added up."""

    packets: int = 0
    bytes: int = 0
    malformed: int = 0
    counters: dict[str, float] = field(default_factory=dict)
    gauges: dict[str, float] = field(default_factory=dict)
    timers: dict[str, TimerTotal] = field(default_factory=dict)
    sets: dict[str, int] = field(default_factory=dict)


class StatsdSink(StandIn, asyncio.DatagramProtocol):
    """Adds up what arrives at *udp_port*; ``GET /totals`` shows it, ``POST
    /control/reset`` clears it.

    >>> sink = StatsdSink()
    >>> await sink.start()
    >>> sink.totals.counters["requests"]
    3.0
    """

    def __init__(self, *, udp_port: int = 0, **options: object) -> None:
        super().__init__(**options)
        self.udp_port = udp_port
        self.totals = Totals()
        self._members: dict[str, set[str]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def routes(self) -> list[web.RouteDef]:
        """Returns the paths that show and clear the totals."""
        return [
            web.get("/totals", self._get_totals),
            web.post("/control/reset", self._reset),
        ]

    def ready_fields(self) -> dict[str, object]:
        """Returns both ports."""
        return {"port": self.port, "udp_port": self.udp_port}

    async def on_start(self) -> None:
        """Binds the UDP port."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.udp_port)
        )
        self.udp_port = self._transport.get_extra_info("sockname")[1]

    async def on_stop(self) -> None:
        """Closes the UDP port."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Adds up one packet; a malformed line is counted and left out."""
        self.totals.packets += 1
        self.totals.bytes += len(data)
        for line in data.decode(errors="replace").splitlines():
            try:
                self._add(line)
            except ValueError:
                self.totals.malformed += 1

    def _add(self, line: str) -> None:
        name, _, rest = line.rpartition(":")
        value, kind, *options = rest.split("|")
        rate = 1.0
        for option in options:
            if option.startswith("@"):
                rate = float(option[1:])
        if kind == COUNTER:
            counters = self.totals.counters
            counters[name] = counters.get(name, 0.0) + float(value) / rate
        elif kind == GAUGE:
            self._set_gauge(name, value)
        elif kind in TIMER_KINDS:
            self._add_time(name, float(value))
        elif kind == SET:
            members = self._members.setdefault(name, set())
            members.add(value)
            self.totals.sets[name] = len(members)
        else:
            raise ValueError(f"kind {kind!r} is none of c, g, ms, h, d, s")

    def _set_gauge(self, name: str, value: str) -> None:
        change = float(value)
        if value[0] in "+-":
            change += self.totals.gauges.get(name, 0.0)
        self.totals.gauges[name] = change

    def _add_time(self, name: str, value: float) -> None:
        timer = self.totals.timers.setdefault(name, TimerTotal())
        timer.count += 1
        timer.sum += value
        timer.max = max(timer.max, value)

    async def _get_totals(self, request: web.Request) -> web.Response:
        return web.json_response(asdict(self.totals))

    async def _reset(self, request: web.Request) -> web.Response:
        self.totals = Totals()
        self._members.clear()
        return web.json_response({})


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="HTTP port; 0 lets the kernel choose.")
@click.option("--udp-port", default=0, help="UDP port; 0 lets the kernel choose.")
def main(**options: object) -> None:
    """Run a sink for statsd metrics.

    GET /totals shows what has been added up, POST /control/reset clears it.  Prints one
    JSON line with both ports (port, udp_port) when they are bound.
    """
    serve(lambda: StatsdSink(**options))


if __name__ == "__main__":
    main()
