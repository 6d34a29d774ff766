"""Listed processes that haven't been met yet."""

from __future__ import annotations

import random
from collections.abc import Iterable

from bambootiller_core.types import Member


class Candidates:
    """Members as the platform lists them, until one of them has spoken for itself."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._members: dict[str, Member] = {}

    def all(self) -> tuple[Member, ...]:
        """All candidates."""
        return tuple(self._members.values())

    def replace(self, members: Iterable[Member]) -> None:
        """Hold these, and no others."""
        self._members = {member.instance: member for member in members}

    def met(self, member: Member) -> None:
        """Forget the candidate that ``member`` was.

        A configured seed is known by its address only, so the address decides as well.
        """
        self._members = {
            name: candidate
            for name, candidate in self._members.items()
            if name != member.instance and candidate.address != member.address
        }

    def draw(self) -> Member | None:
        """One candidate at random, or None if there is none."""
        return self._rng.choice(self.all()) if self._members else None
