"""Plans of an entry that has just started and hasn't heard of all engines yet."""

import unittest

from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller.gateway.gateway_state import ChangeNotifier
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.initial_discovery import (
    MAX_DISCOVERY_S,
    MAX_STALL_S,
    InitialDiscovery,
)
from bambootiller_core.timers import TimerService
from tests.gateway.common import samples

SERVICE = "llm"
QUIET_S = 1.0
STEP_S = 0.05


def reported_backend(name, **fields):
    """A backend server whose agent has reported."""
    return samples.backend(name, 0.0, samples.engine_state(name, **fields))


class TestInitialDiscovery(unittest.TestCase):
    def setUp(self):
        self.discovery = InitialDiscovery()

    def is_complete_after(self, now, *backends):
        return self.discovery.is_complete(now, backends, QUIET_S)

    def test_it_lasts_while_engines_appear(self):
        self.assertFalse(self.is_complete_after(0.0, reported_backend("b1")))
        self.assertFalse(
            self.is_complete_after(0.9, reported_backend("b1"), reported_backend("b2"))
        )
        self.assertFalse(
            self.is_complete_after(1.8, reported_backend("b1"), reported_backend("b2"))
        )
        self.assertTrue(
            self.is_complete_after(2.0, reported_backend("b1"), reported_backend("b2"))
        )

    def test_a_late_report_of_a_listed_engine_does_not_prolong_it(self):
        """Otherwise the first load from the store started seconds too late."""
        silent = samples.backend("b2")
        self.assertFalse(self.is_complete_after(0.0, reported_backend("b1"), silent))
        self.assertFalse(
            self.is_complete_after(QUIET_S - 0.1, reported_backend("b1"), silent)
        )
        self.assertTrue(
            self.is_complete_after(
                QUIET_S, reported_backend("b1"), reported_backend("b2")
            )
        )

    def test_it_ends_once_no_engine_is_missing(self):
        """The first load from the store started 1.2 s after all engines were known, and
        the last of the day ended after its callers had left."""
        both = reported_backend("b1"), reported_backend("b2")
        self.assertFalse(self.is_complete_after(0.0, *both))
        self.assertTrue(
            self.discovery.is_complete(0.1, both, QUIET_S, none_missing=True)
        )

    def test_it_lasts_until_each_engine_reported_but_not_for_ever(self):
        silent = samples.backend("b2")
        self.assertFalse(self.is_complete_after(0.0, reported_backend("b1"), silent))
        self.assertFalse(
            self.is_complete_after(MAX_STALL_S - 0.1, reported_backend("b1"), silent)
        )
        self.assertTrue(
            self.is_complete_after(MAX_STALL_S, reported_backend("b1"), silent)
        )

    def test_engines_that_come_and_go_do_not_prolong_it_for_ever(self):
        """While engines crashed and restarted nothing was loaded from the store."""
        now, both = 0.0, (reported_backend("b1"), reported_backend("b2"))
        while now < MAX_DISCOVERY_S - 0.1:
            self.assertFalse(
                self.is_complete_after(now, *both[: 1 + round(now * 2) % 2])
            )
            now += 0.5
        self.assertTrue(self.is_complete_after(MAX_DISCOVERY_S, *both))

    def test_it_lasts_until_an_engine_is_listed(self):
        self.assertFalse(self.is_complete_after(0.0))
        self.assertFalse(self.is_complete_after(QUIET_S + 0.1))

    def test_once_complete_it_stays_complete(self):
        self.is_complete_after(0.0, reported_backend("b1"))
        self.is_complete_after(QUIET_S, reported_backend("b1"))
        self.assertTrue(
            self.is_complete_after(
                QUIET_S + 0.1, reported_backend("b1"), samples.backend("b2")
            )
        )


class App:
    """The clock and the timers of one entry."""

    instance = "e1"

    def __init__(self):
        self.at = 10.0
        self.timers = TimerService()

    def now(self):
        return self.at


class FakeGatewayState:
    """The entry's configuration and fleet, without a store."""

    batch_delay_s = 0.6

    def __init__(self):
        spec = samples.engine(samples.model("tutor"))
        service = samples.plain_service(SERVICE, engine=spec)
        self.config = samples.config(services=[service])
        self.changed = ChangeNotifier()
        self.fleet = Fleet()

    def register(self, now, name, address):
        record = samples.registration(name, SERVICE, address)
        self.fleet.registry_changed(now, record)


class TestLoadsOfAnEntryThatHasJustStarted(unittest.TestCase):
    """Symptom: the weight store, which can load four models in a day, loads one of
    which an engine has a copy.

    Before the first call models without a copy are prefetched. The entry made a plan as
    soon as the first agents had reported; the agent of the engine with the copy
    reported a second later.
    """

    def setUp(self):
        self.app, self.gateway_state, self.load_requests = App(), FakeGatewayState(), []
        self.plans = EnginePlans(
            self.app,
            self.gateway_state,
            lambda backend, load_request: self.load_requests.append(load_request.model),
        )
        self.plans.entries = ("e1",)
        self.gateway_state.register(self.app.at, "b1", "10.0.0.1:1")
        self.report("b1")

    def report(self, name, **fields):
        self.gateway_state.fleet.engine_reported(
            self.app.at, samples.engine_state(name, **fields)
        )

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.app.at += STEP_S
            for backend in self.gateway_state.fleet:
                backend.last_received_at = self.app.at
            self.plans.make_plans(self.app.at)

    def test_a_model_is_not_prefetched_if_its_copy_is_reported_later(self):
        self.run_for(0.4)
        self.gateway_state.register(self.app.at, "b2", "10.0.0.2:1")
        self.run_for(0.4)
        self.report("b2", on_disk=frozenset({"tutor"}))
        self.run_for(3.0)
        self.assertEqual(self.load_requests, [])

    def test_it_is_prefetched_at_once_if_all_agents_have_reported(self):
        self.plans.count_agents_by(lambda: 1)
        self.run_for(0.2)
        self.assertEqual(set(self.load_requests), {"tutor"})

    def test_it_is_not_prefetched_while_an_agent_has_not_reported(self):
        self.plans.count_agents_by(lambda: 2)
        self.run_for(0.4)
        self.gateway_state.register(self.app.at, "b2", "10.0.0.2:1")
        self.run_for(0.4)
        self.assertEqual(self.load_requests, [])

    def test_a_count_of_none_ends_no_discovery(self):
        self.plans.count_agents_by(lambda: 0)
        self.run_for(0.4)
        self.assertEqual(self.load_requests, [])

    def test_agents_that_are_gone_do_not_delay_it(self):
        self.plans.count_agents_by(lambda: 5)
        self.run_for(1.2)
        self.assertEqual(set(self.load_requests), {"tutor"})

    def test_agents_are_counted_until_the_engines_are_known(self):
        self.assertTrue(self.plans.needs_agent_count())
        self.run_for(1.2)
        self.assertFalse(self.plans.needs_agent_count())

    def test_a_model_without_a_copy_is_prefetched_soon(self):
        self.run_for(0.8)
        self.assertEqual(self.load_requests, [])
        self.run_for(0.4)
        self.assertEqual(set(self.load_requests), {"tutor"})
