"""Answers that go on while real processes are killed, paused and stopped.

Two entries and two agents with their engines, as processes of their own; both agents
hold a slot of the model, and one has it loaded. The engine stand-in's answers are a
pure function, so that each answer is compared with what it must be, word for word.
"""

import asyncio
import hashlib
import json
import tempfile
import unittest
from pathlib import Path

import aiohttp

from bambootiller_standins.engine import EngineConfig, chat_prompt, expected_answer
from bambootiller_standins.testing import FleetTestCase, eventually

KEY = "pupil-key"
MESSAGES = [{"role": "user", "content": "Why does it not build?"}]
TOKENS = 200
#: The disturbance comes behind this many pieces.
PIECES_BEFORE = 20
#: No order stays on its way for long here, so agents needn't wait as in a real fleet.
AGENT = {"BAMBOOTILLER_SETTLE_SECONDS": "0.5"}
TEMPLATE = f"""
customer = "forge"
default_timeout_ms = 60000
[models.tutor]
replicas = 2
memory_bytes = "20GiB"
load_ms = 100
[services.pushes]
non_idempotent = ["/submissions"]
[callers.pupil]
key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
"""


class Answer:
    """A streamed answer; ``reached`` is set behind the first pieces."""

    def __init__(self):
        self.text = ""
        self.done = False
        self.pieces = 0
        self.reached = asyncio.Event()

    def take(self, line):
        if line == b"data: [DONE]\n":
            self.done = True
        elif line.startswith(b"data: "):
            for choice in json.loads(line[6:])["choices"]:
                self.text += choice["delta"].get("content", "")
            self.pieces += 1
            if self.pieces == PIECES_BEFORE:
                self.reached.set()


class TestProcesses(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        times = {"memory": 50, "disk": 50, "remote": 50}
        cfg = EngineConfig(load_ms=times, token_ms=15, token_ms_per_running=0)
        fleet = self.fleet
        await asyncio.gather(
            *(fleet.start_engine(f"engine-{number}", cfg) for number in (1, 2)),
            fleet.start_service("pushes", after_ms=1500),
        )
        await asyncio.gather(
            *(fleet.start_entry(f"entry-{no}", zone=f"az-{no}") for no in (1, 2)),
            *(
                fleet.start_agent(
                    f"agent-{no}", zone=f"az-{no}", engine=f"engine-{no}", env=AGENT
                )
                for no in (1, 2)
            ),
            fleet.start_agent("agent-3", zone="az-3", services=["pushes"], env=AGENT),
        )
        self.http = await self.enterAsyncContext(aiohttp.ClientSession())
        await self.apply_template()
        await self.ask(Answer(), 5)

    async def apply_template(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "forge.toml"
            path.write_text(TEMPLATE)
            result = await self.fleet.run_tool(
                "template", "apply", str(path), "--reason", "test", "--wait"
            )
        self.assertEqual(result.code, 0, result.err)

    async def state(self, number):
        return await self.fleet.counts(f"engine-{number}", "/state?after=0&wait_ms=0")

    async def serving(self):
        """The number of the engine that runs a request, by its lagging report."""
        for number in (1, 2):
            state = await self.state(number)
            if any(model["running"] for model in state["models"]):
                return number
        return None

    async def ask(self, answer, tokens=TOKENS, entry="entry-1"):
        body = {"model": "tutor", "messages": MESSAGES, "max_tokens": tokens}
        async with self.http.post(
            self.fleet.url(entry) + "/v1/chat/completions",
            json={**body, "stream": True},
            headers={"Authorization": f"Bearer {KEY}"},
        ) as resp:
            self.assertEqual(resp.status, 200, await _problem(resp))
            async for line in resp.content:
                answer.take(line)

    async def disturbed(self, disturb):
        """One long answer, disturbed behind its first pieces; it must be whole."""
        answer = Answer()
        call = asyncio.create_task(self.ask(answer))
        await asyncio.wait_for(answer.reached.wait(), 60)
        number = await eventually(self.serving, "the engine that serves")
        await disturb(number)
        await asyncio.wait_for(call, 60)
        prompt = chat_prompt(MESSAGES)
        wanted = expected_answer("forge/tutor", "", prompt, TOKENS)
        self.assertEqual(answer.text, wanted)
        self.assertTrue(answer.done)

    async def test_an_answer_survives_the_kill_of_the_agent_that_serves_it(self):
        """Symptom: a pupil's answer stops in the middle.

        Sequence: the agent's process is killed after 20 pieces. Cause: the entry took
        the end of the stream for the end of the answer, or gave up.
        """
        await self.disturbed(lambda number: self.fleet.kill(f"agent-{number}"))

    async def test_an_answer_survives_the_freeze_of_the_agent_that_serves_it(self):
        """Symptom: a pupil's answer hangs until the deadline.

        Sequence: the agent's process is paused; the kernel keeps its connections up.
        Cause: only closed connections were noticed.
        """

        async def pause(number):
            self.fleet.pause(f"agent-{number}")
            self.addCleanup(self.fleet.resume, f"agent-{number}")

        await self.disturbed(pause)

    async def test_an_answer_survives_the_death_of_the_engine_that_gives_it(self):
        """Symptom and cause as for the agent; it is the engine that dies."""
        await self.disturbed(lambda number: self.fleet.kill(f"engine-{number}"))

    async def test_an_answer_survives_the_planned_stop_of_agent_and_entry(self):
        """Symptom: each replacement of an instance cuts the answers on it.

        Sequence: the agent that serves and the entry get SIGTERM during the answer.
        Cause: a process ended with its connections open.
        """
        stops = []

        async def stop(number):
            for name in (f"agent-{number}", "entry-1"):
                stops.append(asyncio.create_task(self.fleet.terminate(name, 60)))

        await self.disturbed(stop)
        self.assertEqual(await asyncio.gather(*stops), [0, 0])

    async def test_a_submission_runs_once_when_its_agent_dies_during_the_run(self):
        """Symptom: the teacher sees a submission twice.

        Sequence: the service has run the call and not answered yet; the agent is
        killed; the entry asks elsewhere; the pupil repeats the push at another entry
        after the agent's restart. Cause: a second attempt without a claim.
        """
        call = asyncio.create_task(self.submit("entry-1"))
        await eventually(lambda: self.runs("lot-7"), "the call has run")
        await self.fleet.kill("agent-3")
        status, body = await call
        self.assertGreaterEqual(status, 400)
        self.assertEqual(body["executed"], "unknown")
        await self.fleet.restart("agent-3")
        status, body = await self.submit("entry-2")
        self.assertNotEqual(body.get("executed"), "no")
        self.assertEqual(await self.runs("lot-7"), 1)

    async def runs(self, key):
        return (await self.fleet.counts("pushes", "/control/runs")).get(key, 0)

    async def submit(self, entry):
        async with self.http.post(
            f"{self.fleet.url(entry)}/services/pushes/submissions/lot-7",
            json={"work": 1},
            headers={"Authorization": f"Bearer {KEY}", "Idempotency-Key": "lot-7"},
        ) as resp:
            return resp.status, json.loads(await resp.read())


async def _problem(resp):
    return "" if resp.status == 200 else await resp.text()


if __name__ == "__main__":
    unittest.main()
