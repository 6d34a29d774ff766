"""What is known of the members of the fleet, and the port through which they are asked.

These are values only. The members are asked over the network by
:mod:`bambootiller.operators.fleet`, which commands that ask nobody needn't load.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from bambootiller.instanceforms import LIVE


@dataclass(frozen=True, slots=True)
class MemberRef:
    """A member to ask. Only the address is sure before it has answered."""

    address: str
    instance: str = ""
    role: str = ""
    zone: str = ""
    state: str = LIVE

    @property
    def label(self) -> str:
        """The instance's name, or the address until it is known."""
        return self.instance or self.address


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member says of itself."""

    ref: MemberRef
    instance: str
    role: str
    zone: str
    leaving: bool
    template_versions: dict[str, int]
    revision: int
    members_alive: int
    members_known: int
    detail: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A member that couldn't be asked, and how one noticed."""

    ref: MemberRef
    detail: str


@dataclass(frozen=True, slots=True)
class Survey:
    """The answers of all members, and the members without one, each by instance."""

    answers: tuple[MemberStatus, ...]
    silent: tuple[NoAnswer, ...]


@dataclass(frozen=True, slots=True)
class Decisions:
    """The decision records that one member holds about a subject, oldest first."""

    instance: str
    records: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What all members together know about a subject."""

    subject: str
    found: tuple[Decisions, ...]
    silent: tuple[NoAnswer, ...]


@dataclass(frozen=True, slots=True)
class NoMembers:
    """No member is known, so nobody can be asked."""

    detail: str


Progress = Callable[[int, int], None]


class Fleet(Protocol):
    """What the commands need of the fleet; tests put a small fake in its place."""

    async def survey(self, progress: Progress | None = None) -> Survey | NoMembers:
        """Ask all members for their status."""

    async def explain(
        self, subject: str, progress: Progress | None = None
    ) -> Explanation | NoMembers:
        """Ask all members for their records about a subject."""

    async def close(self) -> None:
        """Release the connections."""
