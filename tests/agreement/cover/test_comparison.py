"""The comparison's arithmetic, and one tiny run both ways."""

import dataclasses
import unittest

from bambootiller_core.backend_effects import engine_name
from bambootiller_core.types import Tier
from bambootiller_standins.agreement.__main__ import first_seeds, run_pair, world_of
from bambootiller_standins.agreement._engines import engine_config, on_disk
from bambootiller_standins.agreement._figures import (
    Answer,
    Pair,
    compare,
    faults,
    ratio,
    run_figures,
)
from bambootiller_standins.agreement._page import cell, markdown
from bambootiller_standins.agreement._real import GRACE_S, judge
from bambootiller_standins.agreement._sampler import Watched
from bambootiller_standins.agreement._scenarios import LEAD_S, TRIALS, make_trial
from bambootiller_standins.agreement._virtual import simulated
from bambootiller_standins.experiments.fleet import RunSpec, _Fleet
from bambootiller_standins.experiments.measures import Spread
from bambootiller_standins.experiments.policies import OWN, policy
from bambootiller_standins.experiments.records import Ending
from bambootiller_standins.load import Outcome, Verdict


def figures(waits, *, refused=0, loads=1, over=0):
    answers = [Answer(True, Ending.ANSWERED, wait) for wait in waits]
    answers += [Answer(True, Ending.REFUSED, None, "no_memory")] * refused
    return run_figures(
        answers, loads=loads, idle_s=2.0, loaded_s=4.0, most_over_cap=over
    )


class ArithmeticTest(unittest.TestCase):
    def test_a_ratio_needs_both_sides_and_something_to_divide_by(self):
        self.assertEqual(ratio(3.0, 2.0), 1.5)
        self.assertEqual(ratio(0.0, 2.0), 0.0)
        for real, virtual in ((None, 2.0), (3.0, None), (3.0, 0.0)):
            self.assertIsNone(ratio(real, virtual))

    def test_only_cold_answers_in_time_count_as_cold_starts(self):
        answers = [
            Answer(True, Ending.ANSWERED, 2.0),
            Answer(False, Ending.ANSWERED, 50.0),
            Answer(True, Ending.LATE, 60.0),
            Answer(True, Ending.REFUSED, 70.0, "deadline_passed"),
        ]
        run = run_figures(answers, loads=1, idle_s=0, loaded_s=0, most_over_cap=0)
        self.assertEqual((run.cold, run.cold_p50_s, run.cold_p95_s), (3, 2.0, 2.0))
        self.assertEqual((run.answered, run.refused, run.late), (0.5, 0.25, 0.25))
        self.assertEqual(run.codes, (("deadline_passed", 1),))

    def test_the_ratio_is_taken_seed_by_seed_and_then_spread(self):
        pairs = [
            Pair("t", 1, figures([1.0]), figures([2.0], loads=2)),
            Pair("t", 2, figures([4.0], refused=1), figures([4.0], refused=1)),
        ]
        rows = {row.figure: row for row in compare(pairs)}
        self.assertEqual(rows["cold start p50, s"].ratio, Spread(1.5, 1.0, 2.0))
        self.assertEqual(rows["loads"].real, Spread(1.5, 1, 2))
        self.assertEqual(rows["share refused in time"].ratio, Spread(1.0, 1.0, 1.0))
        self.assertIsNone(rows["share ended late"].ratio)

    def test_a_broken_rule_names_its_run(self):
        lost = dataclasses.replace(
            figures([1.0]), dropped=2, broken=("e overcommitted",)
        )
        pairs = [Pair("t", 7, lost, figures([1.0], over=1))]
        self.assertEqual(
            faults(pairs),
            [
                "t, seed 7, virtual: 2 requests without an answer",
                "t, seed 7, virtual: e overcommitted",
                "t, seed 7, real: 1 replicas above the cap",
            ],
        )

    def test_a_cell_shows_mean_and_range(self):
        self.assertEqual(cell(Spread(1.5, 1.0, 2.0)), "1.50 (1.00-2.00)")
        self.assertEqual(cell(None), "-")


