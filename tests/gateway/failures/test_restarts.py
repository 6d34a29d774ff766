"""A backend server that restarts under the same name."""

import unittest

from bambootiller.gateway import message_codec
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.fleet import EXPIRY_GRACE_S, Fleet
from bambootiller_core.gateway.incarnation import TAKEOVER_SILENCE_S, Incarnation
from bambootiller_core.gateway.order_messages import EngineReport
from bambootiller_core.gateway.report_identity import registration_at, with_identity
from bambootiller_core.gateway.store_concurrency import StoreConcurrency
from tests.gateway.common import samples

FIRST_MS, SECOND_MS = 1_700_000_000_000, 1_700_000_009_000


def registration(started_ms, **fields):
    return samples.registration(service="llm", started_ms=started_ms, **fields)


def reported_state(started_ms, holdings=(), **fields):
    return samples.engine_state("b1", holdings, started_ms=started_ms, **fields)


class Case(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, registration(FIRST_MS))
        self.fleet.engine_reported(0.0, reported_state(FIRST_MS, ["tutor"]))
        self.first = self.fleet.get("b1")

    def restart(self, now=1.0, **fields):
        """Has the registry list the second start, and returns its backend."""
        record = registration(SECOND_MS, revision=5, **fields)
        self.fleet.registry_changed(now, record)
        return self.fleet.get("b1")


class TestStateOfPreviousStart(Case):
    """Symptom: calls for a model go to a backend server that doesn't hold it, and the
    model isn't loaded elsewhere.

    The backend server crashes and restarts under the same name within a heartbeat. It
    holds nothing, but its earlier state was stored by name and stayed valid.
    """

    def test_holdings_and_load_figures_are_discarded(self):
        second = self.restart()
        self.assertEqual(second.holdings, {})
        self.assertFalse(second.agent_responsive(1.0))

    def test_denials_and_unreachability_are_discarded(self):
        self.first.record_denial(1.0, "poet", "")
        self.first.mark_unreachable(1.0)
        second = self.restart(holdings={"poet": frozenset()})
        self.assertTrue(second.serves(1.0, "poet"))
        self.fleet.engine_reported(1.0, reported_state(SECOND_MS, silent=True))
        self.assertFalse(second.is_lost(1.0))

    def test_leaving_does_not_carry_over_to_the_next_start(self):
        leaving = registration(FIRST_MS, leaving=True, revision=2)
        self.fleet.registry_changed(0.5, leaving)
        self.assertEqual(self.fleet.of_service("llm"), [])
        second = self.restart()
        self.assertEqual(self.fleet.of_service("llm"), [second])

    def test_an_unknown_start_time_does_not_replace_the_current_start(self):
        self.fleet.registry_changed(1.0, registration(None, revision=5))
        self.assertIs(self.fleet.get("b1"), self.first)
        self.assertEqual(self.first.incarnation.started_ms, FIRST_MS)


class TestCallsOnPreviousStart(Case):
    """Symptom: a backend server gets more calls at a time than it has slots.

    Calls were running there when it crashed. They end when their connections turn out
    to be broken, after the second start got calls. Each of them then reduced the count
    of running calls of the second start.
    """

    def test_their_ends_free_no_slot_at_the_next_start(self):
        self.first.call_sent("tutor")
        second = self.restart()
        second.call_sent("tutor")
        self.first.call_ended("tutor")
        self.assertEqual(second.in_flight, 1)
        self.assertEqual(second.in_flight_by_model, {"tutor": 1})

    def test_calls_waiting_there_see_it_as_lost(self):
        self.assertFalse(self.first.is_lost(0.5))
        self.restart()
        self.assertTrue(self.first.is_lost(0.5))


class TestAgentReportsRestartFirst(Case):
    """Symptom: for seconds after a crash, entries plan with copies that are gone.

    The agent reads the new start from the engine itself, while the registry still
    lists the registration of the previous start.
    """

    def setUp(self):
        super().setUp()
        self.fleet.engine_reported(1.0, reported_state(SECOND_MS, ["poet"]))
        self.second = self.fleet.get("b1")

    def test_its_report_replaces_the_previous_start(self):
        self.assertIsNot(self.second, self.first)
        self.assertEqual(set(self.second.holdings), {"poet"})
        self.assertEqual(self.fleet.of_service("llm"), [self.second])

    def test_the_registry_lists_the_same_start_later(self):
        self.assertIs(self.restart(2.0), self.second)


