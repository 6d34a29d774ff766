"""Merges the log lines of many processes into the timeline of one request.

There are two difficulties. The clocks of instances differ and may jump, so lines of
different processes can't be ordered by their timestamps alone; and most of what decided
a request was logged without its id, by other processes, before it arrived.

Each line contains the time since its process started, which is monotonic and consistent
within one process. Events that all processes observe are anchors between them: a
configuration or registration of one revision reaches all processes within a moment. The
median of the differences between the anchors' times is the offset of two processes.

Example::

    timeline = build_timeline(read_lines(text), "315a551c959c068c")
    for step in timeline.steps: print(step.at_s, step.line["event"])
"""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

Line = Mapping[str, Any]

#: Lines about the request's backend servers or model are included from this time before
#: the request to this time after it. Seconds. A load from the weight store takes
#: several.
CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 3.0
#: Events that a process logs this soon after its start are no anchors: they report the
#: state that it found, not what happened then. Seconds.
STARTUP_S = 1.0
#: Events that all processes observe at nearly the same moment.
_ANCHORS = ("config_in_force", "backend_listed")
_ABOUT_MODEL = ("order", "load_ended")
_ABOUT_BACKEND = (
    "backend_listed",
    "backend_restarted",
    "backend_removed",
    "backend_judged",
)
_ABOUT_PROCESS = (
    "started",
    "stopping",
    "stopped",
    "cut_at_stop",
    "config_in_force",
    "dependency_lost",
    "dependency_regained",
    "lines_left_out",
)


@dataclass(frozen=True, slots=True)
class Step:
    """One line of the timeline.

    ``at_s`` is the time since the request arrived, in seconds. ``own`` tells whether
    the line contains the request's id.
    """

    at_s: float
    own: bool
    line: Line


@dataclass(frozen=True, slots=True)
class Timeline:
    """The lines of a request and those that explain it, in order.

    ``unaligned`` lists the instances whose processes share no anchor with the one that
    served the request; their lines are ordered by wall-clock time, which may be wrong.
    """

    steps: tuple[Step, ...]
    unaligned: tuple[str, ...]


@dataclass(slots=True)
class _ProcessRun:
    """One run of one process, with its lines in the order in which it wrote them."""

    instance: str
    lines: list[Line]
    #: Added to its uptime to get the serving process's uptime. Seconds.
    offset_s: float = 0.0
    aligned: bool = True


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """The log lines in ``text``. Text in front of the JSON of a line is skipped, and so
    are lines without JSON."""
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "uptime_s" in line:
            yield line


def build_timeline(lines: Iterable[Line], request: str) -> Timeline | None:
    """The timeline of ``request``; None if no line contains its id."""
    runs = _runs(lines)
    serving = [
        run for run in runs if any(line.get("request") == request for line in run.lines)
    ]
    if not serving:
        return None
    for run in runs:
        _align(run, serving[0])
    own = [
        (line["uptime_s"] + run.offset_s, line)
        for run in serving
        for line in run.lines
        if line.get("request") == request
    ]
    begin, end = min(at for at, _ in own), max(at for at, _ in own)
    begin -= max(line.get("held_ms", 0) for _, line in own) / 1000
    subject = _Subject(request, [line for _, line in own], serving)
    steps = []
    unaligned = set()
    for run in runs:
        for line in run.lines:
            at = line["uptime_s"] + run.offset_s
            is_own = line.get("request") == request
            near = begin - CONTEXT_BEFORE_S <= at <= end + CONTEXT_AFTER_S
            is_same_request = subject.is_of_same_request(line)
            if is_own or is_same_request or (near and subject.concerns(run, line)):
                steps.append(Step(round(at - begin, 3), is_own, line))
                if not run.aligned:
                    unaligned.add(run.instance)
    steps.sort(key=lambda step: step.at_s)
    return Timeline(tuple(steps), tuple(sorted(unaligned)))


class _Subject:
    """What a request involves: its model, its backend servers, and the instances that
    served it."""

    def __init__(
        self, request: str, own: list[Line], serving: list[_ProcessRun]
    ) -> None:
        self._request = request
        self._serving = {run.instance for run in serving}
        self._models = {line["model"] for line in own if line.get("model")}
        self._backends = {line["backend"] for line in own if line.get("backend")}
        named = [line["fingerprint"] for line in own if line.get("fingerprint")]
        self._fingerprints = set(named)
        plans = [line["plan"] for line in own if line.get("plan")]
        self._backends |= {plan["backend"] for plan in plans if plan.get("backend")}

    def is_of_same_request(self, line: Line) -> bool:
        """Whether a line is about another attempt of the same request, by its
        fingerprint. Attempts of minutes before may be the reason why it was refused."""
        return line.get("fingerprint") in self._fingerprints

    def concerns(self, run: _ProcessRun, line: Line) -> bool:
        """Whether a line without the request's id helps to explain it."""
        event = line["event"]
        if event in _ABOUT_MODEL:
            return bool(self._models & {line.get("model"), line.get("wanted_for")})
        if event in _ABOUT_BACKEND:
            return line.get("backend") in self._backends
        if event in _ABOUT_PROCESS:
            return run.instance in self._serving
        # Other requests that lost their answer at the same backend server show whether
        # it failed, or the connection to it.
        others = event in ("answer_lost", "cannot_connect")
        return others and line.get("backend") in self._backends


def _runs(lines: Iterable[Line]) -> list[_ProcessRun]:
    """The lines by instance and process run; the uptime restarts with each run."""
    runs: list[_ProcessRun] = []
    current: dict[str, _ProcessRun] = {}
    for line in lines:
        instance = line.get("instance", "")
        run = current.get(instance)
        if run is None or line["uptime_s"] < run.lines[-1]["uptime_s"]:
            run = current[instance] = _ProcessRun(instance, [])
            runs.append(run)
        run.lines.append(line)
    return runs


def _align(run: _ProcessRun, to: _ProcessRun) -> None:
    if run is to:
        return
    there = _anchors(to)
    differences = [there[key] - at for key, at in _anchors(run).items() if key in there]
    if differences:
        run.offset_s = statistics.median(differences)
        return
    run.aligned = False
    run.offset_s = _clock_base(run) - _clock_base(to)


def _anchors(run: _ProcessRun) -> dict[tuple[Any, ...], float]:
    """The uptime at which this process first logged each anchor event."""
    seen: dict[tuple[Any, ...], float] = {}
    for line in run.lines:
        if line["event"] not in _ANCHORS or line["uptime_s"] < STARTUP_S:
            continue
        key = (line["event"], line.get("backend"), line["revision"])
        seen.setdefault(key, line["uptime_s"])
    return seen


def _clock_base(run: _ProcessRun) -> float:
    """The Unix time of the process's start: the median over its lines, since the clock
    may jump."""
    return statistics.median(line["time"] - line["uptime_s"] for line in run.lines)
