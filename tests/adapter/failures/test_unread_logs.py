"""Real programs whose standard output isn't read."""

import asyncio
import os
import signal
import unittest
from pathlib import Path

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL

MODEL_NAME = MODEL["name"]
#: Logs more lines than a pipe of 64 KiB and the buffered log lines hold together.
CALLS = 1_500
CONCURRENCY = 50
#: How much a burst of events may add to a process: buffered log lines are bounded by
#: 256 KiB, and the rest is for connections and calls. Megabytes.
MAX_GROWTH_MB = 16.0


def memory_mb(pid):
    """The resident anonymous memory of a process. Megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    raise AssertionError(f"process {pid} has no RssAnon in its status")


class TestUnreadLogs(unittest.IsolatedAsyncioTestCase):
    async def test_an_unread_log_blocks_no_answer_and_uses_no_memory(self):
        """Failure: all calls hang, or the process grows, when the log collector hangs.

        The pipe to the collector is full. A process that blocks on writes to it answers
        no call; one that buffers all lines grows without bound.
        """
        async with Fleet() as fleet:
            fleet.configure()
            await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            reader, writer = os.pipe()
            self.addCleanup(os.close, reader)
            entry = await fleet.entry("e1", stdout=writer)
            os.close(writer)
            await fleet.wait_ready(entry)
            await fleet.call(entry, MODEL_NAME)
            before = memory_mb(entry.process.pid)
            statuses = await self._send_refused_calls(fleet, entry)
            self.assertEqual(statuses, {404: CALLS})
            status, body = await fleet.call(entry, MODEL_NAME, attempt="r-last")
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(b"data: 5\n\n"))
            growth_mb = memory_mb(entry.process.pid) - before
            self.assertLess(growth_mb, MAX_GROWTH_MB)
            found = await fleet.metrics(entry)
            dropped = sum(
                value
                for name, value in found.items()
                if name.startswith("bambootiller_log_lines_left_out")
            )
            self.assertGreater(dropped, 0)
            entry.process.send_signal(signal.SIGHUP)

            async def reloaded():
                found = await fleet.metrics(entry)
                return found.get("bambootiller_config_version") == 1

            await wait_until(reloaded, "the process reloads its settings after SIGHUP")
            self.assertEqual(await entry.stop(), 0)

    async def _send_refused_calls(self, fleet, entry):
        """Send calls that are each refused and logged; returns the count per status."""
        statuses = {}
        for first in range(0, CALLS, CONCURRENCY):
            calls = [
                fleet.call(entry, None, path="/nowhere/", attempt=f"r-{number}")
                for number in range(first, first + CONCURRENCY)
            ]
            for status, _ in await asyncio.gather(*calls):
                statuses[status] = statuses.get(status, 0) + 1
        return statuses
