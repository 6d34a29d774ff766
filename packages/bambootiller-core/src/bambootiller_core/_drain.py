"""Leaving, and giving slots back.

An agent that leaves takes nothing new, finishes what it has admitted, unloads, and
gives its slots back. A slot is offered back only when no order for its model can arrive
at the engine any more: otherwise the model would be loaded here under a slot that
somebody else holds by then, and the cap would be broken.
"""

from __future__ import annotations

from bambootiller_core._arrivals import Arrivals
from bambootiller_core._backend_state import BackendState, Leaving
from bambootiller_core.admission import come_back_ms
from bambootiller_core.backend_effects import Drained, GiveBack, Retired
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.replicas import Replica
from bambootiller_core.slots import Slot
from bambootiller_core.types import ModelKey

#: Another agent may serve at once what this one can't any more.
LEAVING_RETRY_S = 0.2


class Drain:
    """The graceful shutdown of one agent's decisions, and the release of its slots."""

    def __init__(self, state: BackendState, arrivals: Arrivals) -> None:
        self._state = state
        self._arrivals = arrivals
        self._retiring: set[ModelKey] = set()

    def table_changed(self, key: ModelKey) -> None:
        """A table was seen in which this instance's slot may be retiring."""
        slot = self._state.slot(key)
        if slot is not None and slot.retiring:
            self._retiring.add(key)
        else:
            self._retiring.discard(key)

    def leave(self, now: float, deadline: float) -> None:
        """Stop admitting; what can't be served by ``deadline`` is refused now."""
        if self._state.leaving is not None:
            return
        self._state.leaving = Leaving(now, deadline)
        self._state.book.close_admission(now)
        for replica in self._state.replicas.values():
            replica.wanted_until = 0.0
            if not replica.part.loaded:
                self._refuse_hopeless(now, replica, deadline)

    def step(self, now: float) -> None:
        """Offer slots back that are free to go, and say when all is done."""
        for key in self._candidates():
            slot = self._state.slot(key)
            if slot is not None:
                self._release(now, key, slot)
        leaving = self._state.leaving
        if leaving is None or leaving.drained:
            return
        if now >= leaving.deadline:
            self._cut_short(now)
        if now >= leaving.deadline or self._done():
            leaving.drained = True
            self._state.outbox.put(Drained())

    def next_due(self) -> float | None:
        """When :meth:`step` has to be called at the latest, or None."""
        times = []
        leaving = self._state.leaving
        if leaving is not None and not leaving.drained:
            times.append(leaving.deadline)
        for key in self._candidates():
            slot = self._state.slot(key)
            replica = self._state.replica(key)
            if slot is not None and replica.part.cold:
                times.append(self._release_at(replica, slot))
        return min(times, default=None)

    def _candidates(self) -> list[ModelKey]:
        if self._state.leaving is not None:
            return list(self._state.tables)
        return list(self._retiring)

    def _release(self, now: float, key: ModelKey, slot: Slot) -> None:
        replica = self._state.replica(key)
        if not self._releasing(slot) or not self._may_release(now, replica):
            return
        if now < self._release_at(replica, slot):
            return
        ensure(
            replica.part.cold and replica.idle(),
            "release-only-when-unloaded",
            f"{key} {slot} at {now}: {replica.part}",
        )
        replica.released_fence = slot.fence
        replica.released_at = now
        effect = Retired if slot.retiring else GiveBack
        self._state.outbox.put(effect(key, slot.fence))
        reason = "the cap was lowered" if slot.retiring else "the agent leaves"
        self._state.note(now, key, "release", "offered back", reason, fence=slot.fence)

    def _releasing(self, slot: Slot) -> bool:
        return slot.retiring or self._state.leaving is not None

    def _may_release(self, now: float, replica: Replica) -> bool:
        # An order whose answer was lost may still be on its way, and orders of an
        # earlier process here may be as well until the settle time has passed. Both
        # would show as a model loaded by an instance without a slot.
        return (
            replica.part.cold
            and replica.idle()
            and self._state.settled(now)
            and self._state.silent_since is None
            and not self._state.ledger.under_way(replica.key)
        )

    def _release_at(self, replica: Replica, slot: Slot) -> float:
        if replica.released_fence == slot.fence:
            return replica.released_at + self._state.cfg.release_repeat_s
        return 0.0

    def _refuse_hopeless(self, now: float, replica: Replica, deadline: float) -> None:
        policy = self._state.policy(replica.key)
        for ahead, req in enumerate(replica.gate.waiting_requests()):
            est = self._arrivals.model_estimate(now, replica, ahead, policy)
            if now + est.wait_s + est.service_s > deadline:
                refused = _leaving("can't be served before this instance stops")
                self._state.book.refuse(now, req.request_id, refused)

    def _cut_short(self, now: float) -> None:
        """The time is up: tell everybody who is left the truth."""
        gates = [replica.gate for replica in self._state.replicas.values()]
        gates += self._state.services.values()
        for gate in gates:
            for req in gate.waiting_requests():
                refused = _leaving("the time to stop was up before its turn")
                self._state.book.refuse(now, req.request_id, refused)
            for request_id in list(gate.running):
                refused = _leaving("the time to stop was up", Executed.UNKNOWN)
                self._state.book.abort(now, request_id, refused)

    def _done(self) -> bool:
        if len(self._state.book):
            return False
        if any(self._state.slot(key) for key in self._state.tables):
            return False
        return all(replica.part.cold for replica in self._state.replicas.values())


def _leaving(detail: str, executed: Executed = Executed.NO) -> Refused:
    return Refused(Code.LEAVING, executed, detail, come_back_ms(LEAVING_RETRY_S))
