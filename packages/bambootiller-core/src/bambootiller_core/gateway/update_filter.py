"""What one process still has to tell another of what it has learnt.

Whatever is learnt has a version, which rises, and a source: the peer that told of it,
empty for what was seen here.

Example::

    untold = UpdateFilter(since=7, own=True, excluded_source="a1")
    untold.covers(version=9, source="")    # True
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpdateFilter:
    """What was learnt after the version ``since``; ``own_only`` leaves out what others told,
    ``excluded_source`` what that peer did."""

    since: int = 0
    own_only: bool = False
    excluded_source: str = ""

    def includes(self, version: int, source: str) -> bool:
        """Whether something of that version and source is to be told."""
        if version <= self.since or (self.own_only and source):
            return False
        return not source or source != self.excluded_source
