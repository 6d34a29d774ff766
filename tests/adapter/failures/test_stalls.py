"""An entry that stands still, or whose backend server is silent, with nowhere to go.

On a small instance entries were starved of their processor for seconds. Streams whose
runs had ended well were closed in the middle of their answer, and calls were refused
because no connection to a backend server that accepts at once came about in time. The
logs said `silent for 0.70 s` of backend servers that had sent all the while,
`cannot_connect` with a timeout 88 times in 6 s, and `attempt_failed` with `SendAgain`
after each: the entry had not looked at its sockets, and took that for their silence.
"""

import asyncio
import contextlib
import json
import socket
import time
import unittest
from unittest import mock

from bambootiller_platform_standins.httpd import Reply

from bambootiller.gateway.gateway_state import GatewayState, StoreWatcher
from bambootiller.gateway.ports import Bounds
from bambootiller_core.gateway.retry_budget import RetryBudget
from bambootiller_core.gateway.running_clock import TICK_S, RunningClock
from bambootiller_platform import store as store_module
from bambootiller_platform.documents import PlatformDirectory
from tests.adapter.common.background_loop import BackgroundLoop
from tests.adapter.common.entry import MODEL_NAME, EntryHarness, RecordingEventLog
from tests.adapter.cover.test_documents import SERVER
from tests.gateway.common import samples


class StallCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure(**{"max-attempts": 2})
        self.background_loop = BackgroundLoop()
        self.addCleanup(self.background_loop.close)

    def add(self, instance, service, models=()):
        replica = self.background_loop.start_replica(instance, service, models)
        self.harness.add_document(f"servers/{instance}", replica.entry())
        return replica

    def holders(self):
        return [self.add(name, "llm", (MODEL_NAME,)) for name in ("i-1", "i-2")]

    def exhaust_retry_budget(self):
        self.harness.context.service("llm").budget = RetryBudget(0.0, 0.0, 10.0)

    async def call(self):
        return await self.harness.call(path=b"/a/x", x_model=MODEL_NAME)


class TestEntryStall(StallCase):
    async def test_stream_is_not_taken_for_silent_after_an_entry_stall(self):
        """The entry stood still for 1.2 s in the middle of a stream, longer than the
        0.7 s of silence after which a call goes elsewhere. The timer of that silence
        ended in the same turn of the loop that brought the events, and won: the stream
        was sent to a second backend server, which ran it once more.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 20, 0.03
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.2)
        time.sleep(1.2)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(sum(len(replica.runs) for replica in replicas), 1)
        self.assertEqual(self.harness.events.of_kind("answer_lost"), [])

    async def test_stream_is_whole_after_a_stall_without_retry_budget(self):
        """As above, but the budget of second attempts was used up, as it is after a
        moment in which all streams of an entry go elsewhere. The stream was cut: its
        caller saw the connection closed in the middle of an answer that was there.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 20, 0.03
        self.exhaust_retry_budget()
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.2)
        time.sleep(1.2)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(answer.status, 200)

    async def test_connection_is_made_despite_slow_loop_iterations(self):
        """Each turn of the entry's loop took 0.5 s, and making a connection takes
        several turns. The 0.8 s for it ran out although the backend server had
        accepted at once; the call was refused, and the backend server was avoided.
        """
        self.harness.configure(**{"timeout-ms": 20_000})
        replica = self.add("i-1", "plain")
        blocking = asyncio.ensure_future(block_loop(seconds=10.0, iteration_s=0.5))
        answer = await self.harness.call(path=b"/plain/x")
        blocking.cancel()
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(replica.runs), 1)
        self.assertEqual(self.harness.events.of_kind("cannot_connect"), [])


