"""The benchmark of the cost of a call runs; its results aren't checked."""

import os
import subprocess
import sys
import unittest

from tests.adapter import PLATFORM


class TestCallCost(unittest.TestCase):
    def test_one_round_measures_calls_and_events(self):
        """Symptom: the benchmark fails when it is needed.

        Its registrations lacked a field that had become required.
        """
        module = "bambootiller_platform_standins.callcost"
        done = subprocess.run(
            [sys.executable, "-m", module, "--rounds", "1"],
            env={**os.environ, "PYTHONPATH": str(PLATFORM)},
            capture_output=True,
            text=True,
            timeout=120,
        )
        self.assertEqual(done.returncode, 0, done.stderr[-2000:])
        names = [line.partition(":")[0] for line in done.stdout.splitlines()]
        self.assertEqual(names, ["plain call", "stream call", "event"])
