"""
Run the model checking: `python -m spec [--spec NAME] [--variants] [--larger] [--json]`.

Without options every sound specification is explored with its default bounds.
`--larger` adds the larger bounds, `--variants` the broken variants with the shortest
counterexample of each. The exit code is 0 if every sound specification holds, every
declared step was taken, and every broken variant asked for was caught; else 1.
"""

import argparse
import json
import sys
from collections.abc import Iterator

from spec._check import BROKEN, HOLDS, Report, check, check_variant
from spec._model import Specification, registered


def _parser() -> argparse.ArgumentParser:
    names = sorted(registered())
    parser = argparse.ArgumentParser(prog="python -m spec", description=__doc__)
    parser.add_argument("--spec", action="append", choices=names, metavar="NAME")
    parser.add_argument("--variants", action="store_true", help="broken variants too")
    parser.add_argument("--larger", action="store_true", help="larger bounds too")
    parser.add_argument("--json", action="store_true", help="one JSON document")
    return parser


def _reports(cls: type[Specification], args: argparse.Namespace) -> Iterator[Report]:
    yield check(cls())
    if args.larger:
        for bounds in cls.larger_bounds:
            yield check(cls(bounds))
    if args.variants:
        for variant in cls.variants:
            yield check_variant(cls, variant)


def as_expected(report: Report) -> bool:
    """Sound specifications hold and take every step; broken variants break."""
    if report.variant is None:
        return report.verdict == HOLDS and not report.never_taken
    return report.verdict == BROKEN


def as_json(report: Report) -> dict:
    """The report as it stands in the output of `--json`, for the proofs page."""
    variants = registered()[report.spec].variants
    words = variants[report.variant].words if report.variant else None
    assumption = bool(report.variant) and variants[report.variant].assumption
    return {
        "spec": report.spec,
        "title": registered()[report.spec].title,
        "variant": report.variant,
        "variant_words": words,
        "breaks_an_assumption": assumption,
        "bounds": report.bounds,
        "verdict": report.verdict,
        "as_expected": as_expected(report),
        "states": report.states,
        "depth": report.depth,
        "seconds": round(report.seconds, 2),
        "violated": report.violated,
        "counterexample": list(report.actions),
        "never_taken": list(report.never_taken),
    }


def _print(report: Report) -> None:
    variants = registered()[report.spec].variants
    name = f"{report.spec}, without a rule: {report.variant}"
    if report.variant is None:
        name = f"{report.spec} {report.bounds}"
    figures = f"{report.states} states, depth {report.depth}, {report.seconds:.1f} s"
    print(f"{name}: {report.verdict} ({figures})")
    if report.variant is not None:
        print(f"    {variants[report.variant].words}")
    if report.never_taken:
        print(f"    steps never taken: {', '.join(report.never_taken)}")
    if report.violated is not None:
        print(f"    breaks {report.violated} in {len(report.actions)} steps:")
    for number, action in enumerate(report.actions, start=1):
        print(f"    {number:3}. {action}")
    sys.stdout.flush()


def main(argv: list[str] | None = None) -> int:
    """Run the checks that the arguments ask for and answer the exit code."""
    args = _parser().parse_args(argv)
    names = args.spec or list(registered())
    reports = []
    for name in names:
        for report in _reports(registered()[name], args):
            reports.append(report)
            if not args.json:
                _print(report)
    if args.json:
        print(json.dumps([as_json(report) for report in reports], indent=2))
    return 0 if all(as_expected(report) for report in reports) else 1


if __name__ == "__main__":
    sys.exit(main())
