"""Keeps the limits that backend servers name, at one entry."""

from __future__ import annotations

from collections.abc import Callable

from bambootiller.gateway.eventlog import EventLog
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.log_lines import BackendLimit, BackendLimitUnreadable
from bambootiller_core.gateway.named_limits import NamedLimit, NamedLimits


class ServerLimits:
    """What one entry knows of named limits.

    Example::

        limits.named(backend, 1.9)
        limits.named_none(backend, sent_at)
    """

    def __init__(self, events: EventLog, clock: Callable[[], float]) -> None:
        self._events = events
        self._clock = clock
        self._limits = NamedLimits()

    @property
    def count(self) -> int:
        """How many backend servers name a limit."""
        return len(self._limits.in_force())

    def named(self, backend: Backend, per_s: float) -> None:
        """An answer names a limit."""
        self._said(NamedLimit(backend.instance, per_s, self._clock()))

    def named_none(self, backend: Backend, sent_at: float) -> None:
        """The answer to a call that was sent at ``sent_at`` names none."""
        self._said(NamedLimit(backend.instance, None, sent_at))

    def unreadable(self, backend: Backend, detail: str) -> None:
        """An answer names something that isn't a limit; what held goes on."""
        self._events.emit(BackendLimitUnreadable(backend.instance, detail))

    def _said(self, limit: NamedLimit, source: str = "") -> None:
        before = self._limits.per_s(limit.instance)
        if self._limits.said(limit, source):
            line = BackendLimit(limit.instance, limit.per_s, before, source or "answer")
            self._events.emit(line)
