"""
Explore a specification exhaustively with minicheck.

`minicheck.check_safety` sweeps the reachable states breadth first, so its
counterexample is a shortest one, and it tells a complete sweep from one that stopped
early. It reports neither depth nor the steps that were taken, and it goes on after a
counterexample. The wrapper `_Watched` adds these three: it counts depth and steps
while it hands out successors, and ends the sweep once an invariant has failed.

    >>> report = check(registered()["slots"]())
    >>> report.verdict
    'holds'
"""

import time
from dataclasses import dataclass

import minicheck
from minicheck._core import SearchIncomplete

from spec._model import Action, Specification

MAX_STATES = 3_000_000

HOLDS = "holds"
BROKEN = "broken"
UNDECIDED = "undecided"


class _FirstViolationFound(SearchIncomplete):
    """Ends a sweep early; minicheck keeps the counterexample that it has found."""


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One line of a counterexample: the action (None at the start) and the state."""

    action: Action | None
    state: tuple


@dataclass(frozen=True, slots=True)
class Report:
    """
    The result of one exploration.

    `verdict` is `holds` (every reachable state was visited and no invariant failed),
    `broken` (`violated` names the invariant, `trace` is a shortest way there) or
    `undecided` (the sweep ended early without a violation). `seconds` is measured
    wall time. `never_taken` names declared steps that the exploration never took.
    """

    spec: str
    variant: str | None
    bounds: dict
    verdict: str
    states: int
    depth: int
    seconds: float
    violated: str | None
    trace: tuple[TraceStep, ...]
    never_taken: tuple[str, ...]

    @property
    def actions(self) -> tuple[str, ...]:
        """The counterexample's actions as text, without the initial state."""
        return tuple(str(s.action) for s in self.trace if s.action is not None)


class _Watched:
    """Count depth and steps of a sweep, and end it at the first violation."""

    def __init__(self, spec: Specification):
        self._spec = spec
        self._depth = {spec.initial(): 0}
        self.deepest = 0
        self.taken: set[str] = set()
        self.violated: str | None = None

    def transitions(self, state: tuple) -> list[tuple[Action, tuple]]:
        if self.violated is not None:
            raise _FirstViolationFound(self.violated)
        spec = self._spec
        successors = [
            (action, spec.normal(after)) for action, after in spec.steps(state)
        ]
        if spec.broken is None:
            # A renaming would make a counterexample hard to follow.
            successors = [
                (action, spec.canonical(after)) for action, after in successors
            ]
        below = self._depth[state] + 1
        for action, after in successors:
            self.taken.add(action.name)
            if after not in self._depth:
                self._depth[after] = below
                self.deepest = below
        return successors

    def invariant(self, name: str, holds):
        state_class = type(self._spec.initial())

        def watched(fields: dict) -> bool:
            if self.violated is not None:
                return True
            answer = holds(state_class(**fields))
            if not answer:
                self.violated = name
            return answer

        return watched


def _protocol(spec: Specification, watched: _Watched) -> minicheck.Protocol:
    initial = spec.initial()
    return minicheck.Protocol(
        name=spec.name,
        candidate=False,
        fields=type(initial)._fields,
        initial=initial,
        transitions=watched.transitions,
        invariants={
            name: watched.invariant(name, holds)
            for name, holds in spec.invariants().items()
            if spec.broken is None or name == spec.variants[spec.broken].breaks
        },
    )


def check(spec: Specification, max_states: int = MAX_STATES) -> Report:
    """Explore the specification up to `max_states` states and report the result."""
    watched = _Watched(spec)
    began = time.perf_counter()
    result = minicheck.check_safety(_protocol(spec, watched), max_states)
    seconds = time.perf_counter() - began
    trace: tuple[TraceStep, ...] = ()
    verdict = HOLDS if result["exhaustive"] else UNDECIDED
    if watched.violated is not None:
        verdict = BROKEN
        found = result["properties"][watched.violated]["counterexample"]
        state_class = type(spec.initial())
        trace = tuple(TraceStep(s["label"], state_class(**s["state"])) for s in found)
    missing = spec.expected_steps() - watched.taken if verdict == HOLDS else ()
    return Report(
        spec=spec.name,
        variant=spec.broken,
        bounds=spec.bounds,
        verdict=verdict,
        states=result["reachable_states"],
        depth=watched.deepest,
        seconds=seconds,
        violated=watched.violated,
        trace=trace,
        never_taken=tuple(sorted(missing)),
    )


def check_variant(cls: type[Specification], variant: str) -> Report:
    """Explore one broken variant of a specification, with the variant's bounds."""
    return check(cls(cls.variants[variant].bounds, broken=variant))
