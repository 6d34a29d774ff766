"""Loads, unloads, eviction and the drain, with an engine that behaves."""

import unittest

from bambootiller_core import slots
from bambootiller_core.backend_effects import (
    Abort,
    Drained,
    GiveBack,
    Refuse,
    Retired,
    SendOrder,
    Start,
)
from bambootiller_core.template import Weights
from bambootiller_core.types import Tier
from tests.core.common.samples import GIB, Bench, key, table, template


class KeepAndEvict(unittest.TestCase):
    def test_an_idle_model_is_unloaded_when_keeping_it_isnt_worth_it_any_more(self):
        bench = Bench(a=4)
        bench.load("a")
        due = bench.core.next_due(bench.now)
        expected = 2.0 * Weights().cold_second / Weights().idle_second
        self.assertAlmostEqual(due - bench.now, expected)
        bench.wait(due - bench.now)
        self.assertEqual(bench.orders()[-1], ("unload", "a"))
        bench.carry_out()
        self.assertEqual(bench.engine.used, 0)

    def test_an_idle_model_makes_room_for_one_that_is_waited_for(self):
        bench = Bench(10, a=4, b=4, c=4)
        bench.load("a")
        bench.load("b")
        bench.arrive("r", "c")
        self.assertEqual(bench.orders()[-1], ("unload", "a"))
        bench.carry_out()
        self.assertEqual(bench.orders()[-1], ("load", "c"))
        self.assertEqual(bench.of_type(Start)[-1].request_id, "r")

    def test_a_model_with_requests_never_makes_room(self):
        bench = Bench(10, a=4, b=4, c=4)
        for model in ("a", "b"):
            bench.load(model)
            bench.arrive(f"busy-{model}", model)
        bench.arrive("r", "c")
        self.assertEqual(bench.refusals(), {"r": "no_memory"})

    def test_two_wants_never_count_on_the_same_memory(self):
        bench = Bench(10, a=8, b=8, c=8)
        bench.load("a")
        bench.arrive("r1", "b")
        bench.arrive("r2", "c")
        bench.carry_out()
        self.assertEqual(bench.refusals(), {"r2": "no_memory"})
        self.assertEqual(bench.of_type(Start)[-1].request_id, "r1")

    def test_an_idle_adapter_makes_room_for_another(self):
        bench = Bench(5, a=4)
        bench.load("a")
        for name in ("x", "y"):
            bench.arrive(name, adapter=name)
            bench.carry_out()
            bench.act(bench.core.finished(bench.now, name, 1, True))
        kinds = [kind for kind, _ in bench.orders()]
        expected = ["load", "load_adapter", "unload_adapter", "load_adapter"]
        self.assertEqual(kinds, expected)

    def test_no_more_loads_than_the_store_serves_at_full_speed_the_urgent_first(self):
        bench = Bench(60, **{name: 4 for name in "bcdefg"})
        for priority, model in enumerate("bcdef"):
            bench.arrive(f"r-{model}", model, priority=priority + 3)
        self.assertEqual([model for _, model in bench.orders()], list("bcde"))
        bench.arrive("r-g", "g", priority=0)
        self.assertEqual(len(bench.orders()), 4)
        bench.engine.finish_one()
        bench.read()
        self.assertEqual([model for _, model in bench.orders()], list("bcdeg"))
        bench.carry_out()
        self.assertEqual(len(bench.of_type(Start)), 6)
        reasons = [d.outcome for d in bench.decisions.about("model/forge/f")]
        self.assertEqual(reasons[0], "put off")

    def test_a_survey_tells_memory_slots_and_tier(self):
        bench = Bench(10, a=4, b=4)
        bench.load("a")
        survey = bench.core.survey(key("a"))
        self.assertEqual((survey.slots, survey.slots_bytes), (2, 8 * GIB))
        self.assertEqual((survey.memory_total, survey.memory_free), (10 * GIB, 6 * GIB))
        self.assertEqual((survey.tier, survey.leaving), (Tier.MEMORY, False))
        self.assertEqual(bench.core.survey(key("b")).tier, Tier.REMOTE)


