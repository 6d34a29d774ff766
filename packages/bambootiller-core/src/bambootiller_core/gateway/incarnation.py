"""Identifies the process of a backend server that a message is about."""

from __future__ import annotations

from dataclasses import dataclass

#: How long the current incarnation must have been silent before a message about a
#: seemingly earlier one counts as current rather than late. Writes and messages are
#: delayed by seconds at most, a registration expires within three heartbeats, and an
#: agent reports twice a second. Seconds.
TAKEOVER_SILENCE_S = 10.0


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation of a backend server, from a start of it to its end. Comments also
    call it a start of the backend server.

    A backend server may restart under the same name. It then holds nothing from before
    and its counters start again, so the name alone doesn't identify its state.
    ``started_ms`` is the time of the start in Unix milliseconds by its own clock, None
    if unknown; then incarnations can't be distinguished.

    Example::

        if reported.precedes(known):
            return  # A late message about an incarnation that has ended.
    """

    instance: str
    started_ms: int | None = None

    def precedes(self, other: Incarnation) -> bool:
        """Whether this incarnation ended before the ``other`` one started.

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
        """Whether both are known to be different incarnations of one backend server."""
        return self.precedes(other) or other.precedes(self)

    def supersedes(self, other: Incarnation, silent_s: float) -> bool:
        """Whether this incarnation replaces the ``other`` one, about which no message
        has been received for ``silent_s`` seconds.

        An incarnation with an earlier start time replaces the other one only after
        :data:`TAKEOVER_SILENCE_S`. If the clock of the backend server is set back
        between two starts, all messages about the second incarnation look late. If they
        were dropped forever, a healthy backend server would get no calls.
        """
        if other.precedes(self):
            return True
        return self.precedes(other) and silent_s >= TAKEOVER_SILENCE_S