class JudgeTest(unittest.TestCase):
    def test_each_verdict_has_its_ending(self):
        wanted = {
            Verdict.ANSWERED: Ending.ANSWERED,
            Verdict.REFUSED: Ending.REFUSED,
            Verdict.BROKEN_OFF: Ending.REFUSED,
            Verdict.WRONG: Ending.DROPPED,
            Verdict.CUT: Ending.DROPPED,
            Verdict.FAILED: Ending.DROPPED,
            Verdict.UNFINISHED: Ending.DROPPED,
        }
        self.assertEqual(set(wanted), set(Verdict))
        for verdict, ending in wanted.items():
            outcome = Outcome(1, "m", "pupil", verdict, total=1.0)
            self.assertIs(judge(outcome, True, 2.0).ending, ending)

    def test_what_ends_after_the_deadline_and_the_grace_is_late(self):
        for verdict in (Verdict.ANSWERED, Verdict.REFUSED):
            outcome = Outcome(1, "m", "pupil", verdict, total=2.1 + GRACE_S)
            self.assertIs(judge(outcome, True, 2.0).ending, Ending.LATE)


class WatchedTest(unittest.TestCase):
    def test_loaded_and_idle_seconds_follow_the_state_before(self):
        def state(phase, running):
            model = {"model": "m", "phase": phase, "running": running, "waiting": 0}
            return {"models": [model]}

        seen = Watched()
        seen.saw(10.0, state("loading", 0))
        seen.saw(12.0, state("loaded", 1))
        seen.saw(15.0, state("loaded", 0))
        seen.advance(19.0)
        self.assertEqual((seen.loaded_s, seen.idle_s), (7.0, 4.0))


class SameOnBothSidesTest(unittest.TestCase):
    def test_both_sides_have_the_models_fleet(self):
        for seed in (1, 2, 3):
            trial = TRIALS[0]
            world = world_of(trial, seed)
            models = _Fleet(RunSpec(trial.scenario, trial.sizes, policy(OWN), seed))
            self.assertEqual(models._world, world)
            disks = on_disk(world, seed)
            for name, agent in models._agents.items():
                found = {
                    engine_name(facts.key)
                    for facts in world.models
                    if agent.engine.tier(engine_name(facts.key)) is Tier.DISK
                }
                self.assertEqual(disks[name], found)

    def test_seeds_with_empty_disks_pass_over_the_others(self):
        self.assertEqual(first_seeds(3, empty_disks=False), [1, 2, 3])
        chosen = first_seeds(3, empty_disks=True)
        for seed in range(1, chosen[-1] + 1):
            disks = on_disk(world_of(TRIALS[0], seed), seed).values()
            self.assertEqual(seed in chosen, not any(disks))

    def test_a_load_takes_the_stand_in_as_long_as_the_model(self):
        trial = TRIALS[0]
        seed = next(
            n for n in range(1, 100) if any(on_disk(world_of(trial, n), n).values())
        )
        world = world_of(trial, seed)
        arrivals = [record.arrival for record in simulated(trial, seed).records]
        models = _Fleet(RunSpec(trial.scenario, trial.sizes, policy(OWN), seed))
        for server in world.servers:
            cfg = engine_config(world, server, arrivals, seed)
            engine = models._agents[server.instance].engine
            for name, model in cfg.models.items():
                times = model.load_ms
                first = times.disk + (times.remote if model.tier == "remote" else 0)
                self.assertAlmostEqual(first / 1000, engine.bare_load_s(name, ""))


class TinyRunTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_tiny_trial_runs_both_ways_and_keeps_its_promises(self):
        trial = make_trial(
            "tiny",
            "Tiny",
            "Four callers.",
            seconds=3.0,
            arrivals={"models": (0,), "callers": 4, "within_s": 0.5},
            servers=2,
            entries=1,
            models=1,
            transfer_s=0.2,
            warm_up_s=0.2,
        )
        pair = await run_pair(trial, seed=1)
        self.assertEqual(faults([pair]), [])
        for run in (pair.virtual, pair.real):
            self.assertEqual(run.requests, 4)
            self.assertEqual(run.answered, 1.0)
            self.assertEqual(run.loads, 1)
        self.assertIn("## Tiny", markdown([trial], [pair]))


class ArrivalsTest(unittest.TestCase):
    def test_no_trial_begins_before_its_engines_are_settled(self):
        for trial in TRIALS:
            arrivals = [record.arrival for record in simulated(trial, 1).records]
            self.assertGreaterEqual(min(one.at for one in arrivals), LEAD_S)
            self.assertEqual(len({one.tokens for one in arrivals}), 1)
