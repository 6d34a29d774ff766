"""Which parts of the proof belong to which property.

A part is one command. Several properties may rest on the same part; it runs once. The
names of specifications are those of ``python -m spec``, the names of areas are folders
under tests/. docs/PROOFS.md has the mechanisms and the single tests.
"""

from dataclasses import dataclass

from spec import registered


@dataclass(frozen=True, slots=True)
class Property:
    """One line of what must always hold, and the parts that show it."""

    name: str
    specifications: tuple[str, ...]
    areas: tuple[str, ...]


#: Areas of which a property is named below are run with their long randomised runs; the
#: area spec ties the specifications' steps to the core's.
PROPERTIES = (
    Property(
        "No more replicas are loaded than the template decided",
        ("slots",),
        ("spec", "core", "slotkeeping", "agent", "fleet"),
    ),
    Property(
        "Accelerator memory is never overcommitted",
        ("memory",),
        ("spec", "core", "agent", "fleet"),
    ),
    Property(
        "A waiting request is served or refused in time",
        ("drain",),
        ("core", "policy", "entry", "agent", "fleet"),
    ),
    Property(
        "Each caller receives the whole answer to its own request",
        ("drain",),
        ("entry", "agent", "fleet"),
    ),
    Property(
        'A refusal that says "not run" is true',
        ("claims",),
        ("spec", "agent", "entry", "core"),
    ),
    Property(
        "A non-idempotent request runs at most once",
        ("claims",),
        ("spec", "agent", "entry", "fleet"),
    ),
    Property(
        "A leaving backend server gets no new work",
        ("drain",),
        ("membership", "core", "entry", "fleet"),
    ),
    Property(
        "Every planned stop cuts no request",
        ("drain",),
        ("core", "entry", "agent", "fleet"),
    ),
    Property(
        "An accepted configuration is in force and never reverts",
        ("documents",),
        ("spec", "membership", "cli", "fleet"),
    ),
)


def specifications() -> tuple[str, ...]:
    """The specifications to explore: all of them, each once."""
    return tuple(registered())


def areas() -> tuple[str, ...]:
    """The areas to run, each once, in the order of their first mention."""
    named: dict[str, None] = {}
    for prop in PROPERTIES:
        named.update(dict.fromkeys(prop.areas))
    return tuple(named)
