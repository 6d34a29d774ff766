"""Graceful shutdown of an entry."""

import asyncio
import json
import unittest

from tests.entry.common.backend import greeting
from tests.entry.common.bench import EntryTestCase


class Gate:
    """A script that stops half-way until it is opened."""

    def __init__(self):
        self.reached = asyncio.Event()
        self.open = asyncio.Event()

    async def script(self, stream):
        await stream.admitted()
        await stream.text("Hello", ", ")
        self.reached.set()
        await self.open.wait()
        await stream.text("pupil")
        await stream.done()


class TestDrain(EntryTestCase):
    async def ready(self):
        status, headers, body = await self.call("GET", "/readyz")
        return status, headers, json.loads(body)

    async def test_readiness_ends_at_once_while_requests_are_still_taken(self):
        """Symptom: each stop of an entry costs the requests of its last seconds.

        Sequence: the balancer sends here until its next health check. Cause: the entry
        refused from the first moment on.
        """
        status, _, said = await self.ready()
        self.assertEqual((status, said["ready"]), (200, True))
        drain = asyncio.create_task(self.entry.drain(8.0))
        await asyncio.sleep(0)
        status, headers, said = await self.ready()
        self.assertEqual((status, said["leaving"]), (503, True))
        self.assertGreater(said["accepting_ms"], 0)
        self.assertEqual(headers["Connection"], "close")
        status, _ = await self.chat()
        self.assertEqual(status, 200)
        await drain

    async def test_a_request_under_way_is_finished(self):
        gate = Gate()
        self.scripts(gate.script)
        call = asyncio.create_task(self.stream())
        await gate.reached.wait()
        drain = asyncio.create_task(self.entry.drain(8.0))
        await self.until(lambda: self.entry._intake._closed)
        self.assertFalse(drain.done())
        gate.open.set()
        text, events = await call
        self.assertEqual((text, events[-1]), ("Hello, pupil", "data: [DONE]"))
        await drain

    async def test_what_can_not_be_finished_is_told_truthfully(self):
        """Symptom: at the end of the time for a stop, connections are cut mid-answer.

        Sequence: an answer takes longer than the time for the stop. Cause: the process
        ended without a word to the caller.
        """
        gate = Gate()
        self.scripts(gate.script)
        call = asyncio.create_task(self.stream())
        await gate.reached.wait()
        await self.entry.drain(1.0)
        _, events = await call
        self.assertTrue(events[-1].startswith("event: error\ndata: "))
        self.assertIn('"code": "leaving"', events[-1])
        self.assertIn('"executed": "yes"', events[-1])

    async def test_a_late_request_on_a_kept_connection_is_refused_as_not_run(self):
        gate = Gate()
        self.scripts(gate.script, greeting)
        call = asyncio.create_task(self.stream())
        await gate.reached.wait()
        self.assertEqual((await self.ready())[0], 200)
        drain = asyncio.create_task(self.entry.drain(8.0))
        await self.until(lambda: self.entry._intake._closed)
        status, problem = await self.chat()
        self.assertEqual((status, problem["code"]), (503, "leaving"))
        self.assertEqual(problem["executed"], "no")
        gate.open.set()
        await call
        await drain


if __name__ == "__main__":
    unittest.main()
