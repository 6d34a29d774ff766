"""Calls on new and on existing connections while an entry is being stopped."""

import asyncio
import contextlib
import signal
import unittest

from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import EntryHarness
from tests.adapter.common.fleet import HOST, Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, ROUTE, SERVICE

MODEL_NAME = MODEL["name"]
#: Far longer than closing a connection after an answer takes, and far shorter than
#: the rest of the stop.
CLOSE_TIMEOUT_S = 0.5


async def connect(entry):
    """Open a connection to the entry's port for callers."""
    host, _, port = entry.document["listen"]["front"].rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_call(writer, attempt):
    """Send a call on an open connection."""
    head = (
        "POST /a/x HTTP/1.1",
        f"host: {HOST}",
        f"x-request-attempt: {attempt}",
        "x-deadline-ms: 12000",
        f"x-model: {MODEL_NAME}",
        "content-length: 1",
    )
    writer.write("\r\n".join(head).encode() + b"\r\n\r\nb")
    await writer.drain()


async def start_engine(fleet, events=5):
    """Configure the fleet and start one engine whose streams have ``events`` events."""
    fleet.configure()
    replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
    replica.events, replica.gap_s = events, 0.05
    return replica


async def wait_running(replica, count):
    """Wait until ``count`` streams have started."""

    async def reached():
        return len(replica.runs) >= count

    await wait_until(reached, f"{count} streams run")


class TestCallsThatWaitDuringStop(unittest.IsolatedAsyncioTestCase):
    """Guards against a call that is cut without an answer at the end of a planned stop.

    It arrived in time, then waited for a quota, a model or a permit, and was sent to a
    backend server when there was no time left for its run.
    """

    #: Too little for a stream. Seconds.
    LEFT_S = 2.0

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.addAsyncCleanup(self.harness.close)
        self.harness.configure(kind="unsafe", **{"max-attempts": 2})
        self.replica = await self.harness.add(StandinReplica("i-1", "plain"))

    def stop_while_waiting(self):
        """Have only ``LEFT_S`` of a planned stop left once a call has waited."""
        admit = self.harness.quotas.admit

        async def slow_admit(call):
            loop = asyncio.get_running_loop()
            self.harness.context.stop_deadline = loop.time() + self.LEFT_S
            return await admit(call)

        self.harness.quotas.admit = slow_admit

    async def test_it_is_refused_as_not_run(self):
        self.stop_while_waiting()
        answer = await self.harness.call()
        self.assertEqual((answer.status, answer.body), (503, b"leaving"))
        self.assertIn(b"retry-after", answer.headers)
        self.assertEqual(self.replica.runs, [])

    async def test_it_is_served_if_it_has_to_end_before_the_stop_does(self):
        self.stop_while_waiting()
        answer = await self.harness.call(x_deadline_ms=1000)
        self.assertEqual(answer.status, 200)

    async def test_it_is_sent_again_if_it_may_have_run(self):
        """Otherwise it would be refused as not run."""
        self.harness.configure(kind="safe", **{"max-attempts": 2})
        await self.harness.add(StandinReplica("i-2", "plain"))

        lost = []

        def lose_first(replica):
            def reply(request):
                if lost:
                    return replica.answer(request)
                lost.append(replica)
                loop = asyncio.get_running_loop()
                self.harness.context.stop_deadline = loop.time() + self.LEFT_S
                return replica.answer(request, cut_at=0)

            return reply

        for replica in self.harness.replicas:
            replica.next_replies = [lose_first(replica)]
        answer = await self.harness.call()
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(lost), 1)


