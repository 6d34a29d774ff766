"""The command line as a process, against the key-value service's stand-in."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from bambootiller_standins.harness import Fleet
from tests.cli.common import DIGEST

OPERATORS = 4
#: Longer than the starts of racing processes are apart.
SLOW_MS = 1500


def template(replicas):
    return {
        "customer": "forge",
        "models": {"tutor": {"replicas": replicas, "memory_bytes": 1}},
        "callers": {"pupils": {"key_sha256": DIGEST}},
    }


class TestTool(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(Fleet())
        folder = tempfile.TemporaryDirectory(prefix="bambootiller-tests-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def apply(self, document, who="ada"):
        path = self.folder / f"{who}.json"
        path.write_text(json.dumps(document))
        args = ("template", "apply", str(path), "--reason", f"{who}'s", "--json")
        done = await self.fleet.run_tool(*args, env={"BAMBOOTILLER_OPERATOR": who})
        return done.code, json.loads(done.out)

    async def trail(self):
        done = await self.fleet.run_tool("audit", "forge", "--json")
        self.assertEqual(done.code, 0, done.err)
        return json.loads(done.out)

    async def test_an_answer_lost_by_the_service_is_settled_by_reading_back(self):
        """Symptom: the operator is told "failed", and the change is in force.

        The service carries the write out and cuts the connection before it answers.
        """
        await self.fleet.control("kv", mode="lose_answers", count=1)
        code, outcome = await self.apply(template(1))
        self.assertEqual((code, outcome["outcome"]), (0, "applied"))
        self.assertEqual([item["who"] for item in await self.trail()], ["ada"])

    async def test_racing_processes_leave_one_winner_for_each_version(self):
        """Symptom: a change disappears although its operator was told "accepted".

        Several processes read version 1 and write at the same time. The service is
        slow, so that each of them has read before the first of them writes.
        """
        await self.apply(template(1))
        await self.fleet.control("kv", mode="slow", delay_ms=SLOW_MS)
        names = [f"op{number}" for number in range(OPERATORS)]
        outcomes = await asyncio.gather(
            *(
                self.apply({**template(2 + number), "version": 1}, name)
                for number, name in enumerate(names)
            )
        )
        won = [name for name, (code, _) in zip(names, outcomes) if code == 0]
        lost = [outcome for code, outcome in outcomes if code == 1]
        self.assertEqual((len(won), len(lost)), (1, OPERATORS - 1), outcomes)
        for outcome in lost:
            self.assertEqual(outcome["outcome"], "lost_race")
            self.assertEqual([item["who"] for item in outcome["records"]], won)

    async def test_while_the_service_is_down_the_tool_says_that_nothing_was_changed(
        self,
    ):
        """Symptom: an outage looks like a change that may be in force.

        The service takes no connections, or hangs up on each.
        """
        await self.fleet.control("kv", mode="down")
        code, outcome = await self.apply(template(1))
        self.assertEqual((code, outcome["outcome"]), (3, "unavailable"))
        await self.fleet.control("kv", mode="up")
        self.assertEqual(await self.trail(), [])
