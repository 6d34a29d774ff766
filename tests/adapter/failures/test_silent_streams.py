"""A stream whose backend server falls silent, and what the other one does with it.

Symptom: streams were closed in the middle of their answers although their backend
servers would have finished them. The log said `silent for 0.70 s`, then `refused`, then
`cut`: the silent one had been left before the call was sent to the other, which refused
it, and no attempt was left.
"""

import asyncio
import time
import unittest

from bambootiller_platform_standins.httpd import Reply

from bambootiller_core.gateway.crash_ledger import LostRun
from tests.adapter.common.entry import MODEL_NAME
from tests.adapter.cover.test_documents import CONFIG, ROUTE
from tests.adapter.failures.test_standstills import Case


class PausedCase(Case):
    async def begin(self, gap_s=1.0):
        """Have a call under way, whose replica pauses for so long before each event;
        ``others`` hold its model too."""
        for replica in self.replicas:
            replica.events, replica.gap_s = 2, gap_s
        self.calling = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.3)
        (self.running,) = [replica for replica in self.replicas if replica.runs]
        self.others = [replica for replica in self.replicas if not replica.runs]
        self.asked = []
        for other in self.others:
            other.gap_s = 0.01

    def others_do(self, *replies):
        """What the others do with the calls sent to them, whichever gets them."""
        left = list(replies)

        def reply_of(other):
            def reply(request):
                self.asked.append((other.instance, time.monotonic()))
                return left.pop(0)(other, request)

            return reply

        for other in self.others:
            other.next_replies += [reply_of(other)] * len(replies)

    async def until(self, holds):
        async with asyncio.timeout(5.0):
            while not holds():
                await asyncio.sleep(0.005)

    def assert_nothing_held(self):
        """No call and no connection counts as under way."""
        fleet = self.harness.gateway_state.fleet
        for backend in map(fleet.get, [replica.instance for replica in self.replicas]):
            pool = self.harness.context.pool(backend)
            self.assertEqual((backend.in_flight, backend.pending_prefills), (0, 0))
            self.assertEqual(pool.open, len(pool._idle))

    def assert_whole(self, answer):
        self.assertTrue(answer.whole)
        events = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in (1, 2))
        self.assertEqual(answer.body, events)
        self.assert_nothing_held()

    def lost(self):
        return [line.backend for line in self.harness.events.of_kind("answer_lost")]

    def borne(self, why):
        lines = self.harness.events.of_kind("silence_borne")
        return [line for line in lines if line.why == why]


def refuses(other, request):
    return other.not_executed_reply(request)


def misdirected(other, request):
    return other.not_executed_reply(request, 421)


def takes(other, request):
    return other.stream(request)


def hangs(other, request):
    return Reply(silent=True)


def resets(other, request):
    raise ConnectionResetError


def useless(other, request):
    return Reply(502, pieces=(b"a proxy's own answer",))


def fails(other, request):
    return other.answer(request, b"oops", status=500)


