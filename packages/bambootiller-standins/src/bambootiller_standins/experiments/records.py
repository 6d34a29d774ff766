"""What becomes of each request, and the time that replicas stand idle."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from .arrivals import Arrival


class Ending(enum.Enum):
    """How a request ended, seen from its caller."""

    ANSWERED = "answered in time"
    REFUSED = "refused in time"
    LATE = "ended late"
    DROPPED = "dropped"


@dataclass(slots=True, eq=False)
class Record:
    """One caller's request. ``cold`` if no replica was loaded when it arrived.

    ``bare_load_s`` are the load times at each holder at that time, with nothing else
    going on; ``served_by`` is the holder that the first token came from.
    """

    arrival: Arrival
    cold: bool
    bare_load_s: dict[str, float]
    served_by: str = ""
    first_token_at: float | None = None
    ended_at: float | None = None
    answered: bool = False
    code: str = ""
    attempts: int = 0

    @property
    def deadline(self) -> float:
        """When the caller's time is up."""
        return self.arrival.at + self.arrival.timeout_s

    @property
    def first_token_s(self) -> float | None:
        """How long the caller waited for the first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.arrival.at

    @property
    def stretch(self) -> float | None:
        """First-token time over the bare load time at the holder that served."""
        bare = self.bare_load_s.get(self.served_by)
        if bare is None or self.first_token_s is None:
            return None
        return self.first_token_s / bare

    @property
    def stretch_to_best(self) -> float | None:
        """First-token time over the least bare load time of all holders."""
        if not self.bare_load_s or self.first_token_s is None:
            return None
        return self.first_token_s / min(self.bare_load_s.values())

    @property
    def ending(self) -> Ending:
        """How the request ended."""
        if self.ended_at is None:
            return Ending.DROPPED
        if self.ended_at > self.deadline + 0.05:
            return Ending.LATE
        return Ending.ANSWERED if self.answered else Ending.REFUSED


@dataclass(slots=True)
class IdleClock:
    """Adds up how long one replica is loaded without any request on it."""

    loaded: bool = False
    open_requests: int = 0
    idle_s: float = 0.0
    loaded_s: float = 0.0
    _since: float = 0.0

    def advance(self, now: float) -> None:
        """Account for the time up to ``now``."""
        passed = now - self._since
        self._since = now
        if self.loaded:
            self.loaded_s += passed
            if self.open_requests == 0:
                self.idle_s += passed

    def set_loaded(self, now: float, loaded: bool) -> None:
        """The replica is loaded from now on, or isn't."""
        self.advance(now)
        self.loaded = loaded

    def change_open(self, now: float, by: int) -> None:
        """A request was admitted, or one ended."""
        self.advance(now)
        self.open_requests += by


@dataclass(slots=True)
class RunResult:
    """All that one run of a scenario under one policy gave."""

    records: list[Record] = field(default_factory=list)
    idle_s: float = 0.0
    loaded_s: float = 0.0
    loads: int = 0
    most_transfers: int = 0
    most_loaded: int = 0
    broken: list[str] = field(default_factory=list)
