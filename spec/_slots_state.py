"""
The states of the specification `slots`, and the renaming of like parts in them.

Fencing numbers are compared, and a new one lies above all others; nothing else is done
with them. So `renumbered` replaces them by small numbers in the same order, and the
model stays finite without a bound on assignments. Where engines ignore the numbers,
only one comparison is left: whether a slot still has the number that its holder saw.
"""

from operator import le
from typing import NamedTuple

FREE = -1
NOTHING = -1
OUTDATED = -2

LIVE, DEAD, GONE = "live", "dead", "gone"
UP, PAUSED, DOWN = "up", "paused", "down"


class Slot(NamedTuple):
    """
    One slot of the table: its holder, the fencing number of its assignment (an empty
    slot's is 0), and whether it must go.
    """

    holder: int = FREE
    fence: int = 0
    retiring: bool = False


class Server(NamedTuple):
    """
    A backend server with the engine on it and the agent beside it.

    `held` is the fencing number of the slot that the agent believes it holds, and
    `retiring` whether that must go. `confirmed` says that a write of this agent stands
    under that number, `released` that the agent has offered the slot back under it.
    `own` and `old` are the numbers of load orders on the wire, sent by the running
    agent and by an earlier one. `engine_fence` is the highest number that a fencing
    engine has accepted. `paused_twin` is a second agent beside the same server, and
    `retry` a give-back that is repeated: both in broken variants only.
    """

    instance: str = LIVE
    agent: str = UP
    settled: bool = True
    held: int = NOTHING
    retiring: bool = False
    confirmed: bool = False
    released: bool = False
    loaded: bool = False
    engine_fence: int = 0
    own: int = NOTHING
    old: int = NOTHING
    paused_twin: int = NOTHING
    retry: bool = False


class Write(NamedTuple):
    """
    A compare-and-swap on the wire, computed on the table's present revision: what it
    is for, the agent that sent it (NOTHING: an entry), and the table it would leave.
    """

    kind: str
    server: int
    table: tuple[Slot, ...]
    fence: int


class State(NamedTuple):
    """
    `fence` is the highest fencing number ever given. `cap` is the template's, and
    `ceiling` remembers what may be loaded while a lowered cap is carried out.
    """

    table: tuple[Slot, ...]
    fence: int
    servers: tuple[Server, ...]
    writes: frozenset[Write]
    cap: int
    ceiling: int


def held_slots(table: tuple[Slot, ...]) -> int:
    """How many slots are in the name of a backend server."""
    return sum(slot.holder != FREE for slot in table)


def slot_of(table: tuple[Slot, ...], server: int) -> Slot | None:
    """The slot in the name of the backend server, or None."""
    for slot in table:
        if slot.holder == server:
            return slot
    return None


def renumbered(state: State, fencing: bool) -> State:
    """The state with the smallest fencing numbers that compare alike."""
    if not fencing:
        return _without_numbers(state)
    numbers = {0, state.fence}
    for slot in state.table:
        numbers.add(slot.fence)
    for write in state.writes:
        numbers.add(write.fence)
        numbers.update(slot.fence for slot in write.table)
    for server in state.servers:
        numbers |= {server.held, server.engine_fence, server.own, server.old}
    small = {old: new for new, old in enumerate(sorted(numbers - {NOTHING}))}
    if all(old == new for old, new in small.items()):
        return state
    small[NOTHING] = NOTHING
    return state._replace(
        table=_with_fences(state.table, small),
        fence=small[state.fence],
        servers=tuple(
            s._replace(
                held=small[s.held],
                engine_fence=small[s.engine_fence],
                own=small[s.own],
                old=small[s.old],
            )
            for s in state.servers
        ),
        writes=frozenset(
            w._replace(table=_with_fences(w.table, small), fence=small[w.fence])
            for w in state.writes
        ),
    )


def _with_fences(table: tuple[Slot, ...], small: dict[int, int]) -> tuple[Slot, ...]:
    return tuple(slot._replace(fence=small[slot.fence]) for slot in table)


def _without_numbers(state: State) -> State:
    """A holder's number becomes 0 if it is its slot's, else OUTDATED."""
    servers = []
    for index, server in enumerate(state.servers):
        if server.held not in (NOTHING, OUTDATED):
            slot = slot_of(state.table, index)
            same = slot is not None and slot.fence == server.held
            server = server._replace(held=0 if same else OUTDATED)
        own = NOTHING if server.own == NOTHING else 0
        old = NOTHING if server.old == NOTHING else 0
        if (own, old) != (server.own, server.old):
            server = server._replace(own=own, old=old)
        servers.append(server)
    before = {slot.holder: slot.fence for slot in state.table}
    writes = frozenset(_relative(write, before) for write in state.writes)
    table = tuple(slot._replace(fence=0) for slot in state.table)
    return State(table, 0, tuple(servers), writes, state.cap, state.ceiling)


def _relative(write: Write, before: dict[int, int]) -> Write:
    """A slot in a write keeps its holder's number (0), or gives a new one (1)."""
    table = tuple(
        slot._replace(fence=int(before.get(slot.holder) != slot.fence))
        for slot in write.table
    )
    return write._replace(table=table, fence=1)


def sorted_parts(state: State) -> State:
    """Servers and slots are alike: sort both, and rename servers where they stand."""
    keys = _server_keys(state)
    if not all(map(le, keys, keys[1:])):
        order = sorted(range(len(keys)), key=keys.__getitem__)
        new = {old: new for new, old in enumerate(order)} | {NOTHING: NOTHING}
        state = state._replace(
            table=_with_holders(state.table, new),
            servers=tuple(state.servers[old] for old in order),
            writes=frozenset(
                w._replace(server=new[w.server], table=_with_holders(w.table, new))
                for w in state.writes
            ),
        )
    if len(state.table) > 1 or state.writes:
        writes = (w._replace(table=tuple(sorted(w.table))) for w in state.writes)
        table = tuple(sorted(state.table))
        state = state._replace(table=table, writes=frozenset(writes))
    return state


def _with_holders(table: tuple[Slot, ...], new: dict[int, int]) -> tuple[Slot, ...]:
    return tuple(slot._replace(holder=new[slot.holder]) for slot in table)


def _server_keys(state: State) -> list[tuple]:
    keys: list[list] = [[server] for server in state.servers]
    for slot in state.table:
        if slot.holder != FREE:
            keys[slot.holder] += [slot.fence, slot.retiring]
    for write in sorted(state.writes):
        if write.server != NOTHING:
            keys[write.server].append(write.kind)
        for slot in write.table:
            if slot.holder != FREE:
                keys[slot.holder].append((write.kind, slot.fence, slot.retiring))
    return [(key[0], str(key[1:])) for key in keys]