class TestRestartWhileLeaving(Case):
    """Symptom: calls are sent to a backend server for as long as it answers, though its
    registration says that it leaves, or has been removed.

    It restarts under the same name while it leaves. Its agent, which knows nothing of
    the registry, reports the new start first.
    """

    def setUp(self):
        super().setUp()
        self.leave = registration(FIRST_MS, leaving=True, revision=2)

    def report_restart(self, now=1.0):
        self.fleet.engine_reported(now, reported_state(SECOND_MS, ["poet"]))

    def assert_unused(self):
        self.assertEqual(self.fleet.of_service("llm"), [])

    def test_a_report_does_not_end_the_leave(self):
        self.fleet.registry_changed(0.5, self.leave)
        self.report_restart()
        self.assert_unused()
        self.assertFalse(self.fleet.get("b1").accepts_orders(1.0))

    def test_a_leave_that_is_announced_after_the_report_counts(self):
        self.report_restart()
        self.assertTrue(self.fleet.registry_changed(2.0, self.leave))
        self.assert_unused()
        self.assertEqual(self.fleet.get("b1").incarnation.started_ms, SECOND_MS)

    def test_a_late_write_of_the_previous_start_does_not_end_the_leave(self):
        self.fleet.registry_changed(0.5, self.leave)
        self.report_restart()
        self.fleet.registry_changed(2.0, registration(FIRST_MS, revision=3))
        self.assert_unused()

    def test_a_write_of_a_start_before_the_registered_one_is_ignored(self):
        self.fleet.store_returned(0.5)
        self.fleet.registry_removed(0.5, "b1")
        self.report_restart()
        late = registration(FIRST_MS - 1, revision=3)
        self.assertFalse(self.fleet.registry_changed(2.0, late))
        self.assertEqual(self.fleet.sweep(0.5 + EXPIRY_GRACE_S), ["b1"])

    def test_the_registration_of_a_start_in_between_counts(self):
        self.fleet.registry_changed(0.5, self.leave)
        self.report_restart()
        between = registration(FIRST_MS + 1, revision=3)
        self.assertTrue(self.fleet.registry_changed(2.0, between))
        self.assertEqual(len(self.fleet.of_service("llm")), 1)
        self.assertFalse(self.fleet.get("b1").listed)

    def test_a_registration_without_a_start_time_does_not_end_the_leave(self):
        self.fleet.registry_changed(0.5, self.leave)
        self.report_restart()
        self.fleet.registry_changed(2.0, registration(None, revision=3))
        self.assert_unused()

    def test_its_own_registration_ends_the_leave(self):
        self.fleet.registry_changed(0.5, self.leave)
        self.report_restart()
        reported = self.fleet.get("b1")
        self.assertIs(self.restart(2.0), reported)
        self.assertEqual(self.fleet.of_service("llm"), [reported])
        self.assertEqual(set(reported.holdings), {"poet"})

    def test_its_own_registration_may_say_that_it_leaves(self):
        self.report_restart()
        self.restart(2.0, leaving=True)
        self.assert_unused()

    def test_a_registration_that_cannot_be_read_still_counts(self):
        self.fleet.registry_unreadable("b1", 2)
        self.report_restart()
        self.assert_unused()

    def test_removal_of_the_previous_registration_drops_it_at_once(self):
        """It was used for the time in which a registration may have expired, which is
        longer than a backend server that left may be used."""
        self.report_restart()
        self.fleet.registry_removed(2.0, "b1")
        self.assertIsNone(self.fleet.get("b1"))

    def test_a_report_does_not_end_the_grace_period_of_a_missing_registration(self):
        """After an outage the registration was missing; since the next start didn't
        count as missing, it was used for good."""
        self.fleet.store_returned(2.0)
        self.fleet.registry_removed(2.0, "b1")
        self.report_restart(3.0)
        self.assertEqual(len(self.fleet.of_service("llm")), 1)
        self.assertEqual(self.fleet.sweep(2.0 + EXPIRY_GRACE_S), ["b1"])


class TestLateUpdatesOfPreviousStart(Case):
    """Symptom: models that a backend server held before its crash count as held again.

    A slow watch, a stale read or a peer reports the previous start after the second one
    is known. A write of the previous start may even have the higher revision.
    """

    def test_late_registration_is_ignored(self):
        second = self.restart()
        late = registration(
            FIRST_MS, leaving=True, revision=9, holdings={"tutor": frozenset()}
        )
        self.fleet.registry_changed(2.0, late)
        self.assertIs(self.fleet.get("b1"), second)
        self.assertEqual(second.registration.revision, 5)
        self.assertEqual(self.fleet.of_service("llm"), [second])

    def test_late_agent_report_is_ignored(self):
        second = self.restart()
        self.assertFalse(
            self.fleet.engine_reported(2.0, reported_state(FIRST_MS, ["tutor"]))
        )
        self.assertEqual(second.holdings, {})
        self.assertFalse(second.agent_responsive(2.0))


