"""When a program of a test doesn't get ready, the test's failure shows the cause.

Failure: a test fails with "e0 ready: not within 40.0 s" and no cause. An entry can't
bind its port and exits; the harness, which checked neither exit codes nor logs, keeps
polling its readiness and then removes the folder with its log.
"""

import signal
import socket
import unittest

from tests.adapter.common.fleet import Fleet, NotReady


class TestNotReady(unittest.IsolatedAsyncioTestCase):
    async def test_a_port_conflict_is_reported_with_the_last_log_lines(self):
        """An outgoing connection uses the port, as can happen with ephemeral ports."""
        async with Fleet() as fleet:
            fleet.configure()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client = socket.create_connection(listener.getsockname())
                port = client.getsockname()[1]
                with client, self.assertRaises(NotReady) as caught:
                    entry = await fleet.entry("e0", front_port=port)
                    await fleet.wait_ready(entry)
        message = str(caught.exception)
        self.assertIn("e0", message)
        self.assertRegex(message, r"exit code [1-9]")
        self.assertIn(str(port), message)
        self.assertIn("ddress already in use", message)

    async def test_a_killed_program_is_reported_with_its_signal(self):
        async with Fleet() as fleet:
            fleet.configure()
            entry = await fleet.entry("e0")
            await entry.stop(signal.SIGKILL)
            with self.assertRaisesRegex(NotReady, "e0: exit code -9"):
                await fleet.wait_ready(entry)

    async def test_a_timeout_reports_all_programs(self):
        async with Fleet() as fleet:
            fleet.configure()
            entry = await fleet.entry("e0")
            await fleet.entry("e1")
            entry.process.send_signal(signal.SIGSTOP)
            with self.assertRaises(NotReady) as caught:
                await fleet.wait_ready(entry, seconds=1.0)
        self.assertIn("e0: running", str(caught.exception))
        self.assertIn("e1: running", str(caught.exception))
