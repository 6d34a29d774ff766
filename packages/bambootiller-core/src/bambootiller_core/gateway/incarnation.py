"""Which start of a backend server something was said of."""

from __future__ import annotations

from dataclasses import dataclass

#: For how long word of an earlier start counts as late. Writes and messages are held up
#: for seconds at most; a registration lapses within three heartbeats, and an agent
#: speaks twice a second. Seconds.
TAKEOVER_SILENCE_S = 10.0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a backend server.

    A backend server may start again under the name that it had. It then holds nothing
    of before and counts anew, so the name alone doesn't say what is true of it.
    ``started_ms`` is the Unix millisecond of the start by its own clock, None if nobody
    has told it; then the name alone has to do.

    Example::

        if said_of.precedes(known):
            return  # Late word of a start that has ended.
    """

    instance: str
    started_ms: int | None = None

    def precedes(self, other: Incarnation) -> bool:
        """Whether this start had ended before the ``other`` one began.

        >>> Incarnation("b1", 5).precedes(Incarnation("b1", 7))
        True
        >>> Incarnation("b1").precedes(Incarnation("b1", 7))
        False
        """
        if self.instance != other.instance:
            return False
        if self.started_ms is None or other.started_ms is None:
            return False
        return self.started_ms < other.started_ms

    def differs_from(self, other: Incarnation) -> bool:
        """Whether both are known to be different starts of one backend server."""
        return self.precedes(other) or other.precedes(self)

    def supersedes(self, other: Incarnation, silent_s: float) -> bool:
        """Whether this start takes the place of the ``other`` one, of which nothing was
        heard for ``silent_s`` seconds.

        A start that tells an earlier time does so only after a while. If the clock is
        set back between two starts, all words of the second look late; dropped for
        good, they would leave a healthy backend server without work.
        """
        if other.precedes(self):
            return True
        return self.precedes(other) and silent_s >= TAKEOVER_SILENCE_S
