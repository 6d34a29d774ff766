"""
Slots at rest: who may hold a replica, and on what evidence a slot moves.

One model, whose template decides a cap. The table of slots is one value in the
key-value service, written by compare-and-swap. A backend server holds at most one
slot of the model. The agent beside it may order a load while it believes that it
holds the slot; between its belief and the table lie stale reads, pauses, kills,
restarts, lost answers and messages that outlive their sender.

Revisions are not numbered. Every write that takes effect fails all others that were
computed on the same revision, so the model drops these from the wire, and notes with
each agent what it has to know: whether the revision on which it wrote (`giving`) or
which it read first in this life (`trust`) has passed. This keeps the model finite
without a bound on the number of writes. Times are not numbered either: a settle time
that is longer than any order's way is a step that waits until no order of an earlier
agent is on the wire.
"""

from collections.abc import Iterator
from operator import le
from typing import NamedTuple

from spec._model import (
    Specification,
    Variant,
    changed,
    invariant,
    specification,
    step,
    step_only_in,
)

FREE = -1
NOTHING = -1

LIVE, DEAD, GONE = "live", "dead", "gone"
UP, PAUSED, DOWN = "up", "paused", "down"
# What an agent knows of the table since it started: nothing; one reading, whose
# revision is still the table's; one whose revision has passed meanwhile; or a second
# reading at a later revision, which no write of an earlier agent can change any more.
UNREAD, FIRST, PASSED, CONFIRMED = "unread", "first", "passed", "confirmed"
# Whether a give-back was sent, and whether the revision it was sent on has passed.
NO, PENDING, SETTLED = "no", "pending", "settled"


class Slot(NamedTuple):
    """One slot of the table: its holder, its fencing number, whether it must go."""

    holder: int = FREE
    fence: int = 0
    retiring: bool = False


class Server(NamedTuple):
    """
    A backend server with the engine on it and the agent beside it.

    `held` is the fencing number of the slot that the agent believes it holds.
    `own` and `old` are the fencing numbers of a load order on the wire, sent by the
    running agent and by an earlier one. `engine_fence` is the highest number that a
    fencing engine has accepted. `paused_twin` is a second agent beside the same
    server, and `retry` a give-back that is repeated: both in broken variants only.
    """

    state: str = LIVE
    agent: str = UP
    settled: bool = True
    trust: str = CONFIRMED
    giving: str = NO
    held: int = NOTHING
    retiring: bool = False
    loaded: bool = False
    engine_fence: int = 0
    own: int = NOTHING
    old: int = NOTHING
    paused_twin: int = NOTHING
    retry: bool = False


class Write(NamedTuple):
    """A compare-and-swap on the wire, computed on the table's present revision."""

    kind: str
    slot: int
    server: int = NOTHING


class State(NamedTuple):
    """`ceiling` remembers what may be loaded while a lowered cap is carried out."""

    table: tuple[Slot, ...]
    servers: tuple[Server, ...]
    writes: frozenset[Write]
    cap: int
    ceiling: int


_AGENT_WRITES = ("give_back", "confirm")


