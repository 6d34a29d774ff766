"""The measurements by name, each a coroutine that returns its figures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from bambootiller_standins.capacity._slopes import Series


@dataclass(slots=True)
class Figures:
    """What one measurement gave: series of points, and single values with units in
    their names."""

    series: list[Series] = field(default_factory=list)
    values: dict[str, Any] = field(default_factory=dict)

    def form(self) -> dict[str, Any]:
        """Everything as JSON values."""
        return {
            "series": {series.name: series.form() for series in self.series},
            "values": self.values,
        }


@dataclass(frozen=True, slots=True)
class Effort:
    """How much a run may take. ``quick`` serves trials and tests, not the page."""

    quick: bool = False

    def sizes(self, whole: tuple[int, ...], quick: tuple[int, ...]) -> tuple[int, ...]:
        """The sizes to measure at."""
        return quick if self.quick else whole

    def seconds(self, whole: float) -> float:
        """How long to watch something."""
        return whole / 5 if self.quick else whole


Measure = Callable[[Effort], Awaitable[Figures]]

MEASUREMENTS: dict[str, Measure] = {}


def measurement(name: str) -> Callable[[Measure], Measure]:
    """Decorator that adds a measurement under ``name``.

    @measurement("imports")
    async def imports(effort: Effort) -> Figures: ...
    """

    def add(measure: Measure) -> Measure:
        if name in MEASUREMENTS:
            raise ValueError(f"name {name!r} is taken by another measurement")
        MEASUREMENTS[name] = measure
        return measure

    return add
