"""A loopback proxy whose connections can be slowed, held up or reset."""

import asyncio
import enum
import socket
import struct

CHUNK = 65_536
DELAY_S = 0.15
LOOK_S = 0.02
#: Linger for no time: closing sends a reset.
RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to bytes. What is held up arrives once the path is whole again,
    unless one side has closed meanwhile."""

    WHOLE = "whole"
    SLOW = "slow"
    SILENT = "silent"
    ANSWERS_HELD = "answers held up"
    CALLS_HELD = "calls held up"


class Proxy:
    """Stands between callers and one server.

    Example::

        proxy = Proxy("127.0.0.1", 9000)
        await proxy.start("127.0.1.4")
        proxy.mode = Mode.SILENT
        proxy.reset_all()
    """

    def __init__(self, host, port):
        self._target = (host, port)
        self._server = None
        self._open = set()
        self.mode = Mode.WHOLE
        self.port = 0

    async def start(self, host, port=0):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close everything."""
        self._server.close()
        self.reset_all()

    def reset_all(self):
        """Reset all connections of now."""
        for writer in list(self._open):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            there_reader, there_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, there_writer}
        self._open |= pair
        pumps = (
            self._pump(reader, there_writer, Mode.CALLS_HELD),
            self._pump(there_reader, writer, Mode.ANSWERS_HELD),
        )
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open -= pair
            for each in pair:
                each.transport.abort()

    async def _pump(self, reader, writer, held_in):
        while data := await reader.read(CHUNK):
            while self.mode in (Mode.SILENT, held_in):
                await asyncio.sleep(LOOK_S)
            if self.mode is Mode.SLOW:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.write_eof()
