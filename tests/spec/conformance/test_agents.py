"""What the core's agents decide about slots is what the specification lets them do."""

import random
import unittest
from collections import Counter

from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import (
    BackendConfig,
    ConfirmSlot,
    GiveBack,
    OrderKind,
    OrderLost,
    OrderTaken,
    Retired,
    SendOrder,
    Start,
)
from bambootiller_core.decisions import DecisionLog
from spec import Action, registered
from spec._slots_state import DOWN, LIVE, UP
from tests.core.common.engine import FakeEngine
from tests.core.common.samples import GIB, key, request, template
from tests.spec.common.walks import walk
from tests.spec.conformance.test_slots import SlotsMirror, name

MODEL = "a"
SETTLE_S = 10.0
WALKS = 60
STEPS = 300
RARE = frozenset({"instance_is_reclaimed", "agent_is_killed", "stop planned"})
#: Steps that the agents' own effects bring about, and no draw.
DECISIONS = frozenset(
    {"agent_orders_load", "agent_gives_back", "agent_confirms_slot", "agent_unloads"}
    | {"agent_settles"}
)
EVENTS = ("request arrives", "engine read", "time passes", "stop planned")


class AgentsMirror(SlotsMirror):
    """
    A core for each agent and an engine for each backend server.

    An event at an agent changes nothing in the specification by itself. The effects
    that the core answers with are carried out there as steps: each has to be enabled.
    `state` is the specification's state, which goes on with them.
    """

    KEY = key(MODEL)

    def __init__(self, spec, seed: int):
        super().__init__(spec)
        self.state = spec.initial()
        self.rng = random.Random(seed)
        self.requests = 0
        self.seen: Counter = Counter()
        count = spec.bounds["servers"]
        self.now = [1000.0 * (n + 1) for n in range(count)]
        self.engines = [FakeEngine(10 * GIB) for _ in range(count)]
        self.orders: list[dict[str, SendOrder]] = [{} for _ in range(count)]
        self.unheard: list[list[int]] = [[] for _ in range(count)]
        self.cores: list[BackendCore | None] = [None] * count
        for index in range(count):
            self._starts(index)
            self._read_engine(index)
            self._time_passes(index)

    def choices(self, state, successors):
        successors = super().choices(state, successors)
        kept = [one for one in successors if one[0].name not in DECISIONS]
        for index, _ in self.spec.agents(state, UP):
            for event in EVENTS:
                on_wire = bool(self.orders[index])
                if event != "time passes" or not on_wire:
                    kept.append((Action(event, (index,)), state))
        return kept

    def follow(self, before, action, after):
        self.state = after
        handler = getattr(self, "_" + action.name.replace(" ", "_"), None)
        if handler is not None:
            handler(before, after, *action.args)
        self._drop_failed(self.state)
        self._compare(self.state)
        for index, server in enumerate(self.state.servers):
            if server.instance == LIVE:
                there = bool(self.engines[index].models)
                assert there == server.loaded, f"engine {index} has it: {there}"
        for invariant, holds in self.spec.invariants().items():
            assert holds(self.state), invariant
        return self.state

    # Events at an agent.

    def _starts(self, index: int):
        cfg = BackendConfig(settle_s=SETTLE_S, confirm_slots=True)
        rng = random.Random(self.rng.getrandbits(32))
        self.cores[index] = BackendCore(name(index), cfg, DecisionLog(50, 4), rng)
        self._tell(index, "on_template", template(1, **{MODEL: 4}))

    def _tell(self, index: int, event: str, *args):
        """Give an event to a core and carry out what it decides."""
        self.now[index] += 0.001
        core = self.cores[index]
        for effect in getattr(core, event)(self.now[index], *args):
            self._carry_out(index, effect)

    def _read_engine(self, index: int):
        self._tell(index, "on_engine_state", self.engines[index].state())

    def _request_arrives(self, before, after, index):
        self.requests += 1
        deadline = self.now[index] + 1000.0
        self._tell(
            index, "arrive", request(f"r-{self.requests}", MODEL, deadline=deadline)
        )

    def _engine_read(self, before, after, index):
        self._read_engine(index)

    def _stop_planned(self, before, after, index):
        self._tell(index, "leave", self.now[index] + 10_000.0)

    def _time_passes(self, *args):
        """Longer than the settle time: no order of any agent is on its way here."""
        index = args[-1]
        self.now[index] += 3 * SETTLE_S
        if not self.state.servers[index].settled:
            self._take("agent_settles", index)
        self._read_engine(index)
        self._tell(index, "tick")

    # Effects of an agent.

    def _take(self, step: str, index: int):
        """The step has to be enabled for this agent; the specification takes it."""
        for args, after in getattr(self.spec, step)(self.state):
            if args == (index,):
                self.state = after
                self.seen[step] += 1
                return
        server = self.state.servers[index]
        raise AssertionError(f"{step} of {index} isn't specified here: {server}")

    def _carry_out(self, index: int, effect):
        match effect:
            case SendOrder(kind=OrderKind.LOAD):
                self._take("agent_orders_load", index)
                self.orders[index]["own"] = effect
            case SendOrder(kind=OrderKind.UNLOAD):
                self._unload(index, effect)
            case Start(request_id=name_of_request):
                self._tell(index, "finished", name_of_request, 1, True)
            case ConfirmSlot(fence=fence):
                if self._may_write(index, fence, retiring=False):
                    self._take("agent_confirms_slot", index)
                    super()._agent_confirms_slot(None, None, index)
            case GiveBack(fence=fence) | Retired(fence=fence):
                must_retire = isinstance(effect, Retired)
                if self._may_write(index, fence, must_retire):
                    self._take("agent_gives_back", index)
                    super()._agent_gives_back(None, None, index)

    def _may_write(self, index: int, fence: int, retiring: bool) -> bool:
        """Whether the shell finds the slot as the effect says, and has no write yet."""
        slot = self.table.slot_of(name(index)) if self.table else None
        if slot is None or slot.fence != fence or index in self.wire:
            return False
        return slot.retiring or not retiring

    def _unload(self, index: int, order: SendOrder):
        self._take("agent_unloads", index)
        self.engines[index].take(order)
        self.engines[index].finish_all()
        self._tell(index, "on_order_outcome", order.order_id, OrderTaken())

    # Steps of the specification that an agent or its engine sees.

    def _agent_reads_table(self, before, after, index):
        self._tell(index, "on_slot_table", self.table)

    def _write_lands(self, before, after, kind, server):
        super()._write_lands(before, after, kind, server)
        self._drop_failed(after)
        if kind == "confirm":
            fence = self.table.slot_of(name(server)).fence
            self.unheard[server].append(fence)
            if before.servers[server].agent == UP:
                self._agent_resumes(before, after, server)

    def _agent_resumes(self, before, after, index):
        """A paused agent hears what came meanwhile."""
        fences, self.unheard[index] = self.unheard[index], []
        for fence in fences:
            self._tell(index, "on_slot_confirmed", self.KEY, fence)

    def _write_lands_unheard(self, before, after, kind, server):
        super()._write_lands(before, after, kind, server)

    def _order_arrives(self, before, after, index, sender):
        order = self.orders[index].pop(sender)
        assert self.engines[index].take(order) == ""
        self.engines[index].finish_all()
        self._answer(index, sender, order, OrderTaken())

    def _order_is_lost(self, before, after, index, sender):
        order = self.orders[index].pop(sender)
        self._answer(index, sender, order, OrderLost())

    def _answer(self, index, sender, order, outcome):
        up = self.state.servers[index].agent == UP
        if sender == "own" and up and self.rng.random() < 0.5:
            self._tell(index, "on_order_outcome", order.order_id, outcome)

    def _agent_is_killed(self, before, after, index):
        self.cores[index] = None
        self.unheard[index] = []
        own = self.orders[index].pop("own", None)
        if own is not None:
            self.orders[index]["old"] = own

    def _agent_starts(self, before, after, index):
        assert before.servers[index].agent == DOWN
        self._starts(index)
        self._read_engine(index)

    def _instance_is_reclaimed(self, before, after, index):
        self.cores[index] = None
        self.unheard[index] = []
        self.orders[index] = {}
        self.engines[index].restart()


class TestAgentsConformance(unittest.TestCase):
    def test_agents_order_confirm_unload_and_give_back_as_specified(self):
        taken: Counter = Counter()
        decided: Counter = Counter()
        for seed in range(WALKS):
            spec = registered()["slots"]({"servers": 3, "caps": (0, 1, 2)})
            mirror = AgentsMirror(spec, seed)
            taken += walk(spec, seed, STEPS, mirror, RARE)
            decided += mirror.seen
        self.assertEqual(spec.expected_steps() - DECISIONS - taken.keys(), set())
        self.assertEqual(DECISIONS - decided.keys(), set())
