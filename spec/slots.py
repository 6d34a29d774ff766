"""
Slots at rest: who may hold a replica, and on what evidence a slot moves.

One model, whose template decides a cap. The table of slots is one value in the
key-value service, written by compare-and-swap. A backend server holds at most one slot
of the model. The agent beside it may order a load while it believes that it holds the
slot; between its belief and the table lie stale reads, pauses, kills, restarts, lost
answers and messages that outlive their sender.

Revisions have no numbers. A write that takes effect fails all others that were computed
on the same revision, so the model drops these from the wire. Times have none either: a
settle time that is longer than any order's way is a step that waits until no order of
an earlier agent is on the wire. Writes have no such bound; they may land at any time
until another one has.
"""

from collections.abc import Iterator
from itertools import combinations, permutations

from spec._model import Variant, changed, invariant, specification, step, step_only_in
from spec._slots_agents import AgentSteps
from spec._slots_state import (
    DOWN,
    FREE,
    GONE,
    LIVE,
    NOTHING,
    UP,
    Server,
    Slot,
    State,
    Write,
    held_slots,
    renumbered,
    slot_of,
    sorted_parts,
)

ONE = {"caps": (1,)}
# Most variants don't need a pause: a step that doesn't come is as good as one.
STILL = {"caps": (1,), "pauses": False}


