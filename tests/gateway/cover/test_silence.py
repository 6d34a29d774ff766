"""The detector of backend servers that stop sending."""

import asyncio
import time
import unittest

from bambootiller.gateway.silence import SilenceDetector


class Connection:
    has_waiting_reader = True

    def __init__(self):
        self.last_received_at = time.monotonic()
        self.signals = []

    def signal_silence(self, seconds):
        self.signals.append(seconds)


class TestSilenceDetector(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.conn = Connection()

    async def test_silence_is_signalled_once(self):
        SilenceDetector(self.conn, 0.02, time.monotonic)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.conn.signals), 1)

    async def test_nothing_is_signalled_after_it_has_stopped(self):
        """Symptom: the next call on the connection fails for a silence that isn't its
        own, and its caller gets no answer.

        A restart of the detector had left its first timer running.
        """
        detector = SilenceDetector(self.conn, 0.02, time.monotonic)
        detector.recheck_in(0.03)
        detector.restart()
        detector.stop()
        await asyncio.sleep(0.1)
        self.assertEqual(self.conn.signals, [])
