"""One entry: it chooses agents by the core's routing, and retries by its own rules.

The rules, the load figures that it keeps and its memory of prefixes are the entry's own
code, which does no input or output either.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from bambootiller.entry.affinity import PrefixAffinity
from bambootiller.entry.figures import FiguresBoard
from bambootiller.entry.relay.core import (
    Action,
    Attempt,
    Fault,
    Finish,
    RelayCore,
    Repeat,
    Wait,
)
from bambootiller_core.membership import Status
from bambootiller_core.outcomes import Answered
from bambootiller_core.retries import RetryBudget
from bambootiller_core.routing import Candidate
from bambootiller_core.types import ModelKey, ModelTarget, Request

from .agentmodel import HOP_S, AgentModel, Reply
from .arrivals import Arrival
from .policies import Policy
from .records import Record
from .virtualtime import VirtualTime

#: The most tokens that callers ask for; what an answer really has is unknown.
MAX_TOKENS = 600


@dataclass(slots=True, eq=False)
class _Call:
    record: Record
    req: Request
    relay: RelayCore
    attempt: int = 0
    first_token: bool = False

    @property
    def key(self) -> ModelKey:
        return self.record.arrival.key


class EntryModel:
    """Takes callers' requests as an entry would."""

    def __init__(
        self,
        zone: str,
        time: VirtualTime,
        agents: dict[str, AgentModel],
        holders: Callable[[ModelKey], tuple[str, ...]],
        status: Callable[[str], Status],
        load_s: Callable[[ModelKey], float],
        policy: Policy,
        lag_s: float,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._time = time
        self._agents = agents
        self._holders = holders
        self._status = status
        self._load_s = load_s
        self._lag_s = lag_s
        self._rng = rng
        self._router = policy.router(rng)
        self._relay = policy.relay
        self._budget = RetryBudget()
        self._board = FiguresBoard()
        self._affinity = PrefixAffinity()

    def submit(self, arrival: Arrival, record: Record, name: str) -> None:
        """A caller's request arrives here."""
        req = Request(
            request_id=name,
            customer=arrival.key.customer,
            caller=arrival.caller,
            target=ModelTarget(arrival.key.model, arrival.adapter),
            deadline=record.deadline,
            priority=arrival.priority,
            standing=arrival.standing,
            batch=arrival.batch,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix=arrival.prefix,
        )
        relay = self._relay(req, Repeat.RESUME, self._budget, self._rng)
        call = _Call(record, req, relay)
        self._router.saw(self._time.now, arrival.key)
        # The agent gives the final answer at the deadline. This covers an agent that is
        # gone: its caller would otherwise wait for an answer that can't come.
        self._time.at(record.deadline + 2 * HOP_S, self._deadline, call)
        self._choose(call)

    def _choose(self, call: _Call) -> None:
        if not call.relay.finished:
            ranked = self._ranked(call)
            self._carry_out(call, call.relay.choose(self._time.now, ranked))

    def _carry_out(self, call: _Call, action: Action | Fault) -> None:
        match action:
            case Attempt(instance=instance, continue_tokens=tokens):
                self._send(call, instance, tokens)
            case Wait(until=until):
                self._time.at(until, self._choose, call)
            case Finish(final=final):
                call.record.ended_at = self._time.now
                call.record.answered = isinstance(final, Answered)
                if not call.record.answered:
                    call.record.code = final.code.value
            case Fault(detail=detail):
                raise AssertionError(f"the models lost a piece of an answer: {detail}")

    def _send(self, call: _Call, target: str, skip_tokens: int) -> None:
        call.attempt += 1
        call.record.attempts += 1
        self._board.sent(self._time.now, target, call.key)
        self._affinity.served(self._time.now, call.req.prefix, target)
        number = call.attempt
        req = replace(call.req, request_id=f"{call.req.request_id}.{number}")

        def heard(reply: Reply) -> None:
            self._hear(call, number, target, reply)

        agent = self._agents[target]
        self._time.after(
            HOP_S, agent.serve, req, call.record.arrival, skip_tokens, heard
        )

    def _hear(self, call: _Call, number: int, target: str, reply: Reply) -> None:
        now = self._time.now
        if reply.figures is not None:
            self._learn(target, call.key, reply)
        if call.relay.finished or number != call.attempt:
            return
        match reply.kind:
            case "first token":
                call.first_token = True
                call.relay.chunk("", 1)
                if call.record.first_token_at is None:
                    call.record.first_token_at = now
                    call.record.served_by = target
            case "answered":
                self._board.answered(now, target)
                self._carry_out(call, call.relay.done(1, "stop", replayed=False))
            case "broken":
                self._board.failed(now, target, call.key)
                if reply.tokens > 1:
                    call.relay.chunk("", reply.tokens - 1)
                ranked = self._ranked(call)
                self._carry_out(call, call.relay.broken(now, "cut", ranked))
            case "refused":
                self._board.answered(now, target)
                ranked = self._ranked(call)
                action = call.relay.refused(now, reply.refused, ranked)
                self._carry_out(call, action)

    def _ranked(self, call: _Call) -> list[str]:
        now = self._time.now
        candidates = [
            self._candidate(now, call, holder)
            for holder in self._holders(call.key)
            if self._status(holder) not in (Status.LEAVING, Status.DEAD)
            and self._board.allows(now, holder)
        ]
        ranked = self._router.rank(now, call.req, self._zone, candidates)
        return [item.instance for item in ranked]

    def _candidate(self, now: float, call: _Call, holder: str) -> Candidate:
        known = self._board.known(holder, call.key)
        return Candidate(
            instance=holder,
            zone=self._agents[holder].server.zone,
            status=self._status(holder),
            figures=known.figures,
            figures_age=max(0.0, now - known.at),
            affinity=self._affinity.of(now, call.req.prefix, holder),
            in_flight=known.sent_since,
            load_s=self._load_s(call.key),
        )

    def _learn(self, target: str, key: ModelKey, reply: Reply) -> None:
        if self._lag_s <= 0.0:
            self._board.reported(self._time.now, target, key, reply.figures)
            return
        later = self._time.now + self._lag_s
        self._time.at(later, self._board.reported, later, target, key, reply.figures)

    def _deadline(self, call: _Call) -> None:
        if not call.relay.finished:
            self._carry_out(call, call.relay.deadline_passed())
