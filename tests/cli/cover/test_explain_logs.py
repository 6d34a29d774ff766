"""``bambootiller explain logs`` on files and on standard input."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from bambootiller.cli.main import main

LINES = [
    {
        "time": 1005.0,
        "uptime_s": 5.0,
        "event": "refused",
        "instance": "entry-1",
        "request": "r-1",
        "model": "poet",
        "reason": "model_not_loaded_in_time",
        "held_ms": 800,
        "plan": {"ready_in_s": 6.1, "from_store": True},
    }
]
TEXT = "".join(json.dumps(line) + "\n" for line in LINES)


class TestExplainLogs(unittest.TestCase):
    def run_it(self, *args, text=None):
        return CliRunner().invoke(main, ["explain", "logs", *args], input=text)

    def test_the_story_is_told_from_standard_input(self):
        result = self.run_it("r-1", text=TEXT)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("+0.800 s  entry-1  refused", result.output)
        self.assertIn("plan={ready_in_s:6.1,from_store:True}", result.output)

    def test_the_story_is_told_from_files(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "entry.jsonl"
            file.write_text(TEXT)
            result = self.run_it("r-1", str(file), "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        (step,) = json.loads(result.output)["steps"]
        self.assertEqual(step["line"]["model"], "poet")

    def test_an_unknown_request_is_an_error(self):
        result = self.run_it("r-9", text=TEXT)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no line names the request r-9", result.output)
