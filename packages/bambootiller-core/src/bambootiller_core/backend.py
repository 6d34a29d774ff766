"""The decisions of the agent beside one backend server.

:class:`BackendCore` decides what is admitted, started, loaded, unloaded and given back.
It does no input or output: each event comes as a method call with the time, and each
decision goes out as an effect (:mod:`bambootiller_core.backend_effects`). The same
object is driven by the agent's process, by the experiments on virtual time and by
randomised runs.

Example::

    core = BackendCore("i-1", BackendConfig(), DecisionLog(), random.Random(7))
    core.on_template(0.0, template)
    core.on_slot_table(0.0, table)
    core.on_engine_state(0.0, state)
    effects = core.arrive(11.0, req)     # [Admit(...), SendOrder(... LOAD ...)]
    core.on_order_outcome(11.1, effects[1].order_id, OrderTaken())
    core.on_engine_state(19.0, loaded)   # [Start(...)]
    core.finished(21.0, req.request_id, tokens=80, ok=True)
"""

from __future__ import annotations

import random

from bambootiller_core._arrivals import Arrivals
from bambootiller_core._backend_state import BackendState, ServiceKey
from bambootiller_core._confirmations import Confirmations
from bambootiller_core._drain import Drain
from bambootiller_core._eviction import Eviction
from bambootiller_core._loading import Loading
from bambootiller_core._orders import Orders
from bambootiller_core._requests import Outbox, RequestBook
from bambootiller_core._store_loads import StoreLoads
from bambootiller_core._upkeep import Upkeep
from bambootiller_core.backend_effects import (
    BackendConfig,
    Effect,
    OrderOutcome,
    Survey,
)
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.invariants import ensure
from bambootiller_core.memory import Ledger
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import Template
from bambootiller_core.types import (
    EngineState,
    LoadFigures,
    ModelKey,
    ModelTarget,
    Request,
    Tier,
)


