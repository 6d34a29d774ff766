"""The size that the measured slopes are carried to, and what is assumed besides."""

from __future__ import annotations

from dataclasses import dataclass

DAY_SECONDS = 86_400


@dataclass(frozen=True, slots=True)
class Target:
    """The fleet that the system has to carry in about two years.

    ``customers``, ``callers`` and the share of non-idempotent calls are assumptions;
    the users' letter doesn't name them, and the page says so.
    """

    entries: int = 390
    agents: int = 3_400
    models: int = 1_200
    adapters: int = 31_000
    zones: int = 8
    regions: int = 3
    requests: float = 1_600.0
    tokens: float = 590_000.0
    changes_a_day: int = 4_800
    failures_a_day: int = 46
    restarts_a_day: int = 480
    customers: int = 30
    callers: int = 10

    @property
    def members(self) -> int:
        """All processes of the system."""
        return self.entries + self.agents

    @property
    def zone_members(self) -> int:
        """The processes that go with one availability zone."""
        return self.members // self.zones

    @property
    def zone_slots(self) -> int:
        """The slots whose holders go with one availability zone."""
        return self.agents // self.zones


TARGET = Target()
