"""This agent's loads from the weight store, paced so that the most urgent come soonest.

The limit is soft. It is kept from what this agent sees of its own loads, so it needs no
agreement and can't block: what is under way is read off the replicas at each step, and
a load that ended in whatever way no longer counts.
"""

from __future__ import annotations

from bambootiller_core._backend_state import BackendState
from bambootiller_core.pacing import StorePacer, WaitUntil
from bambootiller_core.replicas import Replica
from bambootiller_core.types import ModelKey, Tier


class StoreLoads:
    """Asks the pacer before each load from the remote store."""

    def __init__(self, state: BackendState) -> None:
        self._state = state
        self._pacer = StorePacer()
        self._under_way: dict[ModelKey, float] = {}
        self._put_off: dict[ModelKey, float] = {}

    def may_start(self, now: float, replica: Replica, urgency: int) -> bool:
        """Whether a load may be ordered now; if not, it is asked for again later."""
        key = replica.key
        if self._state.tier(key) is not Tier.REMOTE:
            return True
        verdict = self._pacer.may_start(now, urgency)
        if isinstance(verdict, WaitUntil):
            self._note_put_off(now, key, urgency)
            self._put_off[key] = verdict.at
            return False
        self._put_off.pop(key, None)
        self._under_way[key] = now
        self._pacer.started(now)
        return True

    def step(self, now: float) -> None:
        """Count out the loads that have ended."""
        for key, since in list(self._under_way.items()):
            part = self._state.replica(key).part
            if part.coming:
                continue
            del self._under_way[key]
            policy = self._state.policy(key)
            if part.loaded and policy is not None:
                self._pacer.finished(now, now - since, policy.load_ms / 1000)
            else:
                self._pacer.finished(now)
        for key, at in list(self._put_off.items()):
            if now >= at or not self._state.replica(key).wanted(now):
                del self._put_off[key]

    def next_due(self) -> float | None:
        """When a load that was put off is to be asked for again, or None."""
        return min(self._put_off.values(), default=None)

    def _note_put_off(self, now: float, key: ModelKey, urgency: int) -> None:
        if key in self._put_off:
            return
        self._state.note(
            now,
            key,
            "load",
            "put off",
            "the weight store is busy",
            urgency=urgency,
            stretch=round(self._pacer.stretch(now), 2),
            under_way=len(self._under_way),
        )
