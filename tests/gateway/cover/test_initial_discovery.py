"""An entry that has just started, and copies that it hasn't heard of yet."""

import unittest

from bambootiller.gateway.engine_plans import EnginePlans
from bambootiller.gateway.gateway_state import Changes
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


def heard(name, **fields):
    return samples.backend(name, 0.0, samples.engine_state(name, **fields))


class TestInitialDiscovery(unittest.TestCase):
    def setUp(self):
        self.look = InitialDiscovery()

    def over(self, now, *backends):
        return self.look.is_complete(now, backends, QUIET_S)

    def test_it_lasts_while_engines_come(self):
        self.assertFalse(self.over(0.0, heard("b1")))
        self.assertFalse(self.over(0.9, heard("b1"), heard("b2")))
        self.assertFalse(self.over(1.8, heard("b1"), heard("b2")))
        self.assertTrue(self.over(2.0, heard("b1"), heard("b2")))

    def test_it_waits_for_engines_to_be_listed_and_not_for_what_was_heard(self):
        """The store's first load began seconds after all engines were known."""
        silent = samples.backend("b2")
        self.assertFalse(self.over(0.0, heard("b1"), silent))
        self.assertFalse(self.over(QUIET_S - 0.1, heard("b1"), silent))
        self.assertTrue(self.over(QUIET_S, heard("b1"), heard("b2")))

    def test_it_lasts_until_each_was_heard_but_not_for_ever(self):
        silent = samples.backend("b2")
        self.assertFalse(self.over(0.0, heard("b1"), silent))
        self.assertFalse(self.over(MAX_STALL_S - 0.1, heard("b1"), silent))
        self.assertTrue(self.over(MAX_STALL_S, heard("b1"), silent))

    def test_engines_that_come_and_go_do_not_make_it_last_for_ever(self):
        """The weight store was asked for nothing while engines went down and up."""
        now, both = 0.0, (heard("b1"), heard("b2"))
        while now < MAX_DISCOVERY_S - 0.1:
            self.assertFalse(self.over(now, *both[: 1 + round(now * 2) % 2]))
            now += 0.5
        self.assertTrue(self.over(MAX_DISCOVERY_S, *both))

    def test_before_any_engine_is_listed_nothing_is_known(self):
        self.assertFalse(self.over(0.0))
        self.assertFalse(self.over(QUIET_S + 0.1))

    def test_once_over_it_stays_over(self):
        self.over(0.0, heard("b1"))
        self.over(QUIET_S, heard("b1"))
        self.assertTrue(self.over(QUIET_S + 0.1, heard("b1"), samples.backend("b2")))


class App:
    """The clock and the timers of one entry."""

    instance = "e1"

    def __init__(self):
        self.at = 10.0
        self.timers = TimerService()

    def now(self):
        return self.at


class FakeKnowledge:
    """What the entry has heard of."""

    batch_delay_s = 0.6

    def __init__(self):
        spec = samples.engine(samples.model("tutor"))
        service = samples.plain_service(SERVICE, engine=spec)
        self.config = samples.config(services=[service])
        self.changed = Changes()
        self.fleet = Fleet()

    def list(self, now, name, address):
        record = samples.registration(name, SERVICE, address)
        self.fleet.registry_changed(now, record)


class TestLoadsOfAnEntryThatHasJustStarted(unittest.TestCase):
    """Symptom: the weight store, which brings four models in a day, brings one of which
    an engine has a copy.

    Before the first call models without a copy are fetched. The entry planned as soon
    as the first agents had spoken; the one beside the copy spoke a second later.
    """

    def setUp(self):
        self.app, self.known, self.load_requests = App(), FakeKnowledge(), []
        self.plans = EnginePlans(
            self.app,
            self.known,
            lambda backend, load_request: self.load_requests.append(load_request.model),
        )
        self.plans.entries = ("e1",)
        self.known.list(self.app.at, "b1", "10.0.0.1:1")
        self.speak("b1")

    def speak(self, name, **fields):
        self.known.fleet.engine_reported(
            self.app.at, samples.engine_state(name, **fields)
        )

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.app.at += STEP_S
            for backend in self.known.fleet:
                backend.last_received_at = self.app.at
            self.plans.make(self.app.at)

    def test_nothing_is_fetched_that_an_engine_heard_later_has_a_copy_of(self):
        self.run_for(0.4)
        self.known.list(self.app.at, "b2", "10.0.0.2:1")
        self.run_for(0.4)
        self.speak("b2", on_disk=frozenset({"tutor"}))
        self.run_for(3.0)
        self.assertEqual(self.load_requests, [])

    def test_what_nobody_has_a_copy_of_is_fetched_soon(self):
        self.run_for(0.8)
        self.assertEqual(self.load_requests, [])
        self.run_for(0.4)
        self.assertEqual(set(self.load_requests), {"tutor"})
