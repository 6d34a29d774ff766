"""The key-value service or the instance list fail, or say what isn't so."""

import unittest

from bambootiller_core.documents import PREFIXES, TEMPLATES_PREFIX, Document
from bambootiller_core.membership import Status
from bambootiller_core.ports import Delete
from bambootiller_standins._faults import FaultMode, FaultOrder
from bambootiller_standins._gossip_network import Conditions, Network
from bambootiller_standins.instancelist import InstanceList, ListedInstance
from bambootiller_standins.testing import eventually
from tests.membership.common.nodes import KEY, NodesTestCase, node, settings

FLEET = 32
BOUND = 60.0
#: What the brief allows until a leaving backend server gets no new work.
LEAVING_SECONDS = 2.0
#: What the target allows until a change is in force everywhere.
CHANGE_SECONDS = 5.0


class TestKeyValueOutage(NodesTestCase):
    async def test_a_process_that_starts_in_an_outage_takes_all_from_its_peers(self):
        """Symptom: an instance replaced during an outage refuses every caller.

        Sequence: a template is in force; the service goes down; a process starts, can't
        read, and knows nothing until the service is back. Cause: the service was the
        only source of documents. Peers have them, and tell that they have all.
        """
        await self.start("i-1")
        revision = await self.write(b"x" * 5000)
        await self.all_hold(revision)
        self._order(FaultMode.DOWN)
        late = await self.start("i-2")
        self.assertTrue(late.app.documents.complete)
        self.assertEqual(late.app.documents.get(KEY).value, b"x" * 5000)
        self._order(FaultMode.UP)
        await self.all_hold(await self.write(b"{}"))

    async def test_a_process_alone_in_an_outage_says_that_it_knows_nothing(self):
        """Symptom: a process answers "unknown customer" although it just can't know.

        Sequence: the service is down and no peer can be reached; a process starts.
        Cause: documents that have not arrived look like documents that don't exist."""
        self._order(FaultMode.DOWN)
        alone = await self.start("i-1")
        self.assertFalse(alone.app.documents.complete)
        self._order(FaultMode.UP)
        await eventually(lambda: alone.app.documents.complete)

    async def test_a_deletion_that_nobody_watched_is_found_by_the_next_read(self):
        """Symptom: a removed customer's callers are still served, here and there.

        Sequence: the watches are cut; the template is deleted; the service is back, and
        its watches only tell what comes from then on. Cause: an absent key makes no
        event. The watcher reads anew, and gives what the read lacks a tombstone, which
        reaches the processes that don't watch as well.
        """
        for number in range(3):
            await self.start(f"i-{number}")
        await self.all_hold(await self.write(b"{}"))
        self._order(FaultMode.DOWN)
        store = self.service.store
        store.begin()
        store.delete(KEY.encode(), b"")
        store.commit()
        self._order(FaultMode.UP)
        await eventually(
            lambda: all(one.app.documents.get(KEY).deleted for one in self.nodes)
        )

    async def test_a_change_and_a_deletion_reach_all_while_watches_come_and_go(self):
        """Symptom: after short cuts in a row one process keeps an older template.

        Sequence: the service's connections are cut between changes, again and again.
        Cause: a change that falls between a read and the watch after it. The watch
        begins at the read's revision plus one, so nothing can.
        """
        for number in range(2):
            await self.start(f"i-{number}")
        for number in range(4):
            self._order(FaultMode.DOWN)
            self._order(FaultMode.UP)
            await self.all_hold(await self.write(str(number).encode()))
        await self.nodes[0].app.kv.transact([], [Delete(KEY)])
        await eventually(
            lambda: all(one.app.documents.get(KEY).deleted for one in self.nodes)
        )

    async def test_a_zone_whose_only_watcher_died_gets_another_one(self):
        """Symptom: changes no longer reach a zone, and nothing looks broken there.

        Sequence: one process of the zone watches for all; it is killed; a template is
        changed. Cause: nobody took its place. Who watches follows from the members that
        are alive, so the next in rank begins when the death is known.
        """
        cfg = {"zone": "az-1", "watchers_per_zone": 1}
        for number in range(3):
            await self.start(f"i-{number}", **cfg)
        await eventually(lambda: len(self._watching()) == 1)
        watcher = self._watching()[0]
        await watcher.kill()
        self.nodes.remove(watcher)
        await eventually(lambda: len(self._watching()) == 1)
        await self.all_hold(await self.write(b"{}"))

    def _watching(self) -> list:
        return [one for one in self.nodes if one.node.detail()["watcher"]]

    def _order(self, mode: FaultMode) -> None:
        self.service.faults.apply(FaultOrder(mode=mode))