class TestSignalsDuringStop(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_is_answered_though_signals_and_changes_come_in_series(self):
        """Guards against a second signal, or a change of the configuration, that cuts
        what a stopping entry still serves."""
        async with Fleet() as fleet:
            unsafe = {**ROUTE, "name": "p", "path-prefix": "/p/", "kind": "unsafe"}
            services = [SERVICE, {"name": "plain"}]
            fields = {"routes": [{**unsafe, "service": "plain"}], "services": services}
            fleet.configure(**fields)
            replica = await fleet.replica("127.0.0.2", "i-1", "plain")

            def slow(request):
                found = replica.answer(request, gap_s=2.0)
                found.pieces = (b"a", b"b")
                return found

            replica.next_replies = [slow]
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            calling = asyncio.ensure_future(fleet.call(entry, None, path="/p/x"))
            await wait_running(replica, 1)
            for version, signum in enumerate(
                (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP), 2
            ):
                entry.process.send_signal(signum)
                fleet.configure(version=version, **fields)
                await asyncio.sleep(0.2)
            self.assertEqual(await calling, (200, b"ab"))
            self.assertEqual(await entry.stop(), 0)


class TestPlannedStops(unittest.IsolatedAsyncioTestCase):
    async def test_the_port_for_callers_closes_and_the_balancers_goes_on_saying_no(
        self,
    ):
        """Guards against a stopping entry that closes the wrong port.

        The entry kept its two ports in a set and closed whichever came first. If that
        was the port for the load balancer's readiness check, the entry accepted new
        connections until its end, and calls on the last of them were lost.
        """
        async with Fleet() as fleet:
            replica = await start_engine(fleet, events=90)
            entries = [await fleet.entry(f"e{number}") for number in range(4)]
            for entry in entries:
                await fleet.wait_ready(entry)
            calls = [
                asyncio.ensure_future(fleet.call(entry, MODEL_NAME))
                for entry in entries
            ]
            await wait_running(replica, len(entries))
            stops = [asyncio.ensure_future(entry.stop()) for entry in entries]
            for entry in entries:

                async def is_closed(entry=entry):
                    try:
                        _, writer = await connect(entry)
                    except ConnectionRefusedError:
                        return True
                    except ConnectionResetError:
                        # The port closed while this connection was in its backlog.
                        return False
                    writer.close()
                    return False

                await wait_until(is_closed, "the entry accepts no more connections")
                url = f"http://{entry.document['listen']['ready']}/bambootiller/ready"
                async with fleet.session.get(url) as response:
                    self.assertEqual(response.status, 503)
            for status, body in await asyncio.gather(*calls):
                self.assertEqual(status, 200)
                self.assertTrue(body.endswith(b"data: 90\n\n"))
            self.assertEqual(await asyncio.gather(*stops), [0] * len(entries))

    async def test_a_connection_is_closed_after_the_answer_in_progress(self):
        """Guards against losing a call on a keep-alive connection when an entry stops.

        A stream's head was sent before the stop began, so it carried no
        ``connection: close``. When the last stream ended the entry closed all
        connections at once, while the caller was sending its next call.
        """
        async with Fleet() as fleet:
            replica = await start_engine(fleet, events=30)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            reader, writer = await connect(entry)
            await send_call(writer, "r-1")
            await wait_running(replica, 1)
            replica.events = 60
            longer_call = asyncio.ensure_future(
                fleet.call(entry, MODEL_NAME, attempt="r-2")
            )
            await wait_running(replica, 2)
            stop = asyncio.ensure_future(entry.stop())
            await reader.readuntil(b"\r\n0\r\n\r\n")
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                self.assertEqual(await reader.read(), b"")
            self.assertIsNone(entry.process.returncode)
            writer.close()
            status, _ = await longer_call
            self.assertEqual(status, 200)
            self.assertEqual(await stop, 0)

    async def test_a_call_on_the_last_connection_that_was_taken_is_answered(self):
        """Guards against losing the first call of a new connection when an entry stops.

        No call was in progress when the port closed, so the entry exited at once,
        although a caller had just connected and was sending.
        """
        async with Fleet() as fleet:
            replica = await start_engine(fleet)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            stop = asyncio.ensure_future(entry.stop())
            accepted = []
            # A connection that the closing port had not taken yet is reset.
            with contextlib.suppress(ConnectionRefusedError, ConnectionResetError):
                while True:
                    accepted.append(await connect(entry))
                    await asyncio.sleep(0.01)
            reader, writer = accepted[-1]
            await send_call(writer, "r-1")
            head = await reader.readuntil(b"\r\n\r\n")
            # 503: late in a stop, the call is refused and has not been executed.
            self.assertIn(int(head.split()[1]), (200, 503), head)
            self.assertEqual(len(replica.runs), int(head.split()[1] == b"200"))
            self.assertIn(b"connection: close", head.lower())
            for _, writer in accepted:
                writer.close()
            self.assertEqual(await stop, 0)
