"""Backend servers that report a limit of calls per second, with real processes."""

import asyncio
import contextlib
import signal
import unittest

import aiohttp
from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import EntryHarness
from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, ROUTE, SERVICE

MODEL_NAME = MODEL["name"]
LIMIT = 1.9
#: How soon after its first report a limit has to hold at all entries. Seconds.
PROPAGATION_S = 3.0
WINDOW_S = 4.0
#: How many calls may arrive in a window: 1.5 times what the limit allows, and 5 more.
MAX_ARRIVALS = 1.5 * LIMIT * WINDOW_S + 5


def max_in_window(arrivals, since):
    """Return the maximum number of arrivals in a window of ``WINDOW_S``.

    Only windows that start at ``since`` or later count. Times are those of the event
    loop's clock, in seconds.
    """
    times = [at for at in arrivals if at >= since]
    counts = [sum(begin <= at < begin + WINDOW_S for at in times) for begin in times]
    return max(counts, default=0)


class LimitedFleet(Fleet):
    """Entries and engines; the first ``holders`` engines hold the model."""

    def __init__(self):
        super().__init__()
        self.entries, self.agents, self.statuses = [], [], []
        self.limited_at = None

    async def begin(self, entries, engines=3, holders=1):
        self.configure()
        for number in range(engines):
            models = (MODEL_NAME,) if number < holders else ()
            host = f"127.0.0.{number + 2}"
            replica = await self.replica(host, f"i-{number}", "llm", models)
            replica.on_disk.add(MODEL_NAME)
            replica.gap_s = 0.005
            self.agents.append(await self.agent(f"a{number}", replica))
        for number in range(entries):
            self.entries.append(await self.entry(f"e{number}"))
        for entry in self.entries:
            await self.wait_ready(entry)
            await wait_until(lambda e=entry: self.is_served(e), "a call is served")
        self.limited = self.replicas["i-0"]

    async def is_served(self, entry):
        status, _ = await self.call(entry, MODEL_NAME)
        return status == 200

    def report_limit(self, per_s=LIMIT):
        """Have the first engine report a limit from now on."""
        self.limited.limit = per_s
        self.limited_at = asyncio.get_running_loop().time()

    @contextlib.asynccontextmanager
    async def callers(self, entries, pause_s):
        """Send a call to each entry every ``pause_s`` seconds, whatever the outcome."""
        calling = [
            asyncio.create_task(self._keep_calling(entry, pause_s)) for entry in entries
        ]
        try:
            yield
        finally:
            for task in calling:
                task.cancel()

    async def _keep_calling(self, entry, pause_s):
        calls = set()
        while True:
            task = asyncio.create_task(self._call_once(entry))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(pause_s)

    async def _call_once(self, entry):
        loop = asyncio.get_running_loop()
        headers = {"X-Deadline-Ms": "3000"}
        try:
            status, _ = await self.call(entry, MODEL_NAME, headers=headers)
        except (aiohttp.ClientError, TimeoutError):
            status = None
        self.statuses.append((loop.time(), status))

    def success_rate(self, since):
        """Return the fraction of the calls that ended since then and were served."""
        found = [status for at, status in self.statuses if at >= since]
        return sum(status == 200 for status in found) / max(1, len(found))


