"""Replicas that restart under the same id."""

import asyncio
import unittest

from bambootiller_platform_standins.replica import StandinReplica

from bambootiller_platform.engine import PlatformEngine
from tests.adapter.common.entry import MODEL_NAME, EntryHarness
from tests.adapter.common.fleet import Fleet, wait_until


class TestReportedStart(unittest.IsolatedAsyncioTestCase):
    async def test_a_report_contains_the_start_time(self):
        replica = StandinReplica("i-1", "llm")
        await replica.server.start()
        engine = PlatformEngine(replica.server.address, "a1")
        report = await engine.report()
        self.assertEqual(report.started_ms, replica.started_ms)
        replica.started_ms = None
        self.assertIsNone((await engine.report()).started_ms)
        await engine.close()
        await replica.server.stop()


class TestCallsAfterRestart(unittest.IsolatedAsyncioTestCase):
    """Failure: after a restart, calls fail at a backend server or avoid it because of
    its previous start.

    It crashes and is listed again under the same id within one heartbeat. Idle
    connections, its health state and the calls that had tried it were kept by that id,
    so they outlived the restart.
    """

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure(**{"max-attempts": 2})
        self.replica = await self.harness.add(StandinReplica("i-1", "plain"))

    async def asyncTearDown(self):
        await self.harness.close()

    def restart(self):
        self.replica.restart()
        self.harness.add_document("servers/i-1", self.replica.entry())

    def backend(self):
        return self.harness.gateway_state.fleet.get("i-1")

    async def test_no_call_uses_a_connection_to_the_previous_start(self):
        self.assertEqual((await self.harness.call()).status, 200)
        before = self.harness.context.pool(self.backend())
        self.harness.add_document("servers/i-1", self.replica.entry())
        self.assertIs(self.harness.context.pool(self.backend()), before)
        self.restart()
        self.assertIsNot(self.harness.context.pool(self.backend()), before)
        self.harness.context.sweep(asyncio.get_running_loop().time())
        self.assertEqual(before.open, 0)

    async def test_failures_of_the_previous_start_do_not_count(self):
        loop = asyncio.get_running_loop()
        health = self.harness.context.service("plain").health
        health.unreachable(loop.time(), self.backend().incarnation)
        self.restart()
        self.assertFalse(health.is_avoided(loop.time(), self.backend().incarnation))

    async def test_a_call_lost_by_the_previous_start_may_go_to_the_next(self):
        def crash(request):
            self.restart()
            return self.replica.answer(request, cut=True)

        self.replica.next_replies = [crash]
        answer = await self.harness.call()
        self.assertEqual((answer.status, answer.body), (200, b"done"))

    async def test_the_restart_is_logged(self):
        before_ms = self.replica.started_ms
        self.restart()
        (line,) = self.harness.events.of_kind("backend_restarted")
        self.assertEqual(
            (line.backend, line.before_ms, line.started_ms, line.source),
            ("i-1", before_ms, self.replica.started_ms, "test"),
        )


class TestRestartBetweenTwoHeartbeats(unittest.IsolatedAsyncioTestCase):
    async def test_its_models_are_loaded_again_before_the_registry_knows(self):
        """Failure: callers of a model are refused until the registry entry is updated.

        The engine crashes and restarts at once, empty, under the same id. The registry
        still lists the models that it held; only its own report shows the new start.
        """
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            replica.on_disk.add(MODEL_NAME)
            replica.accepted = 3
            agent = await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def served():
                status, _ = await fleet.call(entry, MODEL_NAME)
                return status == 200

            async def detected_by(program):
                return bool(program.events("backend_restarted"))

            async def served_on_a_report():
                # Before the first report the agent has no start time to compare with.
                if not await served():
                    return False
                # The log line of an answer is written after the answer is sent.
                answered = entry.events("answered")
                return bool(answered) and "agent_age_ms" in answered[-1]["chosen_on"]

            await wait_until(served_on_a_report, "the model is served")
            replica.restart()
            await wait_until(
                lambda: detected_by(agent), "the agent detects the restart"
            )
            await wait_until(
                lambda: detected_by(entry), "the entry detects the restart"
            )
            await wait_until(served, "the model is served again")
            self.assertEqual([order["expected"] for order in replica.orders], [0])
