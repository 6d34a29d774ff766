"""Which requests are quarantined for crashing backend servers, and which aren't."""

import unittest

from bambootiller_core.gateway.crash_evidence import (
    AGENT_DETECTION_S,
    REGISTRY_DETECTION_S,
    crash_verdict,
)
from bambootiller_core.gateway.crash_ledger import (
    MAX_REQUESTS,
    QUARANTINE_S,
    RETENTION_S,
    SOUND_PART_TTL_S,
    STAGGER_S,
    AdmissionDecision,
    CrashLedger,
    CrashVerdict,
    LostRun,
    part_name,
)
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.update_filter import UpdateFilter
from tests.gateway.common.samples import engine_state, registration


def lost(name, crash, progressed=False, at=0.0):
    """A run that was lost in the backend server's start with the number ``crash``."""
    return LostRun(name, Incarnation("b1", crash), progressed, at)


def crashed(run, before):
    """A crash verdict that is always ``CRASHED``."""
    return CrashVerdict.CRASHED


class LedgerTestCase(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger()

    def crash(self, number, *names, progressed=(), at=None):
        """Records a crash of a backend server under runs of these requests.

        ``number`` is the start that crashed and, unless ``at`` is given, the time.
        """
        at = float(number) if at is None else at
        for name in names:
            self.ledger.record_lost_run(lost(name, number, name in progressed, at))
        return self.ledger.settle(at, crashed)

    def decision(self, name, now=100.0):
        return self.ledger.admission(now, name).decision

    def assert_quarantined(self, *names):
        known = set(self.ledger._runs)
        found = {
            name
            for name in known
            if self.decision(name) is AdmissionDecision.QUARANTINED
        }
        self.assertEqual(found, set(names))


class TestQuarantine(LedgerTestCase):
    def test_quarantine_begins_with_the_third_crash(self):
        for number in range(2):
            self.assertEqual(self.crash(number, "p"), [])
            self.assert_quarantined()
        (found,) = self.crash(2, "p")
        self.assertEqual((found.fingerprint, found.crashes), ("p", 3.0))
        self.assert_quarantined("p")

    def test_a_crash_counts_once_however_many_runs_were_lost_in_it(self):
        for _ in range(3):
            self.crash(1, "p")
        self.assert_quarantined()

    def test_quarantine_ends_a_while_after_the_last_crash(self):
        for number in range(3):
            self.crash(number, "p")
        self.assertIs(self.decision("p", QUARANTINE_S), AdmissionDecision.QUARANTINED)
        left_s = self.ledger.admission(2.0, "p").retry_in_s
        self.assertEqual(left_s, QUARANTINE_S)
        self.assertIs(
            self.decision("p", 2.0 + QUARANTINE_S), AdmissionDecision.ADMITTED
        )

    def test_quarantine_is_forgotten_with_its_crashes(self):
        for number in range(3):
            self.crash(number, "p")
        self.ledger.forget(RETENTION_S + 3)
        self.assertTrue(self.ledger.is_empty)
        self.assertEqual(self.ledger.quarantined_count, 0)

    def test_the_least_suspicious_request_is_evicted(self):
        for number in range(3):
            self.crash(number, "p")
        for number in range(MAX_REQUESTS + 10):
            self.crash(100 + number, f"s{number}")
        self.assert_quarantined("p")
        self.assertEqual(len(self.ledger._runs), MAX_REQUESTS)


class TestSoundRequests(LedgerTestCase):
    def test_a_request_that_completes_is_cleared_for_good(self):
        self.crash(1, "s")
        self.crash(2, "s")
        self.assertEqual(self.ledger.completed("s"), 2)
        for number in range(3, 9):
            self.crash(number, "s")
        self.assert_quarantined()

    def test_a_request_that_completed_before_its_crashes_is_not_suspected(self):
        self.ledger.completed("s")
        for number in range(3):
            self.crash(number, "s")
        self.assertTrue(self.ledger.is_empty)

    def test_a_quarantined_request_explains_the_crashes_of_others(self):
        self.crash(0, "s")
        for number in range(1, 4):
            self.crash(number, "p", "s" if number < 3 else "t")
        self.assert_quarantined("p")

    def test_a_request_that_was_quarantined_by_mistake_is_released(self):
        for number in range(2):
            self.crash(number, "p", "z")
        self.crash(2, "z")
        self.assert_quarantined("z")
        for number in range(3, 6):
            self.crash(number, "p")
        self.assert_quarantined("p")

    def test_a_stream_that_progresses_at_each_engine_may_run_after_five_crashes(self):
        for number in range(5):
            self.crash(number, "s", progressed=("s",))
        self.assert_quarantined()

    def test_a_run_lost_at_a_surviving_backend_server_does_not_count(self):
        for number in range(3):
            self.ledger.record_lost_run(lost("s", number))
        self.assertIs(self.decision("s"), AdmissionDecision.DEFERRED)
        self.ledger.settle(1.0, lambda run, before: CrashVerdict.SURVIVED)
        self.assertTrue(self.ledger.is_empty)
        self.assertIs(self.decision("s"), AdmissionDecision.ADMITTED)


class TestStagger(LedgerTestCase):
    def test_requests_that_share_two_crashes_run_one_after_the_other(self):
        for number in range(2):
            self.crash(number, "a", "b", "c", at=0.0)
        waits = [self.ledger.admission(0.0, name).retry_in_s for name in "abc"]
        self.assertEqual(waits, [0.0, STAGGER_S, 2 * STAGGER_S])
        self.assertIs(self.decision("c", 2 * STAGGER_S), AdmissionDecision.ADMITTED)

    def test_requests_of_different_crashes_do_not_wait_for_each_other(self):
        for number in range(2):
            self.crash(number, "a", at=0.0)
            self.crash(10 + number, "b", at=0.0)
        self.assertIs(self.decision("b", 0.0), AdmissionDecision.ADMITTED)

    def test_the_third_crash_has_a_verdict_before_a_further_run(self):
        for number in range(2):
            self.crash(number, "p")
        self.ledger.record_lost_run(lost("p", 2, at=1.0))
        self.assertIs(self.decision("p"), AdmissionDecision.DEFERRED)
        self.ledger.settle(1.0, crashed)
        self.assertIs(self.decision("p"), AdmissionDecision.QUARANTINED)


class TestUpdates(LedgerTestCase):
    def test_what_a_peer_reported_is_not_sent_back(self):
        self.ledger.record_lost_run(lost("p", 1), source="e1")
        self.ledger.record_lost_run(lost("q", 1))
        self.assertEqual(self.names(0, False, "e1"), ["q"])
        self.assertEqual(self.names(0, False, "e2"), ["p", "q"])
        self.assertEqual(self.names(0, True, "e2"), ["q"])
        self.assertEqual(self.names(1, False, "e2"), ["q"])

    def names(self, *which):
        return [
            run.fingerprint for run in self.ledger.unsent(UpdateFilter(*which)).runs
        ]

    def test_two_processes_that_exchange_updates_agree(self):
        other = CrashLedger()
        for number in range(2):
            self.crash(number, "p")
        other.record_lost_run(lost("p", 2))
        for run in self.ledger.unsent(UpdateFilter(0, False, "b")).runs:
            other.record_lost_run(run, "a")
        for run in other.unsent(UpdateFilter(0, False, "a")).runs:
            self.ledger.record_lost_run(run, "b")
        for ledger in (self.ledger, other):
            ledger.settle(1.0, crashed)
            decision = ledger.admission(9.0, "p").decision
            self.assertIs(decision, AdmissionDecision.QUARANTINED)

    def test_a_sound_request_is_propagated(self):
        self.crash(1, "s")
        self.ledger.completed("s", source="e1")
        self.assertEqual(self.ledger.unsent(UpdateFilter(0, False, "e2")).sound, ("s",))
        self.assertEqual(self.ledger.unsent(UpdateFilter(0, False, "e1")).sound, ())
        self.assertTrue(self.ledger.is_empty)

    def test_a_suspicion_of_a_sound_request_is_answered(self):
        self.ledger.completed("s")
        self.assertEqual(self.ledger.unsent(UpdateFilter(0, False, "e1")).sound, ())
        self.ledger.record_lost_run(lost("s", 1), source="e1")
        self.assertEqual(self.ledger.unsent(UpdateFilter(0, False, "e1")).sound, ("s",))


class TestCrashVerdict(unittest.TestCase):
    """The registry and the agent show whether a backend server crashed or survived."""

    def register_and_lose_run(self, started_ms=5):
        """Registers a backend server; a run is lost there at 10 s."""
        self.started_ms = started_ms
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, registration("b1", started_ms=started_ms))
        self.lost_run = LostRun("p", Incarnation("b1", started_ms), False, 10.0)
        self.before = CrashVerdict.UNDECIDED

    def verdict(self, now):
        self.before = crash_verdict(now, self.lost_run, self.before, self.fleet)
        return self.before

    def agent_reports(self, now, **fields):
        state = engine_state("b1", started_ms=self.started_ms, **fields)
        self.fleet.engine_reported(now, state)

    def test_another_start_or_none_means_that_it_crashed(self):
        self.register_and_lose_run()
        self.assertIs(self.verdict(10.0), CrashVerdict.UNDECIDED)
        self.fleet.registry_changed(11.0, registration("b1", started_ms=6))
        self.assertIs(self.verdict(11.0), CrashVerdict.CRASHED)
        self.fleet.registry_removed(12.0, "b1")
        self.assertIs(self.verdict(12.0), CrashVerdict.CRASHED)

    def test_an_engine_that_answers_again_in_the_same_start_was_only_busy(self):
        self.register_and_lose_run()
        self.agent_reports(10.1, silent=True)
        self.assertIs(self.verdict(10.1), CrashVerdict.CRASHED)
        self.agent_reports(10.5, silent=False)
        self.assertIs(self.verdict(10.5), CrashVerdict.UNDECIDED)
        self.agent_reports(10.1 + AGENT_DETECTION_S)
        self.assertIs(self.verdict(10.1 + AGENT_DETECTION_S), CrashVerdict.SURVIVED)

    def test_an_engine_that_answers_again_in_an_unknown_start_has_crashed(self):
        self.register_and_lose_run(started_ms=None)
        self.agent_reports(10.1, silent=True)
        self.assertIs(self.verdict(10.1), CrashVerdict.CRASHED)
        self.agent_reports(13.6, silent=False)
        self.assertIs(self.verdict(13.6), CrashVerdict.CRASHED)

    def test_a_report_from_before_the_run_was_lost_proves_nothing(self):
        self.register_and_lose_run()
        self.agent_reports(10.0)
        self.assertIs(self.verdict(10.1 + AGENT_DETECTION_S), CrashVerdict.UNDECIDED)

    def test_without_an_agent_the_registration_has_to_outlive_its_heartbeats(self):
        self.register_and_lose_run()
        self.assertIs(self.verdict(10.0 + REGISTRY_DETECTION_S), CrashVerdict.UNDECIDED)
        self.assertIs(self.verdict(10.1 + REGISTRY_DETECTION_S), CrashVerdict.SURVIVED)


