"""Stalled entries, and silent backend servers without a failover target.

Failure: on a small instance, entries got no processor time for seconds. Streams whose
runs had succeeded were closed in the middle of their answers, and calls were refused
because connections to backend servers that accept at once timed out. The entry hadn't
read its sockets during the stall and took that for silence: the log had `silent for
0.70 s` for backend servers that had sent all the time, `cannot_connect` with a timeout
88 times in 6 s, and `attempt_failed` with `SendAgain` after each.
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
        self.harness.context.service("llm").retry_budget = RetryBudget(0.0, 0.0, 10.0)

    async def call(self):
        return await self.harness.call(path=b"/a/x", x_model=MODEL_NAME)


class TestEntryStall(StallCase):
    async def test_stream_is_not_taken_for_silent_after_an_entry_stall(self):
        """The entry stalls for 1.8 s in the middle of a stream, longer than any
        silence timeout of a stream. That timer used to expire in the same loop
        iteration that delivered the events, and came first: the stream failed over to a
        second backend server, which ran the call again.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 20, 0.03
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.2)
        time.sleep(1.8)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(sum(len(replica.runs) for replica in replicas), 1)
        self.assertEqual(self.harness.events.of_kind("answer_lost"), [])

    async def test_stream_is_whole_after_a_stall_without_retry_budget(self):
        """As above, but the retry budget is exhausted, as it is after all streams of an
        entry have failed over at once. The stream used to be cut: its caller saw the
        connection closed in the middle of an answer that was complete.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 20, 0.03
        self.exhaust_retry_budget()
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.2)
        time.sleep(1.8)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(answer.status, 200)

    async def test_connection_is_made_despite_slow_loop_iterations(self):
        """Each iteration of the entry's event loop takes 0.5 s, and connecting takes
        several iterations. The connect timeout of 0.8 s used to expire although the
        backend server had accepted at once; the call was refused, and the backend
        server was avoided.
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
        """The backend server pauses for 1.6 s in its stream; the retry budget is
        exhausted. The entry used to give up the running stream before it checked the
        budget: the caller lost an answer that would have continued.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 3, 1.6
        self.exhaust_retry_budget()
        answer = await self.call()
        self.assertTrue(answer.whole)
        self.assertEqual(sum(len(replica.runs) for replica in replicas), 1)

    async def test_silent_stream_is_kept_if_all_others_are_full(self):
        """The backend server pauses for 1.6 s in its stream; the only other holder of
        the model is at its limit of calls. The running stream used to be given up, no
        other backend server was found, and the caller's answer was cut.
        """
        calling, running, other = await self.paused_stream()
        self.harness.gateway_state.fleet.get(other.instance).in_flight = 1_000
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(len(running.runs), 1)

    async def test_silent_stream_is_kept_if_the_other_is_unreachable(self):
        """The backend server pauses for 1.6 s in its stream; the other holder is
        listed but accepts no connection. The running stream used to be given up before
        that was known, and had to be started again.
        """
        calling, running, other = await self.paused_stream()
        self.background_loop.stop_replica(other)
        answer = await calling
        self.assertTrue(answer.whole)
        self.assertEqual(len(running.runs), 1)

    async def paused_stream(self):
        """Start a call; returns its task, the replica that runs it with pauses of
        1.6 s, and another one that holds the model.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 3, 1.6
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        (running,) = [replica for replica in replicas if replica.runs]
        (other,) = [replica for replica in replicas if not replica.runs]
        return calling, running, other


class TestSilentAgent(StallCase):
    """The backend servers work and pause for 1.6 s in their streams, but their agents
    are silent or report silence. That alone used to cut the running streams, without a
    check whether there was a failover target.
    """

    def report_agents(self, silent):
        loop = asyncio.get_running_loop()
        for name in ("i-1", "i-2"):
            state = samples.engine_state(name, (MODEL_NAME,), silent=silent)
            self.harness.gateway_state.fleet.engine_reported(loop.time(), state)

    async def answer(self, agent_reports):
        for replica in self.holders():
            replica.events, replica.gap_s = 3, 1.6
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

    async def test_stream_without_an_event_is_kept_without_retry_budget(self):
        """An engine pauses for 1.6 s in the first event of a stream; its agent reports
        the silence. No retry budget is left, so nobody else can run the call. It used
        to be given up all the same: its caller got 502 for a run that went on.
        """
        for replica in self.holders():
            replica.next_replies.append(slow_first_event(replica))
        self.report_agents(silent=False)
        self.exhaust_retry_budget()
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        while not calling.done():
            self.report_agents(silent=True)
            await asyncio.sleep(0.2)
        answer = await calling
        self.assertEqual((answer.status, answer.whole), (200, True))