class TestNoFailoverTarget(StallCase):
    async def test_silent_stream_is_kept_without_retry_budget(self):
        """The backend server paused for 1 s in its stream, and the budget was used up.
        The entry gave the running stream up first and looked at the budget afterwards:
        the caller lost an answer that would have gone on.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 3, 1.0
        self.exhaust_retry_budget()
        answer = await self.call()
        self.assertTrue(answer.whole)
        self.assertEqual(sum(len(replica.runs) for replica in replicas), 1)

    async def test_silent_stream_is_kept_if_all_others_are_full(self):
        """The backend server paused for 1 s in its stream, and the only other holder
        of the model had as many calls as it takes. The running stream was given up,
        nothing was found instead, and the caller's answer was cut.
        """
        calling, running, other = await self.paused_stream()
        self.harness.gateway_state.fleet.get(other.instance).in_flight = 1_000
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(len(running.runs), 1)

    async def test_silent_stream_is_kept_if_the_other_is_unreachable(self):
        """The backend server paused for 1 s in its stream, and the other holder was
        listed but took no connection. The running stream was given up before that was
        known, and had to be begun again.
        """
        calling, running, other = await self.paused_stream()
        self.background_loop.stop_replica(other)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(len(running.runs), 1)

    async def paused_stream(self):
        """A call under way, the replica that runs it with pauses of 1 s, and another
        that holds its model."""
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 3, 1.0
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        (running,) = [replica for replica in replicas if replica.runs]
        (other,) = [replica for replica in replicas if not replica.runs]
        return calling, running, other


class TestSilentAgent(StallCase):
    """The backend servers were well and paused for 1 s in their streams. Their agents
    weren't: that alone had the running streams cut, without a look at whether there was
    anywhere else to go.
    """

    def report_agents(self, silent):
        loop = asyncio.get_running_loop()
        for name in ("i-1", "i-2"):
            state = samples.engine_state(name, (MODEL_NAME,), silent=silent)
            self.harness.gateway_state.fleet.engine_reported(loop.time(), state)

    async def answer(self, agent_reports):
        for replica in self.holders():
            replica.events, replica.gap_s = 3, 1.0
        self.report_agents(silent=False)
        self.exhaust_retry_budget()
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        while agent_reports and not calling.done():
            self.report_agents(silent=True)
            await asyncio.sleep(0.2)
        return await calling

    async def test_running_stream_is_kept_if_its_agent_reports_silence(self):
        self.assertTrue((await self.answer(agent_reports=True)).whole)

    async def test_running_stream_is_kept_if_its_agent_has_ended(self):
        self.assertTrue((await self.answer(agent_reports=False)).whole)


class TestSeveralFailoverTargets(StallCase):
    async def test_failover_goes_on_past_a_second_dead_backend_server(self):
        """The first backend server hung and the second took no connection; the third
        was well. After the second the entry waited a whole silence again, half of the
        call's time, and then there was none left."""
        self.harness.configure(**{"max-attempts": 3})
        first, second, _ = (self.add(f"i-{n}", "plain") for n in (1, 2, 3))
        self.harness.gateway_state.fleet.get("i-2").in_flight = 1
        self.harness.gateway_state.fleet.get("i-3").in_flight = 2
        first.next_replies.append(lambda request: Reply(silent=True))
        self.background_loop.stop_replica(second)
        answer = await self.harness.call(path=b"/plain/x")
        self.assertEqual(len(first.runs), 1)
        self.assertEqual(answer.status, 200)

    async def test_event_does_not_wait_for_a_failover_connection(self):
        """The backend server paused for 0.8 s. At 0.7 s the entry began to connect to
        another one, which swallowed the connection, and passed on what the first said
        at 0.8 s only once that had failed, at 1.5 s."""
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 2, 0.8
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        (other,) = [replica for replica in replicas if not replica.runs]
        backend = self.harness.gateway_state.fleet.get(other.instance)
        with unresponsive_port() as port:
            self.harness.context.pool(backend)._port = port
            answer = await calling
        self.assertLess(answer.arrivals[1] - answer.arrivals[0], 1.1)


