"""Claims of two agents and a key-value service, under faults drawn among the steps."""

import random
import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import invariant, precondition, rule

from bambootiller_core.claims import (
    ClaimAttempt,
    ClaimBook,
    Claimed,
    ClaimRead,
    ClaimState,
    ClaimUnavailable,
    ClaimWrite,
    KeptAnswer,
    Mismatch,
    Replay,
    Taken,
)
from bambootiller_core.ports import Unavailable, Unknown
from bambootiller_core.template import WhenStoreDown
from tests.agent.common.claim_service import ClaimService
from tests.common import counting, profiles

profiles.load()

AGENTS = ("i-1", "i-2")
KEYS = ("/claims/a", "/claims/b")
LONG_ENOUGH = 400


class Agent:
    """A claim book with its writes and reads under way. A new one stands for a
    process killed and restarted; one that takes no step stands for a paused one."""

    def __init__(self, instance: str, life: int) -> None:
        self.instance = instance
        self.life = life
        self.book = ClaimBook(random.Random(life))
        self.writes: list[ClaimWrite] = []
        self.reads: list[ClaimRead] = []
        self.ready: list[str] = []
        self.running: list[str] = []


class ClaimMachine(counting.CountedMachine):
    """Runs are counted by key, and what callers were told is kept by token."""

    run_name = "claims of two agents"

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.lives = 0
        self.service = ClaimService()
        self.agents = [self._agent(name) for name in AGENTS]
        self.attempts: dict[str, ClaimAttempt] = {}
        self.runs: dict[str, list[str]] = {key: [] for key in KEYS}
        self.told_not_run: set[str] = set()
        self.answers: dict[str, bytes] = {}
        self.life_of: dict[str, int] = {}

    def _agent(self, instance: str) -> Agent:
        self.lives += 1
        return Agent(instance, self.lives)

    def _note(self, agent: Agent, settled) -> None:
        for item in settled:
            match item.outcome:
                case Claimed(token):
                    agent.ready.append(token)
                case ClaimUnavailable() | Mismatch():
                    self.told_not_run.add(item.token)
                case Replay(answer):
                    key = self.attempts[item.token].key
                    assert self.answers.get(key) == answer.body, "another call's answer"
                case Taken():
                    pass

    agents_drawn = st.integers(0, len(AGENTS) - 1)

    @rule(
        at=agents_drawn,
        key=st.sampled_from(KEYS),
        patience=st.sampled_from((0.2, 2.0, 30.0)),
        when_down=st.sampled_from(WhenStoreDown),
        body=st.sampled_from(("one", "one", "one", "other")),
    )
    def a_caller_asks(self, at, key, patience, when_down, body):
        agent = self.agents[at]
        token = f"t-{len(self.attempts)}"
        attempt = ClaimAttempt(
            token, key, agent.instance, token, body, self.now + patience, when_down
        )
        self.attempts[token] = attempt
        self.life_of[token] = agent.life
        agent.book.want(self.now, attempt)

    @precondition(lambda self: any(len(agent.book) for agent in self.agents))
    @rule(at=agents_drawn)
    def an_agent_sends_what_is_due(self, at):
        self._send(self.agents[at])

    def _send(self, agent: Agent) -> None:
        if (write := agent.book.next_write(self.now)) is not None:
            agent.writes.append(write)
        while (read := agent.book.next_read(self.now)) is not None:
            agent.reads.append(read)

    @precondition(lambda self: any(agent.writes for agent in self.agents))
    @rule(
        at=agents_drawn,
        fate=st.sampled_from(("done", "done", "lost", "late", "never", "down")),
    )
    def a_write_ends(self, at, fate):
        agent = self.agents[at]
        if not agent.writes:
            return
        write = agent.writes.pop()
        outcome = Unknown("cut")
        if fate == "down":
            outcome = Unavailable("down")
        elif fate == "late":
            self.service.delayed.append((write.compares, write.puts))
        elif fate in ("done", "lost"):
            applied = self.service.apply(write.compares, write.puts)
            outcome = applied if fate == "done" else outcome
        self._note(agent, agent.book.on_written(self.now, write, outcome))

    @precondition(lambda self: any(agent.reads for agent in self.agents))
    @rule(at=agents_drawn, down=st.booleans())
    def a_read_ends(self, at, down):
        agent = self.agents[at]
        if not agent.reads:
            return
        read = agent.reads.pop(0)
        outcome = Unavailable("down") if down else self.service.get(read.key)
        self._note(agent, agent.book.on_read(self.now, read.token, outcome))

    @precondition(lambda self: self.service.delayed)
    @rule(which=st.integers(0, 3))
    def a_delayed_write_arrives(self, which):
        if self.service.delayed:
            index = which % len(self.service.delayed)
            self.service.apply(*self.service.delayed.pop(index))

    @rule(seconds=st.sampled_from((0.01, 0.3, 3.0, 20.0)))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(at=agents_drawn)
    def an_agent_looks_at_its_deadlines(self, at):
        agent = self.agents[at]
        self._note(agent, agent.book.expire(self.now))

    @precondition(lambda self: any(agent.ready for agent in self.agents))
    @rule(at=agents_drawn)
    def an_agent_runs_a_claimed_call(self, at):
        agent = self.agents[at]
        if agent.ready:
            token = agent.ready.pop(0)
            agent.book.start(token)
            agent.running.append(token)
            self.runs[self.attempts[token].key].append(token)

    @precondition(lambda self: any(agent.ready for agent in self.agents))
    @rule(at=agents_drawn)
    def a_claimed_call_is_not_run_after_all(self, at):
        agent = self.agents[at]
        if agent.ready:
            token = agent.ready.pop(0)
            agent.book.give_up(self.now, token)
            self.told_not_run.add(token)

    @precondition(lambda self: any(agent.running for agent in self.agents))
    @rule(at=agents_drawn, whole=st.booleans())
    def a_run_ends(self, at, whole):
        agent = self.agents[at]
        if not agent.running:
            return
        token = agent.running.pop(0)
        if not whole:
            agent.book.close(self.now, token, ClaimState.CUT)
            return
        answer = KeptAnswer(200, (), token.encode())
        self.answers[self.attempts[token].key] = answer.body
        agent.book.close(self.now, token, ClaimState.DONE, answer)

    @rule(at=agents_drawn)
    def an_agent_is_killed_and_restarted(self, at):
        killed = self.agents[at]
        # What it had sent may still arrive.
        for write in killed.writes:
            self.service.delayed.append((write.compares, write.puts))
        self.agents[at] = self._agent(killed.instance)

    @invariant()
    def no_key_runs_twice(self):
        for key, tokens in self.runs.items():
            assert len(tokens) <= 1, f"{key} ran as {tokens}"

    @invariant()
    def what_was_told_not_to_run_did_not(self):
        ran = {token for tokens in self.runs.values() for token in tokens}
        assert not ran & self.told_not_run, ran & self.told_not_run

    def teardown(self):
        """Once the faults end, nothing stays open, and what nobody ran can be run."""
        for _ in range(LONG_ENOUGH):
            self.now += 3.0
            for at, agent in enumerate(self.agents):
                self.an_agent_looks_at_its_deadlines(at)
                self._send(agent)
                self.a_write_ends(at, "done")
                self.a_read_ends(at, False)
                self.an_agent_runs_a_claimed_call(at)
                self.a_run_ends(at, True)
            if not any(len(agent.book) for agent in self.agents):
                break
        for agent in self.agents:
            assert not len(agent.book), "the book doesn't come to rest"
        while self.service.delayed:
            self.a_delayed_write_arrives(0)
        self.no_key_runs_twice()
        self.what_was_told_not_to_run_did_not()
        for claim in filter(None, map(self.service.claim, KEYS)):
            self._check_final(claim)

    def _check_final(self, claim) -> None:
        ran = claim.token in sum(self.runs.values(), [])
        alive = self.life_of[claim.token] in {agent.life for agent in self.agents}
        if claim.state is ClaimState.RELEASED:
            assert not ran, f"{claim} is released, but ran"
        if claim.state is ClaimState.CLAIMED and alive:
            # Every later repeat would be told "unknown" of a call that never ran.
            assert ran, f"{claim} stays claimed, but never ran"


class TestClaims(ClaimMachine.TestCase):
    """At most one run a key, and "not run" is true, whatever is lost or late."""

    settings = settings(
        max_examples=profiles.scale(200, 10_000), stateful_step_count=60
    )


if __name__ == "__main__":
    unittest.main()
