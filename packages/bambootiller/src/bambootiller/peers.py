"""The component by which a process is a member of the fleet.

It joins the pure parts, :class:`Membership`, :class:`Documents` and :class:`Gossip`, to
the application: its timers, its RPC server and channels, the instance list and, in the
few processes that watch it, the key-value service.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.instances import InstanceList
from bambootiller.peering.calls import PeerCalls
from bambootiller.peering.servicer import PeerServicer
from bambootiller.peering.traffic import Counts, Traffic, resident_bytes
from bambootiller.peering.watcher import Watcher
from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller_core.gossip import Gossip, GossipConfig
from bambootiller_core.membership import (
    Membership,
    MembershipConfig,
    MemberView,
    Status,
)
from bambootiller_core.types import Member, Role

if TYPE_CHECKING:
    from bambootiller.app import Application

LONGEST_TICK = 0.05
REPORT_SECONDS = 10.0
CHOOSE_WATCHERS_SECONDS = 0.5
#: How long a start waits for the documents, from the service or from peers. A process
#: that has none yet goes on, and says that it isn't ready.
START_SECONDS = 2.0
START_POLL = 0.02
#: How long a stopping process waits for its last news to get out.
LEAVING_TOLD_SECONDS = 0.3

#: What brings a member to a status, for ``bambootiller explain instance``.
WHY = {
    Status.ALIVE: "it says so itself",
    Status.SUSPECT: "a probe failed, directly and through others, here or at a peer",
    Status.LEAVING: "it announced its stop, or the instance list shows it as leaving",
    Status.DEAD: "the suspicion was not refuted in time, here or at a peer",
}

log = logs.logger("peers")


class PeerNode:
    """Membership, documents and the ``Peer`` service of one process.

    ``app.membership`` and ``app.instances`` are set by the constructor. Documents go to
    ``app.documents``.
    """

    name = "peers"

    def __init__(self, app: Application) -> None:
        self.app = app
        self.started = False
        self.leaving = False
        self.traffic = Traffic()
        app.membership = _membership(app)
        app.instances = InstanceList(app)
        app.peers = self
        cfg = GossipConfig(
            fanout=app.settings.gossip_fanout,
            watchers_per_zone=app.settings.watchers_per_zone,
        )
        self.gossip = Gossip(app.membership, app.documents, app.rng, cfg)
        self.calls = PeerCalls(app, self.gossip, self.traffic)
        self._watcher = Watcher(app, self.gossip, self.calls)
        app.add_servicer(self._register)

    async def prepare(self) -> None:
        """Nothing is held before the start."""

    async def start(self) -> None:
        """Join the fleet; returns when the documents are there, or after a bound."""
        app = self.app
        app.membership.locate(app.advertised)
        app.membership.subscribe(self._member_changed)
        app.instances.subscribe(self._list_changed)
        self.started = True
        await app.instances.start()
        self._list_changed()
        tick = min(LONGEST_TICK, app.membership.cfg.probe_interval / 4)
        app.timers.every("gossip", tick, app.now(), self._tick)
        app.timers.every("traffic", REPORT_SECONDS, app.now(), self._report)
        app.timers.every(
            "watchers", CHOOSE_WATCHERS_SECONDS, app.now(), self._choose_watchers
        )
        self._watcher.choose()
        await self._wait_for_documents()

    def announce_leaving(self) -> None:
        """Tell the fleet that this process takes no new work; it stays a member."""
        if not self.leaving:
            self.leaving = True
            self.calls.carry_out(self.gossip.leave(self.app.now()))

    async def drain(self, seconds: float) -> None:
        """Leave the fleet; what else drains has said so earlier, if it needs to."""
        self.announce_leaving()
        await asyncio.sleep(min(seconds, LEAVING_TOLD_SECONDS))

    async def stop(self) -> None:
        """End watching, polling and gossip."""
        self._watcher.stop()
        self.calls.close()
        await self.app.instances.stop()

    def detail(self) -> dict[str, object]:
        """Figures for ``bambootiller status``, as plain JSON values."""
        app = self.app
        totals: Counts = self.traffic.totals
        return {
            "bytes_sent": totals.bytes_sent,
            "bytes_received": totals.bytes_received,
            "messages_sent": totals.messages_sent,
            "messages_received": totals.messages_received,
            "calls_failed": totals.failed,
            "full_exchanges": self.gossip.full_exchanges,
            "peers": len(app.membership.peers()),
            "health": app.membership.health.score,
            "documents": len(app.documents),
            "documents_complete": app.documents.complete,
            "watcher": self._watcher.watching,
            "list_available": app.instances.available,
            "resident_bytes": resident_bytes(),
        }

    def _register(self, server: object) -> None:
        api.add_PeerServicer_to_server(PeerServicer(self), server)

    def _tick(self, now: float) -> None:
        self.calls.carry_out(self.gossip.tick(now))

    def _report(self, now: float) -> None:
        metrics = self.app.metrics
        self.traffic.report(metrics)
        metrics.gauge("peers.alive", self.app.membership.alive_count())
        metrics.gauge("documents.held", len(self.app.documents))
        metrics.gauge("process.resident_bytes", resident_bytes())

    def _choose_watchers(self, now: float) -> None:
        if not self.leaving:
            self._watcher.choose()

    def _list_changed(self) -> None:
        listed = self.app.instances.listed().values()
        members = [item.member() for item in listed]
        members += _seeds(self.app)
        leaving = [item.instance for item in listed if item.leaving]
        self.app.membership.listed(members, leaving)

    def _member_changed(self, view: MemberView) -> None:
        app = self.app
        app.decisions.record(
            app.now(),
            f"instance/{view.member.instance}",
            "membership",
            view.status.value,
            WHY[view.status],
            incarnation=view.member.incarnation,
            health=app.membership.health.score,
        )
        app.metrics.incr(f"peers.became_{view.status.value}")

    async def _wait_for_documents(self) -> None:
        app = self.app
        until = app.now() + START_SECONDS
        while not app.documents.complete and app.now() < until:
            await asyncio.sleep(START_POLL)


def _membership(app: Application) -> Membership:
    cfg = app.settings
    interval = cfg.probe_interval_ms / 1000
    # The wall clock serves only to begin above the incarnation of an earlier process of
    # this instance. Should it have been set back, the fleet's memory of that process
    # comes back to this one, which then raises its incarnation above it.
    me = Member(
        cfg.instance,
        app.role,
        cfg.zone,
        cfg.region,
        "",
        incarnation=int(time.time()),
        services=tuple(item.name for item in cfg.services),
    )
    return Membership(
        me,
        app.rng,
        MembershipConfig(probe_interval=interval, probe_timeout=interval / 2),
    )


def _seeds(app: Application) -> list[Member]:
    """The configured peers as candidates; their names come with their first answer."""
    cfg = app.settings
    return [
        Member(f"seed/{address}", Role.ENTRY, cfg.zone, cfg.region, str(address))
        for address in cfg.peers
        if str(address) != app.advertised
    ]
