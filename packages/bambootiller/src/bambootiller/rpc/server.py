"""The process's one gRPC server."""

from __future__ import annotations

from collections.abc import Callable

import grpc

from bambootiller.exits import PortTaken
from bambootiller.rpc.credentials import server_credentials
from bambootiller.rpc.limits import FLOW_OPTIONS, LARGEST_MESSAGE_BYTES
from bambootiller.settings import Settings

Register = Callable[[grpc.aio.Server], None]

SERVER_OPTIONS = (
    # Two processes that share a port would each get some of the calls meant for one.
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", LARGEST_MESSAGE_BYTES),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_ping_strikes", 0),
    *FLOW_OPTIONS,
)


class RpcServer:
    """A gRPC server that parts register their services with before it starts."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._register: list[Register] = []
        self._server: grpc.aio.Server | None = None
        self.port = 0

    def add(self, register: Register) -> None:
        """Call ``register(server)`` before the server starts."""
        self._register.append(register)

    async def start(self) -> None:
        """Bind the address and serve; :attr:`port` holds the bound port."""
        server = grpc.aio.server(options=SERVER_OPTIONS)
        for register in self._register:
            register(server)
        self.port = self._bind(server, str(self._cfg.rpc_listen))
        await server.start()
        self._server = server

    async def stop(self, grace: float) -> None:
        """Take no new calls; cut those that run longer than ``grace`` seconds."""
        if self._server is not None:
            await self._server.stop(grace)

    def _bind(self, server: grpc.aio.Server, address: str) -> int:
        credentials = server_credentials(self._cfg)
        try:
            if credentials is None:
                return server.add_insecure_port(address)
            return server.add_secure_port(address, credentials)
        except RuntimeError as exc:
            raise PortTaken(f"--rpc-listen {address} can't be bound: {exc}") from exc
