"""The steps of the specification `slots` at a backend server: agent, engine, faults."""

from collections.abc import Iterator

from spec._model import Specification, changed, step, step_only_in
from spec._slots_state import (
    DEAD,
    DOWN,
    GONE,
    LIVE,
    NOTHING,
    PAUSED,
    UP,
    Server,
    Slot,
    State,
    Write,
    slot_of,
)


class AgentSteps(Specification):
    """What agents, engines, the wire between them and the platform do."""

    # Helpers.

    def accepts(self, server: Server, fence: int) -> bool:
        """Whether the engine takes an order with this fencing number."""
        return not self.bounds["fencing"] or fence >= server.engine_fence

    def may_order(self, server: Server) -> bool:
        """Whether the agent, by what it knows, may order a load."""
        confirmed = server.confirmed or self.without("order_before_confirmation")
        holds = server.held != NOTHING and not server.retiring
        return holds and confirmed and not server.released

    @staticmethod
    def agents(state: State, *phases: str) -> Iterator[tuple[int, Server]]:
        """The live backend servers whose agent is in one of the phases."""
        for index, server in enumerate(state.servers):
            if server.instance == LIVE and server.agent in phases:
                yield index, server

    @staticmethod
    def with_server(state: State, index: int, **values) -> State:
        """The state with some values of one backend server replaced."""
        server = state.servers[index]._replace(**values)
        return state._replace(servers=changed(state.servers, index, server))

    @staticmethod
    def _has_write(state: State, index: int) -> bool:
        return any(write.server == index for write in state.writes)

    # Agents.

    @step
    def agent_reads_table(self, state: State):
        """A slot under another number isn't the one confirmed or offered before."""
        for index, server in self.agents(state, UP):
            slot = slot_of(state.table, index) or Slot(fence=NOTHING)
            values = {"held": slot.fence, "retiring": slot.retiring}
            if slot.fence != server.held:
                values |= {"confirmed": False, "released": False}
            kept = server.retiring and not slot.retiring
            if self.without("take_lost_write_for_failed"):
                values["released"] = False
            if self.without("keep_at_same_fence"):
                values["released"] = values.get(
                    "released", server.released and not kept
                )
                values["retry"] = server.retry and slot.fence == server.held
            after = self.with_server(state, index, **values)
            if after != state:
                yield (index,), after

    @step
    def agent_confirms_slot(self, state: State):
        """A write without change, which fails all that were sent before it."""
        for index, server in self.agents(state, UP):
            slot = slot_of(state.table, index)
            if slot is None or slot.fence != server.held or server.confirmed:
                continue
            if not self._has_write(state, index):
                write = Write("confirm", index, state.table, state.fence)
                yield (index,), state._replace(writes=state.writes | {write})

    @step
    def agent_orders_load(self, state: State):
        for index, server in self.agents(state, UP):
            if self.may_order(server) and not server.loaded and server.own == NOTHING:
                yield (index,), self.with_server(state, index, own=server.held)

    @step
    def agent_unloads(self, state: State):
        """The engine confirms the unload; no order of this agent is on the wire."""
        for index, server in self.agents(state, UP):
            if server.loaded and server.own == NOTHING:
                yield (index,), self.with_server(state, index, loaded=False)

    @step
    def agent_settles(self, state: State):
        for index, server in self.agents(state, UP):
            over = server.old == NOTHING or self.without("no_settle_time")
            if not server.settled and over:
                yield (index,), self.with_server(state, index, settled=True)

    @step
    def agent_gives_back(self, state: State):
        """Offered back under its number, a slot is never loaded under it again."""
        for index, server in self.agents(state, UP):
            slot = slot_of(state.table, index)
            if slot is None or self._has_write(state, index):
                continue
            unloaded = not server.loaded and server.own == NOTHING
            clean = unloaded or self.without("give_back_before_unload")
            fits = slot.fence == server.held and clean and server.settled
            again = self.without("keep_at_same_fence")
            same = slot.retiring and slot.fence == server.held
            if fits or (server.retry and (same or not again)):
                table = self.vacated(state.table, slot)
                write = Write("give back", index, table, state.fence)
                after = self.with_server(state, index, released=True, retry=again)
                yield (index,), after._replace(writes=after.writes | {write})

    @staticmethod
    def vacated(table: tuple[Slot, ...], slot: Slot) -> tuple[Slot, ...]:
        """The table without the slot's holder, and without the slot if it must go."""
        number = table.index(slot)
        if slot.retiring:
            return table[:number] + table[number + 1 :]
        return changed(table, number, Slot())

    # The engine and the wire to it.

    @step
    def order_arrives(self, state: State):
        for index, server in enumerate(state.servers):
            for sender in ("own", "old"):
                fence = getattr(server, sender)
                if fence == NOTHING:
                    continue
                values = {sender: NOTHING}
                if self.accepts(server, fence):
                    highest = fence if self.bounds["fencing"] else 0
                    values |= {"loaded": True, "engine_fence": highest}
                yield (index, sender), self.with_server(state, index, **values)

    @step
    def order_is_lost(self, state: State):
        for index, server in enumerate(state.servers):
            for sender in ("own", "old"):
                if getattr(server, sender) != NOTHING:
                    after = self.with_server(state, index, **{sender: NOTHING})
                    yield (index, sender), after

    @step_only_in("engine_forgets_fence")
    def engine_restarts(self, state: State):
        for index, server in enumerate(state.servers):
            if server.instance == LIVE and server.engine_fence:
                values = {"loaded": False, "engine_fence": 0}
                yield (index,), self.with_server(state, index, **values)

    # Faults.

    @step
    def agent_pauses(self, state: State):
        if not self.bounds["pauses"]:
            return
        for index, _ in self.agents(state, UP):
            yield (index,), self.with_server(state, index, agent=PAUSED)

    @step
    def agent_resumes(self, state: State):
        for index, _ in self.agents(state, PAUSED):
            yield (index,), self.with_server(state, index, agent=UP)

    @step
    def agent_is_killed(self, state: State):
        """Its orders and its give-back stay on the wire; nobody hears its other
        write."""
        for index, server in self.agents(state, UP, PAUSED):
            after = Server(
                agent=DOWN,
                settled=False,
                loaded=server.loaded,
                engine_fence=server.engine_fence,
                old=max(server.own, server.old),
            )
            servers = changed(state.servers, index, after)
            writes = frozenset(
                w for w in state.writes if (w.kind, w.server) != ("confirm", index)
            )
            yield (index,), state._replace(servers=servers, writes=writes)

    @step
    def agent_starts(self, state: State):
        """The guard port is free only once the agent before has ended."""
        for index, _ in self.agents(state, DOWN):
            yield (index,), self.with_server(state, index, agent=UP)

    @step_only_in("two_agents_beside_one_server")
    def second_agent_starts(self, state: State):
        for index, server in self.agents(state, PAUSED):
            twin = server.held if self.may_order(server) else NOTHING
            after = Server(settled=False, loaded=server.loaded, paused_twin=twin)
            servers = changed(state.servers, index, after)
            yield (index,), state._replace(servers=servers)

    @step_only_in("two_agents_beside_one_server")
    def paused_twin_orders(self, state: State):
        for index, server in enumerate(state.servers):
            if server.paused_twin != NOTHING and server.old == NOTHING:
                values = {"old": server.paused_twin, "paused_twin": NOTHING}
                yield (index,), self.with_server(state, index, **values)

    @step
    def instance_is_reclaimed(self, state: State):
        for index, server in enumerate(state.servers):
            if server.instance == LIVE:
                after = Server(instance=DEAD, agent=DOWN, settled=False)
                servers = changed(state.servers, index, after)
                yield (index,), state._replace(servers=servers)

    @step
    def list_shows_gone(self, state: State):
        for index, server in enumerate(state.servers):
            if server.instance == DEAD:
                yield (index,), self.with_server(state, index, instance=GONE)
