"""
What a specification is: states, steps, invariants and broken variants.

A specification is a class with a tuple of state (a `NamedTuple`, so that states are
hashable and readable), an initial state, step methods and invariant methods. Steps
are generators: each value that one yields is a pair of the step's arguments and the
state after it. A step that can't happen yields nothing. The name of the method and
the arguments make up the `Action` that stands in a counterexample.

Rules that the design needs are left out one at a time by *variants*. A variant is
named in `Specification.variants`; inside the steps `self.without("name")` says that
the rule is left out in this run.

    >>> class Counter(Specification):
    ...     name = "counter"
    ...     variants = {"no_limit": Variant("count on at the limit", "at_most_two")}
    ...     def initial(self):
    ...         return CounterState(n=0)
    ...     @step
    ...     def count(self, state):
    ...         if state.n < 2 or self.without("no_limit"):
    ...             yield (), state._replace(n=state.n + 1)
    ...     @invariant
    ...     def at_most_two(self, state):
    ...         return state.n <= 2
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, ClassVar, NamedTuple

_REGISTRY: dict[str, type["Specification"]] = {}


class Action(NamedTuple):
    """One step that was taken: the name of the step's method and its arguments."""

    name: str
    args: tuple = ()

    def __str__(self) -> str:
        return f"{self.name}({', '.join(str(arg) for arg in self.args)})"


@dataclass(frozen=True, slots=True)
class Variant:
    """
    A specification with one rule left out, for which a counterexample must exist.

    `words` says what is done wrongly, `breaks` names the invariant that must fail.
    `bounds` replaces the specification's bounds where a smaller or another model
    shows the fault better. `assumption` marks a variant that breaks something which
    the environment promises, and not a rule of the system.
    """

    words: str
    breaks: str
    bounds: dict[str, Any] = field(default_factory=dict)
    assumption: bool = False


def step(func: Callable) -> Callable:
    """Mark a method as a step of the sound specification."""
    func.spec_step = True
    func.spec_step_only_in = None
    return func


def step_only_in(*variants: str) -> Callable:
    """Mark a method as a step that exists in the named broken variants alone."""

    def mark(func: Callable) -> Callable:
        func.spec_step = True
        func.spec_step_only_in = frozenset(variants)
        return func

    return mark


def invariant(func: Callable) -> Callable:
    """Mark a method as an invariant: it gets a state and answers whether it holds."""
    func.spec_invariant = True
    return func


class Specification:
    """
    Base class of the specifications; see the module's text for an example.

    `bounds` is a dictionary of the sizes of this run; names that are not in
    `default_bounds` are refused, so that a typing error can't shrink a model unseen.
    Every step that `impossible_steps` does not name has to be taken somewhere in a
    complete exploration, or the exploration proved less than it seems to.
    """

    name: ClassVar[str]
    title: ClassVar[str] = ""
    default_bounds: ClassVar[dict[str, Any]] = {}
    larger_bounds: ClassVar[tuple[dict[str, Any], ...]] = ()
    variants: ClassVar[dict[str, Variant]] = {}

    def __init__(self, bounds: dict[str, Any] | None = None, broken: str | None = None):
        if broken is not None and broken not in self.variants:
            allowed = ", ".join(self.variants)
            raise ValueError(f"broken is {broken!r}, allowed are: {allowed}")
        unknown = set(bounds or {}) - set(self.default_bounds)
        if unknown:
            allowed = ", ".join(self.default_bounds)
            raise ValueError(f"bounds has {sorted(unknown)}, allowed are: {allowed}")
        self.broken = broken
        self.bounds = {**self.default_bounds, **(bounds or {})}
        self._steps = [
            (attr, getattr(self, attr)) for attr in self._marked("spec_step")
        ]

    @classmethod
    def _marked(cls, mark: str) -> list[str]:
        names = [name for base in reversed(cls.__mro__) for name in vars(base)]
        return [n for n in dict.fromkeys(names) if hasattr(getattr(cls, n), mark)]

    def without(self, variant: str) -> bool:
        """Whether this run leaves out the rule that the variant names."""
        return self.broken == variant

    def initial(self) -> tuple:
        """The state in which every run begins."""
        raise NotImplementedError

    def normal(self, state: tuple) -> tuple:
        """The state without what no later step can tell apart, as numbers that are
        only compared."""
        return state

    def canonical(self, state: tuple) -> tuple:
        """One state that stands for all that differ by a renaming of like parts."""
        return state

    def steps(self, state: tuple) -> Iterator[tuple[Action, tuple]]:
        """Every step that can happen in the state, with the state after it."""
        for name, func in self._steps:
            only_in = func.spec_step_only_in
            if only_in is not None and self.broken not in only_in:
                continue
            for args, after in func(state):
                yield Action(name, args), after

    def invariants(self) -> dict[str, Callable[[tuple], bool]]:
        """The invariants by name, as functions of a state."""
        return {name: getattr(self, name) for name in self._marked("spec_invariant")}

    def impossible_steps(self) -> frozenset[str]:
        """The sound steps that this run's bounds make impossible."""
        return frozenset()

    def expected_steps(self) -> frozenset[str]:
        """The steps that a complete exploration of the sound model has to take."""
        names = [name for name, func in self._steps if func.spec_step_only_in is None]
        return frozenset(names) - self.impossible_steps()


def specification(cls: type[Specification]) -> type[Specification]:
    """Put the class into the registry of specifications under its name."""
    if cls.name in _REGISTRY:
        raise ValueError(f"specification {cls.name!r} is registered twice")
    _REGISTRY[cls.name] = cls
    return cls


def registered() -> dict[str, type[Specification]]:
    """All specifications by name, in the order of their registration."""
    return dict(_REGISTRY)


def changed(values: tuple, index: int, value: Any) -> tuple:
    """The tuple with one place replaced."""
    return values[:index] + (value,) + values[index + 1 :]
