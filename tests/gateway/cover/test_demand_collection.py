"""How the demand at all entries is collected and reported to each process."""

import math
import unittest

from bambootiller.gateway import message_codec
from bambootiller.gateway.engines import Engines
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.demand_collection import (
    CollectedDemand,
    collectors,
    demands_changed,
    merge_max,
    relevant_demands,
)
from bambootiller_core.gateway.demand_tracker import DECAY_S
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.entry_reports import EntryReports
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import LoadRequest
from tests.gateway.common import samples
from tests.gateway.failures.test_engines import App, FakeGatewayState

HOSTS = [f"10.0.0.{number}" for number in range(30)]


class TestCollectors(unittest.TestCase):
    def test_all_entries_choose_the_same_collectors(self):
        chosen = collectors("tutor", HOSTS)
        self.assertEqual(len(chosen), 2)
        self.assertEqual(chosen, collectors("tutor", reversed(HOSTS)))

    def test_losing_one_collector_replaces_only_that_one(self):
        first, second = collectors("tutor", HOSTS)
        left = [host for host in HOSTS if host != first]
        self.assertEqual(collectors("tutor", left)[0], second)


class TestDemandsChanged(unittest.TestCase):
    def test_a_decaying_rate_is_not_reported_repeatedly(self):
        """Symptom: without any calls, each stream carries two messages per second.

        A rate decays by a tenth in half a second and was reported again each time, for
        15 s after each call, to each engine that holds the model.
        """
        for step in range(1, 11):
            seconds = step * 0.5
            demands = {"poet": Demand(rate=math.exp(-seconds / DECAY_S))}
            self.assertFalse(
                demands_changed({"poet": Demand(rate=1.0)}, demands, seconds)
            )

    def test_an_agent_decays_a_rate_as_the_entry_does(self):
        entry_reports = EntryReports()
        entry_reports.reported(1.0, "e1", {"poet": Demand(rate=1.0)}, {})
        for now in (1.5, 2.0, 3.0):
            entry_reports.expire(now)
            self.assertAlmostEqual(
                entry_reports.demands()["poet"].rate,
                math.exp((1.0 - now) / DECAY_S),
                delta=0.05,
            )

    def test_the_age_of_unserved_calls_is_reported_once(self):
        reported = {"poet": Demand(unserved=2.0, unserved_s=3.0)}
        demands = {"poet": Demand(unserved=2.0, unserved_s=13.0)}
        self.assertFalse(demands_changed(reported, demands, elapsed_s=10.0))
        self.assertTrue(
            demands_changed(reported, {"poet": Demand(unserved=3.0)}, elapsed_s=0.1)
        )
        self.assertTrue(demands_changed(reported, {"poet": Demand()}, elapsed_s=0.1))

    def test_an_agent_advances_the_age_of_unserved_calls(self):
        entry_reports = EntryReports()
        entry_reports.reported(
            1.0, "e1", {"poet": Demand(unserved=2.0, unserved_s=3.0)}, {}
        )
        entry_reports.reported(
            2.0, "e2", {"poet": Demand(unserved=1.0, unserved_s=0.5)}, {}
        )
        entry_reports.expire(2.0)
        demand = entry_reports.demands()["poet"]
        self.assertEqual((demand.unserved, demand.unserved_s), (3.0, 4.0))

    def test_a_demand_is_encoded_and_decoded(self):
        demand = Demand(0.5, 1, adapter_miss_rate=0.25, unserved=2.5, unserved_s=3.5)
        self.assertEqual(
            message_codec.demands_of(message_codec.demand_messages({"poet": demand})),
            {"poet": demand},
        )

    def test_a_rising_rate_is_reported(self):
        self.assertTrue(
            demands_changed({"poet": Demand(rate=1.0)}, {"poet": Demand(rate=1.3)})
        )


class TestCollectedDemand(unittest.TestCase):
    def test_the_larger_total_of_two_collectors_counts(self):
        totals = CollectedDemand()
        totals.reported(1.0, "tutor", "h1", {"poet": Demand(3.0, 1)})
        totals.reported(1.0, "tutor", "h2", {"poet": Demand(2.0, 4)})
        self.assertEqual(totals.demands(1.5, "tutor")["poet"], Demand(3.0, 4))

    def test_the_total_of_a_lost_collector_expires(self):
        """Symptom: a model without demand stays loaded.

        The agent that collected its demand was killed, and its last total stayed.
        """
        totals = CollectedDemand()
        totals.reported(1.0, "tutor", "h1", {"poet": Demand(3.0, 1)})
        totals.reported(4.0, "tutor", "h2", {"critic": Demand(1.0)})
        self.assertEqual(list(totals.demands(4.0, "tutor")), ["critic"])


