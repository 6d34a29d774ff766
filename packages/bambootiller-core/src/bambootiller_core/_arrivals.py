"""What becomes of a request at the moment it arrives.

Whatever can be known then is decided then: a request that can't be answered in time is
refused at once, with the time to come back, while another agent may still serve it.
"""

from __future__ import annotations

from dataclasses import replace

from bambootiller_core import admission
from bambootiller_core._backend_state import BackendState, ServiceKey
from bambootiller_core._eviction import NO_MEMORY_RETRY_S, UNLOAD_S, Eviction
from bambootiller_core._gate import Gate, adapter_of
from bambootiller_core.admission import Estimate, EstimateInput, come_back_ms
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.replicas import Part, Replica, ReplicaPhase
from bambootiller_core.template import ModelPolicy
from bambootiller_core.types import ModelKey, ModelTarget, Request, Tier

#: How much longer than its come-back time a refused caller's model is kept, seconds.
COME_BACK_MARGIN_S = 5.0
#: After this time without a slot's confirmation, its callers are sent elsewhere.
CONFIRM_S = 3.0
#: What a caller is told whose request came before the agent was ready.
NOT_READY_RETRY_S = 1.0


class Arrivals:
    """Admits or refuses each request that reaches one agent."""

    def __init__(self, state: BackendState, eviction: Eviction) -> None:
        self._state = state
        self._eviction = eviction

    def arrive(self, now: float, req: Request) -> None:
        """Decide on a request: ``Admit`` or ``Refuse``."""
        if isinstance(req.target, ModelTarget):
            self._arrive_at_model(now, req, ModelKey(req.customer, req.target.model))
        else:
            self._arrive_at_service(now, req)

    def model_estimate(
        self, now: float, replica: Replica, ahead: int, policy: ModelPolicy | None
    ) -> Estimate:
        """The wait of a request that arrives now behind ``ahead`` others."""
        key = replica.key
        part = replica.part
        given = EstimateInput(
            loaded=part.loaded,
            load_s=self._state.load_s(key),
            load_age_s=_load_age_s(now, part),
            before_load_s=self._before_load_s(now, replica, policy),
            running=len(replica.gate.running),
            ahead=ahead,
            max_running=policy.max_running if policy else 1,
            service_s=self._state.service_times.expected(key),
        )
        return admission.estimate(given)

    def _arrive_at_model(self, now: float, req: Request, key: ModelKey) -> None:
        refused = self._model_obstacle(now, req, key)
        if refused is not None:
            self._state.book.refuse_arrival(now, req, refused)
            return
        replica = self._state.replica(key)
        policy = self._state.policy(key)
        est = self._request_estimate(now, req, replica, policy)
        outcome = admission.decide(now, req, est)
        if isinstance(outcome, Refused):
            self._state.book.refuse_arrival(now, req, outcome)
            self._want(now, replica, outcome)
            return
        self._state.keepalive.arrived(now, key)
        self._state.book.admit(now, req, replica.gate, est.wait_s, est.cold)

    def _arrive_at_service(self, now: float, req: Request) -> None:
        key = ServiceKey(req.customer, req.target.service)
        policy = self._state.service_policy(key)
        refused = self._common_obstacle(now, req)
        if refused is None and policy is None:
            refused = _no(Code.UNKNOWN_SERVICE, f"{req.target.service} isn't known")
        gate = self._state.service_gate(key)
        if refused is None:
            refused = self._crowded(gate)
        if refused is not None:
            self._state.book.refuse_arrival(now, req, refused)
            return
        est = self.service_estimate(key, gate.line.ahead_of(req))
        outcome = admission.decide(now, req, est)
        if isinstance(outcome, Refused):
            self._state.book.refuse_arrival(now, req, outcome)
            return
        self._state.book.admit(now, req, gate, est.wait_s, cold=False)

    def service_estimate(self, key: ServiceKey, ahead: int) -> Estimate:
        """The wait of a call of a plain service that arrives now."""
        policy = self._state.service_policy(key)
        as_model = ModelKey(key.customer, key.service)
        given = EstimateInput(
            loaded=True,
            running=len(self._state.service_gate(key).running),
            ahead=ahead,
            max_running=policy.max_running if policy else 1,
            service_s=self._state.plain_times.expected(as_model),
        )
        return admission.estimate(given)

    def _request_estimate(
        self, now: float, req: Request, replica: Replica, policy: ModelPolicy
    ) -> Estimate:
        ahead = replica.gate.line.ahead_of(req) + len(replica.gate.parked)
        est = self.model_estimate(now, replica, ahead, policy)
        service_s = est.service_s
        if req.max_tokens:
            service_s = min(service_s, req.max_tokens * policy.token_ms / 1000)
        wait_s = est.wait_s
        name = adapter_of(req)
        if name and not replica.adapter(name).loaded:
            wait_s += self._state.adapter_times.expected(replica.key, Tier.REMOTE)
        return replace(est, wait_s=wait_s, service_s=service_s)

    def _before_load_s(
        self, now: float, replica: Replica, policy: ModelPolicy | None
    ) -> float:
        """How long it takes until a load of a cold model can be ordered."""
        part = replica.part
        if part.loaded or part.coming:
            return 0.0
        waits = [0.0, part.attempts.retry_at - now]
        if self._state.taken_over_at is not None:
            waits.append(self._state.settled_at - now)
        if part.phase is ReplicaPhase.UNLOADING:
            waits.append(UNLOAD_S)
        elif policy and self._eviction.needs_room(replica.key, policy.memory_bytes):
            waits.append(UNLOAD_S)
        return max(waits)

    def _common_obstacle(self, now: float, req: Request) -> Refused | None:
        if self._state.leaving is not None:
            return _no(Code.LEAVING, f"{self._state.instance} is leaving")
        if req.customer not in self._state.templates:
            return _no(Code.NOT_READY, f"no template of {req.customer} is known here")
        return None

    def _model_obstacle(
        self, now: float, req: Request, key: ModelKey
    ) -> Refused | None:
        refused = self._common_obstacle(now, req)
        if refused is None:
            refused = self._not_ready(now)
        if refused is None:
            refused = self._unknown(req, key)
        if refused is None and not self._state.loadable(key):
            refused = _no(Code.NOT_HOLDER, f"{self._state.instance} may not load {key}")
        if refused is None:
            refused = unconfirmed(now, self._state, self._state.replica(key))
        if refused is None:
            refused = self._blocked(now, req, self._state.replica(key))
        if refused is None:
            refused = self._crowded(self._state.replica(key).gate)
        if refused is None:
            refused = self._no_room(now, key)
        return refused

    def _not_ready(self, now: float) -> Refused | None:
        if self._state.engine is None:
            return _no(
                Code.NOT_READY, "the engine hasn't been read yet", NOT_READY_RETRY_S
            )
        if self._state.silent(now):
            return _no(
                Code.UNREACHABLE, "the engine can't be reached", NOT_READY_RETRY_S
            )
        return None

    def _unknown(self, req: Request, key: ModelKey) -> Refused | None:
        policy = self._state.policy(key)
        if policy is None:
            return _no(Code.UNKNOWN_MODEL, f"{key} isn't in the template")
        name = adapter_of(req)
        if name and name not in policy.adapters:
            return _no(Code.UNKNOWN_ADAPTER, f"{key} has no adapter {name}")
        return None

    def _blocked(self, now: float, req: Request, replica: Replica) -> Refused | None:
        parts = [replica.part]
        if adapter_of(req):
            parts.append(replica.adapter(adapter_of(req)))
        for part in parts:
            if part.cold and now < part.attempts.blocked_until:
                return load_failed(now, part.attempts.blocked_until, replica.key)
        return None

    def _crowded(self, gate: Gate) -> Refused | None:
        if gate.waiting() < self._state.cfg.max_waiting:
            return None
        return _no(Code.OVERLOADED, f"{gate.waiting()} requests wait already")

    def _no_room(self, now: float, key: ModelKey) -> Refused | None:
        part = self._state.replica(key).part
        policy = self._state.policy(key)
        if not part.cold or policy is None:
            return None
        if self._eviction.could_provide(now, key, policy.memory_bytes):
            return None
        return _no(
            Code.NO_MEMORY,
            f"nothing idle could make room for {key}",
            NO_MEMORY_RETRY_S,
        )

    def _want(self, now: float, replica: Replica, refused: Refused) -> None:
        """Load what a caller was told to come back for.

        Otherwise each caller of a cold model whose time is shorter than the load would
        be refused, come back, and find it as cold as before.
        """
        if refused.code is not Code.TOO_LATE or replica.part.loaded:
            return
        until = now + refused.retry_after_ms / 1000 + COME_BACK_MARGIN_S
        replica.wanted_until = max(replica.wanted_until, until)
        self._state.keepalive.arrived(now, replica.key)


def _load_age_s(now: float, part: Part) -> float | None:
    """How long a load has gone on; 0 if it was found under way, None if none is."""
    if not part.coming:
        return None
    return now - part.ordered_at if part.ordered_at else 0.0


def unconfirmed(now: float, state: BackendState, replica: Replica) -> Refused | None:
    """The refusal of a request whose cold model's slot can't be confirmed, or None."""
    waited = state.unconfirmed_for(now, replica.key)
    if not replica.part.cold or waited < CONFIRM_S:
        return None
    detail = f"the slot of {replica.key} couldn't be confirmed for {waited:.1f} s"
    return _no(Code.NOT_READY, detail)


def load_failed(now: float, blocked_until: float, key: ModelKey) -> Refused:
    """The refusal of a request whose model couldn't be loaded."""
    left = blocked_until - now
    return _no(Code.LOAD_FAILED, f"loads of {key} have failed in a row", left)


def _no(code: Code, detail: str, retry_s: float = NOT_READY_RETRY_S) -> Refused:
    return Refused(code, Executed.NO, detail, come_back_ms(retry_s))