@specification
class Slots(AgentSteps):
    """The cap on replicas held by slots that move on evidence alone."""

    name = "slots"
    title = "The cap on replicas, held by slots that move on evidence alone"
    default_bounds = {"servers": 2, "caps": (0, 1), "fencing": False, "pauses": True}
    larger_bounds = (
        {"caps": (1,), "fencing": True, "pauses": False},
        {"caps": (1,), "servers": 3},
        {"caps": (1, 2), "pauses": False},
    )
    variants = {
        "move_on_lapsed_lease": Variant(
            "an entry frees a slot because its holder's lease has lapsed",
            "loaded_within_cap",
            ONE,
        ),
        "move_on_dead_probe": Variant(
            "an entry frees the slot of an agent that answers no probe, before the"
            " platform lists the instance as gone",
            "loaded_within_cap",
            STILL,
        ),
        "no_settle_time": Variant(
            "an agent gives a slot back right after its take-over, while an order of"
            " the agent before it may be on the wire",
            "loaded_within_cap",
            STILL,
        ),
        "two_agents_beside_one_server": Variant(
            "an agent starts while a paused one stands beside the same backend server"
            " (no guard port)",
            "loaded_within_cap",
            ONE,
        ),
        "order_before_confirmation": Variant(
            "a new agent orders by the table that it reads, though a give-back of the"
            " agent before it may still be on the wire",
            "loaded_within_cap",
            STILL,
        ),
        "take_lost_write_for_failed": Variant(
            "an agent whose give-back had no answer reads that it still holds the slot,"
            " and loads again under the same fencing number",
            "loaded_within_cap",
            STILL,
        ),
        "retry_lost_cas_blindly": Variant(
            "an agent whose give-back had no answer repeats it on the newest revision"
            " without looking at what it holds and runs by then",
            "loaded_within_cap",
            STILL,
        ),
        "give_back_before_unload": Variant(
            "an agent gives its slot back before the engine has confirmed the unload",
            "loaded_within_cap",
            STILL,
        ),
        "trust_unload_without_fencing": Variant(
            "an entry frees a slot because an engine that ignores fencing numbers has"
            " confirmed an unload, while the holder is merely paused",
            "loaded_within_cap",
            STILL,
        ),
        "remove_slot_without_unload": Variant(
            "a lowered cap removes held slots instead of marking them as retiring",
            "loaded_within_cap",
            {"pauses": False},
        ),
        "assign_beside_retiring": Variant(
            "an empty slot is assigned while a retiring one, whose holder has not"
            " unloaded yet, makes up the cap",
            "slots_are_conserved",
            {"caps": (1, 2), "pauses": False},
        ),
        "keep_at_same_fence": Variant(
            "a raised cap takes a retiring slot back under its old fencing number, and"
            " the agent takes its earlier offer for withdrawn",
            "loaded_within_cap",
            {"pauses": False},
        ),
        "write_on_old_template": Variant(
            "an entry's write compares the table's revision and not the template's, so"
            " it lands after the cap was lowered",
            "loaded_within_cap",
            {"pauses": False},
        ),
        "engine_forgets_fence": Variant(
            "a fencing engine restarts and forgets the highest number it accepted",
            "loaded_within_cap",
            {"caps": (1,), "fencing": True, "pauses": False},
            assumption=True,
        ),
    }

    def initial(self) -> State:
        cap = max(self.bounds["caps"])
        servers = tuple(Server() for _ in range(self.bounds["servers"]))
        return State((), 0, servers, frozenset(), cap, cap)

    def normal(self, state: State) -> State:
        return renumbered(state, self.bounds["fencing"])

    def canonical(self, state: State) -> State:
        return sorted_parts(state)

    def impossible_steps(self) -> frozenset[str]:
        steps: set[str] = set()
        if not self.bounds["pauses"]:
            steps |= {"agent_pauses", "agent_resumes"}
        if not self.bounds["fencing"]:
            steps |= {"entry_fences_out", "entry_frees_fenced"}
        if len(self.bounds["caps"]) == 1:
            steps |= {"operator_sets_cap"}
        return frozenset(steps)

    # Operators and entries.

    @step
    def operator_sets_cap(self, state: State):
        """An entry's write compares the template's revision, so it fails from now."""
        for cap in self.bounds["caps"]:
            if cap == state.cap:
                continue
            writes = state.writes
            if not self.without("write_on_old_template"):
                writes = frozenset(w for w in writes if w.server != NOTHING)
            ceiling = max(cap, min(state.ceiling, held_slots(state.table)))
            yield (cap,), state._replace(cap=cap, ceiling=ceiling, writes=writes)

    def _send(
        self, state: State, kind: str, table: tuple[Slot, ...], fence: int, *args
    ) -> Iterator[tuple[tuple, State]]:
        """An entry puts a write on the wire; one of them at a time."""
        if not any(write.server == NOTHING for write in state.writes):
            write = Write(kind, NOTHING, table, fence)
            yield args, state._replace(writes=state.writes | {write})

    @step
    def entry_reconciles_cap(self, state: State):
        live = sum(not slot.retiring for slot in state.table)
        if live > state.cap:
            tables = self._tables_with_fewer(state, live - state.cap)
        else:
            tables = self._tables_with_more(state, state.cap - live)
        for table, fence in tables:
            if table != state.table:
                yield from self._send(state, "reconcile", table, fence, state.cap)

    def _tables_with_fewer(self, state: State, surplus: int):
        """Empty slots go at once; as many held ones as are left over must go."""
        empty = [slot for slot in state.table if slot.holder == FREE][:surplus]
        kept = list(state.table)
        for slot in empty:
            kept.remove(slot)
        held = [n for n, slot in enumerate(kept) if not slot.retiring]
        for chosen in combinations(held, surplus - len(empty)):
            if self.without("remove_slot_without_unload"):
                table = [slot for n, slot in enumerate(kept) if n not in chosen]
            else:
                table = [
                    s._replace(retiring=n in chosen or s.retiring)
                    for n, s in enumerate(kept)
                ]
            yield tuple(table), state.fence

    def _tables_with_more(self, state: State, missing: int):
        """Retiring slots come back first, under new numbers; then new ones come."""
        retiring = [n for n, slot in enumerate(state.table) if slot.retiring]
        back = min(missing, len(retiring))
        for chosen in permutations(retiring, back):
            table, fence = state.table, state.fence
            for number in chosen:
                fence += not self.without("keep_at_same_fence")
                slot = table[number]._replace(retiring=False)
                if not self.without("keep_at_same_fence"):
                    slot = slot._replace(fence=fence)
                table = changed(table, number, slot)
            yield table + (Slot(),) * (missing - back), fence

    @step
    def entry_assigns(self, state: State):
        """A retiring slot counts until its holder has confirmed the unload."""
        counted = held_slots(state.table)
        if self.without("assign_beside_retiring"):
            counted -= sum(slot.retiring for slot in state.table)
        if counted >= state.cap:
            return
        for number, slot in enumerate(state.table):
            if slot.holder != FREE:
                continue
            for index, server in enumerate(state.servers):
                if server.instance == LIVE and slot_of(state.table, index) is None:
                    fence = state.fence + 1
                    table = changed(state.table, number, Slot(index, fence))
                    yield from self._send(state, "assign", table, fence, index)

    def _frees(self, state: State, slot: Slot, fence: int):
        table = self.vacated(state.table, slot)
        yield from self._send(state, "free", table, fence, slot.holder)

    @step
    def entry_frees_gone(self, state: State):
        for slot in state.table:
            if slot.holder != FREE and state.servers[slot.holder].instance == GONE:
                yield from self._frees(state, slot, state.fence)

    @step
    def entry_fences_out(self, state: State):
        """An engine that checks fencing numbers confirms the unload to an entry."""
        for slot in state.table:
            if not self.bounds["fencing"] or slot.holder == FREE:
                continue
            server = state.servers[slot.holder]
            if server.instance == LIVE and server.engine_fence <= slot.fence:
                values = {"engine_fence": slot.fence + 1, "loaded": False}
                yield (slot.holder,), self.with_server(state, slot.holder, **values)

    @step
    def entry_frees_fenced(self, state: State):
        for slot in state.table:
            if not self.bounds["fencing"] or slot.holder == FREE:
                continue
            server = state.servers[slot.holder]
            if server.engine_fence > slot.fence and not server.loaded:
                fence = max(state.fence, server.engine_fence)
                yield from self._frees(state, slot, fence)

    @step_only_in(
        "move_on_lapsed_lease", "move_on_dead_probe", "trust_unload_without_fencing"
    )
    def entry_frees_on_guess(self, state: State):
        for slot in state.table:
            if slot.holder == FREE:
                continue
            server = state.servers[slot.holder]
            if self.without("move_on_lapsed_lease"):
                guess = server.agent != UP
            elif self.without("move_on_dead_probe"):
                guess = server.agent == DOWN
            else:
                guess = not server.loaded
            if guess:
                yield from self._frees(state, slot, state.fence)

    # The key-value service.

    def _landed(self, state: State, write: Write) -> State:
        """The write took effect: all others on this revision fail from here on."""
        ceiling = max(state.cap, min(state.ceiling, held_slots(write.table)))
        return State(
            write.table, write.fence, state.servers, frozenset(), state.cap, ceiling
        )

    @step
    def write_lands(self, state: State):
        for write in sorted(state.writes):
            after = self._landed(state, write)
            if write.kind == "confirm":
                after = self.with_server(after, write.server, confirmed=True)
            yield (write.kind, write.server), after

    @step
    def write_lands_unheard(self, state: State):
        """It took effect, and its answer is lost."""
        for write in sorted(state.writes):
            if write.server == NOTHING:
                continue
            after = self._landed(state, write)
            if write.kind == "give back" and self.without("retry_lost_cas_blindly"):
                after = self.with_server(after, write.server, retry=True)
            yield (write.kind, write.server), after

    @step
    def write_is_lost(self, state: State):
        for write in sorted(state.writes):
            after = state._replace(writes=state.writes - {write})
            yield (write.kind, write.server), after

    # Invariants.

    def occupied(self, server: Server) -> bool:
        """Whether a replica is loaded here, or could come without any new write."""
        if server.instance != LIVE:
            return False
        on_the_way = [server.own, server.old, server.paused_twin]
        if server.agent != DOWN and self.may_order(server):
            on_the_way.append(server.held)
        return server.loaded or any(
            fence != NOTHING and self.accepts(server, fence) for fence in on_the_way
        )

    @invariant
    def loaded_within_cap(self, state: State) -> bool:
        """No more replicas are loaded than the cap, or than held a slot when it was
        lowered and have not confirmed their unload since."""
        return sum(server.loaded for server in state.servers) <= state.ceiling

    @invariant
    def replica_needs_slot(self, state: State) -> bool:
        """A replica that is loaded, or can come without a write, stands on a slot."""
        return all(
            slot_of(state.table, index) is not None
            for index, server in enumerate(state.servers)
            if self.occupied(server)
        )

    @invariant
    def slots_are_conserved(self, state: State) -> bool:
        """Held slots number at most the ceiling; no backend server holds two."""
        holders = [slot.holder for slot in state.table if slot.holder != FREE]
        return len(holders) <= state.ceiling and len(set(holders)) == len(holders)
