"""The component on loopback: several nodes with real servers in this process."""

import hashlib
import json

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.membership import Status
from bambootiller_standins.instancelist import InstanceList, ListedInstance
from bambootiller_standins.testing import eventually
from tests.membership.common.nodes import NodesTestCase, RunningNode, node, settings

LARGE = b"x" * 40_000


class TestNodes(NodesTestCase):
    async def test_nodes_meet_and_hold_each_change_small_or_large(self):
        for number in range(4):
            await self.start(f"i-{number}")
        for value in (b"{}", LARGE, b"[]"):
            await self.all_hold(await self.write(value))
        await eventually(
            lambda: all(one.app.membership.alive_count() == 4 for one in self.nodes)
        )

    async def test_a_leaving_node_is_leaving_everywhere_and_a_killed_one_dead(self):
        first, second, third = [await self.start(f"i-{n}") for n in range(3)]
        await eventually(lambda: first.status_of(third) and second.status_of(third))
        third.node.announce_leaving()
        await eventually(lambda: self._seen(third, Status.LEAVING, first, second))
        await third.kill()
        await eventually(lambda: self._seen(third, Status.DEAD, first, second))

    async def test_nodes_find_each_other_through_the_instance_list(self):
        instances = InstanceList()
        await instances.start()
        self.addAsyncCleanup(instances.stop)
        cfg = [
            settings(name, self.service.url, instances_url=f"{instances.url}/instances")
            for name in ("i-1", "i-2")
        ]
        for one in cfg:
            self.nodes.append(await node(one).start())
            self.addAsyncCleanup(self.nodes[-1].kill)
        first, second = self.nodes
        self._publish(instances, first, second)
        await eventually(lambda: self._seen(second, Status.ALIVE, first))
        self.assertEqual(set(first.app.instances.listed()), {"i-1", "i-2"})
        self._publish(instances, first)
        await eventually(lambda: first.app.instances.is_gone("i-2"))
        self.assertIs(first.status_of(second), Status.ALIVE)

    async def test_status_tells_what_is_in_force_and_what_it_costs(self):
        first = await self.start("i-1")
        await self.all_hold(await self.write(b"{}"))
        second = await self.start("i-2")
        await eventually(lambda: first.status_of(second))
        stub = second.app.channels.peer(first.address)
        reply = await stub.Status(pb.StatusRequest())
        detail = json.loads(reply.detail_json)
        self.assertEqual((reply.instance, reply.role), ("i-1", "agent"))
        self.assertEqual(reply.revision, first.app.documents.revision)
        self.assertTrue(detail["watcher"])
        self.assertGreater(detail["bytes_sent"] + detail["bytes_received"], 0)

    async def test_decisions_about_a_member_can_be_inspected(self):
        first, second = await self.start("i-1"), await self.start("i-2")
        await eventually(lambda: first.status_of(second))
        stub = second.app.channels.peer(first.address)
        reply = await stub.Inspect(pb.InspectRequest(subject="instance/i-2"))
        decisions = json.loads(reply.decisions_json)
        self.assertEqual(decisions[0]["outcome"], "alive")

    async def test_status_asks_for_an_operators_key_where_keys_are_set(self):
        digest = hashlib.sha256(b"right").hexdigest()
        first = await self.start("i-1", operator_keys=(digest,))
        stub = first.app.channels.peer(first.address)
        for key in ("right", "wrong"):
            metadata = (("authorization", f"Bearer {key}"),)
            call = stub.Status(pb.StatusRequest(), metadata=metadata)
            if key == "right":
                self.assertEqual((await call).instance, "i-1")
                continue
            with self.assertRaises(grpc.aio.AioRpcError) as caught:
                await call
            self.assertIs(caught.exception.code(), grpc.StatusCode.UNAUTHENTICATED)

    def _seen(self, other: RunningNode, status: Status, *by: RunningNode) -> bool:
        return all(one.status_of(other) is status for one in by)

    def _publish(self, instances: InstanceList, *nodes: RunningNode) -> None:
        labels = {"role": "agent", "zone": "az-1", "region": "r1", "state": "live"}
        instances.set(
            ListedInstance(
                targets=[one.address], labels={"instance": one.instance, **labels}
            )
            for one in nodes
        )
