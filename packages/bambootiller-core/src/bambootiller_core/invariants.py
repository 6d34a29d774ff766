"""Broken invariants, the only errors that stop a process.

Everything that can go wrong in operation is an outcome, returned as a value. What is
asserted here is different: it holds unless the program itself is wrong, and a process
that goes on after such a fault would overcommit memory or run a call twice. So it stops
with a report instead, and the processes beside it repair what it held.
"""


class InvariantBroken(Exception):
    """A property that the program guarantees doesn't hold.

    ``name`` is the property's short name as it stands in the proofs page, ``report``
    the figures that show the violation."""

    def __init__(self, name: str, report: str) -> None:
        super().__init__(f"invariant {name} is broken: {report}")
        self.name = name
        self.report = report


def ensure(holds: bool, name: str, report: str) -> None:
    """Raise :class:`InvariantBroken` unless ``holds``."""
    if not holds:
        raise InvariantBroken(name, report)
