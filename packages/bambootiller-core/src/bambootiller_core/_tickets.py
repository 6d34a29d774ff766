"""What the gossip has asked of others and not yet heard about."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.documents import Head
from bambootiller_core.types import Member


@dataclass(frozen=True, slots=True)
class ProbedDirectly:
    """A probe of the membership, by its number there, and who has to answer it."""

    number: int
    instance: str


@dataclass(slots=True)
class ProbedThrough:
    """An indirect probe, shared by the tickets of its helpers.

    ``open`` counts the helpers that haven't answered, ``answered`` those that have.
    """

    number: int
    open: int
    answered: int = 0


@dataclass(frozen=True, slots=True)
class Pushed:
    """Changes were passed on; nothing depends on the answer."""


@dataclass(frozen=True, slots=True)
class Compared:
    """Digests were sent, for the second time if ``again``."""

    member: Member
    again: bool


@dataclass(frozen=True, slots=True)
class Joined:
    """Everything was asked for."""


@dataclass(frozen=True, slots=True)
class Fetched:
    """Documents were asked for; ``tries`` counts the peers asked in a row."""

    member: Member
    heads: tuple[Head, ...]
    tries: int


Purpose = ProbedDirectly | ProbedThrough | Pushed | Compared | Joined | Fetched


class Tickets:
    """Numbers that stand for what was asked; each is closed once."""

    def __init__(self) -> None:
        self._open: dict[int, Purpose] = {}
        self._last = 0

    def __len__(self) -> int:
        return len(self._open)

    def open(self, purpose: Purpose) -> int:
        """A new ticket."""
        self._last += 1
        self._open[self._last] = purpose
        return self._last

    def close(self, ticket: int) -> Purpose | None:
        """What a ticket stood for; None if it was closed before."""
        return self._open.pop(ticket, None)
