"""Replicas that restart while they leave, and calls that wait while one leaves."""

import asyncio
import contextlib
import itertools
import unittest

import aiohttp
from bambootiller_platform_standins.replica import StandinReplica
from bambootiller_platform_standins.store import StandinStore

from bambootiller.gateway.gateway_state import (
    BATCH_DELAY_FRACTION,
    GatewayState,
    StoreWatcher,
)
from bambootiller.gateway.ports import Bounds
from bambootiller_platform import store as store_module
from bambootiller_platform.documents import PlatformDirectory
from bambootiller_platform.store import PlatformKeyValue
from bambootiller_standins.testing import eventually
from tests.adapter.common.entry import MODEL_NAME, EntryHarness, RecordingEventLog
from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.failures.test_silent_streams import PausedStreamCase

#: A backend server that leaves gets no more calls after this time. Seconds.
LEAVING_S = Bounds().leaving_s
#: How long arrivals are counted after a replica has begun to leave. Seconds.
COUNTED_S = 5.0
#: A process whose connections went silent has to be up to date after this time.
#: Seconds.
CONTACT_S = 3.0
#: How often an entry looks for registrations that stay missing. Seconds.
SWEEP_INTERVAL_S = 0.5
#: As many as keep both replicas busy.
CALLERS = 12


class TestRestartWhileLeaving(unittest.IsolatedAsyncioTestCase):
    """Guards against calls to a replica that left, by way of its next start.

    Only its agent had reported the next start. The entry took that for a start that
    doesn't leave, whatever the registry said.
    """

    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.fleet = await stack.enter_async_context(Fleet())
        self.fleet.configure()
        for number in (1, 2):
            replica = await self.fleet.replica(
                f"127.0.0.{number + 1}", f"i-{number}", "llm", (MODEL_NAME,)
            )
            await self.fleet.agent(f"a{number}", replica)
        self.replica = self.fleet.replicas["i-1"]
        self.entry = await self.fleet.entry("e1")
        await self.fleet.wait_ready(self.entry)
        for caller in range(CALLERS):
            calling = asyncio.create_task(self.call_forever(caller))
            stack.callback(calling.cancel)

        async def both_run():
            replicas = self.fleet.replicas.values()
            reported = self.entry.events("answered")
            return (
                all(len(replica.runs) > 5 for replica in replicas)
                and reported
                and "agent_age_ms" in reported[-1]["chosen_on"]
            )

        await wait_until(both_run, "both replicas run calls on their agents' reports")

    async def call_forever(self, caller):
        for number in itertools.count():
            attempt = f"r-{caller}-{number}"
            with contextlib.suppress(aiohttp.ClientError):
                await self.fleet.call(self.entry, MODEL_NAME, attempt=attempt)
            await asyncio.sleep(0.02)

    async def restart(self):
        """Restart the replica with its model, and wait until its agent has reported
        that."""
        self.replica.restart()
        self.replica.held[MODEL_NAME] = set()

        async def restart_detected():
            return bool(self.entry.events("backend_restarted"))

        await wait_until(restart_detected, "the entry detects the restart")

    async def late_arrivals(self, left_at):
        """The arrivals at the replica later than allowed, in seconds after it left."""
        clock = asyncio.get_running_loop().time
        await asyncio.sleep(left_at + COUNTED_S - clock())
        arrivals = [round(at - left_at, 2) for at in self.replica.arrivals]
        return [after_s for after_s in arrivals if after_s > LEAVING_S]

    def announce_leave(self):
        """Register the replica as leaving; returns when."""
        self.fleet.store.put("servers/i-1", self.replica.entry("draining"))
        return asyncio.get_running_loop().time()

    async def test_after_its_announcement(self):
        left_at = self.announce_leave()
        await asyncio.sleep(0.3)
        await self.restart()
        self.assertEqual(await self.late_arrivals(left_at), [])

    async def test_before_its_announcement_is_read(self):
        announcement = self.replica.entry("draining")
        await self.restart()
        self.fleet.store.put("servers/i-1", announcement)
        left_at = asyncio.get_running_loop().time()
        self.assertEqual(await self.late_arrivals(left_at), [])

    async def test_before_its_registration_is_removed(self):
        await self.restart()
        await asyncio.sleep(0.3)
        self.fleet.store.remove("servers/i-1")
        left_at = asyncio.get_running_loop().time()
        self.assertEqual(await self.late_arrivals(left_at), [])

    async def test_it_gets_calls_again_once_it_is_registered_as_ready(self):
        left_at = self.announce_leave()
        await asyncio.sleep(0.3)
        await self.restart()
        self.assertEqual(await self.late_arrivals(left_at), [])
        before = len(self.replica.runs)
        self.fleet.store.put("servers/i-1", self.replica.entry())

        async def runs_again():
            return len(self.replica.runs) > before

        await wait_until(runs_again, "the replica runs calls again")


