"""Orders to an engine when answers are lost, late or out of date."""

import unittest

from bambootiller_core.gateway.incarnation import TAKEOVER_SILENCE_S
from bambootiller_core.gateway.late_orders import MAX_ORDER_DELAY_S
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import (
    EngineReport,
    LoadRequest,
    OrderAnswer,
    OrderKind,
)
from bambootiller_core.gateway.orders import WRONG_INSTANCE_COOLDOWN_S, OrderBook
from tests.gateway.common import samples


def report(accepted=0, holdings=(), **fields):
    held = {name: frozenset() for name in holdings}
    held.update(fields.pop("adapters", {}))
    instance = fields.pop("instance", "b1")
    return EngineReport(instance, held, accepted, **fields)


class Case(unittest.TestCase):
    def setUp(self):
        self.book = OrderBook(
            samples.engine(
                samples.model("tutor", adapters=9, adapter_mb=1.0),
                samples.model("poet"),
                samples.model("clerk"),
            )
        )

    def request_load(self, model, adapter="", now=0.0, urgency=0):
        self.book.load_requested(now, LoadRequest(model, adapter, urgency))

    def send_next_order(self, now, answer):
        order = self.book.next_order(now)
        self.book.order_sent(order)
        self.book.answered(now, order, answer)
        return order


class TestWrongInstanceAtAddress(Case):
    def test_an_order_refused_by_another_instance_is_not_repeated_at_once(self):
        """Symptom: an agent repeats a refused order 140 times per second.

        An engine crashed, and its next start answered at the same address under a name
        that the registry didn't list yet. The agent still sent orders with the previous
        name. Each was refused, decided again and sent again, for up to 3.5 s while the
        store was unreachable: 1,981 of the 2,504 orders of a day.
        """
        self.book.reported(0.0, report())
        self.request_load("tutor")
        self.assertIsNotNone(self.send_next_order(0.0, OrderAnswer.OTHER_INSTANCE))
        self.book.reported(0.01, report())
        self.assertIsNone(self.book.next_order(0.01))
        self.assertFalse(self.book.state(0.01).orderable)

    def test_it_is_sent_once_the_name_is_known(self):
        self.book.reported(0.0, report())
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.OTHER_INSTANCE)
        self.book.reported(0.1, report(instance="b2"))
        self.request_load("tutor", now=0.1)
        self.assertEqual(self.book.next_order(0.1).model, "tutor")

    def test_it_is_sent_again_after_the_cooldown(self):
        self.book.reported(0.0, report())
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.OTHER_INSTANCE)
        self.book.reported(WRONG_INSTANCE_COOLDOWN_S, report())
        self.request_load("tutor", now=WRONG_INSTANCE_COOLDOWN_S)
        self.assertIsNotNone(self.book.next_order(WRONG_INSTANCE_COOLDOWN_S))


class TestLostAnswers(Case):
    def test_an_unanswered_order_is_sent_again_with_the_same_number(self):
        """Symptom: an engine loads two models and crashes as it runs out of memory.

        The answer to a load is lost, and the engine executes it seconds later. A load
        of another model, sent meanwhile, would be executed as well. Each order has the
        expected number of orders accepted so far, so only one of the two can be.
        """
        self.book.reported(0.0, report(accepted=4))
        self.request_load("tutor")
        first = self.send_next_order(0.0, OrderAnswer.UNANSWERED)
        self.book.reported(0.1, report(accepted=4))
        self.request_load("poet", now=0.1)
        self.assertEqual(self.book.next_order(0.1), first)
        self.assertEqual(first.expected, 4)

    def test_a_higher_accepted_count_confirms_it(self):
        self.book.reported(0.0, report(accepted=4))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.UNANSWERED)
        self.book.reported(0.1, report(accepted=5, busy=True))
        self.assertIsNone(self.book.unconfirmed)
        self.assertEqual(self.book.state(0.1).loading.model, "tutor")

    def test_its_memory_is_reserved_until_it_is_confirmed(self):
        self.book.reported(0.0, report(accepted=4))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.UNANSWERED)
        self.assertEqual(self.book.state(0.0).memory_mb_used, 40.0)

    def test_nothing_is_decided_on_a_report_older_than_the_last_order(self):
        self.book.reported(0.0, report())
        self.request_load("tutor", "a1")
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        self.assertIsNone(self.book.next_order(0.0))


class TestRefusedOrders(Case):
    def test_nothing_is_ordered_while_a_model_loads(self):
        """Symptom: thousands of orders for adapters are sent and refused.

        An engine that executes an order for a model refuses those for adapters too.
        """
        self.book.reported(0.0, report(holdings=["tutor"], busy=True))
        self.request_load("tutor", "a1")
        self.assertIsNone(self.book.next_order(0.0))

    def test_a_higher_fence_stops_all_orders(self):
        self.book.reported(0.0, report())
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.FENCED)
        self.book.reported(0.1, report())
        self.request_load("tutor", now=0.1)
        self.assertIsNone(self.book.next_order(0.1))
        self.assertFalse(self.book.state(0.1).orderable)

    def test_a_conflict_with_an_unchanged_count_releases_the_order(self):
        self.book.reported(0.0, report(accepted=4))
        self.request_load("tutor")
        order = self.send_next_order(0.0, OrderAnswer.CONFLICT)
        self.book.reported(0.1, report(accepted=4))
        self.book.conflict_confirmed(order)
        self.assertIsNone(self.book.unconfirmed)


