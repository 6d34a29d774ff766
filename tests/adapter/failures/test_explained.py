"""From a failed request's id to its cause by what the real programs log.

These are the three ways of docs/OPERATIONS.md, on output of real processes.
"""

import asyncio
import sys
import unittest

from bambootiller_platform_standins.httpd import Reply

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, ROUTE, SERVICE

MODEL_NAME = MODEL["name"]
PLAIN_ROUTE = {
    "name": "p",
    "host": "classes.example",
    "path-prefix": "/p/",
    "kind": "unsafe",
    "timeout-ms": 3000,
    "service": "plain",
    "max-attempts": 2,
}


async def story_of(request, *programs):
    """What ``bambootiller explain logs`` prints, once a process names the request."""

    async def named():
        return any(
            line.get("request") == request
            for program in programs
            for line in program.lines()
        )

    await wait_until(named, f"a line names {request}")
    logs = [str(program.log) for program in programs]
    command = [sys.executable, "-m", "bambootiller.cli.main", "explain", "logs"]
    process = await asyncio.create_subprocess_exec(
        *command, request, *logs, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return out.decode().splitlines()


def only(lines, event):
    (found,) = [line for line in lines if f"  {event}  " in line]
    return found


class TestThreeWays(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_cold_start_leads_to_the_load_that_came_too_late(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm")
            replica.load_s = 30.0
            agent = await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def refused():
                status, _ = await fleet.call(entry, MODEL_NAME, attempt="r-cold")
                return status == 503 and replica.orders

            await wait_until(refused, "a call is refused while its model loads")
            lines = await story_of("r-cold", entry, agent)
            told = [line for line in lines if "  refused  " in line][-1]
            self.assertIn("reason=model_not_loaded_in_time", told)
            self.assertIn("backend:i-1", told)
            self.assertIn("from_store:True", told)
            ordered = only(lines, "order")
            self.assertIn("answer=accepted", ordered)
            self.assertIn("a1", ordered)

    async def test_an_answer_cut_in_the_middle_leads_to_the_backend_server(self):
        async with Fleet() as fleet:
            fleet.configure(routes=[{**ROUTE, "resumable": False, "max-attempts": 1}])
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            replica.next_replies = [lambda req: replica.stream(req, cut=True)]
            with self.assertRaises(Exception):
                await fleet.call(entry, MODEL_NAME, attempt="r-cut")
            lines = await story_of("r-cut", entry)
            self.assertIn("backend=i-1", only(lines, "answer_lost"))
            failed = only(lines, "attempt_failed")
            self.assertIn("resumable=False", failed)
            self.assertIn("last_event=4", failed)
            self.assertIn("next=CutOff", failed)
            self.assertIn("reason=broken off", only(lines, "cut"))

    async def test_an_unknown_outcome_leads_to_the_one_attempt_that_was_sent(self):
        async with Fleet() as fleet:
            services = [SERVICE, {"name": "plain"}]
            fleet.configure(routes=[ROUTE, PLAIN_ROUTE], services=services)
            replica = await fleet.replica("127.0.0.2", "i-2", "plain")
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            replica.next_replies = [lambda req: Reply(200, pieces=(b"x",), cut=True)]
            status, _ = await fleet.call(entry, "", path="/p/x", attempt="r-unknown")
            self.assertEqual(status, 502)
            lines = await story_of("r-unknown", entry)
            failed = only(lines, "attempt_failed")
            self.assertIn("kind=non-idempotent", failed)
            self.assertIn("attempts=1", failed)
            self.assertIn("may_have_run=True", failed)
            self.assertIn("revision:", failed)
            self.assertIn("reason=outcome_unknown", only(lines, "refused"))
