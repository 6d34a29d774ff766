"""Randomised runs of the backend's decisions against an engine, the key-value service's
slot tables, and links that lose, delay and double what they carry.

Hypothesis draws its own mixture of steps and shrinks what it finds; the seeded runs go
deeper. After each step the world checks: the engine's memory within its total, nothing
at the engine without a slot in its name, exactly one final outcome for each request,
nothing waiting or running past its deadline after a tick, no unload under a running
request, a drain that ends in time. At the end of each run all faults end, and whatever
is held must be served again and then given back.
"""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from tests.common import counting, profiles
from tests.core.common.steps import STEPS, random_run, run_step
from tests.core.common.world import World

SEEDED_RUNS = (30, 4000)
SEEDED_STEPS = 300
EXAMPLES = (25, 1500)
EXAMPLE_STEPS = (40, 120)

profiles.load()


class BackendMachine(counting.CountedMachine):
    """One rule for each step; the rules are added below, from the table of steps."""

    run_name = "core, drawn by Hypothesis"

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.broken = False

    def take(self, name: str, drawn: list[int]) -> None:
        """Take one step, and remember whether it broke something."""
        try:
            run_step(self.world, name, drawn)
        except BaseException:
            self.broken = True
            raise

    def teardown(self) -> None:
        if not self.broken:
            self.world.recover()


def _add_rule(name: str, bounds: tuple[int, ...]) -> None:
    drawn = {f"n{i}": st.integers(0, bound - 1) for i, bound in enumerate(bounds)}

    def step(self, **numbers):
        self.take(name, [numbers[key] for key in sorted(numbers)])

    step.__name__ = name
    setattr(BackendMachine, name, rule(**drawn)(step))


for _name, (_weight, _bounds) in STEPS.items():
    _add_rule(_name, _bounds)


class RandomisedBackend(unittest.TestCase):
    def test_hypothesis_finds_no_sequence_of_steps_that_breaks_a_property(self):
        machine_settings = settings(
            max_examples=profiles.scale(*EXAMPLES),
            stateful_step_count=profiles.scale(*EXAMPLE_STEPS),
        )
        run_state_machine_as_test(BackendMachine, settings=machine_settings)

    def test_seeded_runs_break_no_property(self):
        runs = profiles.scale(*SEEDED_RUNS)
        for seed in range(runs):
            taken = random_run(seed, SEEDED_STEPS)
            counting.add(f"core, seeds 0 to {runs - 1}", len(taken))


if __name__ == "__main__":
    unittest.main()