class TestSeveralFailoverTargets(StallCase):
    async def test_failover_goes_on_past_a_second_dead_backend_server(self):
        """The first backend server hangs, the second accepts no connection, the third
        works. After the second the entry used to wait for a whole silence timeout
        again, half of the call's time, after which no time was left.
        """
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
        """The backend server pauses for 1.35 s. At 1.25 s the entry starts to connect
        to another one, which never answers the connection attempt. The event that the
        first sent at 1.35 s used to be forwarded only after that attempt had failed.
        """
        replicas = self.holders()
        for replica in replicas:
            replica.events, replica.gap_s = 2, 1.35
        calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        (other,) = [replica for replica in replicas if not replica.runs]
        backend = self.harness.gateway_state.fleet.get(other.instance)
        with unresponsive_port() as port:
            self.harness.context.pool(backend)._port = port
            answer = await calling
        self.assertLess(answer.arrivals[1] - answer.arrivals[0], 1.65)


class TestStoreWatchAfterStall(unittest.IsolatedAsyncioTestCase):
    async def test_backend_server_removed_after_a_stall_is_not_used(self):
        """An entry stalls for longer than its timeout for the store, and used to take
        that for an outage of the store. Registry entries that disappear right after an
        outage are kept for 2.3 s as perhaps only expired, so calls went on to a backend
        server that had left.
        """
        background_loop = BackgroundLoop()
        self.addCleanup(background_loop.close)
        store = background_loop.start_store()
        store.put("servers/i-1", json.dumps(SERVER).encode())
        short_timeouts = mock.patch.multiple(
            store_module, BUSY_WATCH_WAIT_MS=250, WATCH_TIMEOUT_MARGIN_S=0.1
        )
        short_timeouts.start()
        self.addCleanup(short_timeouts.stop)
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
        backend = gateway_state.fleet.get("i-1")
        for task in tasks:
            task.cancel()
        self.assertIsNone(backend)
        self.assertEqual(events.of_kind("dependency_lost"), [])


class TestStoreRecovery(unittest.IsolatedAsyncioTestCase):
    """Failure: after each outage of the store, live backend servers get no calls for a
    second.

    A registry entry that is still missing 2.3 s after the store's recovery counts as
    removed. Backend servers register again within two seconds, but if the configuration
    allows 4 s until a leaving one gets no more work, the registry is read only every
    1.2 s: entries that came back in time were read too late.
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
        watcher._on_lost("servers/", "down", watcher._stall_check.now())
        watching = asyncio.ensure_future(watcher.follow("servers/"))
        self.addCleanup(watching.cancel)
        await asyncio.sleep(0.2)
        for number in (1, 2):
            server = {**SERVER, "address": f"127.0.0.1:{number}"}
            body = json.dumps(server).encode()
            background_loop.call(store.put, f"servers/i-{number}", body)
            await asyncio.sleep(0.5)
        self.assertIsNotNone(gateway_state.fleet.get("i-2"))


def slow_first_event(replica):
    """The reply to a stream whose first event is complete only after 1.6 s."""

    def reply(request):
        found = replica.stream(request)
        found.pieces = (b"id: 1\n", b"data: 1\n\n")
        found.gap_s = 1.6
        return found

    return reply


async def tick(running):
    """Advance the running clock of the process under test."""
    while True:
        running.tick(asyncio.get_running_loop().time())
        await asyncio.sleep(TICK_S)


@contextlib.contextmanager
def unresponsive_port():
    """A port whose accept queue is full: it neither accepts nor refuses connections."""
    with contextlib.ExitStack() as sockets:
        listening = sockets.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        for _ in range(4):
            sock = sockets.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listening.getsockname())
        yield listening.getsockname()[1]


async def block_loop(seconds, iteration_s):
    """Block the event loop for at least ``iteration_s`` seconds in each iteration."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        time.sleep(iteration_s)
        await asyncio.sleep(0)
