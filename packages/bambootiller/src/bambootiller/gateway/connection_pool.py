"""Pools of connections to backend servers.

Example::

    pool = ConnectionPool("10.1.0.9:8080", max_open=32, running_time=running_time)
    conn = await pool.acquire(now, timeout_s)
    ...
    pool.release(conn, now)
"""

from __future__ import annotations

import asyncio
from collections import deque

from bambootiller.gateway.backend_connection import BackendConnection
from bambootiller.gateway.silence import RunningTimeSource, wait_running_time
from bambootiller.gateway.work_queue import WorkQueue

#: Timeout for establishing a connection. Seconds of running time.
CONNECT_TIMEOUT_S = 0.8


class CannotConnect(Exception):
    """No connection was established, so nothing was sent."""


class PoolExhausted(CannotConnect):
    """This process has reached its connection limit; the backend server may be
    healthy."""


class ConnectionPool:
    """The connections to one backend server.

    ``max_open`` limits the connections of this process, idle ones included, because a
    backend server resets those beyond its limit for all clients together. All pools of
    a process share its ``work_queue``.
    """

    def __init__(
        self,
        address: str,
        max_open: int,
        running_time: RunningTimeSource,
        work_queue: WorkQueue | None = None,
    ) -> None:
        self._running_time = running_time
        self._work_queue = work_queue or WorkQueue()
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._max_open = max_open
        self._idle: deque[BackendConnection] = deque()
        self.open = 0

    async def acquire(
        self, now: float, timeout_s: float, fresh: bool = False
    ) -> BackendConnection:
        """An idle connection or a new one; with ``fresh`` the idle ones are closed
        first. Raises :class:`CannotConnect` if there is none."""
        if fresh:
            self.close()
        while self._idle:
            conn = self._idle.pop()
            if conn.can_be_reused(now):
                return conn
            self._drop(conn)
        if self.open >= self._max_open:
            raise PoolExhausted(f"the limit of {self.open} connections is reached")
        self.open += 1
        try:
            return await self._connect(min(CONNECT_TIMEOUT_S, timeout_s))
        except BaseException:
            self.open -= 1
            raise

    def release(self, conn: BackendConnection, now: float) -> None:
        """Return a connection after a call; it is closed if it can't be reused."""
        if conn.finish(now):
            self._idle.append(conn)
        else:
            self.open -= 1

    def release_unused(self, conn: BackendConnection, now: float) -> None:
        """Return a connection on which nothing was sent. The idle time of a reused one
        isn't reset."""
        if not conn.reused:
            conn.idle_since = now
        self._idle.append(conn)

    def discard(self, conn: BackendConnection) -> None:
        """Close a connection in the middle of a call."""
        self._drop(conn)

    def sweep(self, now: float) -> None:
        """Close idle connections that can't be reused."""
        for conn in list(self._idle):
            if not conn.can_be_reused(now):
                self._idle.remove(conn)
                self._drop(conn)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    def _drop(self, conn: BackendConnection) -> None:
        conn.close()
        self.open -= 1

    async def _connect(self, timeout_s: float) -> BackendConnection:
        loop = asyncio.get_running_loop()
        conn = BackendConnection(self._running_time, self._work_queue)
        connecting = loop.create_connection(lambda: conn, self._host, self._port)
        try:
            await wait_running_time(
                self._running_time, max(0.01, timeout_s), connecting
            )
        except (OSError, TimeoutError) as exc:
            raise CannotConnect(f"{self._host}:{self._port}: {exc!r}") from exc
        except BaseException:
            # Otherwise a connection established just as its caller left would leak.
            conn.close()
            raise
        return conn
