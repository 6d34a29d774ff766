"""Nodes on loopback in this process: the real component, server, channels and timers."""

from __future__ import annotations

import asyncio

from bambootiller.app import Application
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller.peers import PeerNode
from bambootiller.settings import Address, Settings
from bambootiller_core.ports import KeyValue
from bambootiller_core.types import Role

TIMER_STEP = 0.005
#: Short, so that a test sees a death soon; nothing in a test asserts how soon.
PROBE_INTERVAL_MS = 100


class RunningNode:
    """One process of the fleet, as far as its membership goes."""

    def __init__(self, settings: Settings, kv: KeyValue, role: Role) -> None:
        self.app = Application(settings, role)
        self.app.kv = kv
        self.node = PeerNode(self.app)
        self._timers: asyncio.Task | None = None

    @property
    def instance(self) -> str:
        return self.app.instance

    @property
    def address(self) -> str:
        return self.app.advertised

    async def start(self) -> RunningNode:
        await self.app.rpc.start()
        self._timers = asyncio.create_task(self._run_timers())
        await self.node.start()
        return self

    async def kill(self) -> None:
        """End without a word to anybody."""
        self._timers.cancel()
        await self.node.stop()
        await self.app.rpc.stop(0)
        await self.app.channels.close()
        await self.app.kv.close()

    def status_of(self, other: RunningNode):
        return self.app.membership.status_of(other.instance)

    async def _run_timers(self) -> None:
        while True:
            self.app.timers.advance(self.app.now())
            await asyncio.sleep(TIMER_STEP)


def settings(
    instance: str,
    kv_url: str,
    *,
    zone: str = "az-1",
    instances_url: str | None = None,
    peers: tuple[str, ...] = (),
    **more: object,
) -> Settings:
    """Settings of a node; ``peers`` are addresses of others."""
    return Settings(
        instance=instance,
        zone=zone,
        region="r1",
        kv_url=(kv_url,),
        instances_url=instances_url,
        peers=tuple(_address(peer) for peer in peers),
        probe_interval_ms=PROBE_INTERVAL_MS,
        seed=1,
        **more,
    )


def node(cfg: Settings, role: Role = Role.AGENT) -> RunningNode:
    """A node that isn't started yet."""
    return RunningNode(cfg, EtcdKeyValue(cfg.kv_url, None, None), role)


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
