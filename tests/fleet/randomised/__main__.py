"""Replay one seed, or run many one after the other.

    python -m tests.fleet.randomised --seed 7 --steps 12
    python -m tests.fleet.randomised --seed 100 --runs 50

Prints a line for each run, and for a run that broke a promise its schedule, what
happened when, and what was broken. The exit code is 0 if all promises were kept.
"""

import argparse
import asyncio
import sys
import time

from tests.fleet.randomised.run import run

STEPS = 14


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.fleet.randomised")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--steps", type=int, default=STEPS, help="faults in a run")
    parser.add_argument("--runs", type=int, default=1, help="seeds, counted up")
    parser.add_argument("--notes", action="store_true", help="print all that happened")
    options = parser.parse_args()
    bad = []
    for seed in range(options.seed, options.seed + options.runs):
        began = time.monotonic()
        result = asyncio.run(run(seed, options.steps))
        took = time.monotonic() - began
        verdict = f"{len(result.violations)} violations" if result.violations else "ok"
        print(f"seed {seed}: {verdict} in {took:.0f} s; {result.summary}", flush=True)
        if result.violations or options.notes:
            print(result, flush=True)
        if result.violations:
            bad.append(seed)
    print(
        f"{options.runs - len(bad)} runs kept every promise, {len(bad)} didn't: {bad}"
    )
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
