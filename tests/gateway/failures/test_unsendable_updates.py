"""Streams between processes whose messages can't be built or processed."""

import asyncio
import unittest

import grpc

from bambootiller.gateway.exchange import Exchanger, ResidencyServicer
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller.rpc.channels import Channels
from bambootiller.settings import Settings
from bambootiller_standins.testing import eventually

#: More than the 32 bits of the field.
TOO_LARGE = 2**40


class Events:
    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)

    def failures(self):
        return [line for line in self.lines if line.event == "peer_stream_failed"]


class Directory:
    prefixes = ()


class Process:
    """One side of a stream; ``running`` is what it reports of its engine."""

    def __init__(self, name):
        self.events = Events()
        clock = asyncio.get_running_loop().time
        state = GatewayState(Directory(), self.events, clock)
        self.channels = Channels(Settings(instance=name, zone="z1", region="r1"))
        self.exchanger = Exchanger(name, state, self.events, self.channels, clock)
        self.running = 1
        self.received = []
        self.is_processing = True

    def fill(self, update, peer_stream):
        update.engine.running = self.running

    def process(self, update, peer_stream):
        if not self.is_processing:
            raise ValueError("odd")
        self.received.append(update.engine.running)


class TestUnsendableUpdates(unittest.IsolatedAsyncioTestCase):
    """A number too large for its field ended the stream for good, and no line said
    why."""

    async def asyncSetUp(self):
        self.opening, self.serving = Process("e1"), Process("e2")
        self.addAsyncCleanup(self.opening.channels.close)
        server = grpc.aio.server()
        api.add_ResidencyServicer_to_server(
            ResidencyServicer(
                self.serving.exchanger, self.serving.fill, self.serving.process
            ),
            server,
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        task = asyncio.ensure_future(
            self.opening.exchanger.keep_open(
                f"127.0.0.1:{port}", self.opening.fill, self.opening.process
            )
        )
        self.addCleanup(task.cancel)

    async def is_open_again(self, process):
        before = len(process.received)
        await eventually(
            lambda: len(process.received) > before + 2, "messages arrive again"
        )

    async def test_the_side_that_opened_the_stream_opens_it_again(self):
        self.opening.running = TOO_LARGE
        await eventually(self.opening.events.failures, "the failure is logged")
        self.opening.running = 2
        await self.is_open_again(self.serving)

    async def test_the_side_that_serves_the_stream_serves_it_again(self):
        self.serving.running = TOO_LARGE
        await eventually(self.serving.events.failures, "the failure is logged")
        self.serving.running = 2
        await self.is_open_again(self.opening)

    async def test_a_message_that_cannot_be_processed_is_logged(self):
        self.serving.is_processing = False
        await eventually(self.serving.events.failures, "the failure is logged")
        self.serving.is_processing = True
        await self.is_open_again(self.serving)