class TestLeaveWhileCallWaits(unittest.IsolatedAsyncioTestCase):
    """Guards against sending a call to a replica that has left since it was chosen.

    A call may wait for a connection for most of the time in which the leave has to take
    effect; what was known when the replica was chosen isn't checked again.
    """

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.addAsyncCleanup(self.harness.close)
        self.harness.configure(kind="unsafe", **{"max-attempts": 1})
        self.leaving = await self.harness.add(StandinReplica("i-1", "plain"))
        self.fleet = self.harness.gateway_state.fleet

    def when_connecting(self, change):
        """Have ``change`` happen while a call waits for a connection to the replica."""
        self.pool = self.harness.context.pool(self.fleet.get("i-1"))
        change_while_connecting(self.pool, change)

    async def add_other(self):
        self.other = await self.harness.add(StandinReplica("i-2", "plain"))

    def announce_leave(self):
        self.harness.add_document("servers/i-1", self.leaving.entry("draining"))

    async def assert_other_runs_the_call(self):
        answer = await self.harness.call()
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.leaving.arrivals, [])
        self.assertEqual(len(self.other.runs), 1)
        self.pool.close()
        self.assertEqual(self.pool.open, 0, "a connection was leaked")

    async def test_after_an_announcement_it_goes_to_another_replica(self):
        async def leave():
            await self.add_other()
            self.announce_leave()

        self.when_connecting(leave)
        await self.assert_other_runs_the_call()

    async def test_after_a_removal_it_goes_to_another_replica(self):
        async def leave():
            await self.add_other()
            self.fleet.registry_removed(0.0, "i-1")

        self.when_connecting(leave)
        await self.assert_other_runs_the_call()

    async def test_without_another_replica_it_is_refused_as_not_run(self):
        async def leave():
            self.announce_leave()

        self.when_connecting(leave)
        answer = await self.harness.call()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.leaving.arrivals, [])


class SilentWatchStore(StandinStore):
    """A store to which one connection, with a waiting watch, goes silent."""

    def __init__(self):
        super().__init__()
        self.silent_watches = 0

    async def _watch(self, request):
        if self.silent_watches > 0:
            self.silent_watches = 0
            await asyncio.Event().wait()
        return await super()._watch(request)


class TestSilentWatch(unittest.IsolatedAsyncioTestCase):
    """Guards against using a replica for seconds after its registration was removed,
    because one connection of the entry to the store has gone silent.

    The entry read nothing of the registry until the watch timed out, and then took its
    own silence for an outage of the store in which the registration had expired.
    """

    async def asyncSetUp(self):
        self.store = SilentWatchStore()
        await self.store.server.start()
        self.addAsyncCleanup(self.store.server.stop)
        kv = PlatformKeyValue(f"http://{self.store.server.address}")
        self.addAsyncCleanup(kv.close)
        events = RecordingEventLog()
        clock = asyncio.get_running_loop().time
        self.state = GatewayState(PlatformDirectory(), events, clock)
        watcher = StoreWatcher(kv, self.state, events, clock)
        self.start(self.register_again_and_again("i-1"))
        self.start(self.register_again_and_again("i-2"))
        self.start(watcher.follow("servers/"))
        self.start(self.sweep())

    def start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.addCleanup(task.cancel)

    async def register_again_and_again(self, instance):
        replica = StandinReplica(instance, "plain")
        await replica.server.start()
        self.addAsyncCleanup(replica.server.stop)
        while not (instance == "i-1" and self.store.silent_watches < 0):
            self.store.put(f"servers/{instance}", replica.entry())
            await asyncio.sleep(Bounds().heartbeat_s)

    async def sweep(self):
        while True:
            self.state.fleet.sweep(asyncio.get_running_loop().time())
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def is_used(self):
        return self.state.fleet.get("i-1") is not None

    async def test_a_removed_replica_is_dropped_in_time(self):
        await eventually(self.is_used, "the replica is listed")
        self.store.silent_watches = 1
        await eventually(lambda: not self.store.silent_watches, "a watch is silent")
        self.store.silent_watches = -1
        await asyncio.sleep(0.1)
        self.store.remove("servers/i-1")
        # Until then the entry isn't in touch with the store.
        await asyncio.sleep(CONTACT_S)
        self.assertFalse(self.is_used())


class TestSumOfDelays(unittest.TestCase):
    """Guards against delays that are each within the bound for a leave, but not
    together."""

    #: The bound for a leave, and the time after which a process is in touch again, of
    #: the platform's deployments. Seconds.
    BOUNDS = ((2.0, 3.0), (3.0, 4.0), (4.0, 5.0))
    #: An answer of a slow store. Seconds.
    SLOW_ANSWER_S = 0.2

    def test_a_leave_is_known_in_time(self):
        for leaving_s, _ in self.BOUNDS:
            known_s = BATCH_DELAY_FRACTION * leaving_s + self.SLOW_ANSWER_S
            self.assertLess(known_s, leaving_s)

    def test_a_silent_connection_is_replaced_before_the_process_is_in_touch(self):
        silent_s = (
            store_module.BUSY_WATCH_WAIT_MS / 1000 + store_module.WATCH_TIMEOUT_MARGIN_S
        )
        for leaving_s, contact_s in self.BOUNDS:
            known_s = BATCH_DELAY_FRACTION * leaving_s + silent_s + self.SLOW_ANSWER_S
            self.assertLess(known_s, contact_s)


class TestLeaveDuringFailover(PausedStreamCase):
    """Guards against moving a silent stream to a replica that has left since it was
    chosen."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replicas = [
            self.add(f"i-{number}", "llm", (MODEL_NAME,)) for number in (1, 2, 3)
        ]

    async def test_the_stream_is_not_sent_there(self):
        await self.begin()
        for other in self.others:
            backend = self.harness.gateway_state.fleet.get(other.instance)

            async def leave(key=f"servers/{other.instance}", replica=other):
                self.harness.add_document(key, replica.entry("draining"))

            change_while_connecting(self.harness.context.pool(backend), leave)
        answer = await self.calling
        self.assertEqual([other.arrivals for other in self.others], [[], []])
        self.assertEqual((answer.status, answer.whole), (200, True))


def change_while_connecting(pool, change):
    """Have ``change`` happen each time a connection of the pool is acquired."""
    acquire = pool.acquire

    async def slow_acquire(*args, **kwargs):
        conn = await acquire(*args, **kwargs)
        await change()
        return conn

    pool.acquire = slow_acquire
