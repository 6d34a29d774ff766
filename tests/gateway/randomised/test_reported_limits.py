"""Many entries that share the rate limit reported by a backend server, over random
schedules of partitions, restarts, stalls and changes of the allocator."""

import unittest
from unittest import mock

from bambootiller_core.gateway.quota_limits import QuotaTolerance
from bambootiller_core.gateway.reported_limits import WINDOW_S, shared_limits
from tests.gateway.randomised import test_quotas
from tests.gateway.randomised.test_quotas import END_S, QuotaFleet

ENTRIES = 24


class LimitedFleet(QuotaFleet):
    """Entries that all call the backend server all the time."""

    def call(self, number):
        self.entries[number].call(1.0)
        self.next_call(number)


class TestReportedLimitsHold(unittest.TestCase):
    """Symptom: a backend server gets ten times as many calls as its limit allows.

    A limit of two calls per second, divided in advance among 24 entries, is less than a
    call for each, and each entry sent calls on its own.
    """

    def run_fleet(self, per_s, seed):
        (limit,) = shared_limits({"i-1": per_s}).values()
        with (
            mock.patch.object(test_quotas, "LIMIT", limit),
            mock.patch.object(test_quotas, "ENTRIES", ENTRIES),
            mock.patch.object(test_quotas, "TOLERANCE", QuotaTolerance(WINDOW_S)),
        ):
            fleet = LimitedFleet(seed)
            fleet.world.run(END_S)
        return fleet

    def test_no_window_has_more_than_is_allowed(self):
        for per_s in (0.0, 0.4, 1.9, 30.0):
            allowed = 1.5 * per_s * WINDOW_S + 5
            for seed in range(2):
                with self.subTest(per_s=per_s, seed=seed):
                    fleet = self.run_fleet(per_s, seed)
                    self.assertLessEqual(fleet.max_window_cost, allowed)
                    # The entries use most of what the limit allows.
                    self.assertGreater(fleet.admitted, 0.5 * per_s * END_S)
