"""The rates that the key-value service allows, and what it counts."""

from dataclasses import dataclass


class RateLimit:
    """Allows *rate* calls a second, and a burst of as many as fit one second.

    A rate of 0 means that there is no limit.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._tokens = rate
        self._at: float | None = None

    def take(self, now: float) -> bool:
        """Takes one call at the monotonic second *now*; says whether it is allowed."""
        if self.rate <= 0:
            return True
        if self._at is not None:
            gained = (now - self._at) * self.rate
            self._tokens = min(self.rate, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class CallCounts:
    """Calls since the start or the last reset; *watches* are those open now."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    watches_opened: int = 0
    keepalives: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0

    def reset(self) -> None:
        """Sets everything to zero but the watches that are open."""
        self.reads = 0
        self.writes = 0
        self.watches_opened = 0
        self.keepalives = 0
        self.refused = 0
        self.bytes_in = 0
        self.bytes_out = 0