class TestRestarts(Case):
    def test_a_restart_discards_the_unconfirmed_order(self):
        self.book.reported(0.0, report(accepted=4))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.UNANSWERED)
        self.book.reported(3.0, report(instance="b2"))
        self.assertIsNone(self.book.unconfirmed)
        self.assertEqual(self.book.state(3.0).memory_mb_used, 0.0)


class TestRestartsUnderSameName(Case):
    """Symptom: an agent sends no order for as long as its engine runs, or orders a
    model that exceeds the engine's memory.

    The engine crashes and restarts under the same name. It holds nothing, counts its
    orders anew, and accepts orders that name it, including late ones that were
    sent to the previous start.
    """

    def setUp(self):
        super().setUp()
        self.book.reported(0.0, report(accepted=4, started_ms=1, holdings=["clerk"]))

    def report_restart(self, now, accepted=0, **fields):
        self.book.reported(now, report(accepted=accepted, started_ms=2, **fields))

    def test_the_expected_count_is_that_of_the_new_start(self):
        for accepted in (0, 4, 9):
            self.setUp()
            self.request_load("tutor")
            self.send_next_order(0.0, OrderAnswer.UNANSWERED)
            self.report_restart(0.1, accepted)
            self.assertIsNone(self.book.unconfirmed)
            self.request_load("poet", now=0.1)
            order = self.book.next_order(0.1)
            self.assertEqual((order.model, order.expected), ("tutor", accepted))

    def test_a_load_of_the_previous_start_is_over(self):
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        self.report_restart(0.1, accepted=9)
        self.assertIsNone(self.book.state(0.1).loading)
        self.assertEqual(self.book.state(0.1).started_ms, 2)

    def test_a_report_of_the_previous_start_is_ignored(self):
        self.report_restart(0.1)
        self.request_load("tutor", now=0.1)
        self.send_next_order(0.1, OrderAnswer.ACCEPTED)
        self.book.reported(0.2, report(accepted=7, started_ms=1, holdings=["poet"]))
        self.assertEqual(self.book.report.started_ms, 2)
        self.assertEqual(self.book.state(0.2).loading.model, "tutor")
        self.assertIsNone(self.book.next_order(0.2))

    def test_an_earlier_start_time_is_accepted_after_the_takeover_silence(self):
        """The instance's clock was set back between the two starts."""
        self.report_restart(0.1)
        self.book.reported(1.0, report(started_ms=1))
        self.assertEqual(self.book.report.started_ms, 2)
        self.book.reported(0.1 + TAKEOVER_SILENCE_S, report(started_ms=1))
        self.assertEqual(self.book.report.started_ms, 1)

    def test_calls_on_the_previous_start_do_not_keep_a_model_in_use(self):
        self.book.entry_reported(0.0, "e1", {}, {"clerk": 3})
        self.report_restart(0.1)
        self.assertEqual(self.book.state(0.1).in_use, {})

    def send_unanswered_load(self, accepted):
        """Sends a load of the model tutor to the previous start, which isn't answered
        and is the last order to it."""
        self.book.reported(0.0, report(accepted=accepted, started_ms=1))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.UNANSWERED)

    def test_memory_is_reserved_for_a_late_order(self):
        """The late order is executed once the accepted count is the one it expects."""
        self.send_unanswered_load(accepted=1)
        self.report_restart(1.0, holdings=["poet"])
        self.request_load("clerk", now=1.0)
        self.request_load("tutor", now=1.0, urgency=5)
        # Poet and clerk would leave 20 MB free, and tutor takes 40 MB.
        order = self.book.next_order(1.0)
        self.assertEqual((order.kind, order.model), (OrderKind.LOAD, "tutor"))

    def test_the_reservation_for_a_late_order_expires(self):
        self.send_unanswered_load(accepted=1)
        self.report_restart(1.0, holdings=["poet"])
        self.request_load("clerk", now=1.0)
        self.assertIsNone(self.book.next_order(1.0))
        now = 1.0 + MAX_ORDER_DELAY_S
        self.request_load("clerk", now=now)
        self.assertEqual(self.book.next_order(now).model, "clerk")

    def test_memory_is_reserved_until_the_latest_arrival(self):
        """An order that was 12 s late, as the platform allows, overfilled an engine
        that had restarted."""
        self.send_unanswered_load(accepted=1)
        self.report_restart(1.0, holdings=["poet"])
        for now in (10.1, 11.9, 12.0):
            self.request_load("clerk", now=now)
            self.assertIsNone(self.book.next_order(now))

    def test_memory_is_reserved_though_a_repetition_was_answered(self):
        self.send_unanswered_load(accepted=1)
        self.book.reported(0.05, report(accepted=1, started_ms=1))
        self.send_next_order(0.05, OrderAnswer.ACCEPTED)
        self.report_restart(1.0, holdings=["poet"])
        self.request_load("clerk", now=1.0)
        self.assertIsNone(self.book.next_order(1.0))

    def test_no_memory_is_reserved_for_an_outdated_expected_count(self):
        self.send_unanswered_load(accepted=1)
        for accepted in (1, 2):
            self.report_restart(0.1 + accepted, accepted, holdings=["poet"])
            self.request_load("clerk", now=0.1 + accepted)
            order = self.book.next_order(0.1 + accepted)
            self.assertEqual(order.model, "clerk")


