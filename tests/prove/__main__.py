"""Rerun the proofs, and print what each property rests on.

    python -m tests.prove                  everything; long
    python -m tests.prove core slots       these areas and specifications alone

A property of which not all parts were asked for is reported as partial. The exit code
is 0 only if every part that was asked for ran and nothing in it failed.
"""

import argparse
import sys

from tests.prove.parts import PartResult, run_area, run_specification
from tests.prove.properties import PROPERTIES, Property, areas, specifications

SPECIFICATION = "spec of "


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.prove", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("parts", nargs="*", metavar="PART", help="default: all")
    options = parser.parse_args()
    allowed = (*specifications(), *areas())
    unknown = [part for part in options.parts if part not in allowed]
    if unknown:
        parser.error(f"PART {unknown[0]!r}; allowed: {', '.join(allowed)}")
    results = run(options.parts or list(allowed))
    print_parts(results)
    for prop in PROPERTIES:
        print(summary(prop, results))
    bad = [result.name for result in results.values() if not result.whole]
    steps = sum(result.all_steps for result in results.values())
    states = sum(result.states for result in results.values())
    print(f"{steps} randomised steps, {states} states, {len(bad)} parts failed: {bad}")
    return 1 if bad else 0


def run(parts: list[str]) -> dict[str, PartResult]:
    """Run the parts one after another; the results by area or ``spec of`` model."""
    results = {}
    for name in specifications():
        if name in parts:
            print(f"exploring {name}", flush=True)
            results[SPECIFICATION + name] = run_specification(name)
    for name in areas():
        if name in parts:
            print(f"testing {name}", flush=True)
            results[name] = run_area(name)
    return results


def print_parts(results: dict[str, PartResult]) -> None:
    """What each part showed, and how long it took."""
    for name, result in results.items():
        verdict = "whole" if result.whole else "FAILED"
        print(f"\n{name}: {verdict} in {result.seconds:.0f} s")
        if result.variants:
            print(f"  {result.states} states of the sound models")
            print(f"  {result.caught} of {result.variants} broken variants caught")
        else:
            print(f"  {result.passed} tests passed")
        for run_name, steps in result.steps:
            print(f"  {steps} steps: {run_name}")
        for failure in result.failed:
            print(f"  failed: {failure}")
    print()


def summary(prop: Property, results: dict[str, PartResult]) -> str:
    """The property, its parts, what they counted, and the verdict."""
    wanted = [SPECIFICATION + name for name in prop.specifications] + [*prop.areas]
    found = [results[name] for name in wanted if name in results]
    steps = sum(result.all_steps for result in found)
    states = sum(result.states for result in found)
    verdict = "holds in all that ran"
    if any(not result.whole for result in found):
        verdict = "FAILED"
    elif len(found) < len(wanted):
        verdict = f"partial: {len(found)} of {len(wanted)} parts ran"
    parts = ", ".join(name for name in wanted if name in results) or "none"
    return f"{prop.name}\n  {parts}\n  {steps} steps, {states} states: {verdict}"


if __name__ == "__main__":
    sys.exit(main())
