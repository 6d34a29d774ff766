"""Measure a fleet at rest: ``python -m tests.rest --entries 1,4 --agents 1,8,24``.

Starts so many entries and agents as real processes and prints, for each role, the
processor time a second, the voluntary context switches (times that a thread went to
sleep) a second, and the peak memory; then what each further process of either role
adds.
"""

import argparse
import asyncio
import os
import sys

from tests.rest.run import measure, slope


def _numbers(text):
    return [int(part) for part in text.split(",")]


def _parser():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=_numbers, default=[1, 4])
    parser.add_argument("--agents", type=_numbers, default=[1, 8, 24])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--beats",
        type=float,
        default=0.0,
        help="seconds between two writes of each replica to the registry, 0 for none",
    )
    return parser


async def _run(args):
    print(f"load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    print("| role | entries | agents | core | wakes a second | peak MB |")
    print("|---|---|---|---|---|---|")
    rows = []
    async for row in measure(args.entries, args.agents, args.seconds, args.beats):
        rows.append(row)
        print(
            f"| {row.role} | {row.entries} | {row.agents} | {row.cpu_s:.4f} | "
            f"{row.wakes:.0f} | {row.peak_mb:.0f} |",
            flush=True,
        )
    for role in ("entry", "agent"):
        for other, read in (
            ("entry", lambda row: row.entries),
            ("agent", lambda row: row.agents),
        ):
            found = slope([(read(row), row.cpu_s) for row in rows if row.role == role])
            if found is not None:
                print(f"{role}: {found:+.5f} of a core for each further {other}")


def main():
    """Parse the arguments and run."""
    asyncio.run(_run(_parser().parse_args()))


if __name__ == "__main__":
    sys.exit(main())
