"""Random walks of a specification, with fixed seeds, mirrored by the core."""

import random
from collections import Counter

from spec import Action, Specification
from tests.common import counting


def walk(
    spec: Specification,
    seed: int,
    steps: int,
    mirror,
    rare: frozenset[str] = frozenset(),
) -> Counter:
    """
    Take random steps that the mirror can follow, and have it follow each one.

    `mirror.choices(state, successors)` narrows what the specification allows to what
    the core can do in its place, and `mirror.follow(before, action, after)` carries it
    out and compares; it may answer with a state further on, which it has reached by
    steps of its own. Steps in `rare` (faults that end a walk's interest) are drawn
    seldom. Returns how often each step was taken.
    """
    rng = random.Random(seed)
    state = spec.initial()
    taken: Counter = Counter()
    for number in range(steps):
        successors = mirror.choices(state, list(spec.steps(state)))
        if rng.random() > 0.05:
            common = [one for one in successors if one[0].name not in rare]
            successors = common or successors
        if not successors:
            break
        action, after = _draw(rng, successors)
        try:
            after = mirror.follow(state, action, after) or after
        except Exception as exc:
            where = f"seed {seed}, step {number}: {action}\n  {state}\n  {after}"
            raise AssertionError(f"{where}\n  {type(exc).__name__}: {exc}") from exc
        taken[action.name] += 1
        counting.add(f"walks of the specification, {spec.name}")
        state = after
    return taken


def _draw(rng: random.Random, successors: list[tuple[Action, tuple]]):
    """Draw a name first, so that a step with many arguments isn't drawn most."""
    names = sorted({action.name for action, _ in successors})
    name = rng.choice(names)
    return rng.choice([one for one in successors if one[0].name == name])
