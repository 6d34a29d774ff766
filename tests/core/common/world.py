"""One backend server, its engine, the key-value service's tables and the links between
them, moved step by step by a randomised run.

After each step the properties are checked from outside the core, on what the engine and
the key-value service really hold. Messages may be late, lost, doubled or cross a
restart of the engine or of the agent, within the bounds that the settings promise: an
order arrives within ``VALID_S + SETTLE_S`` of its decision or never. Slot writes and
tables have no such bound.
"""

import random
from dataclasses import dataclass

from bambootiller_core import slots
from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import (
    Abort,
    Admit,
    BackendConfig,
    ConfirmSlot,
    Drained,
    GiveBack,
    OrderKind,
    OrderLost,
    OrderRejected,
    OrderTaken,
    Refuse,
    Retired,
    SendOrder,
    Start,
    key_of,
)
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.outcomes import Executed
from tests.core.common.engine import FakeEngine
from tests.core.common.samples import GIB, ME, SETTLE_S, key, request, template

MODELS = {"a": 4, "b": 4, "c": 3, "d": 6}
TOTAL_GIB = 10
OTHER = "i-2"
ORDER_LIFE_S = 2.0 + SETTLE_S
PAUSES = (0.01, 0.2, 1.0, 3.0, 12.0, 60.0)
TICKS_AT_MOST = 2000


@dataclass
class Wire:
    """A copy of an order on its way."""

    order: SendOrder
    sent_at: float
    life: int
    arrived: bool = False
    answer: str = ""
    answered: bool = False


@dataclass
class Write:
    """A slot write on its way: succeeds only if the table it read still stands."""

    read: slots.SlotTable
    written: slots.SlotTable
    life: int
    confirms: bool = False


@dataclass
class Call:
    """What the world knows of a request."""

    model: str
    deadline: float
    admitted: bool = False
    started: bool = False
    finals: int = 0


