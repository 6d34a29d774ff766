"""Asking members over gRPC: whom the list shows, and whom only members know."""

import json
import unittest

import grpc
from aiohttp import web

from bambootiller.operators.fleet import GrpcFleet
from bambootiller.operators.members import NoMembers
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.settings import Address, Settings

UNUSED_PORT = 1


class Member(api.PeerServicer):
    """A member that answers from what the test gave it."""

    def __init__(self, name, known=(), decisions=()):
        self.name = name
        self.known = list(known)
        self.decisions = list(decisions)
        self.authorization = None
        self.address = ""

    async def serve(self, test):
        server = grpc.aio.server()
        api.add_PeerServicer_to_server(self, server)
        self.address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        test.addAsyncCleanup(server.stop, None)
        return self

    async def Status(self, request, context):
        self.authorization = dict(context.invocation_metadata()).get("authorization")
        return pb.StatusReply(
            instance=self.name, role="agent", template_versions={"forge": 2}
        )

    async def Exchange(self, request, context):
        members = [
            pb.MemberState(instance=name, address=address, status=status)
            for name, address, status in self.known
        ]
        return pb.ExchangeReply(deltas=pb.Deltas(members=members))

    async def Inspect(self, request, context):
        found = [item for item in self.decisions if item["subject"] == request.subject]
        return pb.InspectReply(instance=self.name, decisions_json=json.dumps(found))


class TestGrpcFleet(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, **settings):
        fleet = GrpcFleet(Settings(**settings))
        self.addAsyncCleanup(fleet.close)
        return fleet

    async def instance_list(self, *members, body=None):
        groups = [
            {
                "targets": [member.address],
                "labels": {"instance": member.name, "role": "agent"},
            }
            for member in members
        ]

        async def answer(request):
            return web.json_response(groups if body is None else body)

        app = web.Application()
        app.router.add_get("/instances", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        return f"http://127.0.0.1:{port}/instances"

    async def test_members_that_the_list_does_not_show_yet_are_asked_as_well(self):
        late = await Member("i-2").serve(self)
        known = [("i-2", late.address, "alive"), ("i-3", "127.0.0.1:1", "dead")]
        first = await Member("i-1", known).serve(self)
        url = await self.instance_list(first)
        fleet = await self.fleet(instances_url=url, operator_key="bt-x")
        survey = await fleet.survey()
        self.assertEqual([item.instance for item in survey.answers], ["i-1", "i-2"])
        self.assertEqual(survey.silent, ())
        self.assertEqual(survey.answers[0].template_versions, {"forge": 2})
        self.assertEqual(late.authorization, "Bearer bt-x")

    async def test_a_member_that_does_not_answer_is_named(self):
        first = await Member("i-1").serve(self)
        gone = Member("i-2")
        gone.address = f"127.0.0.1:{UNUSED_PORT}"
        url = await self.instance_list(first, gone)
        survey = await (await self.fleet(instances_url=url)).survey()
        self.assertEqual([item.ref.instance for item in survey.silent], ["i-2"])
        self.assertIn("unavailable", survey.silent[0].detail)

    async def test_while_the_list_is_down_the_configured_peers_are_asked(self):
        first = await Member("i-1").serve(self)
        host, port = first.address.split(":")
        fleet = await self.fleet(
            instances_url=f"http://127.0.0.1:{UNUSED_PORT}/instances",
            peers=(Address(host, int(port)),),
        )
        survey = await fleet.survey()
        self.assertEqual([item.instance for item in survey.answers], ["i-1"])

    async def test_a_member_listed_under_two_addresses_counts_once(self):
        first = await Member("i-1").serve(self)
        port = int(first.address.split(":")[1])
        url = await self.instance_list(first)
        fleet = await self.fleet(instances_url=url, peers=(Address("localhost", port),))
        self.assertEqual(len((await fleet.survey()).answers), 1)

    async def test_a_list_of_another_shape_is_told_and_nobody_is_asked(self):
        for body in ({}, ["x"], []):
            with self.subTest(body=body):
                url = await self.instance_list(body=body)
                outcome = await (await self.fleet(instances_url=url)).survey()
                self.assertIsInstance(outcome, NoMembers)

    async def test_an_explanation_gathers_the_records_of_all_members(self):
        record = {"subject": "model/forge/tutor", "kind": "slot", "outcome": "kept"}
        first = await Member("i-1", decisions=[record]).serve(self)
        second = await Member("i-2", decisions=[record]).serve(self)
        third = await Member("i-3").serve(self)
        url = await self.instance_list(first, second, third)
        found = await (await self.fleet(instances_url=url)).explain("model/forge/tutor")
        self.assertEqual([item.instance for item in found.found], ["i-1", "i-2"])
        self.assertEqual(found.found[0].records, (record,))
