"""An entry's table of backend servers, from the registry and from agents."""

import unittest

from bambootiller_core.gateway.fleet import EXPIRY_GRACE_S, Fleet
from bambootiller_core.gateway.running_clock import TICK_S, RunningClock
from tests.gateway.common import samples


class TestRegistry(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, samples.registration())

    def names(self):
        return [backend.instance for backend in self.fleet.of_service("plain")]

    def test_a_leaving_backend_server_gets_no_calls(self):
        leaving = samples.registration(leaving=True, revision=2)
        self.fleet.registry_changed(1.0, leaving)
        self.assertEqual(self.names(), [])

    def test_an_older_registration_changes_nothing(self):
        self.fleet.registry_changed(1.0, samples.registration(leaving=True, revision=5))
        self.fleet.registry_changed(1.0, samples.registration(revision=4))
        self.assertEqual(self.names(), [])

    def test_a_leaving_start_does_not_become_available_again(self):
        """Symptom: a backend server gets calls again after it announced that it leaves.

        A heartbeat that was in transit at that time is written after the announcement,
        with a later revision and the old state.
        """
        self.fleet.registry_changed(1.0, samples.registration(leaving=True, revision=2))
        self.fleet.registry_changed(1.1, samples.registration(revision=3))
        self.assertEqual(self.names(), [])

    def test_a_removed_backend_server_is_forgotten_at_once(self):
        self.fleet.registry_removed(1.0, "b1")
        self.assertIsNone(self.fleet.get("b1"))


class TestRestartsAtOneAddress(unittest.TestCase):
    """Symptom: after engines restart, models are evicted from their last holder, and
    their calls are refused for half a minute.

    The registry lists the ended starts until they have missed some heartbeats, beside
    the new ones at the same addresses. Models of the ended starts counted as held, so a
    model's only live holder counted as one of several.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.ended_start = samples.registration("b1", address="10.0.0.1:80", revision=7)
        self.new_start = samples.registration("b2", address="10.0.0.1:80", revision=9)

    def names(self):
        return [backend.instance for backend in self.fleet.of_service("plain")]

    def test_only_the_last_start_counts_in_whatever_order_they_are_listed(self):
        for order in (
            (self.ended_start, self.new_start),
            (self.new_start, self.ended_start),
        ):
            self.fleet = Fleet()
            for record in order:
                self.fleet.registry_changed(0.0, record)
            self.assertEqual(self.names(), ["b2"])
            self.assertEqual([found.instance for found in self.fleet], ["b2"])

    def test_another_service_may_have_the_address_now(self):
        record = samples.registration(
            "b2", service="other", address="10.0.0.1:80", revision=9
        )
        self.fleet.registry_changed(0.0, self.ended_start)
        self.fleet.registry_changed(1.0, record)
        self.assertEqual(self.names(), [])

    def test_the_earlier_start_counts_again_if_the_last_one_is_removed(self):
        for record in (self.ended_start, self.new_start):
            self.fleet.registry_changed(0.0, record)
        self.fleet.registry_removed(1.0, "b2")
        self.assertEqual(self.names(), ["b1"])


class TestExpiry(unittest.TestCase):
    """Symptom: all backend servers are removed when the store recovers from an outage.

    During the outage their leases expired. The registry is empty at first, and each
    backend server registers again with its next heartbeat. Calls in between were
    refused for want of a backend server.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, samples.registration())
        self.fleet.store_returned(10.0)

    def test_a_backend_server_missing_after_the_recovery_is_kept_for_a_while(self):
        self.fleet.registry_listed(10.0, [])
        self.assertEqual(self.fleet.sweep(10.0 + EXPIRY_GRACE_S - 0.1), [])
        self.assertEqual(len(self.fleet.of_service("plain")), 1)

    def test_a_backend_server_that_registers_again_stays(self):
        self.fleet.registry_listed(10.0, [])
        self.fleet.registry_changed(11.0, samples.registration(revision=9))
        self.assertEqual(self.fleet.sweep(10.0 + EXPIRY_GRACE_S), [])
        self.assertEqual(len(self.fleet.of_service("plain")), 1)

    def test_a_backend_server_that_stays_missing_is_removed(self):
        self.fleet.registry_listed(10.0, [])
        self.assertEqual(self.fleet.sweep(10.0 + EXPIRY_GRACE_S), ["b1"])
        self.assertIsNone(self.fleet.get("b1"))

    def test_a_backend_server_that_was_leaving_is_not_kept(self):
        self.fleet.registry_changed(9.0, samples.registration(leaving=True, revision=2))
        self.fleet.registry_listed(10.0, [])
        self.assertIsNone(self.fleet.get("b1"))


