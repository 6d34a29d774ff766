"""A running entry with small limits, and the checks that every crowd has to pass."""

import asyncio
import unittest

import psutil

from tests.adapter.common.fleet import Fleet
from tests.misbehaving.common.crowd import (
    ANSWER_TIMEOUT_S,
    Caller,
    descriptor_count,
    peak_memory_bytes,
)

MEMORY_MB = 160
MAX_DESCRIPTORS = 4100
MAX_BODY_BYTES = 4 << 20
#: How long the processor time of an entry is measured at a time. Seconds.
IDLE_CHECK_S = 0.5
MEBIBYTE = 1 << 20


def route(name, service, **fields):
    """A route of a plain service under ``/NAME/``."""
    return {
        "name": name,
        "host": "classes.example",
        "path-prefix": f"/{name}/",
        "kind": "unsafe",
        "timeout-ms": 60_000,
        "target-latency-ms": 250,
        "service": service,
        "max-attempts": 2,
        **fields,
    }


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Watches one process, ``pid``, which listens on ``address``.

    A subclass sets both in its set-up and calls :meth:`begin_watch`; it implements
    ``is_running`` and ``assert_answers``.
    """

    memory_mb = MEMORY_MB
    max_descriptors = MAX_DESCRIPTORS

    def begin_watch(self):
        """Begin to watch the process, which runs from now on."""
        self.callers = []
        self.addCleanup(lambda: [caller.close() for caller in self.callers])
        self.max_descriptors_seen = 0
        watching = asyncio.create_task(self._watch_descriptors())
        self.addCleanup(watching.cancel)

    async def _watch_descriptors(self):
        while True:
            found = descriptor_count(self.pid)
            self.max_descriptors_seen = max(self.max_descriptors_seen, found)
            await asyncio.sleep(0.02)

    async def connect(self, **options):
        """Connect one caller."""
        caller = await Caller.connect(self.address, **options)
        self.callers.append(caller)
        return caller

    async def gather_callers(self, count, behave, **options):
        """Connect ``count`` callers that all ``behave`` at the same time; returns them
        with their connections open."""
        callers = [await self.connect(**options) for _ in range(count)]
        await asyncio.gather(*(behave(caller) for caller in callers))
        return callers

    async def wait_until_idle(self):
        """Wait until the entry has processed what the network has taken for it."""
        process = psutil.Process(self.pid)
        for _ in range(int(ANSWER_TIMEOUT_S / IDLE_CHECK_S)):
            before = sum(process.cpu_times()[:2])
            await asyncio.sleep(IDLE_CHECK_S)
            if sum(process.cpu_times()[:2]) - before < IDLE_CHECK_S / 4:
                return

    def assert_bounded(self):
        """Assert that the entry runs, and has stayed within its machine's limits."""
        self.assertTrue(self.is_running(), "the process has ended")
        peak = peak_memory_bytes(self.pid)
        self.assertLess(peak / 1e6, self.memory_mb, "peak of resident memory, MB")
        self.assertLess(self.max_descriptors_seen, self.max_descriptors)

    async def assert_survives(self, callers):
        """Assert that the entry answers beside a crowd that stays connected and after
        it, and is within its limits all the while."""
        await self.wait_until_idle()
        self.assert_bounded()
        await self.assert_answers()
        for caller in callers:
            caller.close()
        await self.assert_answers()
        self.assert_bounded()


class MisbehavingCallersTestCase(CrowdTestCase):
    """Runs one entry with two plain services, ``plain`` and ``other``."""

    limits = {"max-body-bytes": MAX_BODY_BYTES}

    async def asyncSetUp(self):
        self.fleet = await Fleet().__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__, None, None, None)
        self.fleet.configure(
            routes=[route("plain", "plain"), route("other", "other")],
            services=[{"name": "plain"}, {"name": "other"}],
            limits=self.limits,
            tenants=None,
        )
        self.plain = await self.fleet.replica("127.0.0.2", "i-1", "plain")
        self.other = await self.fleet.replica("127.0.0.3", "i-2", "other")
        machine = {"memory-mb": self.memory_mb, "max-fds": self.max_descriptors}
        self.entry = await self.fleet.entry("e0", limits=machine)
        await self.fleet.wait_ready(self.entry)
        self.pid = self.entry.process.pid
        self.address = self.entry.document["listen"]["front"]
        self.begin_watch()

    def is_running(self):
        return self.entry.process.returncode is None

    async def assert_answers(self, path="/other/x"):
        """Assert that the entry answers an ordinary request."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            status, body = await self.fleet.call(self.entry, None, path, "ordinary")
        self.assertEqual((status, body), (200, b"done"))
