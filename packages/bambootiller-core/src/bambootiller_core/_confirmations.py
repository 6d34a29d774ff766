"""Confirming slots: what a process does before it trusts the slots of its instance.

The slots are in the instance's name and outlive the process. So a new process can't
tell from a table alone whether the one before has a write on its way that gives the
slot back, nor whether a peer passed on a table that is out of date. A write of its own
settles both: it succeeds only on the table that stands, and makes earlier writes fail.
It is asked for as soon as a slot is seen, so that no cold start has to wait for it.
"""

from __future__ import annotations

from bambootiller_core._backend_state import BackendState
from bambootiller_core.backend_effects import ConfirmSlot
from bambootiller_core.types import ModelKey


class Confirmations:
    """Asks for the confirmation of each slot that is held and may be loaded."""

    def __init__(self, state: BackendState) -> None:
        self._state = state
        self._asked: dict[ModelKey, float] = {}
        self._open: set[ModelKey] = set()

    def table_changed(self, key: ModelKey) -> None:
        """A table was seen in which this instance may hold a slot anew."""
        self._open.add(key)

    def confirmed(self, now: float, key: ModelKey, fence: int) -> None:
        """A write of this process stands in which the slot of ``key`` has ``fence``."""
        self._state.confirmed[key] = fence
        self._state.note(
            now, key, "slot", "confirmed", "a write of this process stands", fence=fence
        )

    def step(self, now: float) -> None:
        """Ask for what isn't confirmed yet, at once and then now and then."""
        if not self._state.cfg.confirm_slots or self._state.leaving is not None:
            return
        for key in list(self._open):
            if self._state.confirmed_slot(key) or not self._state.loadable(key):
                self._forget(key)
                self._open.discard(key)
            elif now >= self._next_at(key):
                self._ask(now, key)

    def next_due(self) -> float | None:
        """When the next confirmation has to be asked for again, or None."""
        return min((self._next_at(key) for key in self._asked), default=None)

    def _ask(self, now: float, key: ModelKey) -> None:
        self._asked[key] = now
        self._state.confirm_asked.setdefault(key, now)
        fence = self._state.slot(key).fence
        self._state.outbox.put(ConfirmSlot(key, fence))

    def _next_at(self, key: ModelKey) -> float:
        asked_at = self._asked.get(key)
        if asked_at is None:
            return 0.0
        return asked_at + self._state.cfg.release_repeat_s

    def _forget(self, key: ModelKey) -> None:
        self._asked.pop(key, None)
        self._state.confirm_asked.pop(key, None)
