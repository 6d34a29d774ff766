"""Counts of randomised steps, taken where the steps are made.

A run that says how far it went has to have counted. Tests add what they did under the
name of their run, and the test runner prints the sums as lines ``steps: NAME N``, which
``python -m tests.prove`` reads.

    counting.add("core seeded", 300)

A state machine of Hypothesis derives from :class:`CountedMachine` and names its run.
"""

from collections import Counter

from hypothesis.stateful import RuleBasedStateMachine, invariant

_steps: Counter[str] = Counter()


def add(name: str, steps: int = 1) -> None:
    """Count ``steps`` steps for the run ``name``."""
    _steps[name] += steps


def lines() -> list[str]:
    """One line for each run that has counted steps in this process."""
    return [f"steps: {name} {steps}" for name, steps in sorted(_steps.items())]


def read(output: str) -> dict[str, int]:
    """The counts in the output of a test run."""
    found = {}
    for line in output.splitlines():
        head, _, rest = line.partition(" ")
        name, _, number = rest.rpartition(" ")
        if head == "steps:" and number.isdigit():
            found[name] = int(number)
    return found


class CountedMachine(RuleBasedStateMachine):
    """A state machine that counts each rule that Hypothesis carried out and checked.

    Invariants are checked once before the first rule and once after each, so the first
    check counts nothing. Rules that a test calls by itself, such as those that end the
    faults when an example is over, aren't counted, nor is a rule that fails.
    """

    run_name = ""

    def __init__(self) -> None:
        super().__init__()
        self._has_begun = False

    @invariant()
    def a_step_is_counted(self):
        if self._has_begun:
            add(self.run_name)
        self._has_begun = True