BAD, NEIGHBOUR, COMMON = map(part_name, ("bad", "neighbour", "common"))


class TestParts(LedgerTestCase):
    """Requests that all differ may share a part that crashes backend servers.

    Each of them counts a single crash, so the crashes are counted by part as well.
    """

    def call_decision(self, *names, now=100.0):
        return self.ledger.admission(now, *names).decision

    def test_the_part_that_all_share_is_quarantined(self):
        self.ledger.completed(COMMON, now=0.0)
        for number in range(3):
            self.crash(number, f"r{number}", COMMON, BAD)
        self.assert_quarantined(BAD)
        with_bad_part = self.call_decision("another", COMMON, BAD)
        self.assertIs(with_bad_part, AdmissionDecision.QUARANTINED)
        self.assertIs(self.call_decision("another", COMMON), AdmissionDecision.ADMITTED)

    def test_a_part_is_sound_as_long_as_requests_with_it_complete(self):
        self.ledger.completed(BAD, now=0.0)
        for number in range(3):
            self.crash(number, BAD, at=SOUND_PART_TTL_S - 1 + number)
        self.assert_quarantined()
        for number in range(3, 5):
            self.crash(number, BAD, at=SOUND_PART_TTL_S + number)
        self.assert_quarantined(BAD)

    def test_a_part_that_completes_is_cleared(self):
        for number in range(3):
            self.crash(number, BAD)
        self.ledger.completed(BAD, "a1", now=5.0)
        self.assert_quarantined()

    def test_a_request_that_explains_the_crashes_is_suspected_before_its_parts(self):
        for number in range(3):
            self.crash(number, "p", BAD)
        self.assert_quarantined("p")
        self.assertIs(self.call_decision("another", BAD), AdmissionDecision.ADMITTED)
        self.crash(3, "another", BAD)
        self.assert_quarantined(BAD)

    def test_of_two_parts_that_occur_together_the_one_that_completes_is_cleared(self):
        for number in range(3):
            self.crash(number, f"r{number}", BAD, NEIGHBOUR)
        both = self.call_decision("r9", BAD, NEIGHBOUR)
        self.assertIs(both, AdmissionDecision.QUARANTINED)
        for part in (BAD, NEIGHBOUR):
            self.assertIs(self.call_decision("r9", part), AdmissionDecision.ADMITTED)
        self.ledger.completed(NEIGHBOUR, now=10.0)
        self.assert_quarantined(BAD)
        self.assertIs(self.call_decision("r9", BAD), AdmissionDecision.QUARANTINED)

    def test_of_two_such_parts_the_one_in_a_further_crash_is_quarantined(self):
        for number in range(3):
            self.crash(number, f"r{number}", BAD, NEIGHBOUR)
        self.crash(3, "r9", BAD)
        self.assertIs(self.call_decision("r9", BAD), AdmissionDecision.QUARANTINED)
        self.assertIs(self.call_decision("r9", NEIGHBOUR), AdmissionDecision.ADMITTED)

    def test_a_part_that_produces_events_first_is_quarantined_after_six_crashes(self):
        for number in range(5):
            self.crash(number, BAD, progressed=(BAD,))
        self.assert_quarantined()
        self.crash(5, BAD, progressed=(BAD,))
        self.assertIs(self.call_decision("r9", BAD), AdmissionDecision.QUARANTINED)

    def test_several_bad_parts_are_found(self):
        bad = [part_name(f"bad{number}") for number in range(5)]
        for number in range(15):
            self.crash(number, f"r{number}", COMMON, bad[number % 5])
            self.ledger.completed(COMMON, now=float(number))
        self.assert_quarantined(*bad)
