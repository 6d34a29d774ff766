"""
Configuration revisions: from the operators' service to every process.

One document, which operators change by compare-and-swap: each operator adds one
change to what it read. Every process is a watcher of the key-value service or learns
from peers; announcements travel on a wire that delays and loses them. A process may
be cut off, killed, and started again while the service is down. A process that starts
holds nothing and takes the first revision that it meets; within one life it never
goes back.

The last invariant is the one about progress: where a live, connected process is
behind something that it could know, a step is enabled that brings it forward. Each
such step raises a revision held, and nothing lowers one without a fault, so processes
agree once faults and changes cease.
"""

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

NOTHING = -1
NO_WRITE = -1


class Process(NamedTuple):
    """
    A process: whether it lives and is connected, the revision that it acts on, the
    highest that it has seen in this life, and whether its watch is broken.
    """

    up: bool = True
    connected: bool = True
    held: int = 0
    seen: int = 0
    watch_broken: bool = False


class Operator(NamedTuple):
    """
    An operator's change: `base` is the revision it was computed on while its write is
    on the wire, `content` the changes it would leave. `sent` says that a write was
    sent before, `accepted` that one took effect.
    """

    base: int = NO_WRITE
    content: frozenset[int] = frozenset()
    sent: bool = False
    accepted: bool = False


class State(NamedTuple):
    """`announced` holds announcements on the wire: pairs of process and revision."""

    revision: int
    content: frozenset[int]
    operators: tuple[Operator, ...]
    processes: tuple[Process, ...]
    announced: frozenset[tuple[int, int]] = frozenset()
    service_up: bool = True