class World:
    """All that surrounds one core, and the checks."""

    def __init__(self, fencing: bool = False) -> None:
        self.now = 0.0
        self.life = 0
        self.names = 0
        self.versions = 1
        self.engine = FakeEngine(TOTAL_GIB * GIB, fencing)
        self.tables = {m: slots.create(key(m), 1, 1, {0: ME}, "w0") for m in MODELS}
        self.untold: list[slots.SlotTable] = []
        self.wires: list[Wire] = []
        self.writes: list[Write] = []
        self.wanted: list[GiveBack | Retired | ConfirmSlot] = []
        self.old_states = []
        self.calls: dict[str, Call] = {}
        self.leave_by: float | None = None
        self.drained = False
        self.took_over()

    # Steps

    def took_over(self) -> None:
        """The agent dies, and another process takes over beside the same engine."""
        self.life += 1
        self.leave_by, self.drained = None, False
        self.calls, self.wanted, self.old_states = {}, [], []
        cfg = BackendConfig(settle_s=SETTLE_S, confirm_slots=True)
        rng = random.Random(self.life)
        self.core = BackendCore(ME, cfg, DecisionLog(50, 4), rng)
        self.act(self.core.on_template(self.now, self.template()))
        # What it learns first may come from peers, and be out of date.
        for table in self.untold:
            self.act(self.core.on_slot_table(self.now, table))
        self.untold = list(self.tables.values())

    def pause(self, which: int, paused: bool) -> None:
        """Time passes; a paused process makes up for its ticks only at the end."""
        end = self.now + PAUSES[which % len(PAUSES)]
        for _ in range(TICKS_AT_MOST):
            due = self.core.next_due(self.now)
            if paused or due is None or due > end:
                break
            assert due >= self.now, f"due at {due}, now {self.now}"
            self.now = max(due, self.now)
            self.act(self.core.tick(self.now))
            self.check_deadlines()
        else:
            raise AssertionError("more ticks were due than can be meant")
        self.now = end
        self.wires = [w for w in self.wires if w.sent_at + ORDER_LIFE_S > self.now]
        self.act(self.core.tick(self.now))
        self.check_deadlines()

    def order_arrives(self, which: int) -> None:
        """A copy of an order reaches the engine; its answer isn't back yet."""
        wire = _pick([w for w in self.wires if not w.arrived], which)
        if wire is not None:
            self._arrives(wire)

    def order_answered(self, which: int) -> None:
        """The answer to an order comes back."""
        wire = _pick([w for w in self._awaited() if w.arrived], which)
        if wire is not None:
            wire.answered = True
            outcome = OrderRejected(wire.answer) if wire.answer else OrderTaken()
            self._tell(wire, outcome)

    def answer_lost(self, which: int) -> None:
        """The agent gives up on an answer; the order may have arrived, or may yet."""
        wire = _pick(self._awaited(), which)
        if wire is not None:
            wire.answered = True
            self._tell(wire, OrderLost())

    def never_sent(self, which: int) -> None:
        """The agent couldn't send an order in time, and says so."""
        wire = _pick([w for w in self._awaited() if not w.arrived], which)
        if wire is not None:
            self.wires.remove(wire)
            self._tell(wire, OrderRejected("not sent"))

    def engine_works(self, which: int, failing: bool) -> None:
        """The engine finishes one order, or fails in it."""
        self.engine.finish_one(which, failing)

    def engine_read(self) -> None:
        """The agent reads the engine's state."""
        state = self.engine.state()
        self.old_states = [*self.old_states[-3:], (self.now, state)]
        self.act(self.core.on_engine_state(self.now, state))

    def engine_answer_crosses(self, which: int) -> None:
        """An earlier answer of the engine comes once more."""
        if self.old_states:
            told_at, state = _pick(self.old_states, which)
            self.act(self.core.on_engine_state(self.now, state, told_at))

    def engine_restarts(self) -> None:
        """The engine crashes and starts anew, empty."""
        self.engine.restart()

    def engine_silent(self) -> None:
        """The engine's state can't be read."""
        self.act(self.core.on_engine_silent(self.now))

    def arrive(self, model: int, adapter: int, left: float, priority: int) -> None:
        """A request arrives; ``model`` beyond the known ones is the plain service."""
        names = [*MODELS, ""]
        name = names[model % len(names)]
        self.names += 1
        req = request(
            f"r{self.names}",
            name,
            self.now + left,
            adapter=("", "x", "y")[adapter % 3] if name else "",
            priority=priority,
            batch=priority > 7,
        )
        self.calls[req.request_id] = Call(name, req.deadline)
        self.act(self.core.arrive(self.now, req))

    def finish(self, which: int, ok: bool) -> None:
        """A running request ends."""
        name = _pick(self._named(started=True), which)
        if name is not None:
            self.calls[name].finals += 1
            self.act(self.core.first_token(self.now, name))
            self.act(self.core.finished(self.now, name, 5, ok))

    def cancel(self, which: int) -> None:
        """A caller goes away."""
        name = _pick(self._named(started=None), which)
        if name is not None:
            self.calls[name].finals += 1
            self.act(self.core.cancel(self.now, name))

    def leave(self, seconds: float) -> None:
        """A planned stop begins."""
        if self.leave_by is None:
            self.leave_by = self.now + seconds
            self.act(self.core.leave(self.now, self.leave_by))

    def cap(self, model: int, cap: int) -> None:
        """An operator changes a cap; an entry writes the table."""
        name = list(MODELS)[model % len(MODELS)]
        self.versions += 1
        table = self.tables[name]
        token = f"cap{self.versions}"
        self._put(slots.reconcile_cap(table, cap, self.versions, token))

    def place(self, model: int, here: bool) -> None:
        """An entry gives an empty slot to this backend server or to another."""
        name = list(MODELS)[model % len(MODELS)]
        table = self.tables[name]
        empty = slots.placeable(table)
        instance = ME if here else OTHER
        if empty and table.slot_of(instance) is None:
            self.versions += 1
            token = f"place{self.versions}"
            self._put(slots.assign(table, empty[0], instance, token))

    def other_leaves(self, model: int) -> None:
        """Another backend server gives its slot back."""
        name = list(MODELS)[model % len(MODELS)]
        table = self.tables[name]
        slot = table.slot_of(OTHER)
        if slot is not None:
            self.versions += 1
            evidence = slots.GivenBack(OTHER)
            token = f"other{self.versions}"
            self._put(slots.vacate(table, slot.number, evidence, token))

    def table_told(self, which: int) -> None:
        """The agent learns of a table, of each model's in the order of the writes."""
        table = _pick(self.untold, which)
        if table is not None:
            first = next(t for t in self.untold if t.key == table.key)
            self.untold.remove(first)
            self.act(self.core.on_slot_table(self.now, first))

    def write_sent(self, which: int) -> None:
        """The agent reads a table and sends the write that an effect asks for."""
        effect = _pick(self.wanted, which)
        if effect is None:
            return
        self.wanted.remove(effect)
        table = self.tables[effect.key.model]
        slot = table.slot_of(ME)
        if slot is None or slot.fence != effect.fence:
            return
        self.versions += 1
        token = f"{ME}.{self.life}.{self.versions}"
        if isinstance(effect, ConfirmSlot):
            written = slots.confirm(table, ME, token)
            self.writes.append(Write(table, written, self.life, confirms=True))
            return
        if isinstance(effect, Retired) and not slot.retiring:
            return
        written = slots.vacate(table, slot.number, slots.GivenBack(ME), token)
        self.writes.append(Write(table, written, self.life))

    def write_lands(self, which: int, answer_lost: bool) -> None:
        """A slot write takes effect if the table it read still stands."""
        write = _pick(self.writes, which)
        if write is None:
            return
        self.writes.remove(write)
        if self.tables[write.read.key.model] != write.read:
            return
        self._put(write.written)
        if write.confirms and write.life == self.life and not answer_lost:
            slot = write.written.slot_of(ME)
            changed = write.written.key
            self.act(self.core.on_slot_confirmed(self.now, changed, slot.fence))

    def template_changes(self, without: int, max_running: int) -> None:
        """An operator changes the template; one model may be missing for a while."""
        self.versions += 1
        self.act(self.core.on_template(self.now, self.template(without, max_running)))

    def calm(self, rounds: int) -> None:
        """For a while, all arrives and all works."""
        self._calm(rounds)

    # Checks

    def check(self) -> None:
        """What must hold after every step, on what is really there."""
        used = self.engine.used
        assert used <= self.engine.total, f"{used} of {self.engine.total} bytes"
        for name in self.engine.models:
            table = self.tables[key_of(name).model]
            assert table.slot_of(ME), f"{name} at the engine without a slot: {table}"
        if self.drained:
            assert not self._named(started=None), "drained with open requests"

    def check_deadlines(self) -> None:
        """Nothing waits or runs past its deadline once a tick was given."""
        for name in self._named(started=None):
            call = self.calls[name]
            assert call.deadline > self.now, f"{name}, {call}, at {self.now}"
        if self.leave_by is not None and self.now >= self.leave_by:
            assert self.drained, f"not drained at {self.now}, by {self.leave_by}"

    def recover(self) -> None:
        """Once faults end, whatever is held here is served again, and nothing stays."""
        self._calm(0)
        self.took_over()
        self._calm(40)
        for name in self._named(started=None):
            self.act(self.core.cancel(self.now, name))
        for model, table in self.tables.items():
            if not table.loadable(ME):
                continue
            self.arrive(list(MODELS).index(model), 1, 100.0, 0)
            name = f"r{self.names}"
            self._calm(20)
            call = self.calls[name]
            assert call.started, f"{name} for {model} never started: {call}"
            if not call.finals:
                call.finals = 1
                self.act(self.core.finished(self.now, name, 1, True))
        self.leave(60.0)
        self._calm(30)
        assert self.drained, "the drain doesn't end although nothing is in its way"
        held = [t.key.model for t in self.tables.values() if t.slot_of(ME)]
        assert not held, f"slots of {held} weren't given back"

    # Details

    def act(self, effects) -> None:
        """Carry effects out as far as this needs no step of its own."""
        for effect in effects:
            match effect:
                case Admit(request_id=name):
                    call = self.calls[name]
                    assert not call.admitted and not call.finals, (name, call)
                    assert self.leave_by is None, f"{name} admitted while leaving"
                    call.admitted = True
                case Start(request_id=name):
                    call = self.calls[name]
                    assert call.admitted and not call.started, (name, call)
                    assert not call.finals and call.deadline > self.now, (name, call)
                    call.started = True
                case Refuse(request_id=name, refused=refused):
                    self._end(name, started=False)
                    assert refused.executed is Executed.NO, (name, refused)
                case Abort(request_id=name, refused=refused):
                    self._end(name, started=True)
                    assert refused.executed is not Executed.NO, (name, refused)
                case SendOrder():
                    self.wires.append(Wire(effect, self.now, self.life))
                case GiveBack() | Retired() | ConfirmSlot():
                    if effect not in self.wanted:
                        self.wanted.append(effect)
                case Drained():
                    assert not self.drained, "drained twice"
                    self.drained = True

    def template(self, without: int = 99, max_running: int = 2):
        """The template in force, perhaps without one of the models."""
        models = dict(MODELS)
        if without < len(MODELS):
            del models[list(MODELS)[without]]
        return template(self.versions, max_running, **models)

    def _end(self, name: str, started: bool) -> None:
        call = self.calls[name]
        assert call.started is started, (name, call)
        assert call.finals == 0, (name, call)
        call.finals = 1

    def _arrives(self, wire: Wire) -> None:
        order = wire.order
        repeated = order.order_id in self.engine.orders
        if order.kind is OrderKind.UNLOAD and wire.life == self.life and not repeated:
            names = self._named(started=True)
            cut = [n for n in names if self.calls[n].model == order.key.model]
            there = order.model in self.engine.models
            assert not (cut and there), f"{order} cuts {cut} at {self.now}"
        wire.arrived = True
        wire.answer = self.engine.take(order)

    def _tell(self, wire: Wire, outcome) -> None:
        order_id = wire.order.order_id
        self.act(self.core.on_order_outcome(self.now, order_id, outcome))

    def _awaited(self) -> list[Wire]:
        return [w for w in self.wires if not w.answered and w.life == self.life]

    def _named(self, started: bool | None) -> list[str]:
        return [
            name
            for name, call in self.calls.items()
            if call.admitted
            and not call.finals
            and (started is None or call.started is started)
        ]

    def _put(self, table: slots.SlotTable) -> None:
        self.tables[table.key.model] = table
        self.untold.append(table)

    def _calm(self, seconds: int) -> None:
        """All that is on its way arrives, all works, and time passes."""
        for _ in range(max(seconds, 1) * 2):
            while self.untold:
                self.table_told(0)
            while self.wanted:
                self.write_sent(0)
            while self.writes:
                self.write_lands(0, False)
            for wire in list(self.wires):
                if not wire.arrived:
                    self._arrives(wire)
                if not wire.answered and wire.life == self.life:
                    wire.answered = True
                    reason = wire.answer
                    self._tell(wire, OrderRejected(reason) if reason else OrderTaken())
            self.engine.finish_all()
            self.engine_read()
            if seconds:
                self.now += 0.5
                self.act(self.core.tick(self.now))
                self.check_deadlines()
            self.check()


def _pick(items, which: int):
    return items[which % len(items)] if items else None
