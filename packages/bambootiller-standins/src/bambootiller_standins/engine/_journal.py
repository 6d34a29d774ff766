"""A record of what holds accelerator memory and when, which outlives the engine that
wrote it.

Times are readings of the monotonic clock.  All processes of one machine share that
clock, so the records of several engines can be laid side by side.
"""

import enum
import json
import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path


class Entry(enum.StrEnum):
    """What a line of the journal says."""

    START = "start"
    HELD = "held"
    RELEASED = "released"
    OVERCOMMITTED = "overcommitted"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class JournalLine:
    """One line: monotonic seconds, what happened, and to which model."""

    at: float
    entry: Entry
    model: str = ""
    engine: str = ""


class Journal:
    """Keeps the lines in memory, and appends them to a file if there is one."""

    def __init__(self, path: str | None, engine: str) -> None:
        self.lines: list[JournalLine] = []
        self._engine = engine
        self._file = open(path, "a", encoding="utf-8") if path else None

    def write(self, entry: Entry, model: str = "") -> None:
        """Adds a line."""
        line = JournalLine(time.monotonic(), entry, model, self._engine)
        self.lines.append(line)
        if self._file is not None:
            self._file.write(json.dumps(asdict(line)) + "\n")
            # A line that still sat in a buffer would be lost with a killed engine, and
            # an overlap would go unseen.
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()


def read_journal(path: str | Path) -> list[JournalLine]:
    """Returns the lines of a journal's file; a last line that was cut is left out."""
    lines = []
    for text in Path(path).read_text(encoding="utf-8").splitlines():
        try:
            raw = json.loads(text)
        except ValueError:
            break
        raw["entry"] = Entry(raw["entry"])
        lines.append(JournalLine(**raw))
    return lines


def append_gone(path: str | Path, at: float) -> None:
    """Records on behalf of a killed engine that it has held nothing since *at*."""
    line = JournalLine(at, Entry.GONE)
    with open(path, "a", encoding="utf-8") as file:
        file.write(json.dumps(asdict(line)) + "\n")


def most_replicas(journals: Iterable[Iterable[JournalLine]], model: str) -> int:
    """Returns how many engines held *model* at the same moment at most.

    A replica counts from the moment its load begins until its unload has ended, or its
    engine has gone.

    >>> most_replicas([first.journal.lines, second.journal.lines], "tutor")
    1
    """
    steps = []
    for journal in journals:
        held = False
        for line in sorted(journal, key=lambda line: line.at):
            begins = line.entry is Entry.HELD and line.model == model
            ends = line.entry is Entry.RELEASED and line.model == model
            ends = ends or line.entry in (Entry.GONE, Entry.START)
            if begins and not held:
                steps.append((line.at, 1))
                held = True
            elif ends and held:
                steps.append((line.at, -1))
                held = False
    most = now = 0
    for _, step in sorted(steps):
        now += step
        most = max(most, now)
    return most
