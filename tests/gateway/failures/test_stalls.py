"""Streams to peers after a stall of the process."""

import asyncio
import threading
import time
import unittest

from bambootiller.gateway.exchange import Exchanger, Update
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller_core.gateway.running_clock import TICK_S, RunningClock


class Events:
    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)


class Call:
    """A stream whose peer sends updates every 0.1 s from another thread."""

    def __init__(self):
        self._updates = asyncio.Queue()
        self._loop = asyncio.get_running_loop()
        self._reading = None
        self.cancelled = False
        self.is_sending = threading.Event()
        self.is_sending.set()
        self.ended = threading.Event()
        self._thread = threading.Thread(target=self._send_updates, daemon=True)
        self._thread.start()

    def end(self):
        """Stops the peer's thread."""
        self.ended.set()
        self._thread.join()

    def _send_updates(self):
        while not self.ended.wait(0.1):
            if self.is_sending.is_set():
                update = Update(sender="agent-1")
                self._loop.call_soon_threadsafe(self._updates.put_nowait, update)

    async def read(self):
        self._reading = asyncio.ensure_future(self._updates.get())
        return await self._reading

    def cancel(self):
        self.cancelled = True
        if self._reading is not None:
            self._reading.cancel()


class Channels:
    """Opens a :class:`Call` for each stream and keeps it in ``calls``."""

    def __init__(self):
        self.calls = []

    def residency(self, address):
        return self

    def Exchange(self, updates):  # noqa: N802
        self.calls.append(Call())
        return self.calls[-1]

    async def drop(self, address):
        pass


class Directory:
    prefixes = ()


class TestStreamsAfterStall(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.events, self.channels = Events(), Channels()
        self.running = RunningClock(loop.time())
        self.received_at = []
        gateway_state = GatewayState(Directory(), self.events, loop.time)
        exchanger = Exchanger(
            "entry-1",
            gateway_state,
            self.events,
            self.channels,
            lambda: self.running.running_time(loop.time()),
        )
        stream = exchanger.keep_open(
            "10.0.0.1:7",
            lambda *_: None,
            lambda *_: self.received_at.append(loop.time()),
        )
        self.tasks = [loop.create_task(stream), loop.create_task(self.tick())]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for call in self.channels.calls:
            call.end()

    async def tick(self):
        while True:
            self.running.tick(asyncio.get_running_loop().time())
            await asyncio.sleep(TICK_S)

    async def test_streams_are_kept_if_the_peers_went_on_sending(self):
        """Symptom: after a stall an entry closes streams to peers that aren't silent.

        An entry stalled for 2 s and right after that closed its streams to 30 agents
        that had sent updates all the time: 285 lines peer_silent in 12 s. Opening them
        again, with complete updates, used up the little processor time that it got.
        """
        await asyncio.sleep(0.55)
        time.sleep(2.0)
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.channels.calls), 1)
        self.assertGreater(len(self.received_at), 3)

    async def test_a_stream_cancelled_as_its_peer_falls_silent_ends(self):
        """Symptom: a stream that nobody holds is opened again and again.

        The engine of a silent agent left the registry in the same iteration of the
        event loop in which the silence was detected. The cancellation of the stream was
        mistaken for that of its call.
        """
        await asyncio.sleep(0.3)
        call, stream = self.channels.calls[0], self.tasks[0]
        original_cancel = call.cancel

        def cancel():
            call.cancel = original_cancel
            original_cancel()
            stream.cancel()

        call.cancel = cancel
        call.is_sending.clear()
        await asyncio.sleep(2.5)
        self.assertTrue(stream.done())

    async def test_a_stream_whose_peer_is_silent_is_closed(self):
        await asyncio.sleep(0.3)
        self.channels.calls[0].is_sending.clear()
        await asyncio.sleep(2.2)
        self.assertTrue(self.channels.calls[0].cancelled)
        self.assertEqual(len(self.channels.calls), 2)
        self.assertIn("peer_silent", [line.event for line in self.events.lines])


if __name__ == "__main__":
    unittest.main()
