"""Reading the raw figures back, for the page."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bambootiller_standins.capacity._slopes import Fit, fit


@dataclass(frozen=True, slots=True)
class Results:
    """The raw figures of all measurements, by name."""

    raw: dict[str, dict[str, Any]]

    @classmethod
    def load(cls, folder: Path) -> Results:
        """All raw files of a folder."""
        paths = sorted(folder.glob("*.json"))
        return cls({path.stem: json.loads(path.read_text("utf-8")) for path in paths})

    def value(self, path: str) -> Any:
        """A single value, as ``measurement/name/...``; names may hold slashes."""
        name, rest = path.split("/", 1)
        return _dig(self.raw[name]["values"], rest)

    def points(self, measurement: str, series: str) -> list[tuple[float, float]]:
        """The points of a series."""
        found = self.raw[measurement]["series"][series]["points"]
        return [(x, y) for x, y in found]

    def fit(self, measurement: str, series: str) -> Fit:
        """The line through a series."""
        return fit(self.points(measurement, series))

    def logarithmic(self, measurement: str, series: str) -> Fit:
        """The line through a series against the logarithm, to base 2, of its x."""
        found = self.points(measurement, series)
        return fit([(math.log2(x), y) for x, y in found])

    def last(self, measurement: str, series: str) -> float:
        """What was measured at the largest x."""
        return max(self.points(measurement, series))[1]


def _dig(values: Any, path: str) -> Any:
    """Follow a path whose parts may themselves hold slashes."""
    if path in values:
        return values[path]
    for end in range(len(path) - 1, 0, -1):
        if path[end] == "/" and path[:end] in values:
            return _dig(values[path[:end]], path[end + 1 :])
    raise KeyError(path)
