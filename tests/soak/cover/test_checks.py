"""The soak's checks find what they are there for."""

import unittest
from types import SimpleNamespace

from tests.soak.checks import check
from tests.soak.faults import Injury
from tests.soak.world import EVENTS, TIMEOUT_S, Attempt


def attempt(kind="safe", status=200, body=None, error=None, waited=0.1):
    made = Attempt("e0-0-1", kind, "e0", 100.0)
    made.status, made.error, made.ended_at = status, error, 100.0 + waited
    whole = b"".join(
        b"id: %d\ndata: e0-0-1\n\n" % number for number in range(1, EVENTS + 1)
    )
    made.body = body if body is not None else whole if kind == "stream" else b"e0-0-1"
    return made


class TestChecks(unittest.TestCase):
    def broken(self, made, runs=1, injuries=(), poisonings=(), **replica):
        run = SimpleNamespace(headers={"x-request-attempt": made.id})
        fields = {
            "instance": "r-1",
            "memory_overcommits": [],
            "left_at": None,
            "run_times": [],
        }
        fields |= {"crash_times": [], "poison_times": []}
        fields |= {"part_crash_times": [], "part_times": []}
        fields |= {"arrived": [], "named": []}
        found = SimpleNamespace(runs=[run] * runs, **{**fields, **replica})
        world = SimpleNamespace(
            ended=[],
            all_replicas=lambda: [found],
            _programs=[],
            entries={},
            poisonings=poisonings,
            part_poisonings=poisonings,
        )
        return check(world, [SimpleNamespace(attempts=[made])], list(injuries))

    def test_a_good_call_breaks_nothing(self):
        for kind in ("safe", "unsafe", "stream"):
            self.assertEqual(self.broken(attempt(kind)), [])

    def test_a_second_run_of_a_call_that_is_not_idempotent_is_found(self):
        (text,) = self.broken(attempt("unsafe"), runs=2)
        self.assertIn("ran 2 times", text)
        self.assertEqual(self.broken(attempt("safe"), runs=2), [])

    def test_a_refusal_after_a_run_is_found(self):
        (text,) = self.broken(attempt("unsafe", status=503, body=b""))
        self.assertIn("says it hasn't run", text)

    def test_an_answer_of_somebody_else_is_found(self):
        (text,) = self.broken(attempt(body=b"e0-0-2"))
        self.assertIn("e0-0-2", text)

    def test_a_stream_that_looks_whole_and_is_not_is_found(self):
        (text,) = self.broken(attempt("stream", body=b"id: 1\ndata: e0-0-1\n\n"))
        self.assertIn("looks whole", text)

    def test_an_answer_without_a_run_is_found(self):
        (text,) = self.broken(attempt(), runs=0)
        self.assertIn("nobody ran it", text)

    def test_a_final_answer_that_is_late_is_found_unless_its_entry_stood_still(self):
        made = attempt(waited=TIMEOUT_S + 2)
        self.assertEqual(len(self.broken(made)), 1)
        pause = Injury("pause", "e0", False, 99.0, 103.0)
        self.assertEqual(self.broken(made, injuries=[pause]), [])

    def test_planned_work_that_costs_an_answer_is_found(self):
        made = attempt(status=None, error="ServerDisconnectedError()")
        stop = Injury("stop", "e0", True, 99.0, 101.0)
        self.assertEqual(len(self.broken(made, injuries=[stop])), 1)
        kill = Injury("kill", "e0", False, 99.0, 101.0)
        self.assertEqual(self.broken(made, injuries=[stop, kill]), [])

    def test_work_for_a_replica_that_left_is_found(self):
        fields = {"left_at": 50.0, "run_times": [54.0]}
        (text,) = self.broken(attempt(), **fields)
        self.assertIn("after it said it leaves", text)
        away = Injury("store", "the store", False, 48.0, 51.0)
        self.assertEqual(self.broken(attempt(), injuries=[away], **fields), [])

    def test_memory_that_is_overcommitted_is_found(self):
        (text,) = self.broken(attempt(), memory_overcommits=["tutor: 3 of 2 MB"])
        self.assertIn("overcommitted", text)

    def test_late_runs_of_a_request_that_ended_three_engines_are_found(self):
        made = attempt()
        seen = {
            "poisonings": [attempt(waited=60.0)],
            "crash_times": [101.0, 102.0, 103.0],
            "poison_times": [101.0, 102.0, 103.0, 105.9, 107.0, 108.0, 109.0],
        }
        self.assertEqual(self.broken(made, **seen), [])
        seen["poison_times"].append(110.0)
        (text,) = self.broken(made, **seen)
        self.assertIn("4 late runs", text)
        injury = Injury("pause", "e0", False, 105.0, 106.0)
        self.assertEqual(self.broken(made, injuries=[injury], **seen), [])

    def test_calls_beyond_a_named_limit_are_found(self):
        named = [(90.0, 110.0, 1.0)]
        arrived = [(100.0 + number / 10, f"e0-0-{number}") for number in range(12)]
        (text,) = self.broken(attempt(), named=named, arrived=arrived)
        self.assertIn("12 calls in 4.0 s at 1.0", text)
        self.assertEqual(self.broken(attempt(), named=named, arrived=arrived[:11]), [])
        early = [(at - 8.0, name) for at, name in arrived]
        self.assertEqual(self.broken(attempt(), named=named, arrived=early), [])
        pause = Injury("pause", "e0", False, 98.0, 99.0)
        found = self.broken(attempt(), named=named, arrived=arrived, injuries=[pause])
        self.assertEqual(found, [])
