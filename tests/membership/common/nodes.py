"""Nodes on loopback in this process: the real component, server and channels."""

from __future__ import annotations

import asyncio
import unittest

from bambootiller.app import Application
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller.peers import PeerNode
from bambootiller.settings import Address, Settings
from bambootiller_core.ports import KeyValue, Put
from bambootiller_core.types import Role
from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.testing import eventually

TIMER_STEP = 0.005
#: Short, so that a test sees a death soon; nothing in a test asserts how soon.
PROBE_INTERVAL_MS = 100
KEY = "/bambootiller/templates/forge"


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


class NodesTestCase(unittest.IsolatedAsyncioTestCase):
    """A key-value service, and nodes that end with the test."""

    async def asyncSetUp(self):
        self.service = KeyValueService()
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.nodes: list[RunningNode] = []

    async def start(self, instance: str, **more: object) -> RunningNode:
        """A node in a zone of its own that knows the first one's address."""
        number = len(self.nodes) + 1
        peers = tuple(one.address for one in self.nodes[:1])
        more.setdefault("zone", f"az-{number}")
        cfg = settings(instance, self.service.url, peers=peers, **more)
        made = await node(cfg).start()
        self.nodes.append(made)
        self.addAsyncCleanup(made.kill)
        return made

    async def write(self, value: bytes) -> int:
        outcome = await self.nodes[0].app.kv.transact([], [Put(KEY, value)])
        return outcome.revision

    async def all_hold(self, revision: int) -> None:
        await eventually(
            lambda: all(
                one.app.documents.revision_of(KEY) >= revision for one in self.nodes
            ),
            f"revision {revision} everywhere",
        )
