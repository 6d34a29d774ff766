"""Lines of the process's own life."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class Started(LogLine):
    """The process serves from now on."""

    event: ClassVar[str] = "started"

    role: str
    zone: str
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stopping(LogLine):
    """A planned stop has begun."""

    event: ClassVar[str] = "stopping"

    role: str
    under_way: int = 0


@dataclass(frozen=True, slots=True)
class CutAtStop(LogLine):
    """The time for a planned stop is over and some answers aren't."""

    event: ClassVar[str] = "cut_at_stop"

    under_way: int


@dataclass(frozen=True, slots=True)
class Stopped(LogLine):
    """The process has closed its ports and ends."""

    event: ClassVar[str] = "stopped"

    role: str


@dataclass(frozen=True, slots=True)
class Reloaded(LogLine):
    """Settings were read anew and taken over."""

    event: ClassVar[str] = "reloaded"

    bounds: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ReloadRejected(LogLine):
    """Settings that were to be read anew can't be used; the old ones stay."""

    event: ClassVar[str] = "reload_rejected"

    detail: str


@dataclass(frozen=True, slots=True)
class LinesLeftOut(LogLine):
    """How many lines of each event weren't written since this was last said."""

    event: ClassVar[str] = "lines_left_out"

    counts: Mapping[str, int]
