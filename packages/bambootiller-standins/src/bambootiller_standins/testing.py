"""Helpers for tests: stand-ins in process, and a test case with a fleet."""

import asyncio
import base64
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from bambootiller_standins._server import StandIn
from bambootiller_standins.engine import Engine, EngineConfig
from bambootiller_standins.harness import Fleet, PlatformOptions
from bambootiller_standins.instancelist import InstanceList
from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.plainservice import PlainService

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.01


def encode(text: str) -> str:
    """Returns text in base64, as the key-value service's gateway wants it.

    >>> encode("/a/")
    'L2Ev'
    """
    return base64.b64encode(text.encode()).decode("ascii")


def decode(text: str) -> str:
    """Returns the text of a base64 field."""
    return base64.b64decode(text).decode()


async def eventually(
    condition: Callable[[], Any | Awaitable[Any]],
    what: str = "",
    seconds: float = WAIT_SECONDS,
) -> Any:
    """Waits until *condition* gives something true, and returns that.

    *condition* may be a coroutine function. The bound is generous, since the machine
    may be busy: it ends a test that hangs and measures nothing.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while loop.time() < deadline:
        found = condition()
        if isinstance(found, Awaitable):
            found = await found
        if found:
            return found
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError(f"not within {seconds} s: {what or condition}")


class Trio:
    """A key-value service, an instance list, an engine, and a plain service in process.

    >>> async with Trio() as standins:
    ...     standins.keyvalue.url
    'http://127.0.0.1:40123'
    """

    def __init__(self, engine: EngineConfig | None = None) -> None:
        self.keyvalue = KeyValueService()
        self.instances = InstanceList()
        self.engine = Engine(engine)
        self.service = PlainService()

    @property
    def _all(self) -> tuple[StandIn, ...]:
        return (self.keyvalue, self.instances, self.engine, self.service)

    async def __aenter__(self) -> "Trio":
        for standin in self._all:
            await standin.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for standin in self._all:
            await standin.stop()


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a client session, and with stand-ins that end with the test."""

    async def asyncSetUp(self) -> None:
        """Opens the session."""
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def started(self, standin: StandIn) -> StandIn:
        """Starts a stand-in in process, until the test ends."""
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        return standin

    async def post(self, url: str, body: Any) -> Any:
        """Posts JSON and returns the JSON of a good answer."""
        async with self.session.post(url, json=body) as response:
            self.assertLess(response.status, 300, await response.text())
            return await response.json()

    async def get(self, url: str) -> Any:
        """Returns the JSON of a good answer."""
        async with self.session.get(url) as response:
            self.assertLess(response.status, 300, await response.text())
            return await response.json()


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a fleet, whose output is shown if the test fails.

    A subclass sets *platform* to change what the platform is made of.
    """

    platform = PlatformOptions()
    fleet: Fleet | None = None

    async def asyncSetUp(self) -> None:
        """Starts the fleet's platform."""
        self.fleet = Fleet(self.platform)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    def run(self, result: unittest.TestResult | None = None) -> unittest.TestResult:
        """Runs the test; shows or discards the fleet's output behind it."""
        result = result if result is not None else self.defaultTestResult()
        before = len(result.failures) + len(result.errors)
        super().run(result)
        if self.fleet is None:
            return result
        if len(result.failures) + len(result.errors) > before:
            self.fleet.show_output()
        else:
            self.fleet.discard_output()
        return result
