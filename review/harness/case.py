"""The frame of a case: its record, its exit code and its time limit."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, VOID = 0, 1, 2
#: A run that takes longer counts as one that could not run. Seconds.
MAX_RUN_S = 110.0


class Record:
    """Writes ``record.txt``: a line for all that was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def __call__(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


def has_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder: Path, play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Play a case and exit with its code; ``play`` returns whether the rule held."""
    record = Record(folder / "record.txt")
    trouble = has_trouble()
    record("begins", trouble=int(trouble))
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), MAX_RUN_S))
        code = HELD if held else BROKEN
    except BaseException:
        record("could not run", error=traceback.format_exc())
        code = VOID
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
    record(verdict.get(code, "void"), exit=code)
    print(f"{folder.name}: {verdict.get(code, 'the case could not run')}")
    sys.exit(code)
