"""Uvicorn, run inside the process's own loop and without its signal handlers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn

from bambootiller import logs
from bambootiller.entry.exchange import TrackedApplication
from bambootiller.exits import PortTaken
from bambootiller.settings import Address

#: Longer than balancers keep idle connections (60 s is customary), so that it is they
#: who close them. Closed from here, a request could be on its way. Seconds.
KEEP_ALIVE_S = 75
BACKLOG = 2048
#: How many connections the loop accepts in one turn. Their protocols, which may close
#: them for want of descriptors, have theirs only some turns later.
ACCEPTED_PER_TURN = 32

log = logs.logger("entry.http")


class _Server(uvicorn.Server):
    """Signals belong to the application object; uvicorn must not take them over."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        # The loop listens anew, with the number that it accepts in one turn.
        for sock in sockets or ():
            sock.listen(BACKLOG)


class HttpServer:
    """The listening socket and the server on it.

    Example::

        server = HttpServer(app, Address("127.0.0.1", 0))
        server.bind()        # server.port is known from here on
        task = asyncio.create_task(server.serve())
        ...
        await server.close_listener()
        await server.stop(5.0)
    """

    def __init__(
        self,
        app: TrackedApplication,
        listen: Address,
        protocol: type[asyncio.Protocol] | str = "auto",
    ) -> None:
        config = uvicorn.Config(
            app,
            http=protocol,
            lifespan="off",
            ws="none",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=1,
            backlog=ACCEPTED_PER_TURN,
        )
        self._server = _Server(config)
        self._listen = listen
        self._socket: socket.socket | None = None
        self._ended = asyncio.Event()
        #: Connections taken by hand, until their protocols have them.
        self._taking: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """The bound port."""
        return self._socket.getsockname()[1]

    def unsent_bytes(self) -> int:
        """How much of the answers waits in this process because the network takes no
        more. Bytes."""
        return sum(
            conn.transport.get_write_buffer_size()
            for conn in self._server.server_state.connections
            if conn.transport is not None
        )

    def bind(self) -> None:
        """Bind and listen; :class:`PortTaken` if that fails."""
        host, port = self._listen.host, self._listen.port
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # With the protocol left out, asyncio doesn't take accepted sockets for TCP and
        # leaves small writes waiting for the caller's acknowledgement: each token that
        # follows another closely comes some 40 ms late.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
            # Listening from here on: whoever is told that the process has started may
            # connect at once, before the server's task has had its first turn.
            sock.listen(BACKLOG)
        except OSError as exc:
            sock.close()
            detail = f"--http-listen {self._listen} can't be bound: {exc}"
            raise PortTaken(detail) from exc
        sock.setblocking(False)
        self._socket = sock

    async def serve(self) -> None:
        """Serve until :meth:`stop`."""
        try:
            await self._server.serve(sockets=[self._socket])
        finally:
            self._ended.set()

    def close(self) -> None:
        """Release the port of a server that hasn't served."""
        self._socket.close()

    async def close_listener(self) -> None:
        """Accept no new connections; those that are open go on.

        Closing resets connections that the kernel has taken and the loop hasn't. The
        loop looks for them once a turn, and a turn of a busy process is long enough for
        some to come; so what is there is taken right before the port is closed.
        """
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self._take_waiting()
        for server in getattr(self._server, "servers", ()):
            server.close()

    def _take_waiting(self) -> None:
        """Serve the connections that wait in the kernel."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                conn, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                log.warning("connections that wait can't be taken: {}", exc)
                return
            conn.setblocking(False)
            serving = loop.connect_accepted_socket(self._protocol, conn)
            task = loop.create_task(serving)
            self._taking.add(task)
            task.add_done_callback(self._taking.discard)

    def _protocol(self) -> asyncio.Protocol:
        server = self._server
        return server.config.http_protocol_class(
            config=server.config,
            server_state=server.server_state,
            app_state=server.lifespan.state,
        )

    async def stop(self, seconds: float) -> None:
        """Close everything, within about ``seconds``."""
        self._server.should_exit = True
        try:
            await asyncio.wait_for(self._ended.wait(), max(0.1, seconds))
        except TimeoutError:
            log.warning("connections were cut {} s after the stop", seconds)
            self._server.force_exit = True
