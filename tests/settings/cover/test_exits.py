"""A process that can't bind a port says which setting is at fault, in one log line."""

import json
import socket
import subprocess
import sys
import unittest

from bambootiller.exits import ProcessExit

NEEDED = ["--instance=x", "--zone=z", "--region=r", "--kv-url=http://127.0.0.1:9"]


class TestPortTaken(unittest.TestCase):
    def test_a_taken_port_ends_the_start_with_its_flag_and_no_traceback(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            for flag in ("--rpc-listen", "--http-listen"):
                with self.subTest(flag):
                    args = [*NEEDED, f"{flag}=127.0.0.1:{port}"]
                    done = self.start("entry", *args)
                    self.assertEqual(done.returncode, ProcessExit.PORT_TAKEN)
                    lines = done.stderr.splitlines()
                    last = json.loads(lines[-1])
                    self.assertEqual(last["level"], "critical")
                    self.assertIn(f"{flag} 127.0.0.1:{port}", last["message"])
                    self.assertNotIn("Traceback", done.stderr)

    def start(self, *args):
        command = [sys.executable, "-m", "bambootiller.daemon", *args]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)


if __name__ == "__main__":
    unittest.main()
