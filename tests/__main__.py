"""Run the tests of all areas, or of those that are named.

    python -m tests                 every area
    python -m tests settings cli    two areas
    python -m tests --long          with the long randomised runs
    python -m tests --jobs 1        all in this process, one after the other

Prints each failure when it happens, the tests that are known to fail, and as the last
line, alone on it, ``N passed, N failed``. The exit code is 0 if nothing failed but what
KNOWN-RED.txt names. A skipped test counts as failed, because what isn't run proves
nothing.
"""

import argparse
import itertools
import json
import os
import sys
import time
import unittest
from dataclasses import dataclass, field
from pathlib import Path

from tests.common import counting, known_red, profiles, sidebyside
from tests.common.watchdog import Watchdog

ROOT = Path(__file__).resolve().parent.parent
SLOWEST_SHOWN = 5
SLOW_SECONDS = 1.0
#: The longest time for one test; see the module watchdog.
HANG_SECONDS = 180
#: The randomised fleets of processes are one test of many runs of a minute or two.
HANG_SECONDS_LONG = 4 * 3600
#: Test modules that run at a time. Most of them wait more than they compute, and some
#: start a dozen processes, so a part of the cores is left to those.
JOBS = max(1, min(6, (os.cpu_count() or 1) * 3 // 4))

#: Their modules run for tens of seconds each, and so are begun first.
AREAS_OF_PROCESSES = ("fleet", "entry", "agent", "security", "cli", "agreement")

#: Their modules run alone, after all others: they measure the memory of processes.
AREAS_RUN_ALONE = ("misbehaving",)

#: gRPC's own handlers at a fork are for children that go on using it. The children of
#: tests are other programs, so the handlers would only add lines between results.
GRPC_VARIABLES = {"GRPC_ENABLE_FORK_SUPPORT": "0", "GRPC_VERBOSITY": "ERROR"}


@dataclass
class Tally:
    """What became of each test; a test with several bad subtests counts once."""

    ran: list[str] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)
    seconds: dict[str, float] = field(default_factory=dict)


class Result(unittest.TestResult):
    """Collects verdicts by test and prints a character for each, 70 on a line."""

    def __init__(self, watchdog: Watchdog | None = None) -> None:
        super().__init__()
        self.tally = Tally()
        self._watchdog = watchdog
        self._began = 0.0

    def startTest(self, test):
        super().startTest(test)
        if self._watchdog is not None:
            self._watchdog.begin(test.id())
        self._began = time.monotonic()

    def stopTest(self, test):
        super().stopTest(test)
        if self._watchdog is not None:
            self._watchdog.end()
        name = test.id()
        self.tally.seconds[name] = time.monotonic() - self._began
        self.tally.ran.append(name)
        mark = "F" if name in self.tally.failed else "."
        end = "\n" if len(self.tally.ran) % 70 == 0 else ""
        print(mark, end=end, flush=True)

    def addFailure(self, test, err):
        super().addFailure(test, err)
        self._fail(test, self.failures[-1][1])

    def addError(self, test, err):
        super().addError(test, err)
        self._fail(test, self.errors[-1][1])

    def addSubTest(self, test, subtest, err):
        super().addSubTest(test, subtest, err)
        if err is not None:
            is_failure = issubclass(err[0], test.failureException)
            noted = self.failures if is_failure else self.errors
            self._fail(test, f"{subtest}\n{noted[-1][1]}")

    def addSkip(self, test, reason):
        super().addSkip(test, reason)
        self._fail(test, f"skipped: {reason}")

    def addExpectedFailure(self, test, err):
        super().addExpectedFailure(test, err)
        self._fail(test, "expected failures aren't used here; see KNOWN-RED.txt")

    def addUnexpectedSuccess(self, test):
        super().addUnexpectedSuccess(test)
        self._fail(test, "expected failures aren't used here; see KNOWN-RED.txt")

    def _fail(self, test, text: str) -> None:
        name = test.id()
        earlier = self.tally.failed.get(name)
        self.tally.failed[name] = f"{earlier}\n{text}" if earlier else text
        print(f"\nFAILED {name}\n{text}", flush=True)


def discover(areas: list[str]) -> unittest.TestSuite:
    """The tests of the named areas, or of every folder under tests/."""
    suite = unittest.TestSuite()
    for area in areas or _all_areas():
        start = ROOT / "tests" / area
        loader = unittest.TestLoader()
        suite.addTests(loader.discover(str(start), top_level_dir=str(ROOT)))
    return suite


def modules_of(areas: list[str]) -> list[str]:
    """The names of the test modules of the areas, those that take longest first."""
    found = []
    for area in areas or _all_areas():
        for path in (ROOT / "tests" / area).rglob("test_*.py"):
            found.append(".".join(path.relative_to(ROOT).with_suffix("").parts))
    return sorted(found, key=lambda name: (not _starts_processes(name), name))


def _starts_processes(module: str) -> bool:
    return module.split(".")[1] in AREAS_OF_PROCESSES


def undiscovered(tests: Path) -> dict[str, str]:
    """Test files that discovery passes over in silence, with the reason."""
    found = {}
    for path in sorted(tests.rglob("test_*.py")):
        folder = path.parent
        while folder != tests:
            if not (folder / "__init__.py").exists():
                place = folder.relative_to(tests)
                name = str(path.relative_to(tests))
                found[name] = f"never ran: tests/{place} has no __init__.py"
            folder = folder.parent
    return found


def _all_areas() -> list[str]:
    folders = (ROOT / "tests").iterdir()
    return sorted(item.name for item in folders if (item / "__init__.py").exists())


def report(tally: Tally, known: tuple[known_red.KnownRed, ...]) -> int:
    """Print what failed and the closing line; return the exit code."""
    print()
    _print_slowest(tally)
    for line in counting.lines():
        print(line)
    expected = {entry.test for entry in known}
    for name in tally.failed:
        print(f"failed: {name}")
    for entry in known:
        verdict = "failed as known" if entry.test in tally.failed else "didn't fail"
        print(f"KNOWN-RED ({verdict}): {entry.test} | {entry.cause} | {entry.issue}")
    # Errors outside a test (an import, setUpClass) have a name that didn't run.
    passed = [name for name in tally.ran if name not in tally.failed]
    print(f"{len(passed)} passed, {len(tally.failed)} failed", flush=True)
    return 1 if set(tally.failed) - expected or not tally.ran else 0


def _print_slowest(tally: Tally) -> None:
    slowest = sorted(tally.seconds.items(), key=lambda item: -item[1])
    for name, seconds in slowest[:SLOWEST_SHOWN]:
        if seconds < SLOW_SECONDS:
            break
        print(f"slowest: {seconds:6.1f} s {name}")


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("areas", nargs="*", metavar="AREA", help="a folder of tests/")
    parser.add_argument("--long", action="store_true", help="the long randomised runs")
    parser.add_argument("--jobs", type=int, default=JOBS, help="modules at a time")
    parser.add_argument("--module", help=argparse.SUPPRESS)
    parser.add_argument("--result", help=argparse.SUPPRESS)
    options = parser.parse_args()
    unknown = sorted(set(options.areas) - set(_all_areas()))
    if unknown:
        parser.error(f"AREA {unknown[0]!r}; allowed: {', '.join(_all_areas())}")
    if options.jobs < 1:
        parser.error(f"--jobs {options.jobs}; allowed: 1 or more")
    for name, value in GRPC_VARIABLES.items():
        os.environ.setdefault(name, value)
    if options.long:
        os.environ[profiles.LONG_VARIABLE] = "1"
    profile = profiles.load()
    hang_seconds = HANG_SECONDS_LONG if options.long else HANG_SECONDS
    if options.module:
        return run_module(options.module, Path(options.result), hang_seconds)
    known = known_red.read(ROOT / "KNOWN-RED.txt")
    if isinstance(known, known_red.BadList):
        print(known.detail)
        print("0 passed, 1 failed")
        return 1
    print(f"Hypothesis profile {profile}: examples derive from each test")
    if options.jobs > 1:
        flags = ["--long"] if options.long else []
        return run_side_by_side(options.areas, options.jobs, flags, known)
    return run(options.areas, hang_seconds, known)


def run(
    areas: list[str], hang_seconds: float, known: tuple[known_red.KnownRed, ...]
) -> int:
    """Run the tests of the areas and report; return the exit code."""

    def on_hang(name: str) -> None:
        result.tally.failed[name] = "hung"
        report(result.tally, known)

    result = Result(Watchdog(hang_seconds, on_hang))
    discover(areas).run(result)
    if not areas:
        result.tally.failed.update(undiscovered(ROOT / "tests"))
    return report(result.tally, known)


def run_side_by_side(
    areas: list[str],
    jobs: int,
    flags: list[str],
    known: tuple[known_red.KnownRed, ...],
) -> int:
    """Run each module of the areas in its own process and report on all of them."""
    tally = Tally()
    alone, together = [], []
    for name in modules_of(areas):
        runs_alone = name.split(".")[1] in AREAS_RUN_ALONE
        (alone if runs_alone else together).append(name)
    for done in itertools.chain(
        sidebyside.run_modules(together, jobs, ROOT, flags),
        sidebyside.run_modules(alone, 1, ROOT, flags),
    ):
        tally.ran += done.ran
        tally.failed.update(done.failed)
        tally.seconds.update(done.seconds)
        for name, steps in done.steps.items():
            counting.add(name, steps)
        print(f"{done.module}: {len(done.ran)} run, {len(done.failed)} failed")
        if done.failed:
            print(done.output, flush=True)
    if not areas:
        tally.failed.update(undiscovered(ROOT / "tests"))
    return report(tally, known)


def run_module(module: str, path: Path, hang_seconds: float) -> int:
    """Run one module for :func:`run_side_by_side`; write its result to ``path``."""

    def on_hang(name: str) -> None:
        result.tally.failed[name] = "hung"
        _write_result(result.tally, path)

    result = Result(Watchdog(hang_seconds, on_hang))
    unittest.TestLoader().loadTestsFromName(module).run(result)
    _write_result(result.tally, path)
    return 1 if result.tally.failed else 0


def _write_result(tally: Tally, path: Path) -> None:
    steps = counting.read("\n".join(counting.lines()))
    form = {
        "ran": tally.ran,
        "failed": tally.failed,
        "seconds": tally.seconds,
        "steps": steps,
    }
    path.write_text(json.dumps(form), "utf-8")


if __name__ == "__main__":
    sys.exit(main())
