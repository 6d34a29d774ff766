"""Bodies up to the largest that the setting allows reach the agent."""

import unittest

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.rpc.channels import Channels
from bambootiller.rpc.limits import LARGEST_MESSAGE_BYTES, largest_body_bytes
from bambootiller.rpc.server import RpcServer
from bambootiller.settings import ENTRY, Address, Settings, load_settings

#: The longest text to go on behind: a million tokens of a few characters.
LONGEST_TEXT = 8 * 2**20


class Sizes(api.BackendServicer):
    """Answers with the size of what arrived."""

    async def Serve(self, request, context):
        size = len(request.model.body) + len(request.model.continue_text)
        yield pb.ServeEvent(chunk=pb.Chunk(tokens=size))


class TestLargeBodies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        cfg = Settings(rpc_listen=Address("127.0.0.1", 0))
        self.server = RpcServer(cfg)
        self.server.add(
            lambda server: api.add_BackendServicer_to_server(Sizes(), server)
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0.0)
        self.channels = Channels(cfg)
        self.addAsyncCleanup(self.channels.close)

    async def sent(self, body: bytes, text: str = "") -> int:
        stub = self.channels.backend(f"127.0.0.1:{self.server.port}")
        call = pb.ModelCall(body=body, continue_text=text)
        async for event in stub.Serve(pb.ServeRequest(model=call), timeout=60.0):
            return event.chunk.tokens

    async def test_the_largest_body_allowed_arrives_also_behind_a_long_answer(self):
        """Symptom: a body of 20 MB is answered "unreachable, executed unknown".

        Events: an operator sets --max-body-bytes to 32MiB; a caller sends 20 MB; the
        entry takes it and calls an agent; gRPC refuses the message there.
        Cause: both sides received messages up to a fixed 16 MiB, below what the setting
        allows.
        """
        body = b"x" * largest_body_bytes()
        self.assertEqual(await self.sent(body), len(body))
        whole = len(body) + LONGEST_TEXT
        self.assertEqual(await self.sent(body, "y" * LONGEST_TEXT), whole)

    async def test_a_message_beyond_what_any_setting_allows_is_refused(self):
        body = b"x" * LARGEST_MESSAGE_BYTES
        with self.assertRaises(grpc.aio.AioRpcError) as caught:
            await self.sent(body)
        self.assertIs(caught.exception.code(), grpc.StatusCode.RESOURCE_EXHAUSTED)

    def test_the_setting_is_refused_above_the_largest_body(self):
        wanted = {"max_body_bytes": str(largest_body_bytes() + 1)}
        found = load_settings(ENTRY, wanted, {})
        self.assertIn("--max-body-bytes", str(found))
