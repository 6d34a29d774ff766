"""What open connections between processes hold, at the side that opened them.

An entry keeps a connection to each agent that it has sent a request to, so their memory
grows with the agents behind it. One that isn't used for a while is closed; what the
next ones then take beyond the memory that this gave back is what an idle one keeps.
"""

from __future__ import annotations

import grpc

from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller_standins.capacity._isolated import run_child
from bambootiller_standins.capacity._registry import Effort, Figures, measurement
from bambootiller_standins.capacity._slopes import Series

SIZES = (50, 150, 300, 600)
#: So many are left idle, and as many opened after.
IDLE = 300


class _Quiet(api.PeerServicer):
    async def Status(
        self, request: pb.StatusRequest, context: grpc.aio.ServicerContext
    ) -> pb.StatusReply:
        """Answer with nothing."""
        return pb.StatusReply()


@measurement("channels")
async def channels(effort: Effort) -> Figures:
    """Memory of a process against the connections that it has opened and used once."""
    sizes = effort.sizes(SIZES, SIZES[:2])
    points = [(size, (await _used("channels", size))["bytes"]) for size in sizes]
    idle = await _used("idle_channels", 2 * IDLE + 1)
    return Figures(
        [Series("opened", "connections", "bytes", tuple(points))],
        {"idle_each": idle["last"] / IDLE, "used_each": idle["first"] / IDLE},
    )


async def _used(kind: str, size: int) -> dict[str, float]:
    """A run of a child against as many local ports."""
    server = grpc.aio.server()
    api.add_PeerServicer_to_server(_Quiet(), server)
    ports = [server.add_insecure_port("127.0.0.1:0") for _ in range(size)]
    await server.start()
    try:
        return await run_child(kind, ",".join(map(str, ports)))
    finally:
        await server.stop(0)
