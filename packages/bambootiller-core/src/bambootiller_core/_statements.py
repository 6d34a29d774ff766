"""What processes state about one another, and which of two statements holds.

A statement names a member at one of its incarnations, with a status. The incarnation is
raised by the member alone. Statements reach a process late, twice and in any order, so
two of them must compare the same way everywhere:

* A higher incarnation wins, whatever the status. It is the member's own later word, and
  only by it can a member that was suspected, or taken for dead, come back.
* At equal incarnations the graver status wins: alive, suspect, leaving, dead. A
  suspicion is so heard before the member refutes it, and a death ends it. Leaving
  outranks suspicion, because a suspicion that hid it would let routers send new work to
  a member that has already announced its stop.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

import xxhash

from bambootiller_core.types import Member


class Status(enum.Enum):
    """How a member stands. Only ``ALIVE`` members are to be given new work."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


_GRAVITY = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.LEAVING: 2,
    Status.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class Statement:
    """A member at the incarnation ``member.incarnation`` has ``status``."""

    member: Member
    status: Status

    @property
    def instance(self) -> str:
        """The instance that the statement is about."""
        return self.member.instance

    @property
    def incarnation(self) -> int:
        """The incarnation that the statement is about."""
        return self.member.incarnation


def supersedes(new: Statement, held: Statement) -> bool:
    """Whether ``new`` holds instead of ``held``; never so for equals."""
    if new.incarnation != held.incarnation:
        return new.incarnation > held.incarnation
    return _GRAVITY[new.status] > _GRAVITY[held.status]


def with_status(statement: Statement, status: Status) -> Statement:
    """The same member at the same incarnation with another status."""
    return Statement(statement.member, status)


def raised(member: Member, incarnation: int) -> Member:
    """The same member at another incarnation."""
    return replace(member, incarnation=incarnation)


def fingerprint(statement: Statement) -> int:
    """64 bits that stand for a statement in a digest of all members.

    A death counts as absence, because processes forget the dead at different times. A
    suspicion counts as life, because it ends by itself within seconds; counted apart,
    it would make digests differ, and full exchanges follow, with each lost probe.
    """
    if statement.status is Status.DEAD:
        return 0
    leaving = statement.status is Status.LEAVING
    text = f"{statement.instance}\0{statement.incarnation}\0{leaving:d}"
    return xxhash.xxh3_64_intdigest(text.encode())
