"""Measures membership and documents by themselves, on virtual time.

``python -m bambootiller_standins.gossipbench --nodes 16 --nodes 64 --nodes 200`` prints
one JSON object. The nodes use the objects of the programs; messages are encoded as on
the wire to count their bytes, without the framing of HTTP/2 and TCP. Times are virtual
and repeatable from the seed; only the processor time is real.
"""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

import click

from bambootiller_core.documents import PREFIXES, Document, watchers
from bambootiller_core.membership import MembershipConfig, MemberView, Status
from bambootiller_core.types import Member
from bambootiller_standins._gossip_network import Conditions, Network, Node

SETTLE_SECONDS = 60.0
LONGEST_WAIT = 120.0
QUIET_AFTER_CHANGE = 10.0
TEMPLATES = 44
SMALL_BYTES = 400
LARGE_BYTES = 20_000
WATCHERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class Spread:
    """Seconds until all knew; ``never`` counts the trials that took too long."""

    mean: float
    largest: float
    never: int


@dataclass(frozen=True, slots=True)
class AtRest:
    """What one node spends while nothing changes, per second; means and the largest."""

    bytes_sent: float
    bytes_sent_largest: float
    bytes_received: float
    messages_sent: float
    full_exchanges: float
    peers_largest: int
    cpu_ms: float


@dataclass(frozen=True, slots=True)
class Deaths:
    """A kill: seconds to the first suspicion, the first death and the last node."""

    first_suspicion: Spread
    first_death: Spread
    known_by_all: Spread


@dataclass(frozen=True, slots=True)
class Mistakes:
    """Members wrongly suspected or called dead, counted once however many heard it."""

    loss: float
    seconds: float
    suspicions: int
    deaths: int


@dataclass(frozen=True, slots=True)
class Report:
    """All figures of one fleet size."""

    nodes: int
    seed: int
    joined: float | None
    complete: float | None
    at_rest: AtRest
    leaving: Spread
    small_document: Spread
    small_document_bytes: float
    large_document: Spread
    large_document_bytes: float
    kill: Deaths
    mistakes: Mistakes


