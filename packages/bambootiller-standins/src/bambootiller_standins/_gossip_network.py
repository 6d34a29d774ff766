"""Gossip nodes on virtual time: their messages are delayed, lost or cut.

Only membership and documents run here, each node with the objects that the programs
use. Nothing waits for real time, and a seed decides everything, so a run can be
repeated.

    network = Network(Conditions(loss=0.02), seed=1)
    network.grow(16)
    network.run(30.0)
    network.kill("n-3")
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller.peering import wire
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.documents import Documents
from bambootiller_core.gossip import FetchFrom, Gossip, GossipConfig, Message, Send
from bambootiller_core.membership import Membership, MembershipConfig, Status
from bambootiller_core.types import Member, Role

TICK = 0.05
#: An indirect probe's share of the time that the asking node waits.
INDIRECT_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class Conditions:
    """Delays are one way, in seconds; ``loss`` is the share of messages lost."""

    least_delay: float = 0.0002
    most_delay: float = 0.002
    loss: float = 0.0
    zones: int = 4
    regions: int = 1


@dataclass(slots=True)
class Traffic:
    """What one node sent and received."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0


@dataclass(eq=False, slots=True)
class Node:
    """One process: its objects, and how it fares. Held back is what waits for its
    wake."""

    gossip: Gossip
    up: bool = True
    paused: bool = False
    traffic: Traffic = field(default_factory=Traffic)
    held_back: list[Callable[[], None]] = field(default_factory=list)

    @property
    def membership(self) -> Membership:
        return self.gossip.membership

    @property
    def documents(self) -> Documents:
        return self.gossip.documents

    @property
    def instance(self) -> str:
        return self.membership.me.instance


