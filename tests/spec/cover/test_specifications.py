"""The sound specifications hold, and every broken variant of them is caught."""

import contextlib
import functools
import io
import json
import unittest

from spec import BROKEN, HOLDS, UNDECIDED, check, check_variant, registered
from spec.__main__ import main

SMALL_BOUNDS = {"slots": {"caps": (1,)}}


@functools.cache
def broken_report(name: str, variant: str):
    return check_variant(registered()[name], variant)


class TestSpecifications(unittest.TestCase):
    def test_every_sound_specification_holds_and_takes_every_step(self):
        for name, cls in registered().items():
            with self.subTest(name):
                report = check(cls(SMALL_BOUNDS.get(name)))
                self.assertEqual(report.verdict, HOLDS, report.actions)
                self.assertEqual(report.never_taken, ())

    def test_every_broken_variant_breaks_the_invariant_that_it_names(self):
        for name, cls in registered().items():
            for variant, described in cls.variants.items():
                with self.subTest(f"{name}: {variant}"):
                    report = broken_report(name, variant)
                    self.assertEqual(report.verdict, BROKEN)
                    self.assertEqual(report.violated, described.breaks)

    def test_counterexamples_replay_step_by_step(self):
        for name, cls in registered().items():
            for variant, described in cls.variants.items():
                with self.subTest(f"{name}: {variant}"):
                    trace = broken_report(name, variant).trace
                    spec = cls(described.bounds, broken=variant)
                    self.assertEqual(trace[0].state, spec.initial())
                    for before, after in zip(trace, trace[1:]):
                        steps = spec.steps(before.state)
                        possible = [(a, spec.normal(state)) for a, state in steps]
                        self.assertIn((after.action, after.state), possible)
                    holds = spec.invariants()[described.breaks]
                    verdicts = [holds(line.state) for line in trace]
                    self.assertEqual(verdicts.count(False), 1)
                    self.assertFalse(verdicts[-1])


class TestChecker(unittest.TestCase):
    def test_a_sweep_that_ends_early_is_undecided_and_not_held(self):
        report = check(registered()["memory"](), max_states=50)
        self.assertEqual(report.verdict, UNDECIDED)

    def test_unknown_bounds_and_variants_are_refused(self):
        cls = registered()["memory"]
        with self.assertRaisesRegex(ValueError, "allowed are: sizes, total"):
            cls({"totl": 3})
        with self.assertRaisesRegex(ValueError, "allowed are: order_before"):
            cls(broken="no_such_rule")

    def test_json_output_has_one_entry_a_run_and_the_exit_code_tells(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = main(["--spec", "memory", "--variants", "--json"])
        entries = json.loads(out.getvalue())
        self.assertEqual(code, 0)
        self.assertEqual(len(entries), 1 + len(registered()["memory"].variants))
        self.assertTrue(all(entry["as_expected"] for entry in entries))