class TestStoreWatchAfterStall(unittest.IsolatedAsyncioTestCase):
    async def test_backend_server_removed_after_a_stall_is_not_used(self):
        """An entry stood still for longer than it waits for the store, and took that
        for the store's absence. Entries that vanish right after an absence count as
        lapsed for 2.3 s: calls went on to a backend server that had left."""
        background_loop = BackgroundLoop()
        self.addCleanup(background_loop.close)
        store = background_loop.start_store()
        store.put("servers/i-1", json.dumps(SERVER).encode())
        shorter = mock.patch.multiple(
            store_module, WATCH_WAIT_MS=250, WATCH_TIMEOUT_MARGIN_S=0.1
        )
        shorter.start()
        self.addCleanup(shorter.stop)
        kv = store_module.PlatformKeyValue(f"http://{store.server.address}")
        self.addAsyncCleanup(kv.close)
        loop, events = asyncio.get_running_loop(), RecordingEventLog()
        running = RunningClock(loop.time())
        gateway_state = GatewayState(
            PlatformDirectory(), events, loop.time, running.running_time
        )
        watcher = StoreWatcher(
            kv, gateway_state, events, loop.time, running.running_time
        )
        tasks = [
            asyncio.ensure_future(watcher.follow("servers/")),
            asyncio.ensure_future(tick(running)),
        ]
        await asyncio.sleep(0.4)
        self.assertIsNotNone(gateway_state.fleet.get("i-1"))
        time.sleep(0.8)
        await asyncio.sleep(0.5)
        background_loop.call(store.remove, "servers/i-1")
        await asyncio.sleep(0.8)
        held = gateway_state.fleet.get("i-1")
        for task in tasks:
            task.cancel()
        self.assertIsNone(held)
        self.assertEqual(events.of_kind("dependency_lost"), [])


class TestStoreRecovery(unittest.IsolatedAsyncioTestCase):
    """Symptom: after each outage of the store, live backend servers get no calls for a
    second.

    An entry of the registry that is missing 2.3 s after the store's return is taken for
    gone. Backend servers are back in the registry within two seconds, but where a
    leaving one may take 4 s to get no more work it is read only each 1.2 s: what came
    back in time was read too late.
    """

    async def test_returning_backend_servers_are_read_in_time(self):
        background_loop = BackgroundLoop()
        self.addCleanup(background_loop.close)
        store = background_loop.start_store()
        kv = store_module.PlatformKeyValue(f"http://{store.server.address}")
        self.addAsyncCleanup(kv.close)
        loop, events = asyncio.get_running_loop(), RecordingEventLog()
        gateway_state = GatewayState(PlatformDirectory(), events, loop.time)
        watcher = StoreWatcher(
            kv, gateway_state, events, loop.time, bounds=lambda: Bounds(leaving_s=20.0)
        )
        watcher._unavailable_since["servers/"] = loop.time()
        watching = asyncio.ensure_future(watcher.follow("servers/"))
        self.addCleanup(watching.cancel)
        await asyncio.sleep(0.2)
        for number in (1, 2):
            server = {**SERVER, "address": f"127.0.0.1:{number}"}
            body = json.dumps(server).encode()
            background_loop.call(store.put, f"servers/i-{number}", body)
            await asyncio.sleep(0.5)
        self.assertIsNotNone(gateway_state.fleet.get("i-2"))


async def tick(running):
    """Keep the running time of the process under test."""
    while True:
        running.tick(asyncio.get_running_loop().time())
        await asyncio.sleep(TICK_S)


@contextlib.contextmanager
def unresponsive_port():
    """A port that takes no further connection and refuses none."""
    with contextlib.ExitStack() as held:
        listening = held.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        for _ in range(4):
            sock = held.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listening.getsockname())
        yield listening.getsockname()[1]


async def block_loop(seconds, iteration_s):
    """Keep the loop busy: each of its turns takes ``iteration_s`` at least."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        time.sleep(iteration_s)
        await asyncio.sleep(0)
