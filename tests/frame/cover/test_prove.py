"""The command that reruns the proofs reports what ran, and counts what was done."""

import json
import unittest

from hypothesis import settings
from hypothesis.stateful import rule, run_state_machine_as_test

from tests.__main__ import ROOT
from tests.common import counting
from tests.prove.__main__ import SPECIFICATION, summary
from tests.prove.parts import PartResult, read_area, read_specification
from tests.prove.properties import PROPERTIES, areas, specifications

RUN = "steps of the counter's own test"


class Machine(counting.CountedMachine):
    run_name = RUN
    carried_out = 0

    @rule()
    def step(self):
        Machine.carried_out += 1


class TestCounting(unittest.TestCase):
    def test_each_rule_that_was_carried_out_counts_once(self):
        own = settings(max_examples=5, stateful_step_count=7)
        run_state_machine_as_test(Machine, settings=own)
        found = counting.read("\n".join(counting.lines()))
        self.assertGreater(Machine.carried_out, 0)
        self.assertEqual(found[RUN], Machine.carried_out)


class TestTable(unittest.TestCase):
    def test_nine_properties_rest_on_areas_and_specifications_that_exist(self):
        self.assertEqual(len(PROPERTIES), 9)
        for prop in PROPERTIES:
            self.assertLessEqual(set(prop.specifications), set(specifications()))
        for area in areas():
            self.assertTrue((ROOT / "tests" / area / "__init__.py").exists(), area)


class TestReading(unittest.TestCase):
    def test_an_area_is_whole_only_if_it_ended_and_nothing_failed(self):
        whole = read_area("core", 0, "..\nsteps: a, b 12\n3 passed, 0 failed\n", 1.0)
        self.assertTrue(whole.whole)
        self.assertEqual(whole.steps, (("a, b", 12),))
        for code, output in (
            (1, "failed: x\n2 passed, 1 failed\n"),
            (0, "KNOWN-RED (failed as known): x | y | 4\n2 passed, 1 failed\n"),
            (0, "0 passed, 0 failed\n"),
            (-9, "..."),
            (0, ""),
        ):
            with self.subTest(output=output):
                self.assertFalse(read_area("core", code, output, 1.0).whole)

    def test_a_specification_is_whole_only_if_it_held_and_its_variants_broke(self):
        sound = {"variant": None, "bounds": {}, "states": 7, "as_expected": True}
        caught = {**sound, "variant": "v", "states": 3}
        missed = {**caught, "as_expected": False}
        whole = read_specification("slots", 0, json.dumps([sound, caught]), 1.0)
        self.assertTrue(whole.whole)
        self.assertEqual((whole.states, whole.caught, whole.variants), (7, 1, 1))
        for code, output in (
            (1, json.dumps([sound, missed])),
            (0, json.dumps([sound])),
            (0, json.dumps([caught])),
            (1, "Traceback"),
        ):
            with self.subTest(output=output):
                result = read_specification("slots", code, output, 1.0)
                self.assertFalse(result.whole)

    def test_a_property_of_which_not_all_ran_is_partial(self):
        prop = PROPERTIES[0]
        wanted = [SPECIFICATION + name for name in prop.specifications] + [*prop.areas]
        results = {name: PartResult(name, True, 1.0) for name in wanted}
        self.assertIn("holds in all that ran", summary(prop, results))
        results.pop("fleet")
        self.assertIn("partial: 5 of 6 parts ran", summary(prop, results))
        results["core"] = PartResult("core", False, 1.0)
        self.assertIn("FAILED", summary(prop, results))
