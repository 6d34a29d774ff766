"""Poison prompt parts: the requests all differ, but share one part of the prompt that
crashes every engine. They arrive at any entry, among sound requests."""

import asyncio
import contextlib
import itertools
import unittest

import aiohttp

from tests.adapter.cover.test_documents import MODEL
from tests.adapter.failures.test_poison_requests import PoisonedFleet

MODEL_NAME = MODEL["name"]
FIRST_PART = "5c1e07a2"
POISON_PART = "badbad01"
SOUND_PARTS = ("91bd3f06", "91bd3f07", "91bd3f08")
#: All entries must know of the quarantine so long after the fifth crash. Seconds.
PROPAGATION_S = 3.0
#: How many poison requests may still reach engines after that.
MAX_LATE_ARRIVALS = 3
PART_QUARANTINE_CRASHES = 5


class PoisonPartFleet(PoisonedFleet):
    """A fleet whose entries all receive sound and poison prompts."""

    async def begin(self, entries=2, engines=5, bad=(POISON_PART,), **fields):
        await super().begin(entries, engines, **fields)
        self.numbers = itertools.count()
        self.outcomes = []
        for replica in self.replicas.values():
            replica.poison_parts = set(bad)
            replica.events, replica.gap_s = 10, 0.03

    async def send(self, entry, *middle):
        """Send a call with a unique body and a unique last prompt part.

        Returns its status, None if the call failed.
        """
        number = next(self.numbers)
        parts = (FIRST_PART, *middle, f"{number:08x}")
        headers = {
            "X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts),
            "X-Deadline-Ms": "6000",
        }
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status, _ = await self.call(
                entry,
                MODEL_NAME,
                attempt=f"q-{number}",
                body=b"%d" % number,
                headers=headers,
            )
            return status
        return None

    async def send_sound(self, entry, *middle):
        status = await self.send(entry, *middle)
        self.outcomes.append((asyncio.get_running_loop().time(), status))

    async def generate_load(
        self, seconds, bad_every_s, sound_every_s, bad=(POISON_PART,)
    ):
        """Send both kinds of calls to the entries, round robin, for ``seconds``."""
        loop = asyncio.get_running_loop()
        entries, calls = itertools.cycle(self.entries), []
        end, next_bad, bad_parts = loop.time() + seconds, 0.0, itertools.cycle(bad)
        sound_parts = itertools.cycle(SOUND_PARTS)
        while loop.time() < end:
            if loop.time() >= next_bad:
                next_bad = loop.time() + bad_every_s
                sending = self.send(next(entries), next(bad_parts), next(sound_parts))
                calls.append(asyncio.create_task(sending))
            sending = self.send_sound(next(entries), next(sound_parts))
            calls.append(asyncio.create_task(sending))
            await asyncio.sleep(sound_every_s)
        await asyncio.gather(*calls)

    def engine_crash_times(self):
        """When engines crashed, in order. Seconds of the event loop's clock."""
        times = [at for item in self.replicas.values() for at in item.crash_times]
        return sorted(times)

    def arrivals_after(self, time):
        """How many poison requests reached engines after ``time``."""
        arrivals = [
            at for item in self.replicas.values() for at in item.poison_arrivals
        ]
        return sum(at > time for at in arrivals)

    def sound_success_rate(self, since, until=float("inf")):
        """The fraction of the sound calls finished in that time that were served."""
        statuses = [status for at, status in self.outcomes if since <= at < until]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


class TestPoisonPart(unittest.IsolatedAsyncioTestCase):
    """A quarantine by whole requests isn't enough: each of these requests differs, so
    each was at its first crash and none was deferred or quarantined.
    """

    def assert_quarantined(self, fleet, parts=1):
        engine_crash_times = fleet.engine_crash_times()
        if len(engine_crash_times) >= PART_QUARANTINE_CRASHES * parts:
            known_at = (
                engine_crash_times[PART_QUARANTINE_CRASHES * parts - 1] + PROPAGATION_S
            )
            late_arrivals = fleet.arrivals_after(known_at)
            self.assertLessEqual(
                late_arrivals, MAX_LATE_ARRIVALS * parts, len(engine_crash_times)
            )
        # The crashes stop soon after the first.
        self.assertLess(
            engine_crash_times[-1] - engine_crash_times[0], 2 * PROPAGATION_S * parts
        )

    async def test_requests_with_it_reach_no_engine_after_some_crashes(self):
        async with PoisonPartFleet() as fleet:
            await fleet.begin()
            await fleet.generate_load(20.0, bad_every_s=0.4, sound_every_s=0.1)
            self.assert_quarantined(fleet)
            known_at = fleet.engine_crash_times()[-1] + 2 * PROPAGATION_S
            self.assertGreater(fleet.sound_success_rate(known_at), 0.9)

    async def test_several_parts_at_once_are_quarantined(self):
        bad = [f"badbad{number:02x}" for number in range(5)]
        async with PoisonPartFleet() as fleet:
            await fleet.begin(engines=6, bad=bad)
            await fleet.generate_load(25.0, bad_every_s=0.3, sound_every_s=0.1, bad=bad)
            self.assert_quarantined(fleet, parts=len(bad))

    async def test_an_entry_that_starts_later_refuses_it_and_serves_others(self):
        async with PoisonPartFleet() as fleet:
            await fleet.begin(entries=1)
            await fleet.generate_load(6.0, bad_every_s=0.4, sound_every_s=0.1)
            crashes = len(fleet.engine_crash_times())
            late = await fleet.entry("late")
            await fleet.wait_ready(late)
            fleet.entries = [late]
            await fleet.generate_load(5.0, bad_every_s=0.4, sound_every_s=0.1)
            self.assertEqual(len(fleet.engine_crash_times()), crashes)
            loop = asyncio.get_running_loop()
            self.assertGreater(fleet.sound_success_rate(loop.time() - 3.0), 0.9)
