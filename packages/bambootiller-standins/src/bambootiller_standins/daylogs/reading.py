"""The lines of a run: one JSON object each, behind the time and the instance.

Example::

    for line in read_lines(Path("run.log")):
        print(line.at, line.instance, line.fields["event"])
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")


@dataclass(frozen=True, slots=True)
class LoggedLine:
    """One event; ``at`` in seconds from the start of traffic."""

    at: float
    instance: str
    fields: Mapping[str, Any]

    @property
    def event(self) -> str:
        """The kind of the line."""
        return self.fields["event"]


def read_lines(path: Path) -> list[LoggedLine]:
    """All events of the file in the order of their times; other text is left out."""
    found = []
    with path.open(errors="replace") as file:
        for raw in file:
            match = _LINE.match(raw)
            if match is None:
                continue
            try:
                fields = json.loads(match.group(3))
            except ValueError:
                continue
            if "event" in fields:
                found.append(LoggedLine(float(match.group(1)), match.group(2), fields))
    return sorted(found, key=lambda line: line.at)
