"""Runs test modules side by side, each in a process of its own.

Nearly all of a run is waiting: for processes to start, for time limits to pass. One
process on one core waits for them one after the other. A process for each module keeps
what one of them leaves behind (event loops, metrics, environment) from the next.

A module whose process dies without a result counts as one failed test, because what
isn't reported isn't shown to pass.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class ModuleResult:
    """What one module's process reported, and what it printed."""

    module: str
    ran: list[str] = field(default_factory=list)
    failed: dict[str, str] = field(default_factory=dict)
    seconds: dict[str, float] = field(default_factory=dict)
    steps: dict[str, int] = field(default_factory=dict)
    output: str = ""


def run_modules(
    modules: list[str], jobs: int, root: Path, flags: list[str]
) -> Iterator[ModuleResult]:
    """Run each module in a process, ``jobs`` at a time; yields results as they end."""
    with ThreadPoolExecutor(jobs) as pool:
        waiting = [pool.submit(_run_one, name, root, flags) for name in modules]
        for fut in as_completed(waiting):
            yield fut.result()


def _run_one(module: str, root: Path, flags: list[str]) -> ModuleResult:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "result.json"
        done = subprocess.run(
            [sys.executable, "-m", "tests", "--module", module, "--result", str(path)]
            + flags,
            cwd=root,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
        )
        if not path.exists():
            detail = f"its process ended with code {done.returncode} and no result"
            return ModuleResult(module, failed={module: detail}, output=done.stdout)
        return ModuleResult(
            module, output=done.stdout, **json.loads(path.read_text("utf-8"))
        )
