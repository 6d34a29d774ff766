"""What each event is followed by: deadlines, starts, unloads, and what is due next."""

from __future__ import annotations

from bambootiller_core._arrivals import CONFIRM_S, load_failed, unconfirmed
from bambootiller_core._backend_state import BackendState, ServiceKey
from bambootiller_core._eviction import Eviction
from bambootiller_core._gate import Gate, adapter_of
from bambootiller_core._orders import Orders
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.replicas import Replica
from bambootiller_core.types import Request


class Upkeep:
    """Brings all replicas and services in line with what is known and with the time."""

    def __init__(self, state: BackendState, orders: Orders, eviction: Eviction) -> None:
        self._state = state
        self._orders = orders
        self._eviction = eviction

    def step(self, now: float) -> None:
        """Go over everything once; cheap for what has nothing to do."""
        self._state.ledger.expire()
        for key, gate in self._state.services.items():
            self._keep_service(now, key, gate)
        for replica in self._state.replicas.values():
            if not replica.at_rest(now):
                self._keep_replica(now, replica)
        self._eviction.provide(now)

    def next_due(self, now: float) -> float | None:
        """When :meth:`step` has something to do by the time alone, or None."""
        times = [gate.next_deadline() for gate in self._state.services.values()]
        for replica in self._state.replicas.values():
            if not replica.at_rest(now):
                times += self._due_of(now, replica)
        if self._state.silent_since is not None:
            silent_at = self._state.silent_since + self._state.cfg.silent_s
            times.append(silent_at if silent_at > now else None)
        return min((at for at in times if at is not None), default=None)

    def _keep_service(self, now: float, key: ServiceKey, gate: Gate) -> None:
        self._expire(now, gate)
        policy = self._state.service_policy(key)
        if policy is None:
            self._refuse_all(now, gate, _no(Code.UNKNOWN_SERVICE, f"{key} was removed"))
            return
        while len(gate.running) < policy.max_running:
            req = gate.line.pop(now)
            if req is None:
                return
            self._state.book.start(now, req)

    def _keep_replica(self, now: float, replica: Replica) -> None:
        if not replica.idle():
            self._keep_requests(now, replica)
        if replica.part.loaded:
            self._unload_idle(now, replica)

    def _keep_requests(self, now: float, replica: Replica) -> None:
        self._expire(now, replica.gate)
        refused = self._obstacle(now, replica)
        if refused is not None:
            self._refuse_all(now, replica.gate, refused)
        self._yield_lost_slot(now, replica)
        if replica.part.loaded:
            self._refuse_blocked_adapters(now, replica)
            self._start(now, replica)

    def _obstacle(self, now: float, replica: Replica) -> Refused | None:
        """Why nobody can wait here any more, or None."""
        if self._state.silent(now):
            return _no(Code.UNREACHABLE, "the engine can't be reached")
        if self._state.policy(replica.key) is None:
            return _no(Code.UNKNOWN_MODEL, f"{replica.key} was removed")
        if not self._state.loadable(replica.key):
            return _no(Code.NOT_HOLDER, f"the slot of {replica.key} goes elsewhere")
        refused = unconfirmed(now, self._state, replica)
        if refused is not None:
            return refused
        blocked_until = replica.part.attempts.blocked_until
        if replica.part.cold and now < blocked_until:
            return load_failed(now, blocked_until, replica.key)
        return None

    def _yield_lost_slot(self, now: float, replica: Replica) -> None:
        """Stop what runs without a slot: the cap goes before the requests.

        A slot leaves its holder only on evidence that the holder is gone. If such
        evidence was wrong, another replica may be loaded by now, and going on here
        would break the cap for as long as the requests run.
        """
        if self._has_or_may_have_slot(now, replica):
            return
        refused = Refused(
            Code.NOT_HOLDER,
            Executed.UNKNOWN,
            f"the slot of {replica.key} was taken from {self._state.instance}",
        )
        for request_id in list(replica.gate.running):
            self._state.book.abort(now, request_id, refused)

    def _has_or_may_have_slot(self, now: float, replica: Replica) -> bool:
        if self._state.slot(replica.key) is not None:
            return True
        # After a take-over, the table that names this instance may not have come yet.
        return replica.key not in self._state.tables and not self._state.settled(now)

    def _start(self, now: float, replica: Replica) -> None:
        policy = self._state.policy(replica.key)
        if policy is None or self._state.silent_since is not None:
            return
        gate = replica.gate
        while len(gate.running) < policy.max_running:
            req = gate.line.pop(now)
            if req is None:
                return
            if not self._adapter_ready(replica, req):
                gate.park(req)
                continue
            ensure(
                self._state.slot(replica.key) is not None and replica.part.loaded,
                "replica-needs-slot",
                f"request {req.request_id} started on {replica.key} at {now}",
            )
            self._state.book.start(now, req)

    def _adapter_ready(self, replica: Replica, req: Request) -> bool:
        name = adapter_of(req)
        return not name or replica.adapter(name).loaded

    def _refuse_blocked_adapters(self, now: float, replica: Replica) -> None:
        for req in list(replica.gate.parked.values()):
            part = replica.adapter(adapter_of(req))
            if part.cold and now < part.attempts.blocked_until:
                refused = load_failed(now, part.attempts.blocked_until, replica.key)
                self._state.book.refuse(now, req.request_id, refused)

    def _unload_idle(self, now: float, replica: Replica) -> None:
        if not replica.idle():
            replica.unload_at = None
            return
        if self._state.silent_since is not None:
            return
        if self._must_go(now, replica):
            self._unload(now, replica, "it has no slot here any more, or must go")
            return
        if replica.unload_at is None:
            self._begin_idle(now, replica)
        if now >= replica.unload_at and not replica.wanted(now):
            self._unload(now, replica, "it stood idle for as long as it is worth")

    def _must_go(self, now: float, replica: Replica) -> bool:
        if self._state.leaving is not None:
            return True
        slot = self._state.slot(replica.key)
        if slot is not None:
            return slot.retiring
        return not self._has_or_may_have_slot(now, replica)

    def _begin_idle(self, now: float, replica: Replica) -> None:
        key = replica.key
        keepalive = self._state.keepalive
        keepalive.idle_since(now, key)
        weights = self._state.weights(key)
        load_s = self._state.load_s(key)
        replica.unload_at = keepalive.unload_at(now, key, weights, load_s)
        self._state.note(
            now,
            key,
            "keep",
            "kept",
            "idle; kept while a cold start costs more",
            keep_s=round(replica.unload_at - now, 3),
            load_s=round(load_s, 3),
            cold_second=weights.cold_second,
            idle_second=weights.idle_second,
        )

    def _unload(self, now: float, replica: Replica, reason: str) -> None:
        self._state.note(now, replica.key, "unload", "ordered", reason)
        self._orders.unload(now, replica)

    def _expire(self, now: float, gate: Gate) -> None:
        for req in gate.overdue(now):
            refused = _no(Code.DEADLINE_PASSED, "its deadline passed while it waited")
            self._state.book.refuse(now, req.request_id, refused)
        for req in list(gate.running.values()):
            if req.deadline <= now:
                refused = Refused(
                    Code.DEADLINE_PASSED,
                    Executed.UNKNOWN,
                    "its deadline passed while it ran",
                )
                self._state.book.abort(now, req.request_id, refused)

    def _refuse_all(self, now: float, gate: Gate, refused: Refused) -> None:
        for req in gate.waiting_requests():
            self._state.book.refuse(now, req.request_id, refused)

    def _due_of(self, now: float, replica: Replica) -> list[float | None]:
        times = [replica.gate.next_deadline()]
        asked_at = self._state.confirm_asked.get(replica.key)
        if asked_at is not None and replica.part.cold and not replica.idle():
            times.append(asked_at + CONFIRM_S)
        part = replica.part
        if part.loaded and replica.idle() and replica.unload_at is not None:
            times.append(max(replica.unload_at, replica.wanted_until))
        if part.cold and replica.wanted(now):
            times.append(self._load_due(now, replica))
        for adapter in replica.adapters.values():
            if replica.gate.parked and adapter.attempts.retry_at > now:
                times.append(adapter.attempts.retry_at)
        return times

    def _load_due(self, now: float, replica: Replica) -> float | None:
        """When a load that has to wait by the time alone may be tried."""
        part = replica.part
        due = max(part.attempts.retry_at, part.unload_until)
        return due if due > now else None


def _no(code: Code, detail: str) -> Refused:
    return Refused(code, Executed.NO, detail)
