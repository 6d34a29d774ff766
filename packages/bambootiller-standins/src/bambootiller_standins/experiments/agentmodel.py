"""One agent: the core's decisions of a backend server, its engine, and the links."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import (
    Abort,
    Admit,
    Effect,
    GiveBack,
    OrderKind,
    Refuse,
    Retired,
    SendOrder,
    Start,
    engine_name,
)
from bambootiller_core.outcomes import Refused
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import Template
from bambootiller_core.types import EngineState, LoadFigures, ModelKey, Phase, Request

from .arrivals import Arrival
from .enginemodel import EngineModel, Run
from .records import IdleClock
from .virtualtime import VirtualTime
from .world import ServerFacts

#: One way between an entry and an agent, with what both spend on the request.
HOP_S = 0.001
#: After this time a sender knows that a server which is gone doesn't answer.
UNREACHABLE_S = 1.0
#: How soon after an event the core is asked when it has to be called next.
LOOK_S = 0.1
#: An order is settled by a state that is read after it can't arrive any more. A poll in
#: between that brings no news decides nothing, and is left out.
POLL_S = 12.5


@dataclass(frozen=True, slots=True)
class Reply:
    """What an entry hears of an attempt: an event, with the agent's fresh figures.

    ``kind`` is admitted, first token, answered, refused or broken; of a broken attempt,
    ``tokens`` are those that had been passed on.
    """

    kind: str
    refused: Refused | None = None
    figures: LoadFigures | None = None
    tokens: int = 0


OnReply = Callable[[Reply], None]


@dataclass(slots=True)
class _Attempt:
    req: Request
    arrival: Arrival
    key: ModelKey
    skip_tokens: int
    on_reply: OnReply
    admitted: bool = False
    run: Run | None = None


class AgentModel:
    """Drives one ``BackendCore`` as the agent's shell would."""

    def __init__(
        self, time: VirtualTime, server: ServerFacts, core: BackendCore
    ) -> None:
        self.server = server
        self.core = core
        self.engine: EngineModel
        self.idle: dict[ModelKey, IdleClock] = {}
        self.alive = True
        self._time = time
        self._attempts: dict[str, _Attempt] = {}
        self._wake_at = float("inf")
        self._look_due = False
        self._poll_due = False
        self._ordered_at = 0.0

    # What reaches the agent

    def begin(self, template: Template) -> None:
        """Tell the core the template and the engine's first state."""
        self._carry_out(self.core.on_template(self._time.now, template))
        self.on_state(self.engine.state())
        self._poll_later()

    def on_table(self, table: SlotTable) -> None:
        """A slot table reached the agent."""
        if self.alive:
            self._carry_out(self.core.on_slot_table(self._time.now, table))

    def on_state(self, state: EngineState) -> None:
        """The engine told its state."""
        if not self.alive:
            return
        loaded = {item.model for item in state.models if item.phase is Phase.LOADED}
        for key, clock in self.idle.items():
            clock.set_loaded(self._time.now, engine_name(key) in loaded)
        self._carry_out(self.core.on_engine_state(self._time.now, state))

    def serve(
        self, req: Request, arrival: Arrival, skip_tokens: int, on_reply: OnReply
    ) -> None:
        """An entry's attempt arrives, to go on behind ``skip_tokens`` of the answer."""
        if not self.alive:
            self._time.after(UNREACHABLE_S, on_reply, Reply("broken"))
            return
        attempt = _Attempt(req, arrival, arrival.key, skip_tokens, on_reply)
        self._attempts[req.request_id] = attempt
        self._carry_out(self.core.arrive(self._time.now, req))

    def kill(self) -> None:
        """The instance is gone; the entries notice their broken streams a bit later."""
        self.alive = False
        self.engine.kill()
        for clock in self.idle.values():
            clock.set_loaded(self._time.now, False)
        for attempt in self._attempts.values():
            tokens = attempt.run.produced(self._time.now) if attempt.run else 0
            broken = Reply("broken", tokens=tokens)
            self._time.after(UNREACHABLE_S, attempt.on_reply, broken)
        self._attempts.clear()

    # What the core decides

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Admit(request_id=name):
                    self._admit(name)
                case Start(request_id=name):
                    self._start(name)
                case Refuse(request_id=name, refused=refused):
                    self._end(name, refused)
                case Abort(request_id=name, refused=refused):
                    self._end(name, refused)
                case SendOrder():
                    self._time.after(HOP_S, self._order, effect)
                case GiveBack() | Retired():
                    pass
        self._set_alarm()

    def _poll_later(self) -> None:
        self._ordered_at = self._time.now
        if not self._poll_due:
            self._poll_due = True
            self._time.after(POLL_S, self._poll)

    def _poll(self) -> None:
        self._poll_due = False
        if not self.alive:
            return
        if self._ordered_at + POLL_S > self._time.now:
            self._poll_due = True
            self._time.at(self._ordered_at + POLL_S, self._poll)
        self.on_state(self.engine.state())

    def _set_alarm(self) -> None:
        # Asking the core after each of a burst's events what is due next would take
        # most of a run's time. So it is asked once for all of a tenth of a second.
        if not self._look_due:
            self._look_due = True
            self._time.after(LOOK_S, self._look)

    def _look(self) -> None:
        self._look_due = False
        due = self.core.next_due(self._time.now)
        if due is not None and due < self._wake_at:
            self._wake_at = due
            self._time.at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if due != self._wake_at:
            return
        self._wake_at = float("inf")
        if self.alive:
            self._carry_out(self.core.tick(self._time.now))

    def _order(self, order: SendOrder) -> None:
        if not self.alive:
            return
        self._poll_later()
        outcome = self.engine.order(order)
        self._carry_out(
            self.core.on_order_outcome(self._time.now, order.order_id, outcome)
        )
        if order.kind is OrderKind.UNLOAD:
            self.idle[order.key].set_loaded(self._time.now, False)

    def _admit(self, name: str) -> None:
        attempt = self._attempts[name]
        attempt.admitted = True
        self.idle[attempt.key].change_open(self._time.now, 1)
        self._reply(attempt, "admitted", None)

    def _start(self, name: str) -> None:
        attempt = self._attempts.get(name)
        if attempt is None:
            return
        attempt.run = self.engine.run(
            engine_name(attempt.key),
            attempt.arrival,
            attempt.skip_tokens,
            lambda: self._first_token(name),
            lambda ok: self._finished(name, ok),
        )

    def _first_token(self, name: str) -> None:
        attempt = self._attempts.get(name)
        if attempt is None:
            return
        self._reply(attempt, "first token", None)

    def _finished(self, name: str, ok: bool) -> None:
        if not self.alive:
            return
        attempt = self._attempts.pop(name, None)
        tokens = attempt.arrival.tokens if attempt else 0
        self._carry_out(self.core.finished(self._time.now, name, tokens, ok))
        if attempt is not None:
            self._close(attempt)
            self._reply(attempt, "answered" if ok else "broken", None)

    def _end(self, name: str, refused: Refused) -> None:
        attempt = self._attempts.pop(name, None)
        if attempt is None:
            return
        if attempt.run is not None:
            self.engine.cancel(engine_name(attempt.key), attempt.run)
        self._close(attempt)
        self._reply(attempt, "refused", refused)

    def _close(self, attempt: _Attempt) -> None:
        if attempt.admitted:
            self.idle[attempt.key].change_open(self._time.now, -1)

    def _reply(self, attempt: _Attempt, kind: str, refused: Refused | None) -> None:
        reply = Reply(kind, refused, self.core.figures(attempt.key))
        self._time.after(HOP_S, attempt.on_reply, reply)
