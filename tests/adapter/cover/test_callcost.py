"""The measurement of calls goes on working; its figures aren't looked at."""

import os
import subprocess
import sys
import unittest

from tests.adapter import PLATFORM


class TestCallCost(unittest.TestCase):
    def test_one_round_measures_calls_and_events(self):
        """Symptom: the measurement ends with an error when it is needed.

        Its registry entries lacked a field that had been required since.
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
