"""Which refused callers are expected to retry, and when."""

import unittest
from unittest import mock

from bambootiller.gateway.placement import Placement
from bambootiller_core.gateway.calls import Progress
from bambootiller_core.gateway.crash_ledger import AdmissionDecision
from bambootiller_core.gateway.demand_tracker import RETURN_SLACK_S, DemandTracker
from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.retry_prediction import RetryPredictor
from bambootiller_core.gateway.service_levels import ServiceLevels
from tests.gateway.common import samples


def call(caller_timeout_s, now=0.0, name="/a/", **fields):
    """A call whose caller waits ``caller_timeout_s`` for its answer."""
    route = samples.route(prefix=name, **fields)
    return samples.call(route, now=now, deadline=caller_timeout_s)


class TestRetryPredictor(unittest.TestCase):
    def setUp(self):
        self.retry_predictor = RetryPredictor()
        self.retry_predictor.record_call(call(30.0))

    def expected(self, caller_timeout_s, retry_after_s, held_s=0.0):
        return self.retry_predictor.expected_retry_in_s(
            call(caller_timeout_s), held_s, retry_after_s
        )

    def test_a_caller_is_expected_at_the_time_it_was_given(self):
        self.assertEqual(self.expected(30.0, retry_after_s=4.0), 4.0)

    def test_the_delay_is_at_most_a_third_of_the_time_left(self):
        self.assertEqual(self.expected(30.0, retry_after_s=60.0), 10.0)
        self.assertEqual(self.expected(30.0, retry_after_s=60.0, held_s=12.0), 6.0)

    def test_a_caller_that_has_retried_is_not_expected_again(self):
        self.assertIsNone(self.expected(20.0, retry_after_s=4.0))

    def test_callers_of_a_route_whose_timeout_is_shortened_are_expected(self):
        """All of them counted as retries from then on."""
        short = call(12.0, timeout_s=12.0)
        self.retry_predictor.record_call(short)
        self.assertEqual(self.retry_predictor.expected_retry_in_s(short, 0.0, 3.0), 3.0)

    def test_caller_timeouts_are_learnt_per_route(self):
        short = call(10.0, name="/b/")
        self.retry_predictor.record_call(short)
        self.assertEqual(self.retry_predictor.expected_retry_in_s(short, 0.0, 2.0), 2.0)


class TestCallers(unittest.TestCase):
    def setUp(self):
        self.demand = DemandTracker()
        self.demand.record_call(0.0, "tutor")

    def callers(self, now):
        return self.demand.demands(now, {}, {})["tutor"].callers

    def test_waiting_callers_count_until_they_leave(self):
        self.demand.begin_waiting(0.0, "tutor", 1.5)
        self.assertEqual(self.callers(9.0), 1.5)
        self.demand.end_waiting(0.0, "tutor", 1.5)
        self.assertEqual(self.callers(9.0), 0.0)

    def test_refused_callers_count_until_their_retry_is_due(self):
        self.demand.refused(0.0, "tutor", 60.0, 2.0, returns_in_s=10.0)
        self.assertEqual(self.callers(9.9), 2.0)
        self.assertEqual(self.callers(10.1 + RETURN_SLACK_S), 0.0)

    def test_refused_callers_that_will_not_retry_do_not_count(self):
        self.demand.refused(0.0, "tutor", 60.0, 2.0)
        self.assertEqual(self.callers(0.5), 0.0)


class TestRefusedCalls(unittest.IsolatedAsyncioTestCase):
    """Which callers an entry expects back after it has refused their calls."""

    async def callers(self, *caller_timeout_s):
        """Callers expected after refusing one call for each timeout in seconds."""
        demand, context = DemandTracker(), mock.Mock()
        context.clock.return_value = 5.0
        context.gateway_state.fleet.of_service.return_value = []
        context.quarantine.load_admission.return_value.decision = (
            AdmissionDecision.ADMITTED
        )
        context.is_starting.return_value = False
        context.stop_deadline = None
        context.engines.plans.plan_for.return_value = PlannedLoad(
            "tutor", "", 90.0, False, True
        )
        context.engines.plans.demand.return_value = demand
        state = context.service.return_value
        state.levels, state.retry_predictor = ServiceLevels(), RetryPredictor()
        for seconds in caller_timeout_s:
            call = samples.call(
                now=5.0,
                deadline=seconds,
                model_request=samples.model_request("tutor"),
                service="llm",
            )
            placement = Placement(context, call, Progress())
            placement.record_demand()
            with mock.patch.object(Placement, "_plan_snapshot", return_value=None):
                await placement.place()
        return demand.demands(6.0, {}, {})["tutor"].callers

    async def test_the_caller_of_a_first_attempt_is_expected(self):
        self.assertEqual(await self.callers(30.0), 1.0)

    async def test_no_caller_is_expected_after_a_second_attempt(self):
        self.assertEqual(await self.callers(30.0, 20.0), 1.0)
