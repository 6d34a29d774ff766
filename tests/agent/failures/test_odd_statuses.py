"""Plain services that answer with a status that no final answer in HTTP has."""

import asyncio
import contextlib
import types
import unittest

from bambootiller.agent import claimed_run
from bambootiller_core.claims import KeptAnswer
from bambootiller_core.outcomes import Executed
from tests.agent.common.bench import AgentTestCase, certificate

#: The client library takes each of them for a status.
ODD_STATUSES = ("000", "099", "600", "999")


class TestOddStatuses(AgentTestCase):
    """Guards against forwarding bytes of a faulty service as its answer, and against
    keeping them for repeats of the call."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.status = "200"
        self.arrived = 0
        self.pieces = []
        server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.agent_beside = await self.agent(service_url=f"http://127.0.0.1:{port}")

    async def answer(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            self.arrived += 1
            line = b"HTTP/1.1 %s X" % self.status.encode()
            writer.write(line + b"\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()
        writer.close()

    async def serve(self, name, key):
        request = certificate(name, key, f"/issue/{key}", b"", "GET")
        return await self.agent_beside.serve(request)

    async def test_they_are_not_forwarded_and_not_kept(self):
        for self.status in ODD_STATUSES:
            with self.subTest(status=self.status):
                before = self.arrived
                for number in (1, 2):
                    name = f"r-{self.status}-{number}"
                    events = await self.serve(name, f"k-{self.status}")
                    kinds = [event.WhichOneof("event") for event in events]
                    self.assertNotIn("head", kinds)
                    self.assertEqual(kinds[-1], "refused")
                    self.assertEqual(events[-1].refused.executed, "unknown")
                self.assertEqual(self.arrived - before, 1)

    async def test_a_kept_answer_with_such_a_status_is_not_forwarded(self):
        """A claim of an earlier version may hold one."""
        call = types.SimpleNamespace(is_model=False, put=self.put)
        for status in (0, 99, 600, 999):
            final = await claimed_run._replay(call, KeptAnswer(status, (), b"ok"))
            self.assertEqual(final.executed, Executed.UNKNOWN)
        self.assertEqual(self.pieces, [])

    async def put(self, piece):
        self.pieces.append(piece)

    async def test_an_error_status_is_an_answer(self):
        self.status = "500"
        events = await self.serve("r-1", "k-1")
        self.assertEqual(events[-1].WhichOneof("event"), "done")


if __name__ == "__main__":
    unittest.main()
