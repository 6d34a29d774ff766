"""A fake agent: a gRPC server on loopback that answers as a test's script says."""

import asyncio

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.rpc.server import SERVER_OPTIONS

LOADED = pb.Load(running=1, queue_ms=10, loaded=True, free_bytes=1)


class Stream:
    """Makes the events of one attempt, numbered as the protocol wants them."""

    def __init__(self, request, context):
        self.request = request
        self.context = context
        self.sequence = 0
        self.chunks = 0
        self.tokens = 0

    async def send(self, request_id=None, sequence=None, **event):
        if sequence is None:
            sequence = self.sequence
        self.sequence = sequence + 1
        await self.context.write(
            pb.ServeEvent(
                request_id=request_id or self.request.request_id,
                sequence=sequence,
                **event,
            )
        )

    async def admitted(self, wait_ms=5, cold=False):
        await self.send(admitted=pb.Admitted(wait_ms=wait_ms, cold=cold, load=LOADED))

    async def text(self, *texts, **wrong):
        for text in texts:
            self.chunks += 1
            self.tokens += 1
            await self.send(chunk=pb.Chunk(text=text, tokens=1), **wrong)

    async def head(self, status=200, replayed=False, **headers):
        items = [pb.Header(name=key, value=value) for key, value in headers.items()]
        await self.send(head=pb.Head(status=status, headers=items, replayed=replayed))

    async def data(self, *parts):
        for part in parts:
            self.chunks += 1
            await self.send(chunk=pb.Chunk(data=part))

    async def done(self, chunks=None, replayed=False, **wrong):
        event = pb.Done(
            chunks=self.chunks if chunks is None else chunks,
            tokens=self.tokens,
            finish_reason="stop",
            load=LOADED,
            replayed=replayed,
        )
        await self.send(done=event, **wrong)

    async def refused(self, code, executed="no", retry_after_ms=500):
        event = pb.Refusal(
            code=code,
            executed=executed,
            detail="as scripted",
            retry_after_ms=retry_after_ms,
        )
        await self.send(refused=event)

    async def broken(self):
        await self.context.abort(grpc.StatusCode.UNAVAILABLE, "as scripted")


async def greeting(stream):
    """The script of an agent that works: three pieces."""
    await stream.admitted()
    await stream.text("Hello", ", ", "pupil")
    await stream.done()


class FakeBackend(api.BackendServicer):
    """Runs ``script(stream)`` for each attempt; keeps requests and cancellations."""

    def __init__(self, instance, script=greeting):
        self.instance = instance
        self.script = script
        self.requests = []
        self.cancelled = asyncio.Event()
        self.address = ""
        self._server = None

    async def start(self):
        # As agents do; the default answers keep-alive pings by closing the connection.
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        api.add_BackendServicer_to_server(self, self._server)
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self._server.start()

    async def stop(self):
        await self._server.stop(0)

    async def Serve(self, request, context):
        self.requests.append(request)
        try:
            await self.script(Stream(request, context))
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
