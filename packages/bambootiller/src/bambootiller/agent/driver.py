"""Turns the core's effects into input and output, and what comes of it into events.

This is the one place where :class:`BackendCore` is called. An event's effects are
carried out in order and without waiting: what takes time becomes a task, whose end is a
new event.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.agent.calls import Call
from bambootiller.agent.engine import EngineClient
from bambootiller.agent.pieces import Accepted, Completed, Final
from bambootiller.agent.slot_writes import SlotWrites
from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import (
    Abort,
    Admit,
    ConfirmSlot,
    Drained,
    Effect,
    GiveBack,
    OrderRejected,
    Refuse,
    Retired,
    SendOrder,
    Start,
)
from bambootiller_core.outcomes import Refused
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import Template
from bambootiller_core.timers import Subscription
from bambootiller_core.types import EngineState

if TYPE_CHECKING:
    from bambootiller.app import Application

#: How long a non-idempotent call that was sent goes on after its caller has gone, so
#: that a repeat finds its answer. Seconds.
DETACHED_SECONDS = 60.0

log = logs.logger("driver")

Runner = Callable[[Call], Awaitable[Final]]


class Driver:
    """Drives the core of one agent. ``run`` runs a call at the engine or service.

    Example::

        driver = Driver(app, core, engine, run, slot_writes)
        driver.arrive(call)              # pieces and the outcome come in call.outbox
        driver.cancel(call)              # the caller has gone
    """

    def __init__(
        self,
        app: Application,
        core: BackendCore,
        engine: EngineClient | None,
        run: Runner,
        slot_writes: SlotWrites,
    ) -> None:
        self.core = core
        self.drained = asyncio.Event()
        self._app = app
        self._engine = engine
        self._run = run
        self._slot_writes = slot_writes
        self._calls: dict[str, Call] = {}
        self._running: set[asyncio.Task] = set()
        self._timer: Subscription | None = None

    # Events.

    def on_template(self, template: Template) -> None:
        """A template came into force here."""
        self._carry_out(self.core.on_template(self._app.now(), template))

    def on_slot_table(self, table: SlotTable) -> None:
        """A slot table came into force here."""
        self._carry_out(self.core.on_slot_table(self._app.now(), table))

    def on_engine_state(self, state: EngineState, as_of: float) -> None:
        """The engine told its state; it was as told at ``as_of``."""
        self._carry_out(self.core.on_engine_state(self._app.now(), state, as_of))

    def on_engine_silent(self) -> None:
        """The engine's state couldn't be read."""
        self._carry_out(self.core.on_engine_silent(self._app.now()))

    def arrive(self, call: Call) -> None:
        """Take in a call whose ``req.request_id`` is unique here."""
        self._calls[call.req.request_id] = call
        call.first_piece = lambda: self._first_piece(call)
        self._carry_out(self.core.arrive(self._app.now(), call.req))

    def cancel(self, call: Call) -> None:
        """The caller has gone; nobody reads the call's outbox any more."""
        if self._calls.pop(call.req.request_id, None) is None:
            return
        call.outbox.close()
        self._end_task(call)
        self._carry_out(self.core.cancel(self._app.now(), call.req.request_id))

    def leave(self, deadline: float) -> None:
        """Begin the graceful shutdown; ``drained`` is set by ``deadline``."""
        self._carry_out(self.core.leave(self._app.now(), deadline))

    def is_open(self, request_id: str) -> bool:
        """Whether an attempt with this id is open here."""
        return request_id in self._calls

    async def wait_tasks(self, until: float) -> None:
        """Wait for the tasks of calls, also those that nobody reads, until a time."""
        if self._running:
            left = max(0.0, until - self._app.now())
            await asyncio.wait(self._running, timeout=left)

    def cut_tasks(self) -> None:
        """End what still runs. Each call that was sent counts as cut from now on."""
        for task in list(self._running):
            task.cancel()

    # Effects.

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._one(effect)
        self._set_timer()

    def _one(self, effect: Effect) -> None:
        match effect:
            case Admit(request_id, wait_ms, cold):
                self._calls[request_id].outbox.put_now(Accepted(wait_ms, cold))
            case Start(request_id):
                self._start(self._calls[request_id])
            case Refuse(request_id, refused):
                self._refuse(request_id, refused)
            case Abort(request_id, refused):
                self._abort(request_id, refused)
            case SendOrder():
                decided_at = self._app.now()
                self._app.spawn("order", self._order(effect, decided_at))
            case GiveBack() | Retired() | ConfirmSlot():
                self._slot_writes.begin(effect, self._slot_confirmed)
            case Drained():
                self.drained.set()

    def _start(self, call: Call) -> None:
        call.task = self._app.spawn(f"call {call.name}", self._serve(call))
        self._running.add(call.task)
        call.task.add_done_callback(self._running.discard)

    async def _serve(self, call: Call) -> None:
        final = await self._run(call)
        request_id = call.req.request_id
        ok = isinstance(final, Completed)
        if self._calls.pop(request_id, None) is not None:
            call.outbox.end(final)
            tokens = final.tokens if ok else 0
            now = self._app.now()
            self._carry_out(self.core.finished(now, request_id, tokens, ok))

    def _refuse(self, request_id: str, refused: Refused) -> None:
        call = self._calls.pop(request_id)
        call.outbox.end(refused)

    def _abort(self, request_id: str, refused: Refused) -> None:
        call = self._calls.pop(request_id, None)
        if call is None:
            return
        call.outbox.end(call.aborted(refused))
        self._end_task(call)

    def _end_task(self, call: Call) -> None:
        """Stop the run, unless it is one that can't be taken back."""
        if call.task is None:
            return
        if call.req.non_idempotent and call.sent:
            log.info("call {} goes on without its caller", call.name)
            loop = asyncio.get_running_loop()
            handle = loop.call_later(DETACHED_SECONDS, call.task.cancel)
            call.task.add_done_callback(lambda task: handle.cancel())
            # Without a reader, the answer must not wait for room.
            call.outbox.close()
        else:
            call.task.cancel()

    def _first_piece(self, call: Call) -> None:
        request_id = call.req.request_id
        if request_id in self._calls:
            self._carry_out(self.core.first_token(self._app.now(), request_id))

    def _slot_confirmed(self, effect: ConfirmSlot) -> None:
        now = self._app.now()
        self._carry_out(self.core.on_slot_confirmed(now, effect.key, effect.fence))

    async def _order(self, order: SendOrder, decided_at: float) -> None:
        if self._engine is None or self._app.now() > decided_at + order.valid_s:
            # The process was paused between the decision and this line. What the order
            # rests on may have changed since; the core decides anew.
            outcome = OrderRejected("not sent")
        else:
            outcome = await self._engine.order(order)
        log.info(
            "order {} {} of {}: {}",
            order.order_id,
            order.kind.value,
            order.model,
            outcome,
        )
        self._app.metrics.incr(f"agent.order.{type(outcome).__name__}")
        now = self._app.now()
        self._carry_out(self.core.on_order_outcome(now, order.order_id, outcome))

    # Timers.

    def _set_timer(self) -> None:
        due = self.core.next_due(self._app.now())
        if self._timer is not None and not self._timer.cancelled:
            if self._timer.due == due:
                return
            self._timer.cancel()
        self._timer = None
        if due is not None:
            self._timer = self._app.timers.at("backend", due, self._tick)

    def _tick(self, now: float) -> None:
        self._timer = None
        self._carry_out(self.core.tick(now))
