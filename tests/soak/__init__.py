"""Randomised faults on the real programs, injected from outside of them."""

from tests.adapter import PLATFORM  # noqa: F401  (puts the stand-ins on the path)