class TestMemory(Case):
    def test_a_model_is_evicted_before_another_is_loaded(self):
        self.book.reported(0.0, report(holdings=["tutor", "poet"]))
        self.book.entry_reported(0.0, "e1", {"tutor": Demand(5.0)}, {})
        self.request_load("clerk")
        order = self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        self.assertEqual((order.kind, order.model), (OrderKind.UNLOAD, "poet"))
        self.book.reported(0.2, report(accepted=1, holdings=["tutor"]))
        order = self.book.next_order(0.2)
        self.assertEqual((order.kind, order.model), (OrderKind.LOAD, "clerk"))

    def test_the_load_is_reported_during_the_eviction(self):
        """Symptom: each model is loaded from the weight store twice.

        While an engine unloaded one model for another it was reported only as busy, so
        entries planned the load at a second engine, and both loaded the model.
        """
        self.book.reported(0.0, report(holdings=["tutor", "poet"]))
        self.request_load("clerk")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        loading = self.book.state(0.1).loading
        self.assertEqual(loading.model, "clerk")
        self.assertTrue(loading.from_store)

    def test_a_model_being_unloaded_takes_no_new_calls(self):
        self.book.reported(0.0, report(holdings=["tutor", "poet"]))
        self.book.entry_reported(0.0, "e1", {"tutor": Demand(5.0)}, {})
        self.request_load("clerk")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        self.assertNotIn("poet", self.book.state(0.0).holdings)

    def test_a_model_just_loaded_is_not_evicted(self):
        self.book.reported(0.0, report(holdings=["poet"]))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        self.book.reported(6.0, report(accepted=1, holdings=["poet", "tutor"]))
        self.book.entry_reported(6.0, "e1", {"poet": Demand(50.0)}, {})
        self.request_load("clerk", now=6.0)
        self.assertIsNone(self.book.next_order(6.0))

    def test_an_idle_adapter_is_evicted_for_another(self):
        adapters = {"tutor": frozenset({"a1", "a2"})}
        self.book.reported(9.0, report(adapters=adapters))
        self.book.entry_reported(9.0, "e1", {}, {"tutor/a1": 1})
        self.request_load("tutor", "a3", now=9.0)
        order = self.book.next_order(9.0)
        self.assertEqual((order.kind, order.adapter), (OrderKind.UNLOAD, "a2"))

    def test_a_model_of_unknown_size_fills_the_memory(self):
        self.book.reported(0.0, report(holdings=["unknown"]))
        self.request_load("tutor")
        self.assertIsNone(self.book.next_order(0.0))


class TestStaleLoadRequests(Case):
    def test_a_load_request_expires_unless_it_is_renewed(self):
        """Symptom: an engine loads a model that another one has loaded meanwhile.

        The plan changed to another engine while this one was busy. If the old load
        request is executed after that, the model is loaded a second time.
        """
        self.book.reported(0.0, report())
        self.request_load("tutor")
        self.assertIsNone(self.book.next_order(1.0))


class TestLongLoads(Case):
    def test_a_model_stays_for_the_callers_refused_during_its_load(self):
        """Symptom: callers return to find their model unloaded again.

        It was unloaded 0.6 s after its load had ended, before they were back.
        """
        engine = samples.engine(
            samples.model("tutor", load_s=13.0, size_mb=90.0),
            samples.model("poet", load_s=13.0, size_mb=90.0, disk_s=1.0),
        )
        self.book = OrderBook(engine)
        on_disk = frozenset({"poet"})
        self.book.reported(0.0, report(on_disk=on_disk))
        self.request_load("tutor")
        self.send_next_order(0.0, OrderAnswer.ACCEPTED)
        held = report(1, ["tutor"], on_disk=on_disk)
        self.book.reported(13.0, held)
        self.request_load("poet", now=15.0)
        self.assertIsNone(self.book.next_order(15.0))
        self.request_load("poet", now=17.0)
        self.assertIs(self.book.next_order(17.0).kind, OrderKind.UNLOAD)
