"""Parts of a fleet that are lost or cut off while callers ask."""

import asyncio
import unittest

from bambootiller_standins.harness import LinkMode
from bambootiller_standins.load import Verdict
from bambootiller_standins.testing import eventually
from tests.fleet.common.system import SystemTestCase, template


class LostPartsTests(SystemTestCase):
    async def test_a_zone_lost_in_a_burst_is_repaired_and_drops_nobody(self):
        """Symptom: callers hang or lose their answers when a zone goes, and the model
        stays at half its replicas.

        Sequence: a burst is being served by replicas in two zones; the instance and the
        engine of one of them are taken away together; the list says so a little later.
        Cause: answers bound to the process that began them, slots bound to the zone.
        """
        await self.start(entries=2, agents=4)
        await self.apply_and_wait(template({"tutor": 2}))
        held = await self.placed("tutor", 2)
        await self.answered("tutor")
        load = self.load(["tutor"], rate=30, count=150, max_tokens=100)
        await asyncio.sleep(1.0)
        await self.fleet.reclaim(held[0])
        report = await load
        self.assert_promises(report, ["tutor"], [2])
        self.assertEqual(report.count(Verdict.ANSWERED), 150, report.form())
        await eventually(lambda: self._moved_from(held[0]), "the slot has moved")
        self.assert_capacity(["tutor"], [2])

    async def _moved_from(self, lost):
        holders = await self.holders("tutor")
        return len(holders) == 2 and lost not in holders

    async def test_an_agent_behind_a_cut_link_keeps_its_slot_and_serves_again(self):
        """Symptom: a second replica is loaded while the first one is only cut off.

        Sequence: nobody reaches the holder of the only slot, as between two regions;
        its instance stays listed; callers are refused; the link heals.
        Cause: unreachable taken for gone.
        """
        await self.start(entries=2, agents=2, links=("rpc",))
        await self.apply_and_wait(template({"tutor": 1}))
        (holder,) = await self.placed("tutor", 1)
        await self.answered("tutor")
        link = self.fleet.link(holder, "rpc")
        link.set(LinkMode.CUT)
        for _ in range(3):
            status, problem = await self.ask("tutor", timeout_ms=8_000)
            self.assertNotEqual(status, 200)
            self.assertGreater(problem["retry_after_ms"], 0)
        self.assertEqual(await self.holders("tutor"), [holder])
        link.set(LinkMode.OPEN)
        await self.answered("tutor", "n-2")
        self.assert_capacity(["tutor"], [1])

    async def test_the_platforms_list_that_drops_running_instances_moves_no_slot(self):
        """Symptom: replicas above the cap after a fault of the platform's list.

        Sequence: the list answers, successfully, without the running holder; callers go
        on. Cause: the list believed against the probes.
        """
        await self.start(entries=2, agents=3)
        await self.apply_and_wait(template({"tutor": 1}))
        (holder,) = await self.placed("tutor", 1)
        await self.fleet.delist(holder)
        report = await self.load(["tutor"], rate=10, count=60)
        self.assert_promises(report, ["tutor"], [1])
        self.assertEqual(report.count(Verdict.ANSWERED), 60, report.form())
        self.assertEqual(await self.holders("tutor"), [holder])


if __name__ == "__main__":
    unittest.main()
