"""The rate limits that backend servers report, as one process has received them.

An entry reads them from answers and reports them to the agents that collect the demand;
those report them to all entries, as with lost runs (:mod:`quarantine`).
"""

from __future__ import annotations

from collections.abc import Callable

from bambootiller.gateway import message_codec
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller_core.gateway.fleet import Backend, Fleet
from bambootiller_core.gateway.log_lines import BackendLimit, BackendLimitUnreadable
from bambootiller_core.gateway.reported_limits import ReportedLimit, ReportedLimits
from bambootiller_core.timers import TimerService

FORGET_INTERVAL_S = 20.0


class ServerLimits:
    """The limits reported by answers and by other processes.

    ``send_now`` has new limits sent to peers soon.

    Example::

        limits.record_limit(backend, 1.9)
        limits.record_no_limit(backend, sent_at)
    """

    def __init__(
        self, events: EventLog, clock: Callable[[], float], send_now: Callable[[], None]
    ) -> None:
        self._events = events
        self._clock = clock
        self._send_now = send_now
        self._limits = ReportedLimits()
        self._listeners: list[Callable[[], None]] = []

    def start(self, timers: TimerService, now: float, fleet: Fleet) -> None:
        """Start the timer that removes limits that no longer apply."""

        def forget(now: float) -> None:
            if self._limits.forget(now, lambda name: fleet.get(name) is not None):
                self._notify_listeners()

        timers.every("forget reported limits", FORGET_INTERVAL_S, now, forget)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever the limits in force have changed."""
        self._listeners.append(listener)

    def in_force(self) -> dict[str, float]:
        """The limits in force, in calls a second, by backend server."""
        return self._limits.in_force()

    def per_s(self, backend: Backend) -> float | None:
        """The limit of a backend server, in calls a second; None without one."""
        return self._limits.per_s(backend.instance)

    def record_limit(self, backend: Backend, per_s: float) -> None:
        """Record the limit that an answer reports, in calls a second."""
        self._apply(ReportedLimit(backend.instance, per_s, self._clock()))

    def record_no_limit(self, backend: Backend, sent_at: float) -> None:
        """Record that the answer to a call that was sent at ``sent_at`` reports no
        limit."""
        self._apply(ReportedLimit(backend.instance, None, sent_at))

    def log_unreadable(self, backend: Backend, detail: str) -> None:
        """Log that the limit in an answer can't be read; the previous limit stays in
        force."""
        self._events.emit(BackendLimitUnreadable(backend.instance, detail))

    def fill(self, update: Update, peer_stream: PeerStream, own: bool) -> None:
        """Add the limits that haven't been sent to the receiver yet. ``own`` leaves
        out what other processes reported, unless this is the first message to it."""
        update_filter = peer_stream.update_filter(
            "server limits", self._limits.version, own
        )
        if update_filter is None:
            return
        now = self._clock()
        for limit in self._limits.unsent(update_filter):
            message_codec.add_server_limit(update, limit, now)

    def take(self, update: Update, peer_stream: PeerStream) -> None:
        """Apply the limits in a peer's message."""
        now = self._clock()
        for message in update.server_limits:
            self._apply(message_codec.server_limit_of(message, now), peer_stream.peer)

    def _apply(self, limit: ReportedLimit, source: str = "") -> None:
        before, version = self._limits.per_s(limit.instance), self._limits.version
        if self._limits.apply(limit, source):
            line = BackendLimit(limit.instance, limit.per_s, before, source or "answer")
            self._events.emit(line)
            self._notify_listeners()
        if self._limits.version != version:
            self._send_now()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
