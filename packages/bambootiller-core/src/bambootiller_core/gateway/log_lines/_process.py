"""Log lines about the lifecycle of a process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class Started(LogLine):
    """The process has started and serves."""

    event: ClassVar[str] = "started"

    role: str
    zone: str
    settings: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stopping(LogLine):
    """A graceful shutdown has begun, with ``under_way`` calls in progress."""

    event: ClassVar[str] = "stopping"

    role: str
    under_way: int = 0


@dataclass(frozen=True, slots=True)
class CutAtStop(LogLine):
    """The time for a graceful shutdown is over; answers in progress are cut off."""

    event: ClassVar[str] = "cut_at_stop"

    under_way: int


@dataclass(frozen=True, slots=True)
class Stopped(LogLine):
    """The process has closed its ports and exits."""

    event: ClassVar[str] = "stopped"

    role: str


@dataclass(frozen=True, slots=True)
class Reloaded(LogLine):
    """Settings were reloaded and applied."""

    event: ClassVar[str] = "reloaded"

    bounds: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ReloadRejected(LogLine):
    """Reloaded settings are invalid; the old ones stay in force."""

    event: ClassVar[str] = "reload_rejected"

    detail: str


@dataclass(frozen=True, slots=True)
class LinesLeftOut(LogLine):
    """The number of lines of each event that weren't written since the last such
    line."""

    event: ClassVar[str] = "lines_left_out"

    counts: Mapping[str, int]
