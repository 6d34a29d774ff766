"""The parts of the proof: commands that are run one after another and read."""

import json
import re
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from tests.common import counting

ROOT = Path(__file__).resolve().parent.parent.parent
CLOSING = re.compile(r"^(\d+) passed, (\d+) failed$")
FAILED = "failed: "
KNOWN_RED = "KNOWN-RED (failed as known): "


@dataclass(frozen=True, slots=True)
class PartResult:
    """What one part showed.

    ``states`` are those of sound specifications, ``caught`` and ``variants`` the broken
    ones; ``steps`` are the randomised ones by run. A part is ``whole`` if all of it ran
    and nothing failed; a test that is known to fail counts as failed here.
    """

    name: str
    whole: bool
    seconds: float
    states: int = 0
    caught: int = 0
    variants: int = 0
    passed: int = 0
    failed: tuple[str, ...] = ()
    steps: tuple[tuple[str, int], ...] = ()

    @property
    def all_steps(self) -> int:
        return sum(steps for _, steps in self.steps)


def run_specification(name: str) -> PartResult:
    """Explore a specification within all its bounds, and its broken variants."""
    command = ["spec", "--spec", name, "--variants", "--larger", "--json"]
    began = time.monotonic()
    code, output = _run(command)
    return read_specification(name, code, output, time.monotonic() - began)


def run_area(name: str) -> PartResult:
    """Run the tests of an area, with the long randomised runs."""
    began = time.monotonic()
    code, output = _run(["tests", name, "--long"])
    return read_area(name, code, output, time.monotonic() - began)


def read_specification(name: str, code: int, output: str, seconds: float) -> PartResult:
    """The result in the JSON that ``python -m spec`` printed."""
    try:
        reports = json.loads(output)
    except ValueError:
        # The command ended before it had written its one document.
        return PartResult(name, False, seconds, failed=(output[-200:],))
    sound = [report for report in reports if report["variant"] is None]
    broken = [report for report in reports if report["variant"] is not None]
    bad = [report for report in reports if not report["as_expected"]]
    return PartResult(
        name,
        whole=code == 0 and bool(sound) and bool(broken) and not bad,
        seconds=seconds,
        states=sum(report["states"] for report in sound),
        caught=sum(report["as_expected"] for report in broken),
        variants=len(broken),
        failed=tuple(str(report["variant"] or report["bounds"]) for report in bad),
    )


def read_area(name: str, code: int, output: str, seconds: float) -> PartResult:
    """The result in the lines that ``python -m tests`` printed."""
    lines = output.splitlines()
    closing = CLOSING.match(lines[-1]) if lines else None
    failed = [line.removeprefix(FAILED) for line in lines if line.startswith(FAILED)]
    known = [line for line in lines if line.startswith(KNOWN_RED)]
    if closing is None:
        # A run that was ended from outside has no closing line.
        return PartResult(name, False, seconds, failed=("didn't end by itself",))
    return PartResult(
        name,
        whole=code == 0 and not failed and not known and int(closing[1]) > 0,
        seconds=seconds,
        passed=int(closing[1]),
        failed=tuple(failed),
        steps=tuple(sorted(counting.read(output).items())),
    )


def _run(module_and_arguments: list[str]) -> tuple[int, str]:
    """Run a module and answer its exit code and what it printed."""
    command = [sys.executable, "-m", *module_and_arguments]
    with tempfile.TemporaryFile("w+") as out:
        code = subprocess.run(command, cwd=ROOT, stdout=out, check=False).returncode
        out.seek(0)
        return code, out.read()