class Bench:
    """Runs the measurements on one network."""

    def __init__(self, nodes: int, seed: int, probe_interval: float, loss: float):
        self._cfg = MembershipConfig(
            probe_interval=probe_interval, probe_timeout=probe_interval / 2
        )
        self._count = nodes
        self._seed = seed
        self._loss = loss
        self._revision = 1000
        self._network = self._make(loss=0.0)

    def run(self, trials: int, seconds: float) -> Report:
        """All measurements, one after the other."""
        joined = self._join()
        complete = self._read()
        self._network.run(SETTLE_SECONDS)
        at_rest = self._rest(seconds)
        small, small_bytes = self._changes(trials, SMALL_BYTES, at_rest)
        large, large_bytes = self._changes(trials, LARGE_BYTES, at_rest)
        return Report(
            self._count,
            self._seed,
            joined,
            complete,
            at_rest,
            self._leavings(trials),
            small,
            small_bytes,
            large,
            large_bytes,
            self._kills(trials),
            self._mistakes(seconds),
        )

    def _make(self, loss: float) -> Network:
        network = Network(Conditions(loss=loss), self._seed, self._cfg)
        network.grow(self._count)
        return network

    def _join(self) -> float | None:
        nodes = self._network.running()
        return self._network.run_until(
            lambda: all(n.membership.alive_count() == self._count for n in nodes),
            LONGEST_WAIT,
        )

    def _read(self) -> float | None:
        """Let each zone's watchers read the service; wait until all are complete."""
        network = self._network
        found = [self._document(number, SMALL_BYTES) for number in range(TEMPLATES)]
        for node in self._watchers():
            for prefix in PREFIXES:
                mine = [doc for doc in found if doc.key.startswith(prefix)]
                effects = node.gossip.adopt_read(network.now, prefix, mine, 1000)
                network.act(node, effects)
        nodes = network.running()
        return network.run_until(
            lambda: all(n.documents.complete for n in nodes), LONGEST_WAIT
        )

    def _watchers(self) -> list[Node]:
        zones: dict[str, list[str]] = {}
        for node in self._network.running():
            zones.setdefault(node.membership.me.zone, []).append(node.instance)
        chosen = [
            name
            for zone, names in zones.items()
            for name in watchers(zone, names, WATCHERS_PER_ZONE)
        ]
        return [self._network.nodes[name] for name in chosen]

    def _document(self, number: int, size: int) -> Document:
        self._revision += 1
        key = f"{PREFIXES[0]}customer-{number}"
        return Document(key, self._revision, b"x" * size)

    def _rest(self, seconds: float) -> AtRest:
        nodes = self._network.running()
        before = [asdict(node.traffic) for node in nodes]
        full = sum(node.gossip.full_exchanges for node in nodes)
        cpu = time.process_time()
        self._network.run(seconds)
        cpu = time.process_time() - cpu
        sent = [n.traffic.bytes_sent - b["bytes_sent"] for n, b in zip(nodes, before)]
        got = [
            n.traffic.bytes_received - b["bytes_received"]
            for n, b in zip(nodes, before)
        ]
        count = [
            n.traffic.messages_sent - b["messages_sent"] for n, b in zip(nodes, before)
        ]
        full = sum(node.gossip.full_exchanges for node in nodes) - full
        return AtRest(
            bytes_sent=statistics.mean(sent) / seconds,
            bytes_sent_largest=max(sent) / seconds,
            bytes_received=statistics.mean(got) / seconds,
            messages_sent=statistics.mean(count) / seconds,
            full_exchanges=full / len(nodes) / seconds,
            peers_largest=max(len(node.membership.peers()) for node in nodes),
            cpu_ms=1000 * cpu / len(nodes) / seconds,
        )

    def _changes(self, trials: int, size: int, rest: AtRest) -> tuple[Spread, float]:
        """The spread of changed documents, and the bytes that one costs each node."""
        times = []
        spent = []
        for _ in range(trials):
            start, before = self._network.now, self._bytes_sent()
            times.append(self._change(size))
            self._network.run(QUIET_AFTER_CHANGE)
            passed = self._network.now - start
            per_node = (self._bytes_sent() - before) / len(self._network.running())
            spent.append(per_node - rest.bytes_sent * passed)
        return _spread(times), statistics.mean(spent)

    def _change(self, size: int) -> float | None:
        document = self._document(1, size)
        for node in self._watchers():
            effects = node.gossip.offer(self._network.now, [document])
            self._network.act(node, effects)
        nodes = self._network.running()
        held = document.revision
        return self._network.run_until(
            lambda: all(n.documents.revision_of(document.key) == held for n in nodes),
            LONGEST_WAIT,
        )

    def _bytes_sent(self) -> int:
        nodes = self._network.running()
        return sum(node.traffic.bytes_sent for node in nodes)

    def _leavings(self, trials: int) -> Spread:
        network = self._network
        times = []
        for _ in range(trials):
            node = network.running()[-1]
            network.act(node, node.gossip.leave(network.now))
            times.append(self._until_all_see(node, Status.LEAVING))
            network.kill(node.instance)
            network.run(QUIET_AFTER_CHANGE)
        return _spread(times)

    def _kills(self, trials: int) -> Deaths:
        suspected, dead, known = [], [], []
        network = self._network
        for _ in range(trials):
            node = network.running()[-1]
            start = network.now
            network.kill(node.instance)
            suspected.append(self._until_one_sees(node, Status.SUSPECT))
            dead.append(self._after(start, self._until_one_sees(node, Status.DEAD)))
            known.append(self._after(start, self._until_all_see(node, Status.DEAD)))
            network.run(QUIET_AFTER_CHANGE)
        return Deaths(_spread(suspected), _spread(dead), _spread(known))

    def _after(self, start: float, waited: float | None) -> float | None:
        return None if waited is None else self._network.now - start

    def _until_one_sees(self, node: Node, status: Status) -> float | None:
        return self._wait(lambda: self._network.seen(node.instance, status) > 0)

    def _until_all_see(self, node: Node, status: Status) -> float | None:
        others = len(self._network.running()) - node.up
        return self._wait(lambda: self._network.seen(node.instance, status) == others)

    def _wait(self, done: Callable[[], bool]) -> float | None:
        return self._network.run_until(done, LONGEST_WAIT)

    def _mistakes(self, seconds: float) -> Mistakes:
        """A fresh network that loses messages, in which nobody fails."""
        self._network = self._make(self._loss)
        self._join()
        said: dict[Status, set[Member]] = {status: set() for status in Status}

        def note(view: MemberView) -> None:
            said[view.status].add(view.member)

        for node in self._network.running():
            node.membership.subscribe(note)
        self._network.run(seconds)
        suspicions, deaths = len(said[Status.SUSPECT]), len(said[Status.DEAD])
        return Mistakes(self._loss, seconds, suspicions, deaths)


def _spread(times: list[float | None]) -> Spread:
    known = [one for one in times if one is not None]
    if not known:
        return Spread(0.0, 0.0, len(times))
    return Spread(statistics.mean(known), max(known), len(times) - len(known))


@click.command()
@click.option(
    "--nodes", multiple=True, default=(16, 64, 200), type=int, help="Fleet sizes."
)
@click.option("--seed", default=1, show_default=True, help="Seed of all chances.")
@click.option("--trials", default=5, show_default=True, help="Trials of each event.")
@click.option("--seconds", default=60.0, show_default=True, help="Time at rest.")
@click.option("--loss", default=0.02, show_default=True, help="Share of lost messages.")
@click.option("--probe-interval", default=1.0, show_default=True, help="Seconds.")
def main(
    nodes: tuple[int, ...],
    seed: int,
    trials: int,
    seconds: float,
    loss: float,
    probe_interval: float,
) -> None:
    """Measure gossip at several fleet sizes, and print the figures as JSON."""
    reports = [
        Bench(count, seed, probe_interval, loss).run(trials, seconds) for count in nodes
    ]
    click.echo(json.dumps([asdict(report) for report in reports], indent=2))


if __name__ == "__main__":
    main()