class BackendCore:
    """All decisions of one agent.

    Every event method takes the time first and returns the effects to carry out, in
    order. ``tick`` has to be called at :meth:`next_due` at the latest.
    """

    def __init__(
        self,
        instance: str,
        cfg: BackendConfig,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        outbox = Outbox()
        self._state = BackendState(
            instance=instance,
            cfg=cfg,
            decisions=decisions,
            rng=rng,
            outbox=outbox,
            book=RequestBook(outbox, decisions),
            ledger=Ledger(cfg.headroom_bytes),
        )
        self._orders = Orders(self._state)
        self._store = StoreLoads(self._state)
        self._eviction = Eviction(self._state, self._orders, self._store)
        self._loading = Loading(self._state, self._orders)
        self._arrivals = Arrivals(self._state, self._eviction)
        self._upkeep = Upkeep(self._state, self._orders, self._eviction)
        self._drain = Drain(self._state, self._arrivals)
        self._confirmations = Confirmations(self._state)
        self._now = 0.0

    def on_template(self, now: float, template: Template) -> list[Effect]:
        """Take a customer's template, unless a newer one is known."""
        known = self._state.templates.get(template.customer)
        if known is None or template.version >= known.version:
            self._state.templates[template.customer] = template
            for policy in template.models.values():
                key = ModelKey(template.customer, policy.name)
                self._state.load_times.set_prior(key, policy.load_ms / 1000)
            self._share_batch(template)
        return self._settle(now)

    def on_slot_table(self, now: float, table: SlotTable) -> list[Effect]:
        """Take a model's slot table; the newest one is the last that comes."""
        self._state.tables[table.key] = table
        self._confirmations.table_changed(table.key)
        self._drain.table_changed(table.key)
        return self._settle(now)

    def on_slot_confirmed(self, now: float, key: ModelKey, fence: int) -> list[Effect]:
        """This process has written the table in which the slot has ``fence``."""
        self._confirmations.confirmed(now, key, fence)
        return self._settle(now)

    def on_engine_state(
        self, now: float, engine: EngineState, as_of: float | None = None
    ) -> list[Effect]:
        """Take the engine's account of itself; the first one is the take-over.

        ``as_of`` is a time at which the engine's state still was as told: the time at
        which it was asked for, since the answer may have been on its way for long. Of
        a long poll that ended without news, it may be the end of the wait. By default
        it is ``now``.
        """
        self._loading.on_engine_state(now, engine, now if as_of is None else as_of)
        return self._settle(now)

    def on_engine_silent(self, now: float) -> list[Effect]:
        """The engine's state couldn't be read."""
        if self._state.silent_since is None:
            self._state.silent_since = now
        return self._settle(now)

    def on_order_outcome(
        self, now: float, order_id: str, outcome: OrderOutcome
    ) -> list[Effect]:
        """Take the answer to an order, or that none came."""
        self._loading.on_order_outcome(now, order_id, outcome)
        return self._settle(now)

    def arrive(self, now: float, req: Request) -> list[Effect]:
        """Decide on a request; its id must be unique among all open ones."""
        self._arrivals.arrive(now, req)
        return self._settle(now)

    def first_token(self, now: float, request_id: str) -> list[Effect]:
        """The first token of a running request was passed on."""
        entry = self._state.book.get(request_id)
        if entry is not None and entry.first_token_at is None:
            entry.first_token_at = now
            self._state.decisions.record(
                now,
                f"request/{request_id}",
                "first token",
                "passed on",
                "the backend server answers",
                after_s=round(now - entry.admitted_at, 3),
            )
        return self._settle(now)

    def finished(
        self, now: float, request_id: str, tokens: int, ok: bool
    ) -> list[Effect]:
        """A started request has ended. Unknown ones were aborted before; no matter."""
        entry = self._state.book.get(request_id)
        if entry is None:
            return self._settle(now)
        ensure(
            entry.running,
            "one-final-outcome",
            f"request {request_id} finished at {now} without a start",
        )
        self._state.book.finish(now, request_id, tokens, ok)
        if ok:
            self._observe_service_time(entry.req, now - entry.started_at)
        return self._settle(now)

    def cancel(self, now: float, request_id: str) -> list[Effect]:
        """The caller has gone; nothing further is emitted about the request."""
        if self._state.book.get(request_id) is not None:
            self._state.book.withdraw(now, request_id)
        return self._settle(now)

    def leave(self, now: float, deadline: float) -> list[Effect]:
        """Begin the graceful shutdown; it ends with ``Drained`` by ``deadline``."""
        self._drain.leave(now, deadline)
        return self._settle(now)

    def tick(self, now: float) -> list[Effect]:
        """Do what is due by the time alone."""
        return self._settle(now)

    def figures(self, key: ModelKey) -> LoadFigures:
        """The load of a model's replica here, as of the latest event."""
        replica = self._state.replicas.get(key)
        free = max(0, self._state.ledger.free())
        if replica is None:
            return LoadFigures(free_bytes=free)
        policy = self._state.policy(key)
        waiting = replica.gate.waiting()
        est = self._arrivals.model_estimate(self._now, replica, waiting, policy)
        return LoadFigures(
            running=len(replica.gate.running),
            waiting=waiting,
            queue_ms=round(est.wait_s * 1000),
            loaded=replica.part.loaded,
            free_bytes=free,
        )

    def service_figures(self, customer: str, service: str) -> LoadFigures:
        """The load of a plain service here."""
        key = ServiceKey(customer, service)
        gate = self._state.services.get(key)
        if gate is None:
            return LoadFigures(loaded=True)
        est = self._arrivals.service_estimate(key, gate.waiting())
        return LoadFigures(
            running=len(gate.running),
            waiting=gate.waiting(),
            queue_ms=round(est.wait_s * 1000),
            loaded=True,
        )

    def survey(self, key: ModelKey) -> Survey:
        """The figures on which a slot of ``key`` may be placed here."""
        held = [other for other in self._state.tables if self._state.slot(other)]
        policies = [self._state.policy(other) for other in held]
        replica = self._state.replicas.get(key)
        warm = replica is not None and replica.part.loaded
        return Survey(
            memory_total=self._state.ledger.total,
            memory_free=max(0, self._state.ledger.free()),
            slots=len(held),
            slots_bytes=sum(p.memory_bytes for p in policies if p is not None),
            tier=Tier.MEMORY if warm else self._state.tier(key),
            leaving=self._state.leaving is not None,
        )

    def next_due(self, now: float) -> float | None:
        """When ``tick`` has to be called at the latest, or None if nothing is due."""
        times = (
            self._upkeep.next_due(now),
            self._orders.next_due() if self._state.silent_since is None else None,
            self._drain.next_due(),
            self._confirmations.next_due(),
            self._store.next_due(),
        )
        # What was due up to the latest event has been done, or waits for another event.
        ahead = (at for at in times if at is not None and at > self._now)
        return min(ahead, default=None)

    def idle(self) -> bool:
        """Whether no request waits or runs here."""
        return len(self._state.book) == 0

    def _settle(self, now: float) -> list[Effect]:
        """Bring everything in line after an event, and hand out the effects."""
        self._now = now
        self._loading.resend(now)
        self._store.step(now)
        self._upkeep.step(now)
        self._confirmations.step(now)
        self._drain.step(now)
        return self._state.outbox.take()

    def _observe_service_time(self, req: Request, seconds: float) -> None:
        if isinstance(req.target, ModelTarget):
            key = ModelKey(req.customer, req.target.model)
            self._state.service_times.observe(key, seconds)
            return
        key = ModelKey(req.customer, req.target.service)
        self._state.plain_times.observe(key, seconds)

    def _share_batch(self, template: Template) -> None:
        for key, replica in self._state.replicas.items():
            if key.customer == template.customer:
                replica.gate.line.batch_share = template.batch_share
        for key, gate in self._state.services.items():
            if key.customer == template.customer:
                gate.line.batch_share = template.batch_share
