"""Decides when an entry that has just started has discovered a service's engines.

The registry lists engines one after the other, and their agents report a moment later.
Until then a model whose only copy is at an engine that hasn't reported yet seems to
have no copy at all, and would needlessly be loaded from the weight store.

Each engine has an agent, and each agent registers when it starts. Once as many engines
have reported as agents are registered, there is none left to wait for.

Example::

    discovery = InitialDiscovery()
    if discovery.is_complete(now, backends, quiet_s=1.2): ...
"""

from __future__ import annotations

from collections.abc import Collection

from bambootiller_core.gateway.fleet import Backend

#: Discovery ends if nothing new has become known for this long, even if some agents
#: haven't reported: their processes may be gone. Seconds.
MAX_STALL_S = 5.0
#: Discovery ends this long after the first agent's report, even if engines still come
#: and go. Otherwise nothing would be loaded from the weight store while they do.
#: Seconds.
MAX_DISCOVERY_S = 10.0


class InitialDiscovery:
    """The discovery of one service's engines; once complete, it stays complete."""

    def __init__(self) -> None:
        self._complete = False
        self._counts: tuple[int, int] = (0, 0)
        #: When the number of listed engines last changed.
        self._listed_changed_at: float | None = None
        #: When that number, or the number of engines with a report, last changed.
        self._changed_at: float | None = None
        self._first_report_at: float | None = None

    @property
    def complete(self) -> bool:
        """Whether the discovery is complete."""
        return self._complete

    def is_complete(
        self,
        now: float,
        backends: Collection[Backend],
        quiet_s: float,
        none_missing: bool = False,
    ) -> bool:
        """Whether the engines are known well enough to load from the weight store.

        This is so if all listed engines have reported and none has been listed for
        ``quiet_s`` seconds or, with ``none_missing``, no further ones exist; if nothing
        new has become known for :data:`MAX_STALL_S`; or if :data:`MAX_DISCOVERY_S` have
        passed since the first report.
        """
        if self._complete:
            return True
        reported = sum([backend.engine is not None for backend in backends])
        counts = (len(backends), reported)
        if self._listed_changed_at is None or counts[0] != self._counts[0]:
            self._listed_changed_at = now
        if self._changed_at is None or counts != self._counts:
            self._counts, self._changed_at = counts, now
        if reported and self._first_report_at is None:
            self._first_report_at = now
        all_reported = 0 < len(backends) == reported
        is_quiet = now - self._listed_changed_at >= quiet_s
        is_settled = all_reported and (none_missing or is_quiet)
        is_stalled = now - self._changed_at >= MAX_STALL_S
        elapsed_s = (
            now - self._first_report_at if self._first_report_at is not None else 0.0
        )
        self._complete = is_settled or is_stalled or elapsed_s >= MAX_DISCOVERY_S
        return self._complete