@specification
class Documents(Specification):
    """An accepted revision spreads everywhere and is never taken back."""

    name = "documents"
    title = "An accepted configuration reaches every process and never reverts"
    default_bounds = {"processes": 2, "operators": 2, "watchers": 1}
    larger_bounds = ({"processes": 3, "operators": 1},)
    variants = {
        "accept_lower_revision": Variant(
            "a process takes the document of whichever announcement comes last",
            "never_below_seen",
        ),
        "put_without_compare": Variant(
            "operators write what they read plus their change, without comparing the"
            " revision",
            "accepted_change_stays",
        ),
        "retry_lost_cas_blindly": Variant(
            "an operator whose write had no answer puts the same bytes again on the"
            " newest revision, without reading what is there by then",
            "accepted_change_stays",
        ),
        "announce_once": Variant(
            "a revision is announced to peers once, when it is learnt, and revisions"
            " held are not compared afterwards",
            "no_one_is_stuck_behind",
        ),
        "watch_without_read": Variant(
            "a watcher whose watch broke watches on without reading the value first",
            "no_one_is_stuck_behind",
            {"processes": 1},
        ),
        "learn_from_service_only": Variant(
            "a process that starts waits for the key-value service, and learns nothing"
            " from peers",
            "no_one_is_stuck_behind",
        ),
    }
    progress_steps = ("process_compares_with_peer", "watcher_reads", "watch_delivers")

    def initial(self) -> State:
        operators = tuple(Operator() for _ in range(self.bounds["operators"]))
        processes = tuple(Process() for _ in range(self.bounds["processes"]))
        return State(0, frozenset(), operators, processes)

    # Helpers.

    @staticmethod
    def _with(state: State, index: int, **values) -> State:
        process = state.processes[index]._replace(**values)
        return state._replace(processes=changed(state.processes, index, process))

    def _learns(self, state: State, index: int, revision: int) -> State:
        """The process holds the revision from here on and announces it to peers."""
        process = state.processes[index]
        after = self._with(
            state, index, held=revision, seen=max(process.seen, revision)
        )
        peers = [p for p in range(len(state.processes)) if p != index]
        announced = state.announced | {(peer, revision) for peer in peers}
        return after._replace(announced=announced)

    def _reachable(self, state: State) -> list[int]:
        return [n for n, p in enumerate(state.processes) if p.up and p.connected]

    def _sees_service(self, state: State, index: int) -> bool:
        watches = index < self.bounds["watchers"]
        return watches and state.service_up and state.processes[index].connected

    # Operators.

    @step
    def operator_writes(self, state: State):
        """Read, add the change, write. Its own change found there settles it."""
        if not state.service_up:
            return
        for number, operator in enumerate(state.operators):
            if operator.base != NO_WRITE or number in state.content:
                continue
            content = state.content | {number}
            if self.without("retry_lost_cas_blindly") and operator.sent:
                continue
            write = operator._replace(base=state.revision, content=content, sent=True)
            operators = changed(state.operators, number, write)
            yield (number,), state._replace(operators=operators)

    @step_only_in("retry_lost_cas_blindly")
    def operator_repeats_bytes(self, state: State):
        for number, operator in enumerate(state.operators):
            if operator.sent and operator.base == NO_WRITE and state.revision < 3:
                write = operator._replace(base=state.revision)
                operators = changed(state.operators, number, write)
                yield (number,), state._replace(operators=operators)

    @step
    def write_lands(self, state: State):
        if not state.service_up:
            return
        for number, operator in enumerate(state.operators):
            if operator.base == NO_WRITE:
                continue
            current = operator.base == state.revision
            if not current and not self.without("put_without_compare"):
                done = operator._replace(base=NO_WRITE, content=frozenset())
                operators = changed(state.operators, number, done)
                yield (number,), state._replace(operators=operators)
                continue
            kept = frozenset()
            if self.without("retry_lost_cas_blindly"):
                kept = operator.content
            done = operator._replace(base=NO_WRITE, content=kept, accepted=True)
            yield (number,), state._replace(
                revision=state.revision + 1,
                content=operator.content,
                operators=changed(state.operators, number, done),
            )

    @step
    def write_is_lost(self, state: State):
        for number, operator in enumerate(state.operators):
            if operator.base != NO_WRITE:
                kept = frozenset()
                if self.without("retry_lost_cas_blindly"):
                    kept = operator.content
                lost = operator._replace(base=NO_WRITE, content=kept)
                operators = changed(state.operators, number, lost)
                yield (number,), state._replace(operators=operators)

    # Spreading.

    @step
    def watch_delivers(self, state: State):
        for index in self._reachable(state):
            process = state.processes[index]
            if process.watch_broken or not self._sees_service(state, index):
                continue
            if process.held < state.revision:
                yield (index,), self._learns(state, index, state.revision)

    @step
    def watcher_reads(self, state: State):
        """A watch that broke is set up again behind a read of the value."""
        for index in self._reachable(state):
            process = state.processes[index]
            if not process.watch_broken or not self._sees_service(state, index):
                continue
            if self.without("watch_without_read"):
                continue
            after = self._with(state, index, watch_broken=False)
            if process.held < state.revision:
                after = self._learns(after, index, state.revision)
            yield (index,), after

    @step
    def announcement_arrives(self, state: State):
        for index, revision in sorted(state.announced):
            after = state._replace(announced=state.announced - {(index, revision)})
            process = state.processes[index]
            higher = revision > process.held
            any_goes = self.without("accept_lower_revision")
            if process.up and process.connected and (higher or any_goes):
                if not self.without("learn_from_service_only"):
                    held, seen = revision, max(process.seen, revision)
                    after = self._with(after, index, held=held, seen=seen)
            yield (index, revision), after

    @step
    def announcement_is_lost(self, state: State):
        for pair in sorted(state.announced):
            yield pair, state._replace(announced=state.announced - {pair})

    @step
    def process_compares_with_peer(self, state: State):
        """Now and then a process compares the revisions held with one peer."""
        if self.without("announce_once") or self.without("learn_from_service_only"):
            return
        reachable = self._reachable(state)
        for index in reachable:
            for peer in reachable:
                if state.processes[peer].held > state.processes[index].held:
                    held = state.processes[peer].held
                    yield (index, peer), self._with(state, index, held=held, seen=held)

    # Faults.

    @step
    def watch_breaks(self, state: State):
        for index in range(self.bounds["watchers"]):
            process = state.processes[index]
            if process.up and not process.watch_broken:
                yield (index,), self._with(state, index, watch_broken=True)

    @step
    def process_is_cut_off(self, state: State):
        for index, process in enumerate(state.processes):
            if process.up and process.connected:
                yield (index,), self._with(state, index, connected=False)

    @step
    def process_is_connected(self, state: State):
        for index, process in enumerate(state.processes):
            if process.up and not process.connected:
                yield (index,), self._with(state, index, connected=True)

    @step
    def process_is_killed(self, state: State):
        for index, process in enumerate(state.processes):
            if process.up:
                dead = Process(up=False, held=NOTHING, seen=NOTHING, watch_broken=True)
                processes = changed(state.processes, index, dead)
                yield (index,), state._replace(processes=processes)

    @step
    def process_starts(self, state: State):
        for index, process in enumerate(state.processes):
            if not process.up:
                yield (index,), self._with(state, index, up=True)

    @step
    def service_fails(self, state: State):
        if state.service_up:
            yield (), state._replace(service_up=False)

    @step
    def service_returns(self, state: State):
        if not state.service_up:
            yield (), state._replace(service_up=True)

    # Invariants.

    @invariant
    def never_below_seen(self, state: State) -> bool:
        """No process acts on a revision below one that it has seen in this life."""
        return all(p.held >= p.seen for p in state.processes)

    @invariant
    def accepted_change_stays(self, state: State) -> bool:
        """A change that was accepted is in the document from then on."""
        accepted = (n for n, o in enumerate(state.operators) if o.accepted)
        return all(number in state.content for number in accepted)

    @invariant
    def held_was_accepted(self, state: State) -> bool:
        """Nobody holds a revision that the service has not accepted."""
        return all(p.held <= state.revision for p in state.processes)

    @invariant
    def no_one_is_stuck_behind(self, state: State) -> bool:
        """A live, connected process that is behind has a step that brings it on."""
        reachable = self._reachable(state)
        known = [state.processes[n].held for n in reachable]
        known += [state.revision for n in reachable if self._sees_service(state, n)]
        newest = max(known, default=NOTHING)
        on_the_wire = {n for n, revision in state.announced if revision == newest}
        behind = [n for n in reachable if state.processes[n].held < newest]
        if not behind or on_the_wire & set(behind):
            return True
        return any(
            next(iter(getattr(self, name)(state)), None) is not None
            for name in self.progress_steps
        )
