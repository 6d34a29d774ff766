"""Replicas that leave while the store turns one entry away and serves the others."""

import asyncio
import contextlib
import itertools
import unittest

import aiohttp
from bambootiller_platform_standins.httpd import Reply, Server

from bambootiller.gateway.gateway_state import BATCH_DELAY_FRACTION
from bambootiller.gateway.ports import Bounds
from tests.adapter.common.fleet import Fleet, wait_until

#: A replica that leaves gets no more calls after this time. Seconds.
LEAVING_S = Bounds().leaving_s
#: How long arrivals are counted after a replica has begun to leave. Seconds.
COUNTED_S = 4.0
#: For how long the store turns the entry away; a registration may expire in that time
#: if the replica isn't served either. Seconds.
REFUSED_S = 4.0
#: As many as keep both replicas busy.
CALLERS = 8


class RefusingAddress:
    """A second address of the store, which can turn its callers away."""

    def __init__(self, store):
        self._store = store
        self.status = None
        self.server = Server(self._handle)

    async def _handle(self, request):
        if self.status is not None:
            return Reply(self.status)
        return await self._store._handle(request)

    def refuse(self, status):
        """Turn callers away with a status, also those with a waiting watch."""
        self.status = status
        self.server.close_connections()


class TestRefusedEntry(unittest.IsolatedAsyncioTestCase):
    """Guards against calls to a replica that left, by an entry that the store alone
    turned away.

    The entry took its own refusals for an outage in which registrations expire; and
    while it was refused, its peers waited for it to read leaves by itself.
    """

    #: With this status the store turns the entry away.
    STATUS = 429

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.fleet = await self.stack.enter_async_context(Fleet())
        self.fleet.configure(
            routes=[
                {
                    "name": "r",
                    "host": "classes.example",
                    "path-prefix": "/",
                    "kind": "safe",
                    "timeout-ms": 2000,
                    "service": "plain",
                    "max-attempts": 2,
                }
            ],
            services=[{"name": "plain", "max-connections": 50}],
        )
        for number in (1, 2):
            await self.fleet.replica(f"127.0.0.{number + 1}", f"i-{number}", "plain")
        self.replica = self.fleet.replicas["i-1"]
        self.heartbeats = {
            instance: self.start(self.register(instance))
            for instance in self.fleet.replicas
        }
        self.refusing = RefusingAddress(self.fleet.store)
        await self.refusing.server.start()
        self.stack.push_async_callback(self.refusing.server.stop)
        other = await self.fleet.entry("e2")
        await self.fleet.wait_ready(other)
        self.entry = await self.fleet.entry(
            "e1",
            seeds=[other.document["listen"]["control"]],
            platform={"address": self.refusing.server.address},
        )
        await self.fleet.wait_ready(self.entry)
        for caller in range(CALLERS):
            self.start(self.call_forever(caller))

        async def both_run():
            return all(len(each.runs) > 5 for each in self.fleet.replicas.values())

        await wait_until(both_run, "both replicas run calls")

    def start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.stack.callback(task.cancel)
        return task

    async def register(self, instance):
        """Write the registration again and again, as a replica does."""
        while True:
            await asyncio.sleep(Bounds().heartbeat_s)
            self.fleet.store.put(
                f"servers/{instance}", self.fleet.replicas[instance].entry()
            )

    async def call_forever(self, caller):
        for number in itertools.count():
            with contextlib.suppress(aiohttp.ClientError):
                await self.fleet.call(self.entry, "", attempt=f"r-{caller}-{number}")
            await asyncio.sleep(0.02)

    async def refuse(self):
        """Have the store turn the entry away for a while."""
        self.refusing.refuse(self.STATUS)
        await asyncio.sleep(REFUSED_S)

    async def other_entry_begins_to_pause(self):
        """Return when the other entry has just read the registry and pauses."""
        await asyncio.sleep(LEAVING_S * BATCH_DELAY_FRACTION)
        self.fleet.store.put("servers/i-2", self.fleet.replicas["i-2"].entry())
        await asyncio.sleep(0.05)

    def leave(self, announced):
        """Have the replica leave; returns when the store acknowledged that."""
        for heartbeat in self.heartbeats.values():
            heartbeat.cancel()
        if announced:
            self.fleet.store.put("servers/i-1", self.replica.entry("draining"))
        else:
            self.fleet.store.remove("servers/i-1")
        return asyncio.get_running_loop().time()

    async def late_arrivals(self, left_at):
        """The arrivals at the replica later than allowed, in seconds after it left."""
        await asyncio.sleep(left_at + COUNTED_S - asyncio.get_running_loop().time())
        arrivals = [round(at - left_at, 2) for at in self.replica.arrivals]
        return [after_s for after_s in arrivals if after_s > LEAVING_S]

    async def test_a_replica_is_removed_just_after_the_refusals(self):
        await self.refuse()
        self.refusing.status = None
        await asyncio.sleep(0.4)
        self.assertEqual(await self.late_arrivals(self.leave(announced=False)), [])

    async def test_a_replica_is_removed_during_the_refusals(self):
        await self.refuse()
        await self.other_entry_begins_to_pause()
        self.assertEqual(await self.late_arrivals(self.leave(announced=False)), [])

    async def test_a_replica_announces_its_leave_during_the_refusals(self):
        await self.refuse()
        await self.other_entry_begins_to_pause()
        self.assertEqual(await self.late_arrivals(self.leave(announced=True)), [])
