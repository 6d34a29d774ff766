"""Replicas that go on while the test's own loop stands still."""

import asyncio
import threading

from bambootiller_platform_standins.replica import StandinReplica
from bambootiller_platform_standins.store import StandinStore

#: A thread that is asked to end does so within this time. Seconds.
STOP_TIMEOUT_S = 5.0


class BackgroundLoop:
    """A second event loop on a thread of its own, for what runs outside of the process
    under test.

    Example::

        outside = BackgroundLoop()
        replica = outside.start_replica("i-1", "plain")
        ...
        outside.close()
    """

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._replicas = []

    def start_replica(self, instance, service, models=()):
        """A replica that listens and answers on the other loop."""
        replica = StandinReplica(instance, service, models)
        self._run(replica.server.start())
        self._replicas.append(replica)
        return replica

    def start_store(self):
        """A store that listens and answers on the other loop."""
        store = StandinStore()
        self._run(store.server.start())
        self._replicas.append(store)
        return store

    def call(self, function, *args):
        """Call a function on the other loop."""

        async def calling():
            return function(*args)

        return self._run(calling())

    def stop_replica(self, replica):
        """Close the replica's port and connections."""
        self._replicas.remove(replica)
        self._run(replica.server.stop())

    def close(self):
        """Stop the replicas and the thread."""
        for replica in self._replicas:
            self._run(replica.server.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            STOP_TIMEOUT_S
        )