class TestInstanceList(NodesTestCase):
    async def test_a_list_that_is_empty_for_a_moment_makes_nobody_gone(self):
        """Symptom: slots move although their holders run, and the cap is broken.

        Sequence: the list's service restarts and answers once with an empty list, with
        success. Cause: absence from a later answer is the evidence that an instance is
        gone. An answer that drops most is only believed when the next one agrees.
        """
        instances = InstanceList()
        await instances.start()
        self.addAsyncCleanup(instances.stop)
        url = f"{instances.url}/instances"
        self.nodes.append(node(settings("i-1", self.service.url, instances_url=url)))
        names = ["i-1", "i-2", "i-3"]
        instances.set(_listed(names))
        one = await self.nodes[0].start()
        self.addAsyncCleanup(one.kill)
        listed = one.app.instances
        instances.set([])
        await listed.poll()
        self.assertFalse(any(listed.is_gone(name) for name in names))
        instances.set(_listed(names))
        await listed.poll()
        self.assertEqual(set(listed.listed()), set(names))
        instances.set(_listed(names[:2]))
        await listed.poll()
        self.assertEqual([n for n in names if listed.is_gone(n)], ["i-3"])


class TestReusedAddress(NodesTestCase):
    async def test_a_member_whose_address_was_given_to_another_is_dead(self):
        """Symptom: requests for a replaced instance go to the one that has its address.

        Sequence: an instance is reclaimed; its address is given to a new one, which
        answers the probes meant for the old one. Cause: a probe asks an address, and
        anybody's answer was taken for the member's.
        """
        first = await self.start("i-1")
        old = await self.start("i-2")
        await eventually(lambda: first.status_of(old) is Status.ALIVE)
        address = old.address
        await old.kill()
        listen = settings("x", self.service.url, peers=(address,)).peers[0]
        new = await self.start("i-3", rpc_listen=listen)
        self.assertEqual(new.address, address)
        await eventually(lambda: first.status_of(new) is Status.ALIVE)
        await eventually(lambda: first.status_of(old) is Status.DEAD)
        self.assertIs(first.status_of(new), Status.ALIVE)


class TestLostMessages(unittest.TestCase):
    def test_leaving_is_known_by_all_in_time_although_messages_are_lost(self):
        """Symptom: a leaving backend server still gets work from some entry.

        Sequence: it tells a few peers, they tell others; of all messages two in a
        hundred are lost. Cause: one of the entries is missed by all who passed it on.
        Seconds here are virtual, and repeat exactly.
        """
        for seed in range(5):
            with self.subTest(seed=seed):
                network = _lossy(seed)
                node = network.nodes["n-9"]
                network.act(node, node.gossip.leave(network.now))
                known = network.run_until(
                    lambda: network.seen("n-9", Status.LEAVING) == FLEET - 1, BOUND
                )
                self.assertLess(known, LEAVING_SECONDS)

    def test_a_change_is_in_force_everywhere_in_time_although_messages_are_lost(self):
        """Symptom: one process decides by the old template for long after a change.

        Sequence: the document is too large to travel with the news, a fetch of it is
        lost, and nobody tells that process again. Cause: as above.
        """
        for seed in range(5):
            with self.subTest(seed=seed):
                network = _lossy(seed)
                node = network.nodes["n-9"]
                changed = Document(f"{TEMPLATES_PREFIX}forge", 9, b"x" * 30_000)
                network.act(node, node.gossip.offer(network.now, [changed]))
                known = network.run_until(
                    lambda: all(
                        one.documents.get(changed.key) == changed
                        for one in network.running()
                    ),
                    BOUND,
                )
                self.assertLess(known, CHANGE_SECONDS)


def _lossy(seed: int) -> Network:
    network = Network(Conditions(loss=0.02), seed)
    network.grow(FLEET)
    node = network.nodes["n-0"]
    for prefix in PREFIXES:
        network.act(node, node.gossip.adopt_read(0.0, prefix, [], 1))
    network.run(20.0)
    return network


def _listed(names: list[str]) -> list[ListedInstance]:
    labels = {"role": "agent", "zone": "az-1", "region": "r1", "state": "live"}
    return [
        ListedInstance(targets=["127.0.0.1:9"], labels={"instance": name, **labels})
        for name in names
    ]
