"""What open connections between processes hold, at the side that opened them.

An entry keeps a connection to each agent that it has sent a request to, so their memory
grows with the agents behind it.
"""

from __future__ import annotations

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller_standins.capacity._isolated import run_child
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series

SIZES = (50, 150, 300, 600)


class _Quiet(api.PeerServicer):
    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusReply:
        """Answer with nothing."""
        return pb.StatusReply()


@measurement("channels")
async def channels(effort: Effort) -> Figures:
    """Memory of a process against the connections that it has opened and used once."""
    points = []
    for size in effort.sizes(SIZES, SIZES[:2]):
        server = grpc.aio.server()
        api.add_PeerServicer_to_server(_Quiet(), server)
        ports = [server.add_insecure_port("127.0.0.1:0") for _ in range(size)]
        await server.start()
        found = await run_child("channels", ",".join(map(str, ports)))
        points.append((size, found["bytes"]))
        await server.stop(0)
    return Figures([Series("opened", "connections", "bytes", tuple(points))])
