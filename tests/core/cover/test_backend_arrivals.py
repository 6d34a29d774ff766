"""What the backend's decisions make of arriving, waiting and running requests."""

import unittest

from bambootiller_core.backend_effects import (
    Abort,
    Admit,
    OrderKind,
    Refuse,
    SendOrder,
    Start,
)
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.outcomes import Executed
from bambootiller_core.types import ServiceTarget
from tests.core.common.samples import ME, SETTLE_S, Bench, key, request, table, template


class Arrivals(unittest.TestCase):
    def test_a_burst_at_a_cold_model_orders_one_load_and_then_starts_in_order(self):
        bench = Bench(a=4)
        for number in range(5):
            bench.arrive(f"r{number}", priority=5 - number)
        self.assertEqual(len(bench.of_type(SendOrder)), 1)
        self.assertEqual([a.cold for a in bench.of_type(Admit)], [True] * 5)
        self.assertEqual(bench.of_type(Start), [])
        bench.carry_out()
        started = [effect.request_id for effect in bench.of_type(Start)]
        self.assertEqual(started, ["r4", "r3"])
        bench.act(bench.core.finished(bench.now, "r4", 10, True))
        self.assertEqual(bench.of_type(Start)[-1].request_id, "r2")
        self.assertEqual(bench.core.figures(key("a")).running, 2)
        self.assertEqual(bench.core.figures(key("a")).waiting, 2)

    def test_what_cant_be_served_here_is_refused_at_once_and_says_why(self):
        bench = Bench(a=4, b=40)
        bench.act(bench.core.on_template(bench.now, template(2, a=4, b=40, c=4)))
        bench.arrive("no-model", "zz")
        bench.arrive("no-adapter", "a", adapter="zz")
        bench.arrive("no-slot", "c")
        bench.arrive("too-big", "b")
        bench.arrive("too-late", "a", left=1.0)
        bench.arrive("past", "a", left=-1.0)
        other = request("other", "a", bench.now + 60)
        other = type(other)("other", "regie", "clerk", other.target, other.deadline)
        bench.act(bench.core.arrive(bench.now, other))
        self.assertEqual(
            bench.refusals(),
            {
                "no-model": "unknown_model",
                "no-adapter": "unknown_adapter",
                "no-slot": "not_holder",
                "too-big": "no_memory",
                "too-late": "cannot_meet_deadline",
                "past": "deadline_passed",
                "other": "not_ready",
            },
        )
        for effect in bench.of_type(Refuse):
            self.assertIs(effect.refused.executed, Executed.NO)

    def test_a_caller_refused_for_a_cold_model_finds_it_loaded_on_coming_back(self):
        bench = Bench(a=4)
        bench.arrive("early", left=1.5)
        self.assertEqual(bench.of_type(SendOrder)[0].kind, OrderKind.LOAD)
        bench.carry_out()
        bench.arrive("back", left=1.5)
        self.assertEqual(bench.of_type(Start)[-1].request_id, "back")

    def test_before_the_engine_was_read_models_are_refused_and_services_run(self):
        bench = Bench(a=4)
        fresh = Bench.__new__(Bench)
        fresh.__dict__.update(bench.__dict__)
        core = type(bench.core)
        fresh.core = core(ME, bench.core._state.cfg, bench.decisions, None)
        fresh.seen = []
        fresh.act(fresh.core.on_template(0.0, template(a=4)))
        fresh.arrive("model")
        fresh.arrive("service", "")
        self.assertEqual(fresh.refusals(), {"model": "not_ready"})
        self.assertEqual(fresh.of_type(Start)[0].request_id, "service")

    def test_waiting_past_the_deadline_ends_at_once_and_is_truly_not_run(self):
        bench = Bench(a=4)
        bench.arrive("r", left=20.0)
        due = bench.core.next_due(bench.now)
        self.assertLessEqual(due, bench.now + 20.0)
        bench.wait(20.0)
        refuse = bench.of_type(Refuse)[0]
        self.assertEqual(refuse.refused.code.value, "deadline_passed")
        self.assertIs(refuse.refused.executed, Executed.NO)
        bench.carry_out()
        self.assertEqual(bench.of_type(Start), [])

    def test_running_past_the_deadline_is_aborted_and_may_have_run(self):
        bench = Bench(a=4)
        bench.load("a")
        bench.arrive("r", left=5.0)
        bench.wait(5.0)
        abort = bench.of_type(Abort)[0]
        self.assertEqual(abort.refused.code.value, "deadline_passed")
        self.assertIs(abort.refused.executed, Executed.UNKNOWN)
        bench.act(bench.core.finished(bench.now, "r", 3, False))

    def test_a_cancelled_request_frees_its_place(self):
        bench = Bench(a=4)
        bench.load("a")
        for name in ("r0", "r1", "r2"):
            bench.arrive(name)
        bench.act(bench.core.cancel(bench.now, "r0"))
        self.assertEqual(bench.of_type(Start)[-1].request_id, "r2")
        bench.act(bench.core.cancel(bench.now, "r1"))
        bench.act(bench.core.cancel(bench.now, "r2"))
        bench.act(bench.core.cancel(bench.now, "unheard-of"))
        self.assertTrue(bench.core.idle())

    def test_a_plain_service_runs_no_more_than_its_limit_at_a_time(self):
        bench = Bench(a=4)
        bench.arrive("s0", "")
        bench.arrive("s1", "")
        self.assertEqual([e.request_id for e in bench.of_type(Start)], ["s0"])
        figures = bench.core.service_figures("forge", "push")
        self.assertEqual((figures.running, figures.waiting), (1, 1))
        bench.act(bench.core.finished(bench.now, "s0", 0, True))
        self.assertEqual([e.request_id for e in bench.of_type(Start)], ["s0", "s1"])
        unknown = request("s2", "a", bench.now + 9)
        target = ServiceTarget("nope", "GET", "/")
        unknown = type(unknown)("s2", "forge", "pupil", target, unknown.deadline)
        bench.act(bench.core.arrive(bench.now, unknown))
        self.assertEqual(bench.refusals(), {"s2": "unknown_service"})

    def test_one_id_open_twice_breaks_an_invariant(self):
        bench = Bench(a=4)
        bench.arrive("r")
        with self.assertRaises(InvariantBroken):
            bench.arrive("r")

    def test_an_adapter_is_loaded_on_demand_while_others_go_on(self):
        bench = Bench(a=4)
        bench.load("a")
        bench.arrive("with", adapter="x")
        bench.arrive("without")
        self.assertEqual(bench.of_type(Start)[-1].request_id, "without")
        self.assertEqual(bench.of_type(SendOrder)[-1].kind, OrderKind.LOAD_ADAPTER)
        bench.carry_out()
        self.assertEqual(bench.of_type(Start)[-1].request_id, "with")

    def test_a_lost_slot_refuses_what_waits_and_stops_what_runs(self):
        bench = Bench(a=4)
        bench.load("a")
        for name in ("r0", "r1", "r2"):
            bench.arrive(name)
        bench.act(bench.core.on_slot_table(bench.now, table("a", "i-2")))
        self.assertEqual(set(bench.refusals().values()), {"not_holder"})
        self.assertEqual(len(bench.of_type(Abort)), 2)
        self.assertEqual(bench.of_type(SendOrder)[-1].kind, OrderKind.UNLOAD)

    def test_a_removed_model_and_a_silent_engine_end_what_waits(self):
        bench = Bench(a=4, b=4)
        bench.arrive("r0", "a")
        bench.act(bench.core.on_template(bench.now, template(2, b=4)))
        self.assertEqual(bench.refusals(), {"r0": "unknown_model"})
        bench.arrive("r1", "b")
        bench.act(bench.core.on_engine_silent(bench.now))
        bench.wait(SETTLE_S)
        self.assertEqual(bench.refusals()["r1"], "unreachable")

    def test_every_decision_about_a_request_is_recorded_with_its_figures(self):
        bench = Bench(a=4)
        bench.arrive("r")
        bench.carry_out()
        kinds = [d.kind for d in bench.decisions.about("request/r")]
        self.assertEqual(kinds, ["admit", "start"])
        load = bench.decisions.about("model/forge/a")[0]
        self.assertIn("memory_free", load.figures)


if __name__ == "__main__":
    unittest.main()
