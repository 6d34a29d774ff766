"""The harness: child processes, links, and the fleet's platform."""

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp

from bambootiller_standins.harness import (
    ChildProcess,
    Cut,
    LinkMode,
    ProcessFailed,
    ProcessSpec,
    _names as names,
)
from bambootiller_standins.plainservice import PlainService
from bambootiller_standins.testing import FleetTestCase, StandInTestCase

#: Stands for the product's daemon: says that it is ready, and stops on SIGTERM. The
#: signal is blocked until it is waited for: one that came between the ready line and
#: signal.pause() would be handled after that returns, which it then never does.
PLACEHOLDER = """
import json, os, signal, sys
ready = {"ready": True, "rpc_port": 9, "http_port": None}
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
print(json.dumps(ready | {"variables": dict(os.environ)}), flush=True)
signal.sigwait({signal.SIGTERM})
sys.exit(3)
"""


class ChildProcessTests(unittest.IsolatedAsyncioTestCase):
    def child(self, code):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        child = ChildProcess(ProcessSpec("c", (sys.executable, "-c", code), {}), folder)
        self.addAsyncCleanup(self._end, child)
        return child

    async def _end(self, child):
        if child.running:
            await child.kill()

    async def test_a_child_that_ends_early_is_reported_with_its_output(self):
        child = self.child("raise SystemExit('no such port')")
        with self.assertRaisesRegex(ProcessFailed, "no such port"):
            await child.start()

    async def test_a_paused_child_stands_still_and_can_be_stopped_as_planned(self):
        child = self.child(PLACEHOLDER)
        await child.start()
        child.pause()
        status = await asyncio.to_thread(os.waitpid, child.pid, os.WUNTRACED)
        self.assertTrue(os.WIFSTOPPED(status[1]))
        self.assertEqual(await child.terminate(), 3)

    async def test_a_killed_child_is_gone(self):
        child = self.child(PLACEHOLDER)
        await child.start()
        await child.kill()
        self.assertEqual(child.returncode, -signal.SIGKILL)
        with self.assertRaises(ProcessLookupError):
            os.kill(child.pid, 0)


class CutTests(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.service = await self.started(PlainService())
        self.cut = Cut(self.service.port)
        await self.cut.start()
        self.addAsyncCleanup(self.cut.stop)

    async def test_an_open_link_carries_calls_and_counts_their_bytes(self):
        answer = await self.post(self.cut.url + "/a", {"id": "1"})
        self.assertEqual(answer["run"], 1)
        self.assertGreater(self.cut.bytes_to_target, 0)
        self.assertGreater(self.cut.bytes_from_target, 0)

    async def test_a_cut_link_refuses_calls_and_mends(self):
        self.cut.set(LinkMode.CUT)
        with self.assertRaises(aiohttp.ClientError):
            await self.post(self.cut.url, {"id": "1"})
        self.cut.set(LinkMode.OPEN)
        self.assertEqual((await self.post(self.cut.url, {"id": "1"}))["run"], 1)

    async def test_a_silent_link_delivers_what_it_held_once_it_opens(self):
        self.cut.set(LinkMode.BLACKHOLE)
        call = asyncio.create_task(self.post(self.cut.url, {"id": "1"}))
        done, _ = await asyncio.wait([call], timeout=0.05)
        self.assertEqual((done, self.service.runs["1"]), (set(), 0))
        self.cut.set(LinkMode.OPEN)
        self.assertEqual((await asyncio.wait_for(call, 30))["run"], 1)

    async def test_a_link_that_holds_answers_lets_the_call_take_effect(self):
        self.cut.set(LinkMode.HOLD_ANSWERS)
        call = asyncio.create_task(self.post(self.cut.url, {"id": "1"}))
        while self.service.runs["1"] == 0:
            await asyncio.sleep(0.01)
        self.assertFalse(call.done())
        self.cut.set(LinkMode.OPEN)
        self.assertEqual((await asyncio.wait_for(call, 30))["run"], 1)


class FleetTests(FleetTestCase):
    async def asyncSetUp(self):
        command = (sys.executable, "-c", PLACEHOLDER)
        patch = mock.patch.object(names, "DAEMON_COMMAND", command)
        self.enterContext(patch)
        await super().asyncSetUp()

    async def test_members_are_listed_until_they_are_reclaimed(self):
        await self.fleet.start_engine("e-1")
        child = await self.fleet.start_agent(
            "i-1", zone="az-1", engine="e-1", links=["engine", "rpc"]
        )
        variables = child.ready["variables"]
        self.assertEqual(variables["BAMBOOTILLER_INSTANCE"], "i-1")
        link = self.fleet.link("i-1", "engine")
        self.assertEqual(variables["BAMBOOTILLER_ENGINE_URL"], link.url)
        await self.fleet.mark_leaving("i-1")
        (listed,) = await self.fleet.counts("list", "/control/instances")
        self.assertEqual(listed["labels"]["state"], "leaving")
        self.assertEqual(listed["targets"], [self.fleet.link("i-1", "rpc").address])
        await self.fleet.reclaim("i-1")
        self.assertEqual(await self.fleet.counts("list", "/control/instances"), [])
        self.assertFalse(any(map(self._runs, ("i-1", "e-1"))))

    async def test_a_restarted_stand_in_keeps_its_port(self):
        port = self.fleet.port("kv")
        before = self.fleet.children["kv"].pid
        await self.fleet.restart("kv")
        self.assertEqual(self.fleet.port("kv"), port)
        self.assertNotEqual(self.fleet.children["kv"].pid, before)
        self.assertEqual((await self.fleet.control("kv", mode="down"))["mode"], "down")

    def _runs(self, name):
        return self.fleet.children[name].running
