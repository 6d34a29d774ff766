"""What one process still has to tell another of what it has learnt.

Whatever is learnt has a version, which rises, and a source: the peer that told of it,
empty for what was seen here.

Example::

    untold = Untold(since=7, own=True, but_from="a1")
    untold.covers(version=9, source="")    # True
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Untold:
    """What was learnt after the version ``since``; ``own`` leaves out what others told,
    ``but_from`` what that peer did."""

    since: int = 0
    own: bool = False
    but_from: str = ""

    def covers(self, version: int, source: str) -> bool:
        """Whether something of that version and source is to be told."""
        if version <= self.since or (self.own and source):
            return False
        return not source or source != self.but_from
