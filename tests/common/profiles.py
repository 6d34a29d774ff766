"""Profiles of Hypothesis, and the switch between short and long randomised runs.

Both profiles derive their examples from the test itself, so that two runs give the same
verdict. The long one draws many more. Tests that make their own random runs ask
:func:`scale` how many, and print the seed of a run that fails.
"""

import os

from hypothesis import HealthCheck, settings

LONG_VARIABLE = "BAMBOOTILLER_TEST_LONG"
STANDARD = "standard"
LONG = "long"

_EXAMPLES = {STANDARD: 100, LONG: 3000}


def is_long() -> bool:
    """Whether this run is the long one (``python -m tests --long``)."""
    return os.environ.get(LONG_VARIABLE) == "1"


def scale(short: int, long: int) -> int:
    """The number of runs or steps to make: ``short``, or ``long`` in the long run."""
    return long if is_long() else short


def load() -> str:
    """Load the profile of this run and return its name."""
    for name, examples in _EXAMPLES.items():
        settings.register_profile(
            name,
            derandomize=True,
            database=None,
            # A shared machine is slow at times; an example's time proves nothing.
            deadline=None,
            suppress_health_check=[HealthCheck.too_slow],
            max_examples=examples,
            print_blob=True,
        )
    name = LONG if is_long() else STANDARD
    settings.load_profile(name)
    return name