class TestClockSetBack(Case):
    """Symptom: a healthy backend server gets no calls for as long as it runs.

    The clock of its instance was set back between two starts, so the second start
    reports an earlier start time than the first, and all its reports are taken as
    late ones of a previous start.
    """

    EARLIER_MS = FIRST_MS - 60_000

    def test_registration_counts_after_the_takeover_silence(self):
        earlier = registration(self.EARLIER_MS, revision=5)
        self.assertFalse(self.fleet.registry_changed(1.0, earlier))
        earlier = registration(self.EARLIER_MS, revision=6)
        self.assertTrue(self.fleet.registry_changed(TAKEOVER_SILENCE_S, earlier))
        self.assertIsNot(self.fleet.get("b1"), self.first)
        self.assertTrue(self.first.replaced)

    def test_agent_report_counts_after_the_takeover_silence(self):
        self.assertFalse(
            self.fleet.engine_reported(1.0, reported_state(self.EARLIER_MS))
        )
        self.assertTrue(
            self.fleet.engine_reported(
                TAKEOVER_SILENCE_S, reported_state(self.EARLIER_MS)
            )
        )
        self.assertEqual(self.fleet.get("b1").incarnation.started_ms, self.EARLIER_MS)
        self.fleet.registry_changed(
            TAKEOVER_SILENCE_S, registration(self.EARLIER_MS, revision=5)
        )
        self.assertTrue(self.fleet.get("b1").listed)

    def test_reports_of_the_current_start_extend_the_takeover_silence(self):
        self.fleet.engine_reported(
            TAKEOVER_SILENCE_S - 1, reported_state(FIRST_MS, ["tutor"])
        )
        earlier = registration(self.EARLIER_MS, revision=5)
        self.assertFalse(self.fleet.registry_changed(TAKEOVER_SILENCE_S, earlier))


class TestAddresses(Case):
    """Symptom: a backend server gets no calls as long as another one runs.

    The second start has a different address from the first, whose address another
    backend server gets. The name of the second start was still recorded at the old
    address too, so the other backend server counted as superseded by it.
    """

    def test_the_address_of_the_previous_start_is_free(self):
        self.restart(address="127.0.0.1:2")
        other = samples.registration("b2", service="llm", revision=3)
        self.fleet.registry_changed(1.0, other)
        names = [backend.instance for backend in self.fleet.of_service("llm")]
        self.assertEqual(sorted(names), ["b1", "b2"])


class TestStoreConcurrency(Case):
    """Symptom: the weight store's concurrency is estimated too high.

    A load from the store counted as ended when its engine crashed and was registered
    again. If it was cut off at the right moment, it looked like a load at full speed.
    """

    def test_a_load_cut_off_by_a_crash_is_not_counted_as_ended(self):
        spec = samples.engine(samples.model("tutor", load_s=6.0))
        store_concurrency = StoreConcurrency(1)
        self.fleet.registry_changed(0.0, samples.registration("b2", service="llm"))
        loading = Loading("tutor", 5.0, True)
        for step in range(140):
            now = step * 0.05
            other = samples.engine_state("b2", loading=loading)
            self.fleet.engine_reported(now, other)
            # This load starts a second later, and the crash ends it after the time
            # that was reported for it.
            own = loading if step >= 20 else None
            self.fleet.engine_reported(now, reported_state(FIRST_MS, loading=own))
            store_concurrency.observe(now, list(self.fleet), spec)
        second = self.restart(now=7.0)
        store_concurrency.observe(7.0, list(self.fleet), spec)
        self.assertEqual(store_concurrency.loads, 1)
        self.assertEqual(
            store_concurrency.left_s(7.0, second.incarnation, loading), 5.0
        )


class TestReportIdentity(unittest.TestCase):
    """Symptom: entries use an engine's state from before its crash as its present one.

    A report doesn't name the engine. When it was identified by the registration alone,
    a report of the next start counted as one of the previous start for up to a
    heartbeat, and the other way round if it was delayed.
    """

    def identify(self, report_ms, listed_ms):
        report = EngineReport("", {}, 3, started_ms=report_ms)
        return with_identity(report, registration(listed_ms))

    def test_the_reports_own_start_time_takes_precedence(self):
        self.assertEqual(
            self.identify(SECOND_MS, FIRST_MS).incarnation, Incarnation("b1", SECOND_MS)
        )

    def test_without_one_the_registered_start_time_is_used(self):
        self.assertEqual(
            self.identify(None, FIRST_MS).incarnation, Incarnation("b1", FIRST_MS)
        )

    def test_a_report_of_a_previous_start_is_dropped(self):
        self.assertIsNone(self.identify(FIRST_MS, SECOND_MS))

    def test_a_report_from_an_unregistered_address_is_dropped(self):
        self.assertIsNone(
            with_identity(EngineReport("", {}, 3), registration_at([], "127.0.0.1:1"))
        )


class TestEngineMessages(unittest.TestCase):
    def test_the_start_time_is_sent_with_the_state(self):
        for started_ms in (FIRST_MS, None):
            message = message_codec.engine_message(reported_state(started_ms))
            self.assertEqual(message_codec.engine_state(message).started_ms, started_ms)

    def test_copies_of_the_previous_start_are_not_carried_over(self):
        """Symptom: a load from memory is planned at an engine that has just started.

        An update omits the copies if they are the same as in the one before, which may
        have been about the previous start.
        """
        before = reported_state(FIRST_MS, in_memory=frozenset({"tutor"}))
        message = message_codec.engine_message(reported_state(SECOND_MS))
        message.same_copies = True
        self.assertEqual(
            message_codec.engine_state(message, before).in_memory, frozenset()
        )
