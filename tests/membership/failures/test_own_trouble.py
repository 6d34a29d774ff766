"""A process that was itself away must not blame the others for it."""

import json
import unittest

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller.rpc.channels import Channels
from bambootiller_core.membership import Status
from bambootiller_standins._gossip_network import Network
from bambootiller_standins.testing import eventually
from tests.membership.common.builders import LONG, Clock, membership, said
from tests.membership.common.nodes import NodesTestCase
from tests.membership.common.process import NodeProcess

FLEET = 12


class TestPausedProcess(unittest.TestCase):
    def test_a_process_that_was_paused_gives_the_others_a_fresh_probe(self):
        """Symptom: an instance wakes up and the whole fleet is dead in its eyes.

        Sequence: the process suspects some members and has probes under way; it is
        frozen for a minute; on its return the probes' time and the suspicions' time are
        over, and it reads its clock before its sockets. Cause: time that passed without
        the process is taken for silence of the others.
        """
        process = membership("a", "b", "c", "d")
        process.merge(0.0, [said("a", Status.SUSPECT), said("b", Status.SUSPECT)])
        seen = []
        process.subscribe(lambda view: seen.append(view.status))
        probe = process.tick(1.0)[0]
        process.probe_failed(LONG, probe.number)
        clock = Clock(process)
        clock.now = LONG
        clock.run(1.0)
        self.assertEqual(clock.probed[:1], ["a"])
        process.tick(2 * LONG)
        self.assertEqual(seen, [])

    def test_nobody_dies_when_a_process_returns_with_old_suspicions(self):
        """Symptom: one instance is resumed, and members die, there or all over.

        Sequence: a short cut of the link makes a process suspect others; right then it
        is paused, for a minute; the others declare it dead meanwhile, and the link is
        long mended when it returns. Cause: as above.
        """
        network = _network()
        network.cut_off("n-3")
        paused = network.nodes["n-3"].membership
        network.run_until(lambda: bool(_seen_as(paused, Status.SUSPECT)), LONG)
        deaths = _deaths_heard(network, of_others_than="n-3")
        network.pause("n-3")
        network.heal()
        network.run(LONG)
        self.assertEqual(network.seen("n-3", Status.DEAD), FLEET - 1)
        network.resume("n-3")
        back = network.run_until(
            lambda: network.seen("n-3", Status.ALIVE) == FLEET - 1, LONG
        )
        self.assertIsNotNone(back)
        network.run(LONG)
        self.assertEqual(deaths, [])


class TestFrozenProcess(NodesTestCase):
    async def test_a_stopped_and_continued_process_kills_nobody(self):
        """Symptom and cause as above; the process is real, and so are its signals.

        Sequence: SIGSTOP until the others hold it dead, SIGCONT, then everybody is to
        be alive everywhere, and no third member may ever have been called dead."""
        first, second = await self.start("i-0"), await self.start("i-1")
        frozen = await NodeProcess.start("i-2", "az-3", self.service.url, first.address)
        self.addAsyncCleanup(frozen.kill)
        others = (first, second)
        await eventually(lambda: _all_see(others, "i-2", Status.ALIVE))
        channels = Channels(first.app.settings)
        self.addAsyncCleanup(channels.close)
        stub = channels.peer(frozen.address)
        await eventually(lambda: self._alive_at(stub))
        frozen.freeze()
        await eventually(lambda: _all_see(others, "i-2", Status.DEAD))
        frozen.go_on()
        await eventually(lambda: _all_see(others, "i-2", Status.ALIVE))
        await eventually(lambda: self._alive_at(stub))
        for instance in ("i-0", "i-1"):
            for one in others:
                self.assertNotIn("dead", _outcomes(one.app.decisions, instance))
            subject = pb.InspectRequest(subject=f"instance/{instance}")
            reply = await stub.Inspect(subject)
            said_there = [one["outcome"] for one in json.loads(reply.decisions_json)]
            self.assertNotIn("dead", said_there)

    async def _alive_at(self, stub) -> bool:
        reply = await stub.Status(pb.StatusRequest(), timeout=10, wait_for_ready=True)
        return reply.members_alive == 3


class TestCutOffProcess(unittest.TestCase):
    def test_a_process_whose_link_was_cut_does_not_spread_the_deaths_it_saw(self):
        """Symptom: a cable is plugged in again, and members die all over the fleet.

        Sequence: one instance loses its link; all its probes fail, and it holds the
        others for dead, one by one; the link comes back, and it passes its news on.
        Cause: it can't tell their silence from its own deafness, and its deaths have
        the incarnations that everybody else holds as alive, so they would win.
        """
        network = _network()
        lonely = network.nodes["n-5"].membership
        network.cut_off("n-5")
        died = network.run_until(
            lambda: len(_seen_as(lonely, Status.DEAD)) >= 3, 4 * LONG
        )
        self.assertIsNotNone(died)
        deaths = _deaths_heard(network, of_others_than="n-5")
        network.heal()
        healed = network.run_until(
            lambda: network.seen("n-5", Status.ALIVE) == FLEET - 1
            and not _seen_as(lonely, Status.DEAD),
            LONG,
        )
        self.assertIsNotNone(healed)
        network.run(LONG)
        self.assertEqual(deaths, [])


class TestPartition(unittest.TestCase):
    def test_two_halves_that_lost_each_other_find_together_again(self):
        """Symptom: after a partition between regions, each side lacks the other for
        good.

        Sequence: all links between two halves are cut for minutes; each half declares
        the other dead; the links come back. Cause: the dead are not probed any more, so
        nobody ever hears that they live.
        """
        network = _network()
        halves = [f"n-{n}" for n in range(6)], [f"n-{n}" for n in range(6, FLEET)]
        network.cut = {frozenset((a, b)) for a in halves[0] for b in halves[1]}
        network.run(4 * LONG)
        self.assertEqual(network.seen("n-0", Status.DEAD), FLEET // 2)
        network.heal()
        together = network.run_until(
            lambda: all(
                network.seen(name, Status.ALIVE) == FLEET - 1 for name in network.nodes
            ),
            LONG,
        )
        self.assertIsNotNone(together)


def _network() -> Network:
    network = Network(seed=5)
    network.grow(FLEET)
    network.run(20.0)
    return network


def _deaths_heard(network: Network, of_others_than: str) -> list:
    """Deaths that anybody sees from now on, but those of one member; the list grows."""
    heard = []

    def listen(view) -> None:
        if view.status is Status.DEAD and view.member.instance != of_others_than:
            heard.append(view)

    for node in network.nodes.values():
        node.membership.subscribe(listen)
    return heard


def _seen_as(process, status: Status) -> list:
    return [view for view in process.members() if view.status is status]


def _all_see(nodes, instance: str, status: Status) -> bool:
    return all(one.app.membership.status_of(instance) is status for one in nodes)


def _outcomes(decisions, instance: str) -> list[str]:
    return [one.outcome for one in decisions.about(f"instance/{instance}")]
