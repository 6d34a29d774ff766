"""Changes of templates while answers get lost and operators race one another."""

import unittest

from bambootiller.operators import keys
from bambootiller.operators.audit import AuditRecord
from bambootiller.operators.changes import (
    ATTEMPTS,
    Applied,
    Changes,
    LostRace,
    OutcomeUnknown,
)
from bambootiller_core.ports import Compare, Put, Unavailable
from tests.cli.common import author, draft, no_pause, stored_replicas, trail
from tests.common.fakekv import FakeKeyValue, Fault


class TestLostAnswers(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.kv = FakeKeyValue()
        self.changes = Changes(self.kv)

    async def apply(self, replicas, who="ada", pause=no_pause):
        return await self.changes.apply(draft(replicas), author(who), pause)

    def rival(self, replicas, who="ben"):
        """What another operator's client writes, at once and without faults."""
        key = keys.template_key("forge")
        version = len(trail(self.kv)) + 1
        record = AuditRecord("forge", version, version - 1, who, "now", "", f"t-{who}")
        self.kv.commit(
            [Compare(key, self.kv.records[key].mod_revision)],
            [
                Put(key, draft(replicas).stored(version)),
                Put(keys.audit_key("forge", version), record.encode()),
            ],
        )

    async def test_an_answer_lost_after_the_write_is_settled_as_accepted(self):
        """Symptom: an accepted change is reported as failed.

        The service carries the transaction out and its answer is lost. The writer takes
        that for a failure, and the operator applies an older file over the change.
        """
        self.kv.faults.append(Fault.LOST_AFTER)
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, Applied)
        self.assertEqual((self.kv.transactions, len(trail(self.kv))), (1, 1))

    async def test_a_request_lost_before_the_write_is_sent_again(self):
        """Symptom: a change is reported as accepted and isn't in force.

        The transaction never reaches the service. The writer sees no record of its own
        and sends the same transaction again.
        """
        self.kv.faults.append(Fault.LOST_BEFORE)
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, Applied)
        self.assertEqual((self.kv.transactions, stored_replicas(self.kv)), (2, 2))

    async def test_a_write_that_lands_late_takes_effect_once(self):
        """Symptom: one change has two records, or a later change is undone.

        No answer comes; the writer reads, finds nothing, and sends again. Meanwhile the
        first transaction lands. The second one's compares fail, and the token in the
        record settles that the change is the writer's own.
        """
        self.kv.faults.append(Fault.DELAYED)

        async def pause(attempt):
            self.kv.land_delayed()

        outcome = await self.apply(2, pause=pause)
        self.assertIsInstance(outcome, Applied)
        self.assertEqual((self.kv.transactions, len(trail(self.kv))), (2, 1))

    async def test_a_write_that_lands_between_the_two_reads_is_not_taken_for_another(
        self,
    ):
        """Symptom: the writer is told that it lost a race against itself.

        No answer comes. The writer reads the record (absent), then its own delayed
        transaction lands, then it reads the template (changed) and concludes that
        somebody else wrote it. Reading the template first rules that out.
        """
        await self.apply(1)
        self.kv.faults.append(Fault.DELAYED)
        reads = []

        def land_between(key):
            reads.append(key)
            if len(reads) == 2:
                self.kv.land_delayed()

        self.kv.before_read = land_between
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, Applied)
        self.assertEqual(stored_replicas(self.kv), 2)

    async def test_of_two_racing_operators_one_wins_and_the_other_is_told(self):
        """Symptom: a change disappears without a trace.

        Two operators read version 1. Ben's transaction commits first. Ada's would write
        her whole template over his change; its compare fails instead.
        """
        await self.apply(1)
        self.kv.before_transact = lambda: self.rival(5)
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, LostRace)
        self.assertEqual([record.who for record in outcome.records], ["ben"])
        self.assertEqual(stored_replicas(self.kv), 5)

    async def test_the_loser_of_a_race_whose_answer_is_lost_is_told_as_well(self):
        """Symptom: after a lost answer, another's change is taken for one's own.

        Ben commits version 2 just before Ada's transaction, which fails; the answer
        that says so is lost. A record of version 2 stands, but with Ben's token.
        """
        await self.apply(1)
        self.kv.before_transact = lambda: self.rival(5)
        self.kv.faults.append(Fault.LOST_AFTER)
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, LostRace)
        self.assertEqual(stored_replicas(self.kv), 5)

    async def test_a_success_followed_by_a_rivals_change_is_still_a_success(self):
        """Symptom: an accepted change is reported as lost.

        Ada's version 2 takes effect, its answer is lost, and Ben commits version 3
        before Ada reads back. The template is Ben's by then; the record of version 2
        still carries Ada's token.
        """
        await self.apply(1)
        self.kv.faults.append(Fault.LOST_AFTER)
        self.kv.before_read = self._rival_once
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, Applied)
        self.assertEqual([r.who for r in trail(self.kv)], ["ada", "ada", "ben"])

    def _rival_once(self, key):
        self.kv.before_read = None
        self.rival(5)

    async def test_what_cannot_be_settled_is_reported_as_unknown(self):
        """Symptom: an operator is told "failed" about a change that is in force.

        The answer is lost and the service goes down, so nothing can be read back.
        """
        await self.apply(1)
        self.kv.faults.append(Fault.LOST_AFTER)
        self.kv.before_read = self._go_down
        outcome = await self.apply(2)
        self.assertIsInstance(outcome, OutcomeUnknown)
        self.assertEqual((outcome.version, outcome.token), (2, "t-ada"))
        self.assertEqual(self.kv.transactions, 1 + ATTEMPTS)

    def _go_down(self, key):
        self.kv.down = True

    async def test_a_service_that_is_down_at_the_write_is_a_plain_failure(self):
        """Symptom: an operator must search the trail although nothing was written.

        The service refuses the transaction outright, so that it took no effect is sure.
        """
        self.kv.faults.append(Fault.DOWN)
        self.assertIsInstance(await self.apply(2), Unavailable)
        self.assertEqual(self.kv.records, {})
