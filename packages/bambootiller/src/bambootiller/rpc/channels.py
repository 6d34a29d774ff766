"""Clients of the protocol between processes: one kept channel for each address."""

from __future__ import annotations

import grpc

from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller.rpc.credentials import channel_credentials
from bambootiller.rpc.limits import FLOW_OPTIONS, LARGEST_MESSAGE_BYTES
from bambootiller.settings import Settings

#: A peer that vanished without closing its connection (a cut cable, a lost zone) is
#: noticed by missing answers to keep-alive pings; without them a stream would hang
#: until the request's deadline. The ping interval is the longest silence taken for
#: life.
KEEPALIVE_INTERVAL_MS = 2_000
KEEPALIVE_TIMEOUT_MS = 2_000

#: After a failed connection the next try comes soon: a restarted process takes new work
#: within this time, and the number of peers that one process calls is bounded.
RECONNECT_MAX_MS = 1_000

#: A channel that nobody has used for this long gives up its connection, and makes a new
#: one on its next call. An entry calls thousands of agents in a day, a few at a time,
#: and each open connection takes tens of kilobytes at both ends.
IDLE_TIMEOUT_MS = 60_000

CHANNEL_OPTIONS = (
    ("grpc.client_idle_timeout_ms", IDLE_TIMEOUT_MS),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.max_receive_message_length", LARGEST_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    *FLOW_OPTIONS,
    ("grpc.use_local_subchannel_pool", 1),
)


class Channels:
    """Stubs by address. Channels are made on first use and kept until dropped.

    Example::

        stub = channels.backend("127.0.0.1:7001")
        async for event in stub.Serve(request, timeout=3.0): ...
    """

    def __init__(self, cfg: Settings) -> None:
        self._credentials = channel_credentials(cfg)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._peers: dict[str, api.PeerStub] = {}
        self._backends: dict[str, api.BackendStub] = {}
        self._residencies: dict[str, api.ResidencyStub] = {}
        self._closing: list[grpc.aio.Channel] = []

    def peer(self, address: str) -> api.PeerStub:
        """The stub of the ``Peer`` service at ``address`` (``host:port``)."""
        stub = self._peers.get(address)
        if stub is None:
            stub = self._peers[address] = api.PeerStub(self._channel(address))
        return stub

    def backend(self, address: str) -> api.BackendStub:
        """The stub of the ``Backend`` service at ``address`` (``host:port``)."""
        stub = self._backends.get(address)
        if stub is None:
            stub = self._backends[address] = api.BackendStub(self._channel(address))
        return stub

    def residency(self, address: str) -> api.ResidencyStub:
        """The stub of the ``Residency`` service at ``address`` (``host:port``)."""
        stub = self._residencies.get(address)
        if stub is None:
            stub = self._residencies[address] = api.ResidencyStub(
                self._channel(address)
            )
        return stub

    async def drop(self, address: str) -> None:
        """Close the channel to a process that is gone; calls on it end with an
        error."""
        self._peers.pop(address, None)
        self._backends.pop(address, None)
        self._residencies.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self.drop(address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    def _open(self, address: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        return grpc.aio.secure_channel(
            address, self._credentials, options=CHANNEL_OPTIONS
        )
