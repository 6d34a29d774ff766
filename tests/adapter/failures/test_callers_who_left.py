"""Calls that may not be repeated, and whose callers leave before they are answered."""

import asyncio
import unittest

from bambootiller_platform_standins.httpd import Reply
from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import EntryHarness
from tests.adapter.failures.test_stalls import unresponsive_port

LEAVES_AFTER_S = 0.1
#: A request may reach a replica so long after its caller has left. Seconds.
MAX_ARRIVAL_S = 0.5


class TestCallersWhoLeft(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure(kind="unsafe", **{"max-attempts": 2})
        self.addAsyncCleanup(self.harness.close)
        self.replicas = [
            await self.harness.add(StandinReplica(f"i-{number}", "plain"))
            for number in range(2)
        ]

        self.arrivals = []
        for replica in self.replicas:
            replica.next_replies = [self.recorded(replica.answer)] * 20

    def recorded(self, reply):
        def record(request):
            self.arrivals.append(asyncio.get_running_loop().time())
            return reply(request)

        return record

    async def leave(self):
        """Call, leave, and return how long the call went on."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.harness.call(disconnect_after_s=LEAVES_AFTER_S)
        return loop.time() - began

    async def test_a_call_that_waits_for_a_connection_is_not_sent(self):
        """An unsafe call ran 0.7 s after its caller had left: it was still waiting for
        a connection to a silent machine, and then went to another."""
        left_by = asyncio.get_running_loop().time() + LEAVES_AFTER_S
        with unresponsive_port() as port:
            backend = self.harness.gateway_state.fleet.get("i-0")
            self.harness.context.pool(backend)._port = port
            await asyncio.gather(*[self.leave() for _ in range(8)])
            await asyncio.sleep(1.5)
        self.assertGreater(len(self.arrivals), 0)
        self.assertLess(max(self.arrivals), left_by + MAX_ARRIVAL_S)

    async def test_a_call_that_did_not_run_is_not_sent_again(self):
        """An unsafe call went to a second replica though its caller had left."""
        for replica in self.replicas:
            replica.next_replies = [self.recorded(refuse)] * 2
            replica.server.pause()
        calling = asyncio.ensure_future(self.leave())
        await asyncio.sleep(3 * LEAVES_AFTER_S)
        for replica in self.replicas:
            replica.server.resume()
        await calling
        self.assertEqual(len(self.arrivals), 1)

    async def test_a_call_that_runs_goes_on(self):
        """An unsafe call was cancelled halfway when its caller left."""
        for replica in self.replicas:
            replica.next_replies = [slow]
        self.assertGreater(await self.leave(), 1.5 * LEAVES_AFTER_S)


def refuse(request):
    return Reply(503, headers={"X-Not-Executed": "1"})


def slow(request):
    headers = {"X-Response-Seal": "s"}
    return Reply(headers=headers, pieces=(b"a", b"b"), gap_s=2 * LEAVES_AFTER_S)