class TestReportedLimit(unittest.IsolatedAsyncioTestCase):
    """Guards against entries that ignore a reported limit.

    An engine that reported a limit of 1.9 calls per second got ten times as many.
    """

    def assert_limit_held(self, fleet):
        found = max_in_window(fleet.limited.arrivals, fleet.limited_at + PROPAGATION_S)
        self.assertLessEqual(found, MAX_ARRIVALS)

    async def test_all_entries_together_respect_it_and_others_serve_the_rest(self):
        async with LimitedFleet() as fleet:
            await fleet.begin(entries=4)
            async with fleet.callers(fleet.entries, 0.1):
                await asyncio.sleep(1.0)
                fleet.report_limit()
                await asyncio.sleep(PROPAGATION_S + 2 * WINDOW_S)
            self.assert_limit_held(fleet)
            success_rate = fleet.success_rate(fleet.limited_at + PROPAGATION_S)
            self.assertGreater(success_rate, 0.95)

    async def test_it_holds_while_entries_start_and_agents_stall(self):
        async with LimitedFleet() as fleet:
            await fleet.begin(entries=3, holders=2)
            async with contextlib.AsyncExitStack() as calling:
                await calling.enter_async_context(fleet.callers(fleet.entries, 0.05))
                fleet.report_limit()
                await asyncio.sleep(PROPAGATION_S)
                for agent in fleet.agents:
                    agent.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(2.0)
                    agent.process.send_signal(signal.SIGCONT)
                later = await fleet.entry("later")
                await fleet.wait_ready(later)
                await calling.enter_async_context(fleet.callers([later], 0.05))
                await asyncio.sleep(WINDOW_S)
            self.assert_limit_held(fleet)
            self.assertGreater(len(fleet.limited.arrivals), 0)

    async def test_an_engine_without_a_limit_again_is_used_again(self):
        async with LimitedFleet() as fleet:
            await fleet.begin(entries=2, engines=1)
            async with fleet.callers(fleet.entries, 0.1):
                fleet.report_limit()
                await asyncio.sleep(PROPAGATION_S)
                self.assertLess(fleet.success_rate(fleet.limited_at + 1.0), 0.5)
                fleet.limited.limit = None
                ended_at = asyncio.get_running_loop().time()
                await asyncio.sleep(6.0)
            self.assertGreater(fleet.success_rate(ended_at + 3.0), 0.95)

    async def test_calls_that_cannot_be_served_are_refused_at_once(self):
        """The only engine has a limit: calls beyond it get a time for a retry."""
        async with LimitedFleet() as fleet:
            await fleet.begin(entries=2, engines=1)
            async with fleet.callers(fleet.entries, 0.1):
                fleet.report_limit()
                await asyncio.sleep(PROPAGATION_S + WINDOW_S)
            self.assert_limit_held(fleet)
            refused = [
                line
                for entry in fleet.entries
                for line in entry.events("refused")
                if line["reason"] == "backend_limited"
            ]
            self.assertGreater(len(refused), 10)
            for line in refused:
                self.assertGreaterEqual(line["come_back_s"], 0.25)

    async def test_it_holds_for_a_plain_service_too(self):
        async with LimitedFleet() as fleet:
            await fleet.begin(entries=3)
            plain = {**ROUTE, "name": "p", "path-prefix": "/p/", "kind": "safe"}
            fleet.configure(
                version=2,
                routes=[ROUTE, {**plain, "service": "plain"}],
                services=[SERVICE, {"name": "plain"}],
            )
            fleet.limited = await fleet.replica("127.0.0.9", "p-1", "plain")
            await fleet.replica("127.0.0.10", "p-2", "plain")
            for entry in fleet.entries:
                await wait_until(
                    lambda e=entry: self.plain_call(fleet, e), "it is served"
                )
            fleet.report_limit()
            end = fleet.limited_at + PROPAGATION_S + WINDOW_S
            outcomes = []
            while asyncio.get_running_loop().time() < end:
                calls = [self.plain_call(fleet, entry) for entry in fleet.entries]
                outcomes += await asyncio.gather(*calls)
                await asyncio.sleep(0.05)
            self.assert_limit_held(fleet)
            self.assertGreater(sum(outcomes) / len(outcomes), 0.99)

    async def plain_call(self, fleet, entry):
        status, _ = await fleet.call(entry, "", path="/p/x")
        return status == 200


class TestWithoutAllocator(unittest.IsolatedAsyncioTestCase):
    """Without an allocator entries have no share of the limit and send no calls."""

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure()
        self.limited = await self.harness.add(StandinReplica("i-1", "plain"))
        self.limited.limit = LIMIT
        self.assertEqual((await self.harness.call()).status, 200)

    async def asyncTearDown(self):
        await self.harness.close()

    async def test_the_call_is_refused_at_once_and_never_runs(self):
        began = asyncio.get_running_loop().time()
        answer = await self.harness.call()
        self.assertEqual((answer.status, answer.body), (503, b"backend_limited"))
        self.assertLess(asyncio.get_running_loop().time() - began, 1.0)
        self.assertEqual(len(self.limited.arrivals), 1)

    async def test_another_backend_server_takes_it(self):
        other = await self.harness.add(StandinReplica("i-2", "plain"))
        statuses = [(await self.harness.call()).status for _ in range(20)]
        self.assertEqual(statuses, [200] * 20)
        self.assertEqual(len(other.arrivals), 20)
