"""The guard port against a second agent beside one backend server."""

import socket
import unittest

from bambootiller.agent import guard
from bambootiller_standins.harness import quiet_port


class TestGuard(unittest.TestCase):
    def test_a_second_agent_is_kept_out_until_the_first_is_gone(self):
        """Symptom: an accelerator is overcommitted, and the cap is broken.

        Sequence: an agent is paused, the platform starts another one beside the same
        engine, and the first wakes. Cause: both give orders by their own ledgers.
        """
        port = quiet_port()
        first = guard.hold(port)
        self.assertIsInstance(first, guard.Guard)
        second = guard.hold(port)
        self.assertIsInstance(second, guard.GuardTaken)
        self.assertIn(f"--guard-port {port}", second.detail)
        first.release()
        third = guard.hold(port)
        self.assertIsInstance(third, guard.Guard)
        third.release()

    def test_a_socket_that_allows_sharing_is_kept_out_as_well(self):
        """Symptom: as above. Sequence: something binds the port with port reuse, as
        gRPC's listener does. Cause: the kernel shares a port if both sides allow it.
        """
        port = quiet_port()
        held = guard.hold(port)
        self.addCleanup(held.release)
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with self.assertRaises(OSError):
                other.bind((guard.LOOPBACK, port))
                other.listen(1)


if __name__ == "__main__":
    unittest.main()
