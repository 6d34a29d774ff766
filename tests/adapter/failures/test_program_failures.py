"""A program of a test that doesn't get ready says why.

Symptom: a test fails with "e0 ready: not within 40.0 s", and nothing tells the cause.
Sequence: an entry can't bind its port and ends; the test goes on asking whether it is
ready, and then removes the folder with its log. Cause: the harness looked neither at
exit codes nor at logs.
"""

import signal
import socket
import unittest

from tests.adapter.common.fleet import Fleet, NotReady


class TestNotReady(unittest.IsolatedAsyncioTestCase):
    async def test_a_port_conflict_is_reported_with_the_last_log_lines(self):
        """An outgoing connection has the port, as it may with ports of the kernel."""
        async with Fleet() as fleet:
            fleet.configure()
            with socket.create_server(("127.0.0.1", 0)) as far:
                near = socket.create_connection(far.getsockname())
                port = near.getsockname()[1]
                with near, self.assertRaises(NotReady) as caught:
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
