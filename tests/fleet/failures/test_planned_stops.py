"""Planned stops of entries and agents under load: nothing is cut, nothing is new."""

import asyncio
import unittest

from bambootiller_standins.load import Verdict
from bambootiller_standins.testing import eventually
from tests.fleet.common.system import SystemTestCase, template

#: Long enough for an answer to be under way when the stop is asked for.
TOKENS = 200


class PlannedStopTests(SystemTestCase):
    async def test_stopping_the_agents_one_after_another_cuts_no_answer(self):
        """Symptom: answers end in the middle while a fleet is being replaced.

        Sequence: long answers stream; each agent gets SIGTERM, ends, and is started
        again; the slots it gave back are placed anew.
        Cause: a stop that ends running work, or new work sent to a leaving agent.
        """
        await self.start(agents=3)
        await self.apply_and_wait(template({"tutor": 2}))
        await self.placed("tutor", 2)
        load = self.load(["tutor"], rate=15, count=150, max_tokens=TOKENS)
        for name in self.agents:
            await asyncio.sleep(0.7)
            self.assertEqual(await self.fleet.terminate(name), 0)
            await self.fleet.restart(name)
            await self.placed("tutor", 2)
        report = await load
        self.assert_promises(report, ["tutor"], [2])
        self.assertEqual(report.count(Verdict.ANSWERED), 150, report.form())

    async def test_a_stopping_entry_finishes_what_it_has_taken(self):
        """Symptom: callers of one entry see connections reset during a replacement.

        Sequence: answers stream through two entries; one gets SIGTERM; the balancer
        sends new requests only to the other. Cause: a listener that closes before the
        requests behind it have ended.
        """
        await self.start(agents=2)
        await self.apply_and_wait(template({"tutor": 2}))
        await self.placed("tutor", 2)
        await self.answered("tutor")
        options = {"rate": 60, "count": 40, "max_tokens": TOKENS}
        load = self.load(["tutor"], entries=["n-1"], **options)
        await asyncio.sleep(0.8)
        self.assertEqual(await self.fleet.terminate("n-1"), 0)
        report = await load
        self.assert_promises(report, ["tutor"], [2])
        self.assertEqual(report.count(Verdict.ANSWERED), 40, report.form())

    async def test_a_leaving_agent_gives_its_slots_back_before_it_ends(self):
        """Symptom: a model stays cold after a planned stop until the platform's list
        catches up.

        Sequence: the holder of the only slot gets SIGTERM; its instance stays listed.
        Cause: slots that are only freed by the disappearance of the instance.
        """
        await self.start(agents=2)
        await self.apply_and_wait(template({"tutor": 1}))
        (holder,) = await self.placed("tutor", 1)
        await self.answered("tutor")
        self.assertEqual(await self.fleet.terminate(holder), 0)
        await self.answered("tutor", "n-2")
        self.assertNotIn(holder, await self.holders("tutor"))
        self.assert_capacity(["tutor"], [1])

    async def test_an_entry_stopped_while_the_key_value_service_is_down_still_ends(
        self,
    ):
        """Symptom: a planned stop hangs during an outage and is killed by the platform.

        Sequence: the service is down; an entry and an agent get SIGTERM.
        Cause: a stop that waits for a write that can't be made.
        """
        await self.start(agents=2, env={"BAMBOOTILLER_DRAIN_SECONDS": "6"})
        await self.apply_and_wait(template({"tutor": 1}))
        (holder,) = await self.placed("tutor", 1)
        await self.answered("tutor")
        await self.fleet.control("kv", mode="down")
        codes = await asyncio.gather(
            self.fleet.terminate("n-1"), self.fleet.terminate(holder)
        )
        self.assertEqual(codes, [0, 0])
        await self.fleet.control("kv", mode="up")
        await self.fleet.restart(holder)
        await eventually(lambda: self._works("n-2"), "the model answers again")
        self.assert_capacity(["tutor"], [1])

    async def _works(self, entry):
        return (await self.ask("tutor", entry))[0] == 200


if __name__ == "__main__":
    unittest.main()
