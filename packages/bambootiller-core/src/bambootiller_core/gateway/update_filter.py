"""Selects the changes that one process still has to send to another.

Every change has a version, which increases, and a source: the peer that reported it,
empty for what was observed here.

Example::

    update_filter = UpdateFilter(since=7, own_only=True, excluded_source="a1")
    update_filter.includes(version=9, source="")    # True
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpdateFilter:
    """Selects changes after the version ``since``.

    ``own_only`` excludes what other processes reported, ``excluded_source`` what the
    peer of this name reported.
    """

    since: int = 0
    own_only: bool = False
    excluded_source: str = ""

    def includes(self, version: int, source: str) -> bool:
        """Whether a change with this version and source is to be sent."""
        if version <= self.since or (self.own_only and source):
            return False
        return not source or source != self.excluded_source
