"""
Planned stops: agents and entries that leave while requests are on their way.

A leaving agent announces itself and goes on accepting during a grace time, since
entries learn of it one by one. After the grace time it declines, truthfully as "not
run", and the entry sends the request elsewhere. Before it stops, what it has queued is
handed back, and what runs is finished, moved, or (once the operator's bound is over)
told truthfully as `unknown`. A leaving entry accepts no new caller and stops once its
last request has its outcome. What a connection still carries when an agent stops comes
back to the entry as not accepted.

Kills are not modelled here; `claims` has them.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec._model import (
    Specification,
    Variant,
    changed,
    invariant,
    specification,
    step,
)

SERVING, LEAVING, DRAINING, STOPPED = "serving", "leaving", "draining", "stopped"
NEW, WAITING, SENT = "new", "waiting", "sent"
QUEUED, RUNNING, DONE = "queued", "running", "done"
NOWHERE = -1


class Entry(NamedTuple):
    """An entry: whether it leaves, and which agents it knows to be leaving."""

    phase: str = SERVING
    knows: frozenset[int] = frozenset()


class Request(NamedTuple):
    """
    A request: where it is, and how many final outcomes its caller was given.
    `late_answer` is an answer on the wire from an attempt that was moved meanwhile.
    `accepted_late` and `sent_to_leaving` remember that a rule was broken.
    """

    phase: str = NEW
    entry: int = NOWHERE
    agent: int = NOWHERE
    outcomes: int = 0
    late_answer: bool = False
    accepted_late: bool = False
    sent_to_leaving: bool = False


class State(NamedTuple):
    """`agents` holds the phase of each agent."""

    agents: tuple[str, ...]
    entries: tuple[Entry, ...]
    requests: tuple[Request, ...]


@specification
class Drain(Specification):
    """A planned stop cuts no request and leaves none without an outcome."""

    name = "drain"
    title = "A planned stop cuts no request, and a leaving agent gets no new work"
    default_bounds = {"agents": 2, "entries": 1, "requests": 2}
    larger_bounds = ({"entries": 2, "requests": 2}, {"agents": 3, "requests": 2})
    variants = {
        "accept_after_grace": Variant(
            "a leaving agent goes on accepting after its grace time",
            "no_new_work_after_grace",
        ),
        "ignore_announcement": Variant(
            "an entry sends to an agent that it knows to be leaving",
            "known_leaving_gets_nothing",
        ),
        "drop_queue_on_drain": Variant(
            "an agent stops with requests in its queue", "no_request_is_cut"
        ),
        "stop_while_running": Variant(
            "an agent stops while a request runs on its backend server",
            "no_request_is_cut",
        ),
        "entry_stops_with_open_requests": Variant(
            "an entry stops before its requests have their outcome",
            "no_request_is_cut",
        ),
        "take_any_answer": Variant(
            "an entry passes on the answer of an attempt that was moved, besides that"
            " of the attempt which took its place",
            "one_outcome",
        ),
        "forget_sent_requests": Variant(
            "an agent closes its connections without saying which requests it has not"
            " accepted",
            "no_one_waits_for_ever",
        ),
    }

    def initial(self) -> State:
        return State(
            tuple(SERVING for _ in range(self.bounds["agents"])),
            tuple(Entry() for _ in range(self.bounds["entries"])),
            tuple(Request() for _ in range(self.bounds["requests"])),
        )

    # Helpers.

    @staticmethod
    def _requests(state: State, *phases: str) -> Iterator[tuple[int, Request]]:
        for number, request in enumerate(state.requests):
            if request.phase in phases:
                yield number, request

    @staticmethod
    def _with(state: State, number: int, **values) -> State:
        request = state.requests[number]._replace(**values)
        return state._replace(requests=changed(state.requests, number, request))

    def _final(self, state: State, number: int) -> State:
        """The caller gets a final outcome."""
        outcomes = min(2, state.requests[number].outcomes + 1)
        return self._with(state, number, phase=DONE, agent=NOWHERE, outcomes=outcomes)

    def _back(self, state: State, number: int, **values) -> State:
        """The request is at its entry again, which knows its agent to be leaving."""
        request = state.requests[number]
        entry = state.entries[request.entry]
        entry = entry._replace(knows=entry.knows | {request.agent})
        after = state._replace(entries=changed(state.entries, request.entry, entry))
        return self._with(after, number, phase=WAITING, agent=NOWHERE, **values)

    # Callers and entries.

    @step
    def caller_sends(self, state: State):
        for number, _ in self._requests(state, NEW):
            for index, entry in enumerate(state.entries):
                if entry.phase == SERVING:
                    after = self._with(state, number, phase=WAITING, entry=index)
                    yield (number, index), after

    @step
    def entry_sends(self, state: State):
        for number, request in self._requests(state, WAITING):
            knows = state.entries[request.entry].knows
            for agent in range(len(state.agents)):
                known = agent in knows
                if known and not self.without("ignore_announcement"):
                    continue
                values = {"phase": SENT, "agent": agent, "sent_to_leaving": known}
                yield (number, agent), self._with(state, number, **values)

    @step
    def entry_refuses(self, state: State):
        """The deadline can't be met, or no agent is left: `not run` is true here."""
        for number, _ in self._requests(state, WAITING):
            yield (number,), self._final(state, number)

    @step
    def entry_learns_of_leaving(self, state: State):
        for index, entry in enumerate(state.entries):
            for agent, phase in enumerate(state.agents):
                if phase != SERVING and agent not in entry.knows:
                    after = entry._replace(knows=entry.knows | {agent})
                    entries = changed(state.entries, index, after)
                    yield (index, agent), state._replace(entries=entries)

    @step
    def entry_leaves(self, state: State):
        for index, entry in enumerate(state.entries):
            if entry.phase == SERVING:
                after = entry._replace(phase=DRAINING)
                entries = changed(state.entries, index, after)
                yield (index,), state._replace(entries=entries)

    @step
    def entry_stops(self, state: State):
        unfinished = {r.entry for r in state.requests if r.phase != DONE}
        early = self.without("entry_stops_with_open_requests")
        for index, entry in enumerate(state.entries):
            if entry.phase == DRAINING and (early or index not in unfinished):
                after = entry._replace(phase=STOPPED)
                entries = changed(state.entries, index, after)
                yield (index,), state._replace(entries=entries)

    # Agents.

    @step
    def agent_accepts(self, state: State):
        for number, request in self._requests(state, SENT):
            phase = state.agents[request.agent]
            late = phase == DRAINING
            allowed = late and self.without("accept_after_grace")
            if phase in (SERVING, LEAVING) or allowed:
                values = {"phase": QUEUED, "accepted_late": late}
                yield (number,), self._with(state, number, **values)

    @step
    def agent_declines(self, state: State):
        """Not accepted, so not run: also for what a closed connection carried."""
        for number, request in self._requests(state, SENT):
            phase = state.agents[request.agent]
            told = not self.without("forget_sent_requests")
            if phase == DRAINING or (phase == STOPPED and told):
                yield (number,), self._back(state, number)

    @step
    def agent_runs(self, state: State):
        for number, _ in self._requests(state, QUEUED):
            yield (number,), self._with(state, number, phase=RUNNING)

    @step
    def run_ends(self, state: State):
        for number, _ in self._requests(state, RUNNING):
            yield (number,), self._final(state, number)

    @step
    def agent_leaves(self, state: State):
        for agent, phase in enumerate(state.agents):
            if phase == SERVING:
                agents = changed(state.agents, agent, LEAVING)
                yield (agent,), state._replace(agents=agents)

    @step
    def grace_ends(self, state: State):
        for agent, phase in enumerate(state.agents):
            if phase == LEAVING:
                agents = changed(state.agents, agent, DRAINING)
                yield (agent,), state._replace(agents=agents)

    @step
    def agent_hands_back(self, state: State):
        for number, request in self._requests(state, QUEUED):
            if state.agents[request.agent] == DRAINING:
                yield (number,), self._back(state, number)

    @step
    def agent_moves_run(self, state: State):
        """A run that can be resumed goes on elsewhere; an answer may be on its way."""
        for number, request in self._requests(state, RUNNING):
            if state.agents[request.agent] == DRAINING:
                yield (number,), self._back(state, number, late_answer=True)

    @step
    def agent_tells_unknown(self, state: State):
        """The operator's bound is over and the run can't be moved."""
        for number, request in self._requests(state, RUNNING):
            if state.agents[request.agent] == DRAINING:
                yield (number,), self._final(state, number)

    @step
    def late_answer_arrives(self, state: State):
        """It names an attempt that isn't the request's own any more."""
        for number, request in enumerate(state.requests):
            if not request.late_answer:
                continue
            after = self._with(state, number, late_answer=False)
            if self.without("take_any_answer"):
                after = self._final(after, number)
            yield (number,), after

    @step
    def agent_stops(self, state: State):
        holding = [RUNNING, QUEUED]
        if self.without("drop_queue_on_drain"):
            holding.remove(QUEUED)
        if self.without("stop_while_running"):
            holding.remove(RUNNING)
        busy = {request.agent for _, request in self._requests(state, *holding)}
        for agent, phase in enumerate(state.agents):
            if phase == DRAINING and agent not in busy:
                agents = changed(state.agents, agent, STOPPED)
                yield (agent,), state._replace(agents=agents)

    # Invariants.

    @invariant
    def no_new_work_after_grace(self, state: State) -> bool:
        """Nothing was accepted by an agent whose grace time was over."""
        return not any(request.accepted_late for request in state.requests)

    @invariant
    def known_leaving_gets_nothing(self, state: State) -> bool:
        """No entry sent to an agent that it knew to be leaving."""
        return not any(request.sent_to_leaving for request in state.requests)

    @invariant
    def no_request_is_cut(self, state: State) -> bool:
        """Nothing that is open stands at an agent or an entry that has stopped."""
        held = self._requests(state, QUEUED, RUNNING)
        if any(state.agents[request.agent] == STOPPED for _, request in held):
            return False
        unfinished = self._requests(state, WAITING, SENT, QUEUED, RUNNING)
        return all(state.entries[r.entry].phase != STOPPED for _, r in unfinished)

    @invariant
    def one_outcome(self, state: State) -> bool:
        """A caller has one outcome once its request is done, and none before."""
        return all(r.outcomes == (r.phase == DONE) for r in state.requests)

    @invariant
    def no_one_waits_for_ever(self, state: State) -> bool:
        """Each open request has a step that brings it on."""
        moving = set()
        for func in (self.entry_refuses, self.agent_accepts, self.agent_declines):
            moving |= {args[0] for args, _ in func(state)}
        for func in (self.agent_runs, self.run_ends):
            moving |= {args[0] for args, _ in func(state)}
        open_requests = self._requests(state, WAITING, SENT, QUEUED, RUNNING)
        return all(number in moving for number, _ in open_requests)