class FailedLoads(unittest.TestCase):
    def test_failed_loads_are_tried_again_and_then_refused_with_a_come_back_time(self):
        bench = Bench(a=4)
        bench.arrive("r")
        for _ in range(3):
            bench.engine.finish_one(failing=True)
            bench.read()
            bench.wait(1.0)
        self.assertEqual(bench.orders(), [("load", "a")] * 3)
        self.assertEqual(bench.refusals(), {"r": "load_failed"})
        bench.arrive("next")
        refuse = bench.of_type(Refuse)[-1]
        self.assertEqual(refuse.refused.code.value, "load_failed")
        self.assertGreater(refuse.refused.retry_after_ms, 5000)
        bench.wait(12.0)
        bench.arrive("later")
        bench.carry_out()
        self.assertEqual(bench.of_type(Start)[-1].request_id, "later")

    def test_an_adapter_that_cant_be_loaded_refuses_only_its_own_requests(self):
        bench = Bench(a=4)
        bench.load("a")
        bench.arrive("plain")
        bench.arrive("with", adapter="x")
        for _ in range(3):
            order = bench.of_type(SendOrder)[-1]
            bench.engine.pending.clear()
            bench.engine.models["forge/a"].adapters.clear()
            bench.engine.orders[order.order_id] = type(
                bench.engine.orders[order.order_id]
            ).FAILED
            bench.engine.version += 1
            bench.read()
            bench.wait(1.0)
        self.assertEqual(bench.refusals(), {"with": "load_failed"})


class Draining(unittest.TestCase):
    def test_a_planned_stop_finishes_what_was_admitted_then_gives_all_slots_back(self):
        bench = Bench(a=4, b=4)
        bench.load("a")
        for name in ("r0", "r1", "r2"):
            bench.arrive(name)
        bench.act(bench.core.leave(bench.now, bench.now + 60))
        bench.arrive("new")
        self.assertEqual(bench.refusals(), {"new": "leaving"})
        self.assertEqual([e.key.model for e in bench.of_type(GiveBack)], ["b"])
        for name in ("r0", "r1", "r2"):
            bench.act(bench.core.finished(bench.now, name, 1, True))
        bench.carry_out()
        self.assertEqual([e.key.model for e in bench.of_type(GiveBack)], ["b", "a"])
        self.assertEqual(bench.of_type(Drained), [])
        for model in ("a", "b"):
            bench.tell(table(model, "i-2"))
        self.assertEqual(len(bench.of_type(Drained)), 1)
        self.assertEqual(bench.refusals(), {"new": "leaving"})

    def test_what_cant_be_loaded_before_the_stop_is_sent_elsewhere_at_once(self):
        bench = Bench(a=4, b=4)
        bench.arrive("cold")
        bench.act(bench.core.leave(bench.now, bench.now + 1.0))
        self.assertEqual(bench.refusals(), {"cold": "leaving"})

    def test_at_the_end_of_the_bound_everybody_left_is_told_the_truth(self):
        bench = Bench(a=4)
        bench.load("a")
        for name in ("r0", "r1", "r2"):
            bench.arrive(name)
        bench.act(bench.core.leave(bench.now, bench.now + 10.0))
        bench.wait(10.0)
        told = {e.request_id: e.refused.executed.value for e in bench.of_type(Abort)}
        self.assertEqual(told, {"r0": "unknown", "r1": "unknown"})
        refuse = bench.of_type(Refuse)[0]
        self.assertEqual(refuse.refused.executed.value, "no")
        self.assertEqual(len(bench.of_type(Drained)), 1)

    def test_an_offer_is_repeated_until_a_table_without_the_slot_is_seen(self):
        bench = Bench(a=4)
        bench.act(bench.core.leave(bench.now, bench.now + 60))
        bench.wait(0.5)
        self.assertEqual(len(bench.of_type(GiveBack)), 1)
        bench.wait(2.0)
        self.assertEqual(len(bench.of_type(GiveBack)), 2)

    def test_a_lowered_cap_unloads_and_then_offers_the_slot_for_removal(self):
        bench = Bench(a=4)
        bench.load("a")
        bench.arrive("running")
        lowered = slots.reconcile_cap(table("a"), 0, 2, "w2")
        bench.tell(lowered)
        bench.arrive("new")
        self.assertEqual(bench.refusals(), {"new": "not_holder"})
        self.assertEqual(bench.of_type(Abort), [])
        bench.act(bench.core.finished(bench.now, "running", 1, True))
        self.assertEqual(bench.orders()[-1], ("unload", "a"))
        bench.carry_out()
        self.assertEqual(bench.of_type(Retired), [Retired(key("a"), 1)])

    def test_a_process_without_an_engine_drains_its_services(self):
        bench = Bench(a=4)
        for model in ("a",):
            bench.tell(table(model, "i-2"))
        bench.arrive("s", "")
        bench.act(bench.core.leave(bench.now, bench.now + 60))
        self.assertEqual(bench.of_type(Drained), [])
        bench.act(bench.core.finished(bench.now, "s", 0, True))
        self.assertEqual(len(bench.of_type(Drained)), 1)


class TemplateChanges(unittest.TestCase):
    def test_an_older_template_changes_nothing(self):
        bench = Bench(a=4)
        bench.act(bench.core.on_template(bench.now, template(5, a=4, c=1)))
        bench.act(bench.core.on_template(bench.now, template(4, a=4)))
        bench.arrive("r", "c")
        self.assertEqual(bench.refusals(), {"r": "not_holder"})


if __name__ == "__main__":
    unittest.main()
