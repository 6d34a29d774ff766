"""Which members a process probes, and through whom."""

from __future__ import annotations

import random

from bambootiller_core._member_table import MemberTable
from bambootiller_core._probing import ProbeRound
from bambootiller_core._statements import Status
from bambootiller_core.types import Member


class Targets:
    """Chooses from the table of members, in the order of the round."""

    def __init__(
        self, table: MemberTable, round_: ProbeRound, rng: random.Random, helpers: int
    ) -> None:
        self._table = table
        self._round = round_
        self._rng = rng
        self._most_helpers = helpers

    def accused(self) -> Member | None:
        """Whom this process suspects: once each, and again after each word of it.

        What goes wrong: the suspicion spreads to others first, and the one that could
        refute it hears of it last. If it runs in slices, the probe of the next period
        comes while it doesn't run. A probe right now carries the suspicion to it.
        """
        name = self._round.next_accused()
        entry = self._table.get(name) if name is not None else None
        suspected = entry is not None and entry.status is Status.SUSPECT
        return entry.member if suspected else None

    def of_round(self) -> Member | None:
        """An urgent one, else the next peer of the round."""
        while (name := self._round.next_urgent()) is not None:
            entry = self._table.get(name)
            if entry is not None:
                return entry.member
        name = self._round.next(member.instance for member in self._table.peers())
        entry = self._table.get(name) if name is not None else None
        return entry.member if entry is not None else None

    def dead_one(self) -> Member | None:
        """One dead member, because after a partition nobody else would.

        The probe tells it that it is taken for dead, and it refutes.
        """
        held = self._table.not_alive()
        dead = [entry.member for entry in held if entry.status is Status.DEAD]
        return self._rng.choice(dead) if dead else None

    def helpers(self, target: str) -> tuple[Member, ...]:
        """Random peers through which ``target`` is probed."""
        able = [
            member
            for member in self._table.peers()
            if member.instance != target
            and self._table.get(member.instance).status is Status.ALIVE
        ]
        return tuple(self._rng.sample(able, min(self._most_helpers, len(able))))
