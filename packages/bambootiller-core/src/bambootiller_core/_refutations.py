"""When a process refutes what others say of it."""

from __future__ import annotations

import math

from bambootiller_core._statements import Statement

LEAST_PERIODS_BETWEEN_REFUTATIONS = 0.5


class Refutations:
    """Lets two refutations pass in a probe interval; what comes sooner is put off.

    Two processes started under one name by mistake would outbid each other without
    end; the least time between two refutations keeps that visible but harmless.

    What goes wrong if a second accusation is dropped instead: a member refutes one
    suspicion, is suspected again at once, and says nothing to that; it is held dead
    while it runs, and one sees "dead" right after a raised incarnation.
    """

    def __init__(self, probe_interval: float) -> None:
        self._gap = LEAST_PERIODS_BETWEEN_REFUTATIONS * probe_interval
        self._refuted_at = -math.inf
        self._put_off: Statement | None = None

    def passes(self, now: float, accusation: Statement) -> bool:
        """Whether to refute now; else the accusation is kept for :meth:`due`."""
        if now - self._refuted_at < self._gap:
            self._put_off = accusation
            return False
        self._refuted_at = now
        self._put_off = None
        return True

    def due(self, now: float) -> Statement | None:
        """The accusation that was put off until now, if there is one."""
        if self._put_off is None or now - self._refuted_at < self._gap:
            return None
        accusation, self._put_off = self._put_off, None
        return accusation
