"""Chooses a backend server for one call, waiting for a model, adapter or permit."""

from __future__ import annotations

import asyncio

from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.server_admission import Permit, PermitEstimate
from bambootiller_core.gateway import attempts, selection
from bambootiller_core.gateway.attempts import Refusal, RefusalReason
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.crash_ledger import AdmissionDecision
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.log_lines import PlanSnapshot
from bambootiller_core.gateway.order_messages import LoadRequest
from bambootiller_core.gateway.residency import PlannedLoad
from bambootiller_core.gateway.service_levels import level_of

#: A call that waits for a model checks again at least this often. Seconds.
RECHECK_S = 0.1
#: Time that a stream needs from its model being loaded to its first event. Seconds.
FIRST_EVENT_MARGIN_S = 0.15
#: Typical duration of a stream. A stream that can't begin this long before the end of a
#: planned stop is refused, because it would be cut off. Seconds.
TYPICAL_STREAM_S = 3.0
#: Retry-after time for a model that no engine can load at the moment. Seconds.
UNPLANNED_RETRY_S = 6.0
#: If an adapter isn't loaded after this time it is requested from the next engine.
#: Seconds.
ADAPTER_REQUEST_INTERVAL_S = 0.4


class Placement:
    """Chooses the backend servers for the attempts of one call.

    Example::

        backend = await Placement(context, call, progress).place()
        if isinstance(backend, Refusal): ...
    """

    def __init__(self, context: RelayContext, call: Call, progress: Progress) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._health = context.service(call.service).health
        #: The number of backend servers that the last choice was made from.
        self.candidates = 0
        self._weight = 1.0
        self._missed_adapter = False
        #: The permit for the chosen backend server, if that reports a limit.
        self._permit: Permit | None = None
        self._requested_instances: set[str] = set()
        #: The permit under a reported limit that the call waits for.
        self._awaited_permit: PermitEstimate | None = None

    def record_demand(self) -> None:
        """Count the call in the demand for its model, and in the statistics that its
        weight and its caller's retries are predicted from."""
        now, service = self._context.clock(), self._call.service
        state = self._context.service(service)
        self._weight = state.levels.weigh(now, level_of(self._call))
        state.retry_predictor.record_call(self._call)
        demand = self._context.engines.plans.demand(service)
        demand.record_call(now, self._call.model_request.model, self._weight)

    async def place(self) -> Backend | Refusal:
        """The backend server for the next attempt, or why there is none. Waits for a
        model, an adapter or a permit as long as the call has time for it."""
        self.release()
        try:
            while True:
                found = await self._find()
                if isinstance(found, Refusal) or await self._take_permit(found):
                    return found
        finally:
            self._stop_waiting()

    def sent(self) -> None:
        """Record that the call was sent to the chosen backend server."""
        permit, self._permit = self._permit, None
        if permit is not None:
            permit.used()

    def release(self) -> None:
        """Return the permit of the chosen backend server if the call wasn't sent."""
        permit, self._permit = self._permit, None
        if permit is not None:
            permit.return_unused()

    async def _find(self) -> Backend | Refusal:
        if self._call.model_request is None:
            return await self._place_plain()
        return await self._place_on_engine()

    async def _take_permit(self, backend: Backend) -> bool:
        admission = self._context.server_admission
        if not admission.is_limited(backend):
            return True
        if backend.instance not in self._requested_instances:
            self._requested_instances.add(backend.instance)
            admission.record_demand(backend)
        self._permit = await admission.permit(backend)
        return self._permit is not None

    def find_alternative(self) -> Backend | None:
        """An untried backend server that can take the call now, None if there is none.

        Those that report a limit are left out: the call would have to wait for a permit
        while its current backend server is silent.
        """
        model_request, now = self._call.model_request, self._context.clock()
        eligible = [
            backend
            for backend in self.untried()
            if (
                model_request is None
                or backend.serves(now, model_request.model, model_request.adapter)
            )
            and not self._context.server_admission.is_limited(backend)
        ]
        return self._choose(eligible)

    def untried(self) -> list[Backend]:
        """The backend servers of the service that haven't been tried for this call."""
        return [
            backend
            for backend in self._in_service()
            if backend.incarnation not in self._progress.tried
        ]

    def _in_service(self) -> list[Backend]:
        fleet, now = self._context.gateway_state.fleet, self._context.clock()
        backends = fleet.of_service(self._call.service)
        return [
            backend
            for backend in backends
            if not backend.is_lost(now) and not fleet.is_expired(now, backend)
        ]

    def _choose(self, candidates: list[Backend]) -> Backend | None:
        context = self._context
        not_exhausted = [
            backend
            for backend in candidates
            if not context.server_admission.is_exhausted(backend)
        ]
        self.candidates = len(not_exhausted)
        return selection.choose(
            context.clock(),
            self._call,
            not_exhausted,
            self._health,
            context.zone,
            context.rng,
        )

    async def _place_plain(self) -> Backend | Refusal:
        while True:
            candidates = self.untried()
            if not candidates:
                return Refusal(RefusalReason.NO_BACKEND, attempts.DEFAULT_RETRY_AFTER_S)
            found = self._choose(candidates) or self._refuse_or_wait(candidates)
            if found is not None:
                return found
            await asyncio.sleep(RECHECK_S)

    def _refuse_or_wait(self, candidates: list[Backend]) -> Refusal | None:
        """A refusal because no candidate can take the call now, or None to wait for a
        permit under the limit that one of them reports."""
        now = self._context.clock()
        free = [
            backend for backend in candidates if not selection.is_full(backend, now)
        ]
        estimate = self._context.server_admission.estimate(free)
        if estimate is None:
            return Refusal(RefusalReason.OVERLOADED, attempts.DEFAULT_RETRY_AFTER_S)
        due = min(self._call.next_event_due(self._progress), self._call.deadline)
        begins = (
            self._awaited_permit is None
            and now + estimate.in_s < due - FIRST_EVENT_MARGIN_S
        )
        if begins and estimate.known:
            self._awaited_permit = estimate
            self._context.server_admission.begin_waiting(estimate)
        if (
            self._awaited_permit is not None
            and estimate.known
            and now < due - FIRST_EVENT_MARGIN_S
        ):
            return None
        detail = f"{estimate.instance} allows a call in {estimate.in_s:.2f} s"
        return Refusal(
            RefusalReason.BACKEND_LIMITED,
            max(estimate.in_s, attempts.DEFAULT_RETRY_AFTER_S),
            detail,
        )

    def _stop_waiting(self) -> None:
        estimate, self._awaited_permit = self._awaited_permit, None
        if estimate is not None:
            self._context.server_admission.end_waiting(estimate)

    async def _place_on_engine(self) -> Backend | Refusal:
        """An engine that has the model and the adapter loaded. Waits for one, or
        returns a refusal."""
        context, model_request = self._context, self._call.model_request
        demand = context.engines.plans.demand(self._call.service)
        began = context.clock()
        due = self._call.arrived + self._call.route.target_s - FIRST_EVENT_MARGIN_S
        demand.begin_waiting(began, model_request.model, self._weight, due)
        found = None
        try:
            while found is None:
                found = self._try_engines(began)
                if found is None:
                    await context.gateway_state.changed.wait(RECHECK_S)
            return found
        finally:
            demand.end_waiting(began, model_request.model, self._weight, due)
            if not isinstance(found, Backend):
                demand.unserved(began, model_request.model, self._weight)

    def _try_engines(self, began: float) -> Backend | Refusal | None:
        """An engine or a refusal, or None to wait."""
        model_request, now = self._call.model_request, self._context.clock()
        untried = self.untried()
        holders = [
            backend for backend in untried if backend.serves(now, model_request.model)
        ]
        if not holders and self._progress.may_have_run:
            # The only holder of the model lost the answer. It is still the best choice:
            # any other engine would have to load the model first.
            holders = [
                backend
                for backend in self._in_service()
                if backend.serves(now, model_request.model)
                and not self._health.is_avoided(now, backend.incarnation)
            ]
        if not holders:
            return self._await_model(now, untried)
        with_adapter = [
            backend
            for backend in holders
            if backend.serves(now, model_request.model, model_request.adapter)
        ]
        chosen = self._choose(with_adapter)
        if chosen is not None:
            return chosen
        if with_adapter:
            return self._refuse_or_wait(with_adapter)
        if now > self._call.first_event_due - FIRST_EVENT_MARGIN_S:
            return Refusal(RefusalReason.OVERLOADED, attempts.DEFAULT_RETRY_AFTER_S)
        return self._await_adapter(now, began, holders)

    def _await_adapter(
        self, now: float, began: float, holders: list[Backend]
    ) -> Refusal | None:
        model_request = self._call.model_request
        self._record_adapter_miss(now)
        eligible = [backend for backend in holders if backend.accepts_orders(now)]
        if not eligible:
            return self._refuse_cold(now, attempts.DEFAULT_RETRY_AFTER_S)
        soonest = min(_accepts_order_in_s(backend) for backend in eligible)
        if now + soonest > self._call.first_event_due - FIRST_EVENT_MARGIN_S:
            return self._refuse_cold(now, soonest)
        eligible = [
            backend
            for backend in eligible
            if _accepts_order_in_s(backend) <= soonest + ADAPTER_REQUEST_INTERVAL_S
        ]
        eligible.sort(
            key=lambda backend: -selection.placement_weight(
                model_request, backend.instance
            )
        )
        index = int((now - began) / ADAPTER_REQUEST_INTERVAL_S) % len(eligible)
        self._context.engines.request_load(
            eligible[index], LoadRequest(model_request.model, model_request.adapter)
        )
        return None

    def _refuse_cold(self, now: float, retry_after_s: float) -> Refusal:
        """Refuse the call and have its adapter prefetched for the caller's retry. The
        prefetch is scheduled now because the engine may start another long load as soon
        as its current one finishes."""
        prefetch = self._context.engines.plans.adapter_prefetch(self._call.service)
        prefetch.refused(now, self._call.model_request, retry_after_s)
        return Refusal(RefusalReason.MODEL_NOT_LOADED, retry_after_s)

    def _record_adapter_miss(self, now: float) -> None:
        if self._missed_adapter:
            return
        self._missed_adapter = True
        demand = self._context.engines.plans.demand(self._call.service)
        demand.adapter_missed(now, self._call.model_request.model, self._weight)

    def _await_model(self, now: float, untried: list[Backend]) -> Refusal | None:
        call, model_request = self._call, self._call.model_request
        engines = self._context.engines
        admission = self._context.quarantine.load_admission(model_request.model)
        if admission.decision is AdmissionDecision.QUARANTINED:
            return Refusal(
                RefusalReason.MODEL_NOT_LOADED,
                admission.retry_in_s,
                "loading it crashes engines",
            )
        planned = engines.plans.plan_for(call.service, model_request.model)
        due = (
            min(self._call.next_event_due(self._progress), call.deadline)
            - FIRST_EVENT_MARGIN_S
        )
        if self._context.stop_deadline is not None:
            due = min(due, self._context.stop_deadline - TYPICAL_STREAM_S)
        ready_in = planned.ready_in_s if planned is not None else None
        if ready_in is not None and now + ready_in < due:
            return None
        if ready_in is None and self._context.is_starting() and now < due:
            return None
        retry_delay_s = UNPLANNED_RETRY_S if ready_in is None else ready_in
        detail = "no engine can load it" if ready_in is None else ""
        retry_delay_s = max(retry_delay_s, attempts.DEFAULT_RETRY_AFTER_S)
        retry_predictor = self._context.service(call.service).retry_predictor
        returns_in_s = retry_predictor.expected_retry_in_s(call, now, retry_delay_s)
        demand = engines.plans.demand(call.service)
        demand.refused(
            now, model_request.model, retry_delay_s, self._weight, returns_in_s
        )
        engines.plans.adapter_prefetch(call.service).refused(
            now, model_request, retry_delay_s
        )
        plan = self._plan_snapshot(now, planned)
        return Refusal(RefusalReason.MODEL_NOT_LOADED, retry_delay_s, detail, plan)

    def _plan_snapshot(self, now: float, planned: PlannedLoad | None) -> PlanSnapshot:
        call = self._call
        plans = self._context.engines.plans
        demand = plans.planned_demand(call.service, call.model_request.model)
        copies = plans.copies_seen(call.service, call.model_request.model)
        store_loads = plans.store_loads_under_way(call.service)
        if planned is None:
            obstacles = plans.obstacles(call.service, call.model_request.model)
            return PlanSnapshot(
                waiting=demand.waiting,
                copies=copies,
                store_loads=store_loads,
                obstacles=obstacles,
                unserved=round(demand.unserved, 1),
                unserved_s=round(demand.unserved_s, 1),
            )
        backend = self._context.gateway_state.fleet.get(planned.instance)
        age_s = None if backend is None else backend.agent_silence_s(now)
        return PlanSnapshot(
            ready_in_s=round(planned.ready_in_s, 2),
            backend=planned.instance or None,
            from_store=planned.from_store,
            asked=planned.request_now,
            agent_age_ms=None if age_s is None else round(age_s * 1000),
            waiting=demand.waiting,
            copies=copies,
            store_loads=store_loads,
            unserved=round(demand.unserved, 1),
            unserved_s=round(demand.unserved_s, 1),
        )


def _accepts_order_in_s(backend: Backend) -> float:
    """In how many seconds the engine accepts an order to load an adapter."""
    loading = backend.engine.loading if backend.engine is not None else None
    return 0.0 if loading is None else loading.left_s