@specification
class Slots(Specification):
    """The cap on replicas held by slots that move on evidence alone."""

    name = "slots"
    title = "The cap on replicas, held by slots that move on evidence alone"
    default_bounds = {
        "servers": 2,
        "caps": (0, 1),
        "fencing": False,
        "max_fence": 0,
        "pauses": True,
    }
    larger_bounds = (
        {"caps": (1,), "fencing": True, "max_fence": 2, "pauses": False},
        {"caps": (1,), "servers": 3},
        {"caps": (1, 2), "pauses": False},
    )
    variants = {
        "move_on_lapsed_lease": Variant(
            "an entry frees a slot because its holder's lease has lapsed",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "no_settle_time": Variant(
            "an agent gives a slot back right after its take-over, while an order of"
            " the agent before it may be on the wire",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "two_agents_beside_one_server": Variant(
            "an agent starts while a paused one stands beside the same backend server"
            " (no guard port)",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "order_before_confirmed_revision": Variant(
            "a new agent orders on its first reading of the table, though a give-back"
            " of the agent before it may still be on the wire",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "settle_lost_write_by_same_revision": Variant(
            "an agent whose give-back had no answer reads the table at the same"
            " revision and takes the write for failed, though it may still land",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "retry_lost_cas_blindly": Variant(
            "an agent whose give-back had no answer repeats it on the newest revision"
            " without looking at what it holds and runs by then",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "give_back_before_unload": Variant(
            "an agent gives its slot back before the engine has confirmed the unload",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "trust_unload_without_fencing": Variant(
            "an entry frees a slot because an engine that ignores fencing numbers has"
            " confirmed an unload, while the holder is merely paused",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "move_on_dead_probe": Variant(
            "an entry frees the slot of an agent that answers no probe, before the"
            " platform lists the instance as gone",
            "loaded_within_cap",
            {"caps": (1,)},
        ),
        "remove_slot_without_unload": Variant(
            "an entry removes a retiring slot before its holder has confirmed the"
            " unload",
            "loaded_within_cap",
        ),
        "create_on_old_template": Variant(
            "a slot is created without comparing the template's revision in the same"
            " transaction, so a creation on the wire lands after the cap was lowered",
            "loaded_within_cap",
        ),
        "engine_forgets_fence": Variant(
            "a fencing engine restarts and forgets the highest number it accepted",
            "loaded_within_cap",
            {"caps": (1,), "fencing": True, "max_fence": 3},
            assumption=True,
        ),
    }

    def initial(self) -> State:
        cap = max(self.bounds["caps"])
        servers = tuple(Server() for _ in range(self.bounds["servers"]))
        return State((), servers, frozenset(), cap, cap)

    def impossible_steps(self) -> frozenset[str]:
        steps: set[str] = set()
        if not self.bounds["pauses"]:
            steps |= {"agent_pauses", "agent_resumes"}
        if not self.bounds["fencing"]:
            steps |= {"entry_fences_out", "entry_frees_fenced"}
        if len(self.bounds["caps"]) == 1:
            steps |= {"operator_sets_cap", "entry_retires"}
            steps |= {"entry_keeps", "entry_removes"}
        return frozenset(steps)

    def canonical(self, state: State) -> State:
        """Servers and slots are alike: sort both, and rename them where they stand."""
        keys = self._server_keys(state)
        if not all(map(le, keys, keys[1:])):
            state = self._renamed_servers(state, keys)
        if len(state.table) > 1:
            state = self._renamed_slots(state)
        return state

    @staticmethod
    def _server_keys(state: State) -> list[tuple]:
        keys: list[list] = [[server] for server in state.servers]
        for slot in state.table:
            if slot.holder != FREE:
                keys[slot.holder] += [slot.fence, slot.retiring]
        for write in sorted(state.writes):
            if write.server != NOTHING:
                keys[write.server].append(write.kind)
        return [(key[0], str(key[1:])) for key in keys]

    @staticmethod
    def _renamed_servers(state: State, keys: list[tuple]) -> State:
        order = sorted(range(len(keys)), key=keys.__getitem__)
        new = {old: new for new, old in enumerate(order)} | {FREE: FREE}
        return state._replace(
            table=tuple(s._replace(holder=new[s.holder]) for s in state.table),
            servers=tuple(state.servers[old] for old in order),
            writes=frozenset(w._replace(server=new[w.server]) for w in state.writes),
        )

    @staticmethod
    def _renamed_slots(state: State) -> State:
        writes: dict[int, list] = {n: [] for n in range(len(state.table) + 1)}
        for write in sorted(state.writes):
            writes[write.slot].append((write.kind, write.server))
        order = sorted(
            range(len(state.table)), key=lambda n: (state.table[n], writes[n])
        )
        if order == sorted(order):
            return state
        new = {old: new for new, old in enumerate(order)}
        return state._replace(
            table=tuple(state.table[old] for old in order),
            writes=frozenset(
                w._replace(slot=new.get(w.slot, w.slot)) for w in state.writes
            ),
        )

    # Helpers.

    def _accepts(self, server: Server, fence: int) -> bool:
        return not self.bounds["fencing"] or fence >= server.engine_fence

    def _may_order(self, server: Server) -> bool:
        trusted = server.trust == CONFIRMED or (
            self.without("order_before_confirmed_revision") and server.trust != UNREAD
        )
        return (
            server.held != NOTHING
            and not server.retiring
            and trusted
            and server.giving == NO
        )

    def _occupied(self, server: Server) -> bool:
        """Whether a replica is loaded here, or could come without any new write."""
        if server.state != LIVE:
            return False
        on_the_way = [server.own, server.old, server.paused_twin]
        if server.agent != DOWN and self._may_order(server):
            on_the_way.append(server.held)
        return server.loaded or any(
            fence != NOTHING and self._accepts(server, fence) for fence in on_the_way
        )

    def _servers(self, state: State, *phases: str) -> Iterator[tuple[int, Server]]:
        for index, server in enumerate(state.servers):
            if server.state == LIVE and server.agent in phases:
                yield index, server

    @staticmethod
    def _with_server(state: State, index: int, server: Server) -> State:
        return state._replace(servers=changed(state.servers, index, server))

    @staticmethod
    def _holds(state: State, index: int) -> int:
        for number, slot in enumerate(state.table):
            if slot.holder == index:
                return number
        return NOTHING

    def _put(self, state: State, table: tuple[Slot, ...]) -> State:
        """A write took effect: all others on this revision fail from here on."""
        servers = tuple(
            s._replace(
                trust=PASSED if s.trust == FIRST else s.trust,
                giving=SETTLED if s.giving == PENDING else s.giving,
            )
            for s in state.servers
        )
        ceiling = max(state.cap, min(state.ceiling, len(table)))
        return State(table, servers, frozenset(), state.cap, ceiling)

    def _send(self, state: State, write: Write) -> Iterator[tuple[tuple, State]]:
        """An entry puts a write on the wire; one of them at a time."""
        if any(w.kind not in _AGENT_WRITES for w in state.writes):
            return
        args = (write.slot,) if write.server == NOTHING else (write.slot, write.server)
        yield args, state._replace(writes=state.writes | {write})

    # Operators and entries.

    @step
    def operator_sets_cap(self, state: State):
        for cap in self.bounds["caps"]:
            if cap == state.cap:
                continue
            # A creation compares the template's revision in its own transaction.
            lands = self.without("create_on_old_template")
            writes = frozenset(w for w in state.writes if lands or w.kind != "create")
            ceiling = max(cap, min(state.ceiling, len(state.table)))
            yield (cap,), state._replace(cap=cap, ceiling=ceiling, writes=writes)

    @step
    def entry_creates(self, state: State):
        if len(state.table) < state.cap:
            yield from self._send(state, Write("create", len(state.table)))

    @step
    def entry_assigns(self, state: State):
        for number, slot in enumerate(state.table):
            if slot.holder != FREE or slot.retiring:
                continue
            if self.bounds["fencing"] and slot.fence >= self.bounds["max_fence"]:
                continue
            for index, server in enumerate(state.servers):
                if server.state == LIVE and self._holds(state, index) == NOTHING:
                    yield from self._send(state, Write("assign", number, index))

    @step
    def entry_frees_gone(self, state: State):
        for number, slot in enumerate(state.table):
            if slot.holder != FREE and state.servers[slot.holder].state == GONE:
                yield from self._send(state, Write("free", number))

    @step
    def entry_fences_out(self, state: State):
        """An engine that checks fencing numbers confirms the unload to an entry."""
        if not self.bounds["fencing"]:
            return
        for slot in state.table:
            if slot.holder == FREE or state.servers[slot.holder].state != LIVE:
                continue
            server = state.servers[slot.holder]
            fence = max(server.engine_fence, slot.fence + 1)
            after = server._replace(engine_fence=fence, loaded=False)
            yield (slot.holder,), self._with_server(state, slot.holder, after)

    @step
    def entry_frees_fenced(self, state: State):
        if not self.bounds["fencing"]:
            return
        for number, slot in enumerate(state.table):
            if slot.holder == FREE:
                continue
            server = state.servers[slot.holder]
            if server.engine_fence > slot.fence and not server.loaded:
                yield from self._send(state, Write("free", number))

    @step
    def entry_retires(self, state: State):
        if len(state.table) <= state.cap:
            return
        for number, slot in enumerate(state.table):
            if not slot.retiring:
                yield from self._send(state, Write("retire", number))

    @step
    def entry_keeps(self, state: State):
        """The cap was raised again before the holder confirmed the unload."""
        if len(state.table) > state.cap:
            return
        for number, slot in enumerate(state.table):
            if slot.retiring:
                yield from self._send(state, Write("keep", number))

    @step
    def entry_removes(self, state: State):
        if len(state.table) <= state.cap:
            return
        blind = self.without("remove_slot_without_unload")
        for number, slot in enumerate(state.table):
            if slot.holder == FREE or (blind and slot.retiring):
                yield from self._send(state, Write("remove", number))

    @step_only_in(
        "move_on_lapsed_lease", "move_on_dead_probe", "trust_unload_without_fencing"
    )
    def entry_frees_on_guess(self, state: State):
        for number, slot in enumerate(state.table):
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
                yield from self._send(state, Write("free", number))

    # The key-value service.

    @step
    def write_lands(self, state: State):
        for write in sorted(state.writes):
            yield write, self._put(state, self._table_after(state, write))

    def _table_after(self, state: State, write: Write) -> tuple[Slot, ...]:
        table, number = state.table, write.slot
        if write.kind == "create":
            return table + (Slot(),)
        if write.kind == "remove":
            return table[:number] + table[number + 1 :]
        if write.kind == "confirm":
            return table
        slot = table[number]
        if write.kind == "assign":
            fence = slot.fence + 1 if self.bounds["fencing"] else 0
            return changed(table, number, Slot(write.server, fence))
        if write.kind in ("free", "give_back"):
            return changed(table, number, Slot(FREE, slot.fence))
        retiring = write.kind == "retire"
        return changed(table, number, slot._replace(retiring=retiring))

    @step
    def write_is_lost(self, state: State):
        for write in sorted(state.writes):
            after = state._replace(writes=state.writes - {write})
            if write.kind == "give_back" and self.without("retry_lost_cas_blindly"):
                server = state.servers[write.server]
                after = self._with_server(
                    after, write.server, server._replace(retry=True)
                )
            yield write, after

    @step_only_in("retry_lost_cas_blindly")
    def write_lands_answer_lost(self, state: State):
        for write in sorted(state.writes):
            if write.kind == "give_back":
                after = self._put(state, self._table_after(state, write))
                server = after.servers[write.server]._replace(retry=True)
                yield write, self._with_server(after, write.server, server)

    # Agents.

    @step
    def agent_reads_table(self, state: State):
        for index, server in self._servers(state, UP):
            number = self._holds(state, index)
            slot = state.table[number] if number != NOTHING else Slot(fence=NOTHING)
            trust = {UNREAD: FIRST, PASSED: CONFIRMED}.get(server.trust, server.trust)
            giving = NO if server.giving == SETTLED else server.giving
            if self.without("settle_lost_write_by_same_revision"):
                giving = NO
            after = server._replace(
                held=slot.fence, retiring=slot.retiring, trust=trust, giving=giving
            )
            if after != server:
                yield (index,), self._with_server(state, index, after)

    @step
    def agent_confirms_slot(self, state: State):
        """A write without change, which fails all writes of an earlier agent."""
        for index, server in self._servers(state, UP):
            write = Write("confirm", self._holds(state, index), index)
            if server.trust == FIRST and write.slot != NOTHING:
                yield (index,), state._replace(writes=state.writes | {write})

    @step
    def agent_orders_load(self, state: State):
        for index, server in self._servers(state, UP):
            if self._may_order(server) and not server.loaded and server.own == NOTHING:
                after = server._replace(own=server.held)
                yield (index,), self._with_server(state, index, after)

    @step
    def agent_unloads(self, state: State):
        """The engine confirms the unload; no order of this agent is on the wire."""
        for index, server in self._servers(state, UP):
            if server.loaded and server.own == NOTHING:
                after = server._replace(loaded=False)
                yield (index,), self._with_server(state, index, after)

    @step
    def agent_settles(self, state: State):
        for index, server in self._servers(state, UP):
            over = server.old == NOTHING or self.without("no_settle_time")
            if not server.settled and over:
                after = server._replace(settled=True)
                yield (index,), self._with_server(state, index, after)

    @step
    def agent_gives_back(self, state: State):
        for index, server in self._servers(state, UP):
            number = self._holds(state, index)
            if number == NOTHING:
                continue
            fits = state.table[number].fence == server.held
            clean = not server.loaded and server.own == NOTHING and server.settled
            if self.without("give_back_before_unload"):
                clean = server.settled
            again = server.retry
            if again or (fits and clean and server.giving == NO):
                write = Write("give_back", number, index)
                after = server._replace(giving=PENDING, retry=False)
                after_state = self._with_server(state, index, after)
                yield (index,), after_state._replace(writes=state.writes | {write})

    # The engine and the wire to it.

    @step
    def order_arrives(self, state: State):
        for index, server in enumerate(state.servers):
            for sender in ("own", "old"):
                fence = getattr(server, sender)
                if fence == NOTHING:
                    continue
                after = server._replace(**{sender: NOTHING})
                if self._accepts(server, fence):
                    highest = fence if self.bounds["fencing"] else 0
                    after = after._replace(loaded=True, engine_fence=highest)
                yield (index, sender), self._with_server(state, index, after)

    @step
    def order_is_lost(self, state: State):
        for index, server in enumerate(state.servers):
            for sender in ("own", "old"):
                if getattr(server, sender) != NOTHING:
                    after = server._replace(**{sender: NOTHING})
                    yield (index, sender), self._with_server(state, index, after)

    @step_only_in("engine_forgets_fence")
    def engine_restarts(self, state: State):
        for index, server in enumerate(state.servers):
            if server.state == LIVE and server.engine_fence:
                after = server._replace(loaded=False, engine_fence=0)
                yield (index,), self._with_server(state, index, after)

    # Faults.

    @step
    def agent_pauses(self, state: State):
        if not self.bounds["pauses"]:
            return
        for index, server in self._servers(state, UP):
            after = server._replace(agent=PAUSED)
            yield (index,), self._with_server(state, index, after)

    @step
    def agent_resumes(self, state: State):
        for index, server in self._servers(state, PAUSED):
            after = server._replace(agent=UP)
            yield (index,), self._with_server(state, index, after)

    @step
    def agent_is_killed(self, state: State):
        for index, server in self._servers(state, UP, PAUSED):
            after = Server(
                agent=DOWN,
                settled=False,
                trust=UNREAD,
                loaded=server.loaded,
                engine_fence=server.engine_fence,
                old=max(server.own, server.old),
            )
            yield (index,), self._with_server(state, index, after)

    @step
    def agent_starts(self, state: State):
        """The guard port is free only once the agent before has ended."""
        for index, server in self._servers(state, DOWN):
            after = server._replace(agent=UP)
            yield (index,), self._with_server(state, index, after)

    @step_only_in("two_agents_beside_one_server")
    def second_agent_starts(self, state: State):
        for index, server in self._servers(state, PAUSED):
            twin = server.held if self._may_order(server) else NOTHING
            after = Server(
                settled=False, trust=UNREAD, loaded=server.loaded, paused_twin=twin
            )
            yield (index,), self._with_server(state, index, after)

    @step_only_in("two_agents_beside_one_server")
    def paused_twin_orders(self, state: State):
        for index, server in enumerate(state.servers):
            if server.paused_twin != NOTHING and server.old == NOTHING:
                after = server._replace(old=server.paused_twin, paused_twin=NOTHING)
                yield (index,), self._with_server(state, index, after)

    @step
    def instance_is_reclaimed(self, state: State):
        for index, server in enumerate(state.servers):
            if server.state == LIVE:
                after = Server(state=DEAD, agent=DOWN, trust=UNREAD, settled=False)
                yield (index,), self._with_server(state, index, after)

    @step
    def list_shows_gone(self, state: State):
        for index, server in enumerate(state.servers):
            if server.state == DEAD:
                after = server._replace(state=GONE)
                yield (index,), self._with_server(state, index, after)

    # Invariants.

    @invariant
    def loaded_within_cap(self, state: State) -> bool:
        """No more replicas are loaded than the cap allows at this moment."""
        return sum(server.loaded for server in state.servers) <= state.ceiling

    @invariant
    def replica_needs_slot(self, state: State) -> bool:
        """A replica that is loaded, or can come without a write, stands on a slot."""
        return all(
            self._holds(state, index) != NOTHING
            for index, server in enumerate(state.servers)
            if self._occupied(server)
        )

    @invariant
    def replicas_within_cap(self, state: State) -> bool:
        """Never more replicas than the cap, or than were left when it was lowered."""
        occupied = sum(self._occupied(server) for server in state.servers)
        return occupied <= state.ceiling

    @invariant
    def slots_are_conserved(self, state: State) -> bool:
        """Slots number at most the ceiling, and no backend server holds two."""
        holders = [slot.holder for slot in state.table if slot.holder != FREE]
        return len(state.table) <= state.ceiling and len(set(holders)) == len(holders)
