"""Finding the cause of a failed request from its id, by the logs of real processes.

These tests repeat the three procedures of docs/OPERATIONS.md.
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


async def timeline_of(request, *programs):
    """Return the lines of ``bambootiller explain logs`` for a request.

    Waits until one of the processes has logged the request's id.
    """

    async def is_logged():
        return any(
            line.get("request") == request
            for program in programs
            for line in program.lines()
        )

    await wait_until(is_logged, f"a line with {request} is logged")
    logs = [str(program.log) for program in programs]
    command = [sys.executable, "-m", "bambootiller.cli.main", "explain", "logs"]
    process = await asyncio.create_subprocess_exec(
        *command, request, *logs, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return out.decode().splitlines()


def single_line(lines, event):
    """Return the only line of an event, or raise ValueError."""
    (found,) = [line for line in lines if f"  {event}  " in line]
    return found


class TestDiagnosis(unittest.IsolatedAsyncioTestCase):
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
            lines = await timeline_of("r-cold", entry, agent)
            refused_line = [line for line in lines if "  refused  " in line][-1]
            self.assertIn("reason=model_not_loaded_in_time", refused_line)
            self.assertIn("backend:i-1", refused_line)
            self.assertIn("from_store:True", refused_line)
            order_line = single_line(lines, "order")
            self.assertIn("answer=accepted", order_line)
            self.assertIn("a1", order_line)

    async def test_an_answer_cut_in_the_middle_leads_to_the_backend_server(self):
        async with Fleet() as fleet:
            fleet.configure(routes=[{**ROUTE, "resumable": False, "max-attempts": 1}])
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            replica.next_replies = [lambda req: replica.stream(req, cut=True)]
            with self.assertRaises(Exception):
                await fleet.call(entry, MODEL_NAME, attempt="r-cut")
            lines = await timeline_of("r-cut", entry)
            self.assertIn("backend=i-1", single_line(lines, "answer_lost"))
            failed = single_line(lines, "attempt_failed")
            self.assertIn("resumable=False", failed)
            self.assertIn("last_event=4", failed)
            self.assertIn("next=CutOff", failed)
            self.assertIn("reason=broken off", single_line(lines, "cut"))

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
            lines = await timeline_of("r-unknown", entry)
            failed = single_line(lines, "attempt_failed")
            self.assertIn("kind=non-idempotent", failed)
            self.assertIn("attempts=1", failed)
            self.assertIn("may_have_run=True", failed)
            self.assertIn("revision:", failed)
            self.assertIn("reason=outcome_unknown", single_line(lines, "refused"))