class Network:
    """Nodes, the messages between them, and the time."""

    def __init__(
        self,
        conditions: Conditions | None = None,
        seed: int = 1,
        membership: MembershipConfig | None = None,
        gossip: GossipConfig | None = None,
    ) -> None:
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self._addresses: dict[str, Node] = {}
        self.conditions = conditions or Conditions()
        self.cut: set[frozenset[str]] = set()
        self._membership_cfg = membership or MembershipConfig()
        self._gossip_cfg = gossip or GossipConfig()
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def grow(self, count: int) -> list[Node]:
        """Start ``count`` nodes that know of the first through the instance list."""
        return [self.start(f"n-{len(self.nodes)}") for _ in range(count)]

    def start(self, instance: str, incarnation: int = 1) -> Node:
        """Start a node; one that ran under the same name before is replaced."""
        number = len(self.nodes)
        zone = number % self.conditions.zones
        region = zone % self.conditions.regions
        me = Member(
            instance,
            Role.AGENT if number % 4 else Role.ENTRY,
            f"az-{zone}",
            f"r-{region}",
            f"127.0.0.1:{20_000 + number}",
            incarnation,
        )
        rng = random.Random(self._rng.random())
        membership = Membership(me, rng, self._membership_cfg)
        node = Node(Gossip(membership, Documents(), rng, self._gossip_cfg))
        known = [other.membership.me for other in self.nodes.values() if other.up]
        membership.listed(known[:3], ())
        self.nodes[instance] = node
        self._addresses[me.address] = node
        self.after(self._rng.uniform(0, TICK), lambda: self._tick(node))
        return node

    def kill(self, instance: str) -> None:
        """End a node without a word."""
        self.nodes[instance].up = False

    def pause(self, instance: str) -> None:
        """Freeze a node: what is sent to it waits, its timers don't run."""
        self.nodes[instance].paused = True

    def resume(self, instance: str) -> None:
        """Let a node go on. Its timeouts fire before it reads what waited for it."""
        node = self.nodes[instance]
        node.paused = False
        waiting, node.held_back = node.held_back, []
        for action in waiting:
            action()

    def cut_off(self, instance: str) -> None:
        """Cut a node's link to all others."""
        self.cut |= {frozenset((instance, other)) for other in self.nodes}

    def heal(self) -> None:
        """Mend all cut links."""
        self.cut.clear()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` later."""
        item = (self.now + seconds, next(self._count), action)
        heapq.heappush(self._events, item)

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done: Callable[[], bool], seconds: float) -> float | None:
        """Let time pass until ``done()``; the seconds it took, or None if it never
        was."""
        start, end = self.now, self.now + seconds
        if done():
            return 0.0
        check_at = self.now + TICK
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
            if at >= check_at:
                check_at = at + TICK
                if done():
                    return self.now - start
        self.now = end
        return None

    def act(self, node: Node, effects: list[Send | FetchFrom]) -> None:
        """Carry out the effects of a node."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(node, effect)
            else:
                self._fetch(node, effect)

    def running(self) -> list[Node]:
        """The nodes that are up and not frozen."""
        return [node for node in self.nodes.values() if node.up and not node.paused]

    def seen(self, instance: str, status: Status | None) -> int:
        """How many running nodes see ``instance`` in that status."""
        others = (node for node in self.running() if node.instance != instance)
        return sum(node.membership.status_of(instance) is status for node in others)

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.instance) is not node or not node.up:
            return
        if not node.paused:
            self.act(node, node.gossip.tick(self.now))
        self.after(TICK, lambda: self._tick(node))

    def _send(self, node: Node, send: Send) -> None:
        self._call(
            node,
            send.to.address,
            send.message,
            send.timeout,
            lambda reply, ok: node.gossip.on_reply(self.now, send.ticket, reply, ok),
            lambda: node.gossip.on_failed(self.now, send.ticket),
        )

    def _call(self, node, address, message, timeout, on_reply, on_failed) -> None:
        """One exchange; exactly one of the two continuations runs, at the caller."""
        done = [False]

        def finish(continuation, *args) -> None:
            if not done[0]:
                done[0] = True
                self.act(node, continuation(*args))

        request = wire.request_of(message)
        target = self._at(address)
        self.after(timeout, lambda: self._at_node(node, finish, on_failed))
        if not self._passes(node, target, request):
            return

        def answer(reply: Message, probe_ok: bool) -> None:
            if self._passes(target, node, wire.reply_of(reply, probe_ok)):
                self._later(node, finish, on_reply, reply, probe_ok)

        self._later(target, self._handle, target, message, answer)

    def _handle(self, node: Node, message: Message, answer: Callable) -> None:
        handled = node.gossip.on_request(self.now, message)
        self.act(node, handled.effects)
        if not message.probe_target:
            answer(handled.reply, False)
            return

        def reached(reply: Message, ok: bool) -> list:
            answer(handled.reply, reply.sender == message.probe_target)
            return node.gossip.on_reply(self.now, 0, reply)

        def failed() -> list:
            answer(handled.reply, False)
            return []

        ping = node.gossip.ping(message.probe_target)
        timeout = 2 * self._membership_cfg.probe_timeout * INDIRECT_SHARE
        self._call(node, message.probe_address, ping, timeout, reached, failed)

    def _fetch(self, node: Node, fetch: FetchFrom) -> None:
        done = [False]

        def finish(continuation, *args) -> None:
            if not done[0]:
                done[0] = True
                self.act(node, continuation(self.now, fetch.ticket, *args))

        target = self._at(fetch.to.address)
        failed = node.gossip.on_failed
        self.after(fetch.timeout, lambda: self._at_node(node, finish, failed))
        if not self._passes(node, target, pb.FetchRequest(keys=fetch.keys)):
            return

        def serve() -> None:
            found = target.gossip.on_fetch(fetch.keys, False)
            reply = pb.FetchReply(documents=[wire.document_of(doc) for doc in found])
            if self._passes(target, node, reply):
                self._later(node, finish, node.gossip.on_fetched, found)

        self._later(target, serve)

    def _at(self, address: str) -> Node | None:
        node = self._addresses.get(address)
        return node if node is not None and node.up else None

    def _passes(self, source: Node, target: Node | None, form) -> bool:
        """Count a message, and decide whether it arrives."""
        size = form.ByteSize()
        source.traffic.messages_sent += 1
        source.traffic.bytes_sent += size
        if target is None or not source.up:
            return False
        if frozenset((source.instance, target.instance)) in self.cut:
            return False
        if self._rng.random() < self.conditions.loss:
            return False
        target.traffic.messages_received += 1
        target.traffic.bytes_received += size
        return True

    def _later(self, node: Node, action: Callable, *args) -> None:
        delay = self._rng.uniform(
            self.conditions.least_delay, self.conditions.most_delay
        )
        self.after(delay, lambda: self._at_node(node, action, *args))

    def _at_node(self, node: Node, action: Callable, *args) -> None:
        if not node.up:
            return
        if node.paused:
            node.held_back.append(lambda: action(*args))
        else:
            action(*args)
