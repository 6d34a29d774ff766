"""What all stand-ins share: an HTTP server that can be started in process or as a
program.

A stand-in is a class with routes.  A test starts it in its own event loop by ``await
standin.start()`` and reads ``standin.port``; a program hands it to :func:`serve`, which
prints one JSON line when the port is bound and runs until SIGTERM or SIGINT.
"""

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Sequence

from aiohttp import web

from bambootiller_standins._faults import FaultGate

LOOPBACK = "127.0.0.1"
STOP_SECONDS = 0.2
LARGEST_BODY_BYTES = 8 * 1024 * 1024


class StandIn:
    """Base of every stand-in: binds a port, serves routes, and stops without waiting
    for open streams.

    Subclasses override :meth:`routes`, and :meth:`on_start` and :meth:`on_stop` where
    they own tasks.  Every route but those under ``/control`` passes the fault gate
    first, so that a test can always lift a fault again.

    >>> service = KeyValueService()
    >>> await service.start()
    >>> service.url
    'http://127.0.0.1:40123'
    """

    def __init__(self, *, host: str = LOOPBACK, port: int = 0) -> None:
        self.host = host
        self.port = port
        self.faults = FaultGate()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base address, without a trailing slash."""
        return f"http://{self.host}:{self.port}"

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Returns the routes to serve."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Runs before the port is bound."""

    async def on_stop(self) -> None:
        """Runs after the port is closed."""

    def ready_fields(self) -> dict[str, object]:
        """Returns what the ready line says besides ``ready``."""
        return {"port": self.port}

    async def start(self) -> int:
        """Binds the port and returns it."""
        app = web.Application(
            middlewares=[self._guard], client_max_size=LARGEST_BODY_BYTES
        )
        app.add_routes(self.routes())
        await self.on_start()
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=STOP_SECONDS,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        return self.port

    async def stop(self) -> None:
        """Closes the port and every connection."""
        if self._runner is None:
            return
        self.faults.release_all()
        await self._runner.cleanup()
        self._runner = None
        await self.on_stop()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        if request.path.startswith("/control"):
            return await handler(request)
        return await self.faults.guard(request, handler)


async def _run_until_signal(standin: StandIn) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    await standin.start()
    print(json.dumps({"ready": True, **standin.ready_fields()}), flush=True)
    await stopping.wait()
    await standin.stop()


def serve(build: Callable[[], StandIn]) -> None:
    """Runs a stand-in as a program until SIGTERM or SIGINT.

    *build* is called inside the running loop, so that a stand-in may make tasks and
    events in its constructor.
    """

    async def run() -> None:
        await _run_until_signal(build())

    asyncio.run(run())
    sys.stdout.flush()
