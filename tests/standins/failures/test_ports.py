"""Ports for programs that bind them some time after they were chosen.

Symptom: a program of a test isn't ready in time, and nobody knows why. Sequence: a port
is taken of the kernel and given back; a connection of another test gets it as its near
end; the program starts, and can't bind it. Cause: the kernel gives such ports to
anybody, and two test processes may choose the same one.
"""

import asyncio
import json
import socket
import sys
import unittest
from pathlib import Path

from bambootiller_standins.harness import quiet_port
from bambootiller_standins.harness._ports import ephemeral_ports, quiet_ports

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[3]
#: Two processes that take 15 of 40 ports each without asking have some in common.
FEW = range(20_500, 20_540)
EACH = 15
CLAIM = f"""
import json, sys
from bambootiller_standins.harness._ports import quiet_port
print(json.dumps([quiet_port("{HOST}", range({FEW.start}, {FEW.stop}))
                  for _ in range({EACH})]), flush=True)
sys.stdin.read()
"""


class TestOutgoingConnections(unittest.TestCase):
    def test_a_port_of_the_kernel_can_be_taken_before_its_program_binds_it(self):
        """The fault, brought about: this is how a connection takes such a port."""
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = sock.getsockname()[1]
        self.assertIn(port, ephemeral_ports())
        with socket.create_server((HOST, 0)) as far:
            near = socket.create_connection(
                far.getsockname(), source_address=(HOST, port)
            )
            with near, self.assertRaises(OSError):
                socket.create_server((HOST, port))

    def test_no_outgoing_connection_gets_a_quiet_port(self):
        ports = [quiet_port() for _ in range(50)]
        self.assertFalse(set(ports) & set(ephemeral_ports()))

    def test_a_process_gets_no_port_twice(self):
        ports = [quiet_port() for _ in range(300)]
        self.assertEqual(len(set(ports)), 300)

    def test_a_port_that_somebody_listens_on_is_left_out(self):
        with socket.create_server((HOST, 0)) as sock:
            port = sock.getsockname()[1]
            with self.assertRaises(RuntimeError):
                quiet_port(ports=range(port, port + 1))


class TestRange(unittest.TestCase):
    def test_the_ports_lie_beside_those_of_the_kernel(self):
        for low, high in ((32_768, 60_999), (1024, 30_000), (10_000, 64_000)):
            ports = quiet_ports(range(low, high + 1))
            self.assertFalse(set(ports) & set(range(low, high + 1)))
            self.assertGreaterEqual(len(ports), 1000)

    def test_a_kernel_that_leaves_no_ports_is_said(self):
        with self.assertRaisesRegex(RuntimeError, "ip_local_port_range"):
            quiet_ports(range(1024, 65_536))


class TestParallelProcesses(unittest.IsolatedAsyncioTestCase):
    async def test_two_test_processes_never_get_the_same_port(self):
        claimed = []
        for _ in range(2):
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-c", CLAIM),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
            )
            self.addAsyncCleanup(process.wait)
            self.addCleanup(process.stdin.close)
            claimed += json.loads(await process.stdout.readline())
        self.assertEqual(len(set(claimed)), 2 * EACH)
