"""A TCP forwarder that can cut, delay or silence the link between two processes."""

import asyncio
import enum
from collections.abc import Awaitable, Callable

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
MS = 0.001


class LinkMode(enum.StrEnum):
    """What a link does with what it carries.

    ``cut`` resets connections and refuses new ones. ``blackhole`` keeps them, and holds
    back what is sent until the link opens, as a network does that loses packets.
    ``hold_answers`` does so only on the way back, so that a call takes effect and its
    answer doesn't come.
    """

    OPEN = "open"
    CUT = "cut"
    BLACKHOLE = "blackhole"
    HOLD_ANSWERS = "hold_answers"


class Cut:
    """Forwards connections to a target, which may change while it runs.

    >>> cut = Cut(40123)
    >>> await cut.start()
    >>> cut.set(LinkMode.CUT)
    """

    def __init__(self, target_port: int, target_host: str = LOOPBACK) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.port = 0
        self.mode = LinkMode.OPEN
        self.delay_ms = 0.0
        self.bytes_to_target = 0
        self.bytes_from_target = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Host and port to connect to."""
        return f"{LOOPBACK}:{self.port}"

    @property
    def url(self) -> str:
        """The address as an HTTP base."""
        return f"http://{self.address}"

    async def start(self) -> int:
        """Binds a port of the kernel's choice and returns it."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, mode: LinkMode, *, delay_ms: float = 0.0) -> None:
        """Sets what the link does; *delay_ms* holds each piece back, either way."""
        self.mode = mode
        self.delay_ms = delay_ms
        if mode is LinkMode.CUT:
            self._abort_all()
        self._changed.set()
        self._changed = asyncio.Event()

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is LinkMode.CUT:
            writer.transport.abort()
            return
        await self._passable(LinkMode.BLACKHOLE)
        far_reader, far_writer = await asyncio.open_connection(
            self.target_host, self.target_port
        )
        self._writers.add(far_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, self._send))
                group.create_task(self._pump(far_reader, writer, self._answer))
        except* OSError:
            pass
        finally:
            self._writers.discard(far_writer)
            far_writer.transport.abort()
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: Callable[[int], Awaitable[None]],
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            await gate(len(chunk))
            writer.write(chunk)
            await writer.drain()
        await gate(0)
        if writer.can_write_eof():
            writer.write_eof()

    async def _send(self, size: int) -> None:
        await self._passable(LinkMode.BLACKHOLE)
        self.bytes_to_target += size

    async def _answer(self, size: int) -> None:
        await self._passable(LinkMode.BLACKHOLE, LinkMode.HOLD_ANSWERS)
        self.bytes_from_target += size

    async def _passable(self, *blocking: LinkMode) -> None:
        while self.mode in blocking:
            await self._changed.wait()
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms * MS)
