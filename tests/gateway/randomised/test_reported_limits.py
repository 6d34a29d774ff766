"""Many entries under the limit that one backend server names, over random schedules of
cuts, restarts, standstills and changes of the allocator."""

import unittest
from unittest import mock

from bambootiller_core.gateway.quota_limits import QuotaTolerance
from bambootiller_core.gateway.reported_limits import WINDOW_S, shared_limits
from tests.gateway.randomised import test_quotas
from tests.gateway.randomised.test_quotas import END_S, QuotaFleet

ENTRIES = 24


class LimitedFleet(QuotaFleet):
    """Each entry has calls for the backend server all the time."""

    def call(self, number):
        self.entries[number].call(1.0)
        self.next_call(number)


class TestReportedLimitsHold(unittest.TestCase):
    """Divided beforehand, a limit of two calls a second among 24 entries is less than a
    call for each; each by itself, they sent ten times as many."""

    def fullest(self, per_s, seed):
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
                    fleet = self.fullest(per_s, seed)
                    self.assertLessEqual(fleet.fullest, allowed)
                    # Most of what it takes is used.
                    self.assertGreater(fleet.admitted, 0.5 * per_s * END_S)
