"""Replicas that keep running while the test's own event loop is blocked."""

import asyncio
import threading

from bambootiller_platform_standins.replica import StandinReplica
from bambootiller_platform_standins.store import StandinStore

#: Bounds calls on the other loop and the end of its thread. Seconds.
STOP_TIMEOUT_S = 5.0


class BackgroundLoop:
    """An event loop on a thread of its own, for the servers that a test calls.

    Example::

        background_loop = BackgroundLoop()
        replica = background_loop.start_replica("i-1", "plain")
        ...
        background_loop.close()
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._servers = []

    def start_replica(self, instance, service, models=()):
        """Start a replica that runs on this loop."""
        replica = StandinReplica(instance, service, models)
        self._run(replica.server.start())
        self._servers.append(replica)
        return replica

    def start_store(self):
        """Start a store that runs on this loop."""
        store = StandinStore()
        self._run(store.server.start())
        self._servers.append(store)
        return store

    def call(self, function, *args):
        """Call a function on this loop and return its result."""

        async def calling():
            return function(*args)

        return self._run(calling())

    def stop_replica(self, replica):
        """Close the replica's port and connections, and forget it."""
        self._servers.remove(replica)
        self._run(replica.server.stop())

    def close(self):
        """Stop all servers and the thread."""
        for replica in self._servers:
            self._run(replica.server.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            STOP_TIMEOUT_S
        )
