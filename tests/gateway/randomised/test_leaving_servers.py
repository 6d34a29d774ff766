"""Leaves of a backend server over random orders of registrations, removals, restarts,
outages and its agent's reports.

Reports say nothing about leaving. So whatever they are, a backend server is never
offered if it wouldn't be offered by its registrations alone.
"""

import random
import unittest

from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.incarnation import TAKEOVER_SILENCE_S
from tests.common import counting, profiles
from tests.gateway.common import samples

RUNS = profiles.scale(400, 20_000)
STEPS = 80
SERVICE = "llm"
#: Shorter than what makes an earlier start time count as that of a clock set back.
#: Seconds.
MAX_STEP_S = TAKEOVER_SILENCE_S / STEPS


class Schedule:
    """One random order of events, applied to a fleet with an agent's reports and to one
    without."""

    def __init__(self, case, seed):
        self.case, self.seed = case, seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.with_reports, self.without = Fleet(), Fleet()
        self.start, self.leaving = 1, False
        self.revision = 0
        self.delivered = 0
        #: What the registry has accepted, and what the agent has sent.
        self.log = []
        self.reports = []
        self.offered = 0
        self.register(self.start, False)

    def register(self, start, leaving):
        self.revision += 1
        self.log.append(
            samples.registration(
                service=SERVICE,
                started_ms=start,
                leaving=leaving,
                revision=self.revision,
            )
        )

    def step(self):
        self.now += self.rng.uniform(0.0, MAX_STEP_S)
        self.rng.choice(
            (
                self.heartbeat,
                self.announce,
                self.restart,
                self.remove,
                self.write_late,
                self.report,
                self.report,
                self.outage,
                self.deliver,
                self.deliver,
                self.deliver,
            )
        )()
        for fleet in (self.with_reports, self.without):
            fleet.sweep(self.now)
        self.check()

    def heartbeat(self):
        self.register(self.start, self.leaving)

    def announce(self):
        if self.rng.random() < 0.5:
            self.leaving = True
            self.heartbeat()

    def restart(self):
        self.start, self.leaving = self.start + 1, False

    def remove(self):
        self.log.append(None)

    def write_late(self):
        """A write of an earlier start, or of before the announcement."""
        self.register(self.rng.randint(max(1, self.start - 1), self.start), False)

    def report(self):
        """The agent's report of the present start, or a delayed one."""
        start = self.start if self.rng.random() < 0.8 else max(1, self.start - 1)
        state = samples.engine_state(holdings=["tutor"], started_ms=start)
        self.with_reports.engine_reported(self.now, state)

    def outage(self):
        if self.rng.random() < 0.2:
            for fleet in (self.with_reports, self.without):
                fleet.store_returned(self.now)

    def deliver(self):
        """The next event of the registry."""
        if self.delivered == len(self.log):
            return
        record = self.log[self.delivered]
        self.delivered += 1
        for fleet in (self.with_reports, self.without):
            if record is None:
                fleet.registry_removed(self.now, "b1")
            else:
                fleet.registry_changed(self.now, record)

    def check(self):
        offered = self.with_reports.of_service(SERVICE)
        if not offered:
            return
        self.offered += 1
        self.case.assertTrue(
            self.without.of_service(SERVICE),
            f"seed {self.seed}: {offered[0].registration}",
        )


class TestReportsSayNothingAboutLeaving(unittest.TestCase):
    def test_reports_offer_no_backend_server_that_leaves(self):
        offered = 0
        for seed in range(RUNS):
            schedule = Schedule(self, seed)
            for _ in range(STEPS):
                schedule.step()
            offered += schedule.offered
        counting.add("leaves with reports", RUNS * STEPS)
        self.assertGreater(offered, RUNS)
