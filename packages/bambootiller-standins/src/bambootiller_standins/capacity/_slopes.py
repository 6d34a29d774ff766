"""Straight lines through measured points, by least squares, with their spread."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy

LEAST_POINTS = 2


@dataclass(frozen=True, slots=True)
class Fit:
    """``y = intercept + slope * x``. ``spread`` is the slope's standard error.

    With just two points the line goes through both and the spread isn't known; it is
    then infinite, so that nobody takes it for none.
    """

    slope: float
    intercept: float
    spread: float

    def at(self, x: float) -> float:
        """What the line gives at ``x``."""
        return self.intercept + self.slope * x

    def spread_at(self, x: float) -> float:
        """How far the slope's standard error moves what the line gives at ``x``."""
        return abs(self.spread * x)


@dataclass(frozen=True, slots=True)
class Series:
    """Points of one figure against one quantity; units stand in the labels.

    >>> Series("sizes", "members", "bytes", ((1, 3), (2, 5), (3, 7))).fit().slope
    2.0
    """

    name: str
    x: str
    y: str
    points: tuple[tuple[float, float], ...]

    def fit(self) -> Fit:
        """The line of least squares through the points."""
        return fit(self.points)

    def form(self) -> dict[str, Any]:
        """The points and their line as JSON values."""
        line = asdict(self.fit()) if len(self.points) >= LEAST_POINTS else None
        if line and math.isinf(line["spread"]):
            line["spread"] = None
        return {"x": self.x, "y": self.y, "points": self.points, "fit": line}


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The line of least squares through ``points``, at two values of x or more."""
    if len({x for x, _ in points}) < LEAST_POINTS:
        raise ValueError(f"points are {points}; two values of x or more are needed")
    xs = numpy.array([x for x, _ in points], dtype=float)
    ys = numpy.array([y for _, y in points], dtype=float)
    slope, intercept = numpy.polyfit(xs, ys, 1)
    freedom = len(points) - 2
    if freedom == 0:
        return Fit(float(slope), float(intercept), math.inf)
    residual = ys - (intercept + slope * xs)
    variance = float(residual @ residual) / freedom
    spread = math.sqrt(variance / float(((xs - xs.mean()) ** 2).sum()))
    return Fit(float(slope), float(intercept), spread)


def plane(rows: Sequence[tuple[float, ...]]) -> tuple[tuple[float, float], ...]:
    """Several slopes at once: each row is x1, x2, ..., y; no intercept is fitted.

    Returns each coefficient with its standard error. Add a column of ones, or of
    seconds, for what is spent whatever the others are.
    """
    table = numpy.array(rows, dtype=float)
    xs, ys = table[:, :-1], table[:, -1]
    found, *_ = numpy.linalg.lstsq(xs, ys, rcond=None)
    residual = ys - xs @ found
    freedom = len(ys) - xs.shape[1]
    if freedom <= 0:
        return tuple((float(value), math.inf) for value in found)
    variance = float(residual @ residual) / freedom
    spread = numpy.sqrt(numpy.diag(numpy.linalg.inv(xs.T @ xs)) * variance)
    return tuple((float(one), float(two)) for one, two in zip(found, spread))