class TestNextDeadline(unittest.TestCase):
    """The time until the next waiting call is late, as several entries report it."""

    def test_the_deadline_is_encoded_and_decoded(self):
        demands = {"tutor": Demand(0.5, 1, 0, 0.25, 2, 1.75)}
        self.assertEqual(
            message_codec.demands_of(message_codec.demand_messages(demands)), demands
        )

    def test_the_earliest_deadline_of_all_entries_counts(self):
        entry_reports = EntryReports()
        entry_reports.reported(
            1.0, "e1", {"tutor": Demand(0.5, 1, next_deadline_s=2.0)}, {}
        )
        entry_reports.reported(
            1.0, "e2", {"tutor": Demand(0.5, 1, next_deadline_s=0.5)}, {}
        )
        self.assertEqual(entry_reports.demands()["tutor"].next_deadline_s, 0.5)

    def test_an_entry_without_a_deadline_does_not_count(self):
        early, late = Demand(0.5, 1, next_deadline_s=2.0), Demand(0.5, 3)
        for first, second in ((early, late), (late, early)):
            merged = merge_max({"tutor": first}, {"tutor": second})
            self.assertEqual(merged["tutor"].next_deadline_s, 2.0)


class TestCallers(unittest.TestCase):
    """Callers that wait or are expected back, as several entries report them."""

    def test_a_count_of_callers_is_encoded_and_decoded(self):
        demands = {"tutor": Demand(0.5, callers=0.0), "poet": Demand(0.5, callers=2.5)}
        demands["clerk"] = Demand(0.5)
        self.assertEqual(
            message_codec.demands_of(message_codec.demand_messages(demands)), demands
        )

    def test_callers_of_all_entries_are_added_up(self):
        entry_reports = EntryReports()
        entry_reports.reported(1.0, "e1", {"tutor": Demand(0.5, callers=2.0)}, {})
        entry_reports.reported(1.0, "e2", {"tutor": Demand(0.5, callers=1.5)}, {})
        entry_reports.reported(1.0, "e3", {"tutor": Demand(0.5)}, {})
        self.assertEqual(entry_reports.demands()["tutor"].callers, 3.5)

    def test_the_larger_total_of_two_collectors_counts(self):
        counted, other = Demand(0.5, callers=2.0), Demand(0.6)
        for first, second in ((counted, other), (other, counted)):
            merged = merge_max({"tutor": first}, {"tutor": second})
            self.assertEqual(merged["tutor"].callers, 2.0)

    def test_a_caller_that_left_is_reported(self):
        self.assertTrue(
            demands_changed(
                {"poet": Demand(callers=1.0)}, {"poet": Demand(callers=0.0)}
            )
        )
        reported = {"poet": Demand(callers=1.0)}
        self.assertFalse(demands_changed(reported, {"poet": Demand(callers=1.1)}))


class TestRelevantDemands(unittest.TestCase):
    def test_an_agent_gets_the_demand_for_what_its_engine_holds_or_loads(self):
        loading = Loading("critic", 2.0, True)
        state = samples.engine_state("b1", ("poet",), loading=loading)
        demands = {name: Demand(1.0) for name in ("poet", "critic", "clerk")}
        self.assertEqual(sorted(relevant_demands(demands, state)), ["critic", "poet"])

    def test_an_agent_that_has_not_reported_gets_no_demand(self):
        self.assertEqual(relevant_demands({"poet": Demand(1.0)}, None), {})


class TestLoadRequests(unittest.TestCase):
    def test_a_load_request_carries_the_demand_of_all_entries(self):
        """Symptom: a model that calls wait for at all entries evicts no other.

        One entry requests the load, and the others see that it does. The agent only
        got that entry's demand.
        """
        update = pb.ResidencyUpdate()
        message_codec.add_load_request(
            update, LoadRequest("poet", "", 0, Demand(9.0, 30, 0, 1.5))
        )
        load_request = message_codec.load_request_of(update.wishes[0])
        entry_reports = EntryReports()
        entry_reports.reported(1.0, "e1", {"poet": Demand(0.5, 2)}, {})
        entry_reports.load_requested(1.0, load_request)
        self.assertEqual(entry_reports.demands()["poet"], Demand(9.0, 30, 0, 1.5))

    def test_a_load_request_without_demand_stays_without(self):
        update = pb.ResidencyUpdate()
        message_codec.add_load_request(update, LoadRequest("poet", "a1"))
        self.assertEqual(
            message_codec.load_request_of(update.wishes[0]), LoadRequest("poet", "a1")
        )


class TestMessageSize(unittest.TestCase):
    def test_a_message_does_not_grow_with_the_number_of_models(self):
        """Symptom: with 32 entries and 30 agents, small instances spend all their time
        on reading messages.

        Each of the thousand streams carried the demand for all models, twice.
        """
        sizes = []
        for count in (5, 500):
            engines = Engines(
                App(), FakeGatewayState(), None, None, 7, samples.allocator_client()
            )
            fleet = engines._gateway_state.fleet
            fleet.engine_reported(10.0, samples.engine_state("b1", ("m0", "m1")))
            for number in range(count):
                engines.plans.demand("tutor").record_call(10.0, f"m{number}")
            figures = engines.report_for(fleet.get("b1"))
            self.assertEqual(
                sorted(item.model for item in figures.demand), ["m0", "m1"]
            )
            sizes.append(figures.ByteSize())
        self.assertEqual(sizes[0], sizes[1])
