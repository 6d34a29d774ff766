"""The same on the product's own interface, which the users' platform doesn't use."""

import hashlib
import tempfile
from pathlib import Path

import aiohttp

from bambootiller_standins.testing import FleetTestCase
from tests.misbehaving.common.crowd import ANSWER_TIMEOUT_S, chunk
from tests.misbehaving.common.entries import CrowdTestCase

KEY = "pupil-key"
TEMPLATE = f"""
customer = "forge"
default_timeout_ms = 60000
[services.pushes]
[callers.pupil]
key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
"""
MAX_BODY_BYTES = 1 << 20


def head(key=KEY, **fields):
    """The head of a request for the service."""
    lines = ["POST /services/pushes/x HTTP/1.1", "Host: classes.example"]
    lines += [f"Authorization: Bearer {key}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


CHUNKED = head(transfer_encoding="chunked")


class OwnInterfaceTestCase(CrowdTestCase, FleetTestCase):
    memory_mb = 260

    async def asyncSetUp(self):
        await FleetTestCase.asyncSetUp(self)
        fleet = self.fleet
        await fleet.start_service("pushes")
        limits = {
            "BAMBOOTILLER_MEMORY_MB": str(self.memory_mb),
            "BAMBOOTILLER_MAX_DESCRIPTORS": str(self.max_descriptors),
        }
        self.entry = await fleet.start_entry("entry-1", zone="az-1", env=limits)
        await fleet.start_agent("agent-1", zone="az-1", services=["pushes"])
        self.pid = self.entry.pid
        self.url = fleet.url("entry-1")
        self.address = self.url.removeprefix("http://")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "forge.toml"
            path.write_text(TEMPLATE)
            result = await fleet.run_tool(
                "template", "apply", str(path), "--reason", "test", "--wait"
            )
        self.assertEqual(result.code, 0, result.err)
        self.begin_watch()

    def is_running(self):
        return self.entry.running

    async def assert_answers(self):
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            async with http.post(
                f"{self.url}/services/pushes/x",
                data=b"b",
                headers={"Authorization": f"Bearer {KEY}"},
            ) as resp:
                self.assertEqual(resp.status, 200, await resp.text())


class TestMemory(OwnInterfaceTestCase):
    async def test_an_ordinary_request_is_answered(self):
        """Guards against the other tests of this module showing nothing."""
        await self.assert_survives([])

    async def test_trailer_fields_without_end(self):
        """Guards against trailer fields being kept for as long as a caller sends."""

        async def behave(caller):
            await caller.send(CHUNKED, chunk(1), b"0\r\n")
            await caller.repeat(b"X-A: b\r\n" * 8192)

        await self.assert_survives(await self.gather_callers(4, behave))

    async def test_unfinished_bodies(self):
        """Guards against the sum of bodies that stop just short of their end."""
        body = b"x" * (MAX_BODY_BYTES - 100)

        async def behave(caller):
            await caller.send(head(content_length=MAX_BODY_BYTES), body)

        await self.assert_survives(await self.gather_callers(300, behave))

    async def test_bodies_of_strangers(self):
        """Guards against a refused caller's body being read without end."""

        async def behave(caller):
            await caller.send(head("unknown", transfer_encoding="chunked"))
            await caller.repeat(chunk(65_536), 64 * MAX_BODY_BYTES)

        callers = await self.gather_callers(20, behave)
        for caller in callers:
            self.assertLess(caller.sent, 32 * MAX_BODY_BYTES)
        await self.assert_survives(callers)


class TestDescriptors(OwnInterfaceTestCase):
    max_descriptors = 400

    async def test_idle_connections(self):
        """Guards against idle connections taking the descriptors of everyone else."""
        callers = [await self.connect() for _ in range(600)]
        await self.assert_survives(callers)