class TestAgents(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, samples.registration(service="llm"))
        self.fleet.engine_reported(1.0, samples.engine_state(holdings=["tutor"]))

    def test_the_holdings_of_a_silent_agent_stay_valid(self):
        backend = self.fleet.get("b1")
        self.assertFalse(backend.accepts_orders(60.0))
        self.assertIn("tutor", backend.holdings)

    def test_the_load_figures_of_a_silent_agent_expire(self):
        state = samples.engine_state(holdings=["tutor"], running=9)
        self.fleet.engine_reported(1.0, state)
        backend = self.fleet.get("b1")
        self.assertEqual(backend.occupied(1.5), 9)
        self.assertEqual(backend.occupied(60.0), 0)

    def test_an_engine_is_lost_if_its_agent_is_silent_as_well(self):
        """Symptom: for seconds after an instance's power loss, calls for its models
        are sent to it, and no other engine loads them.

        Engine and agent are lost together. The registry removes the engine only when
        its registration expires.
        """
        backend = samples.backend("b1", 0.0, samples.engine_state("b1", ("tutor",)))
        backend.mark_unreachable(1.0)
        self.assertFalse(backend.is_lost(1.0), "its agent reported a second ago")
        self.assertTrue(backend.is_lost(2.0))
        self.assertFalse(backend.is_lost(5.0), "a call has to try again")

    def test_an_engine_that_neither_entry_nor_agent_reaches_is_lost_at_once(self):
        state = samples.engine_state("b1", ("tutor",), silent=True)
        backend = samples.backend("b1", 0.0, state)
        self.assertFalse(backend.is_lost(0.1), "no call has failed there")
        backend.mark_unreachable(0.1)
        self.assertTrue(backend.is_lost(0.1))

    def test_an_engine_whose_agent_alone_is_silent_is_not_lost(self):
        backend = samples.backend("b1", 0.0, samples.engine_state("b1", ("tutor",)))
        self.assertFalse(backend.is_lost(60.0))

    def test_a_report_of_an_unlisted_instance_is_ignored(self):
        state = samples.engine_state("b9", ["tutor"])
        self.assertFalse(self.fleet.engine_reported(1.0, state))
        self.assertIsNone(self.fleet.get("b9"))

    def test_calls_are_counted_by_model_and_adapter(self):
        backend = self.fleet.get("b1")
        backend.call_sent("tutor", "a3")
        backend.call_sent("tutor")
        uses = backend.in_flight_by_model
        self.assertEqual(uses, {"tutor": 2, "tutor/a3": 1})
        backend.call_ended("tutor", "a3")
        backend.call_ended("tutor")
        self.assertEqual(uses, {})
        self.assertEqual(backend.in_flight, 0)


class TestStall(unittest.TestCase):
    def test_agents_are_not_silent_because_this_process_stalled(self):
        """Symptom: after a stall of an entry, all calls that arrived meanwhile are
        refused for want of an engine that accepts orders.

        The agents kept reporting, but their messages weren't read yet, and the age of
        the last one that was read had grown by the stall.
        """
        running = RunningClock(0.0)
        fleet = Fleet(running.running_time)
        fleet.registry_changed(0.0, samples.registration("e1", "tutor"))
        fleet.engine_reported(0.0, samples.engine_state("e1", ("m1",)))
        backend = fleet.get("e1")
        self.assertTrue(backend.accepts_orders(5.0))
        running.tick(5.0)
        self.assertTrue(backend.accepts_orders(5.0))

    def test_an_agent_that_falls_silent_while_this_process_runs_is_noticed(self):
        running = RunningClock(0.0)
        fleet = Fleet(running.running_time)
        fleet.registry_changed(0.0, samples.registration("e1", "tutor"))
        fleet.engine_reported(0.0, samples.engine_state("e1", ("m1",)))
        for step in range(1, 20):
            running.tick(step * TICK_S)
        self.assertFalse(fleet.get("e1").accepts_orders(19 * TICK_S))


class TestDenials(unittest.TestCase):
    def test_no_call_is_sent_for_what_was_just_denied(self):
        """Symptom: after a power loss of all processes, calls are sent to engines that
        refuse them.

        The engines restarted empty. The registry still lists the models that they held,
        and no agent has reported yet.
        """
        backend = samples.backend(service="llm")
        backend.registration = samples.registration(
            holdings={"tutor": frozenset({"a1"}), "poet": frozenset()}
        )
        backend.record_denial(5.0, "tutor", "")
        self.assertFalse(backend.serves(5.5, "tutor"))
        self.assertFalse(backend.serves(5.5, "tutor", "a1"))
        self.assertTrue(backend.serves(5.5, "poet"))
        self.assertTrue(backend.serves(8.0, "tutor"))

    def test_a_denied_adapter_leaves_its_model(self):
        backend = samples.backend(service="llm")
        backend.registration = samples.registration(
            holdings={"tutor": frozenset({"a1", "a2"})}
        )
        backend.record_denial(5.0, "tutor", "a1")
        self.assertFalse(backend.serves(5.5, "tutor", "a1"))
        self.assertTrue(backend.serves(5.5, "tutor", "a2"))

    def test_a_report_of_the_agent_is_newer(self):
        fleet = Fleet()
        fleet.registry_changed(0.0, samples.registration(service="llm"))
        backend = fleet.get("b1")
        backend.record_denial(5.0, "tutor", "")
        fleet.engine_reported(5.1, samples.engine_state(holdings=["tutor"]))
        self.assertTrue(backend.serves(5.2, "tutor"))