class TestOneOther(PausedCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replicas = self.holders()

    async def assert_kept(self, reply):
        await self.begin()
        self.others_do(reply)
        self.assert_whole(await self.calling)
        self.assertEqual(len(self.running.runs), 1)
        self.assertEqual(len(self.asked), 1)
        self.assertEqual(self.harness.events.of_kind("attempt_failed"), [])

    async def test_it_is_kept_if_the_other_refuses_it(self):
        await self.assert_kept(refuses)
        self.assertEqual(self.lost(), [])
        (line,) = self.borne("refused")
        self.assertEqual(line.backend, self.running.instance)
        self.assertIn(self.others[0].instance, line.detail)

    async def test_it_is_kept_if_the_other_does_not_hold_the_model(self):
        await self.assert_kept(misdirected)
        self.assertEqual(self.lost(), [])
        backend = self.harness.gateway_state.fleet.get(self.others[0].instance)
        self.assertIn(MODEL_NAME, backend.denials)

    async def test_it_is_kept_if_the_other_resets_the_connection(self):
        await self.assert_kept(resets)
        self.assertEqual(self.lost(), [self.others[0].instance])

    async def test_it_is_kept_if_what_the_other_answers_is_of_no_use(self):
        await self.assert_kept(useless)
        self.assertEqual(self.lost(), [self.others[0].instance])

    async def test_it_is_kept_if_the_other_fails(self):
        """Its caller was sent the other's head and body behind the events."""
        await self.assert_kept(fails)
        self.assertEqual(self.lost(), [self.others[0].instance])

    async def test_it_goes_on_where_it_is_taken(self):
        await self.begin()
        self.others_do(takes)
        self.assert_whole(await self.calling)
        self.assertEqual(self.lost(), [self.running.instance])
        (resumed,) = self.others[0].runs
        self.assertEqual(resumed.headers["last-event-id"], "1")
        self.assertEqual(len(self.running.runs), 1)
        (failed,) = self.harness.events.of_kind("attempt_failed")
        self.assertEqual((failed.attempts, failed.next), (1, "SendAgain"))
        (answered,) = self.harness.events.of_kind("answered")
        self.assertEqual(answered.attempts, 2)

    async def test_it_is_kept_if_it_speaks_before_the_other_does(self):
        await self.begin(gap_s=0.8)
        self.others_do(hangs)
        answer = await self.calling
        self.assert_whole(answer)
        self.assertEqual(self.lost(), [])
        self.assertEqual(len(self.asked), 1)
        self.assertLess(answer.arrivals[1] - answer.arrivals[0], 1.0)

    async def test_it_is_left_in_time_if_the_other_works_in_silence(self):
        """Two that work on the same call for 0.4 s and longer break the users' rule."""
        await self.begin(gap_s=5.0)
        self.others_do(hangs)
        await self.until(self.lost)
        (_, asked_at), left_at = self.asked[0], time.monotonic()
        self.assertLess(left_at - asked_at, 0.35)
        self.assertEqual(self.lost(), [self.running.instance])
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.asked), 1)
        self.calling.cancel()
        await asyncio.wait((self.calling,))
        self.assert_nothing_held()

    async def test_it_is_left_in_time_though_the_entry_stands_still(self):
        """The entry stood still while two worked on the call. Its running time stands
        still with it, theirs doesn't."""
        await self.begin(gap_s=5.0)
        self.others_do(hangs)
        await self.until(lambda: self.asked)
        time.sleep(0.6)
        went_on_at = time.monotonic()
        await self.until(self.lost)
        self.assertLess(time.monotonic() - went_on_at, 0.1)
        self.calling.cancel()
        await asyncio.wait((self.calling,))
        self.assert_nothing_held()

    async def test_it_goes_on_elsewhere_if_it_ends_before_the_other_speaks(self):
        """The call is under way there, and isn't sent once more."""
        await self.begin(gap_s=5.0)
        self.others_do(hangs)
        await self.until(lambda: self.asked)
        self.background_loop.stop_replica(self.running)
        await self.until(self.lost)
        (line,) = self.harness.events.of_kind("answer_lost")
        self.assertEqual(line.backend, self.running.instance)
        self.assertNotIn("silent", line.detail)
        await asyncio.sleep(0.1)
        backend = self.harness.gateway_state.fleet.get(self.others[0].instance)
        self.assertEqual((backend.in_flight, len(self.asked)), (1, 1))
        self.calling.cancel()
        await asyncio.wait((self.calling,))
        self.assert_nothing_held()

    async def test_nothing_is_held_if_the_caller_leaves_meanwhile(self):
        await self.begin(gap_s=5.0)
        self.others_do(hangs)
        await self.until(lambda: self.asked)
        self.calling.cancel()
        await asyncio.wait((self.calling,))
        self.assert_nothing_held()
        self.assertEqual(self.lost(), [])

    async def test_a_suspected_request_is_not_sent_before_its_run_counts_as_lost(self):
        """What holds such a request back has to know of all of its runs."""
        await self.begin()
        lost_before_it_was_sent = []

        def notes(other, request):
            lost_before_it_was_sent.extend(self.lost())
            return other.stream(request)

        self.others_do(notes)
        self.suspect()
        self.assert_whole(await self.calling)
        self.assertEqual(lost_before_it_was_sent, [self.running.instance])

    def suspect(self):
        """A run of whatever request comes next was lost at another backend server."""
        quarantine, clock = self.harness.context.quarantine, self.harness.context.clock
        backend = self.harness.gateway_state.fleet.get(self.others[0].instance)
        admission = quarantine.admission

        def recalling(call):
            run = LostRun(call.fingerprint, backend.incarnation, False, clock())
            quarantine.restore([run])
            return admission(call)

        quarantine.admission = recalling


class TestTwoOthers(PausedCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replicas = self.holders() + [self.add("i-3", "llm", (MODEL_NAME,))]

    async def test_the_second_is_asked_at_once_if_the_first_refuses(self):
        route = {**ROUTE, "max-attempts": 3}
        self.harness.add_document("op/config", {**CONFIG, "routes": [route]})
        await self.begin()
        self.others_do(refuses, takes)
        self.assert_whole(await self.calling)
        (first, first_at), (second, second_at) = self.asked
        self.assertNotEqual(first, second)
        self.assertLess(second_at - first_at, 0.2)
        self.assertEqual(self.lost(), [self.running.instance])

    async def test_no_more_attempts_are_made_than_the_route_allows(self):
        await self.begin()
        self.others_do(refuses, takes)
        self.assert_whole(await self.calling)
        self.assertEqual(len(self.asked), 1)


if __name__ == "__main__":
    unittest.main()
