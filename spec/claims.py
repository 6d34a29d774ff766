"""
A non-idempotent call: claimed before it runs, and run at most once.

One call under one idempotency key. The caller (or an entry for it) tries at several
agents, at the same time or one after the other; each try is an *attempt* with a token
of its own. The claim is one value of the key-value service: absent, or the token of
the attempt that owns it and whether that attempt has released it. A claim is created
only if it is absent, and taken over only if it is released, both by compare-and-swap.
Writes and the call itself may be delayed, lost, or lose their answer, and outlive the
attempt that sent them.

What "not run" (the answer `no`) means is stated by the invariants: an attempt that
answered `no` never runs, neither before nor after. It says nothing of other attempts
under the same key; the caller learned theirs from their own answers.
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

# An attempt at an agent. STOPPED never runs any more and DEAD was killed.
IDLE, CLAIMING, UNSURE, OWNER, TAKEN = "idle", "claiming", "unsure", "owner", "taken"
SENT, RELEASING, STOPPED, DEAD = "sent", "releasing", "stopped", "dead"
NOT_YET, NOT_RUN, UNKNOWN, RESULT = "", "no", "unknown", "result"
CREATE, RECLAIM, NO_WRITE, RELEASE = "create", "reclaim", "", "release"
FREE = -1
# An attempt before those of the model, which released the claim that it had.
EARLIER = -2


class Attempt(NamedTuple):
    """
    One attempt: where it stands, its claim on the wire, its release on the wire, its
    call on the wire, whether the backend server ran it, and what the caller was told.
    """

    phase: str = IDLE
    write: str = NO_WRITE
    release: bool = False
    call: bool = False
    ran: bool = False
    answer: str = NOT_YET
    paused: bool = False


class State(NamedTuple):
    """
    `owner` and `released` are the claim's value; `service_up` is the key-value
    service. `current` names the attempts whose re-claim was computed on the claim's
    present revision.
    """

    attempts: tuple[Attempt, ...]
    owner: int = FREE
    released: bool = False
    service_up: bool = True
    current: frozenset[int] = frozenset()


@specification
class Claims(Specification):
    """At most one run of a call that is claimed before it runs."""

    name = "claims"
    title = "A non-idempotent call runs at most once, and `not run` is true"
    default_bounds = {"attempts": 2, "released_first": False}
    larger_bounds = ({"released_first": True}, {"attempts": 3})
    variants = {
        "claim_after_run": Variant(
            "the call is sent to the backend server first and claimed afterwards",
            "runs_at_most_once",
        ),
        "rerun_on_taken_claim": Variant(
            "an attempt that finds the claim taken by another runs all the same, as the"
            " other seems to be gone",
            "runs_at_most_once",
        ),
        "run_on_lost_claim_answer": Variant(
            "an attempt whose claim had no answer takes it for granted and runs",
            "runs_at_most_once",
        ),
        "reclaim_lapsed_claim": Variant(
            "an attempt takes over the claim of a paused or dead holder, because"
            " the holder's lease has lapsed",
            "runs_at_most_once",
        ),
        "reclaim_without_compare": Variant(
            "a released claim is taken over by a plain write without compare-and-swap,"
            " so that two attempts both believe they own it",
            "runs_at_most_once",
            {"released_first": True},
        ),
        "release_after_send": Variant(
            "a holder whose connection to the backend server broke releases its claim,"
            " though the call may have arrived or may still arrive",
            "runs_at_most_once",
        ),
        "release_and_go_on": Variant(
            "a holder that released its claim, and had no answer, goes on to run",
            "runs_at_most_once",
        ),
        "say_not_run_after_lost_claim_answer": Variant(
            "the caller is told `not run` when the claim's answer is lost, and the"
            " attempt goes on once it reads that the claim is its own",
            "not_run_is_true",
        ),
        "say_not_run_on_broken_call": Variant(
            "the caller is told `not run` when the connection to the backend server"
            " broke after the call was sent",
            "not_run_is_true",
        ),
        "say_not_run_for_silent_agent": Variant(
            "an entry tells the caller `not run` because the agent is silent; the agent"
            " was paused and wakes up",
            "not_run_is_true",
        ),
    }

    def initial(self) -> State:
        attempts = tuple(Attempt() for _ in range(self.bounds["attempts"]))
        if self.bounds["released_first"]:
            return State(attempts, EARLIER, released=True)
        return State(attempts)

    def canonical(self, state: State) -> State:
        """Attempts are alike: sort them, and rename them where they stand."""
        order = sorted(
            range(len(state.attempts)),
            key=lambda n: (state.attempts[n], n == state.owner, n in state.current),
        )
        new = {old: new for new, old in enumerate(order)}
        return state._replace(
            attempts=tuple(state.attempts[old] for old in order),
            owner=new.get(state.owner, state.owner),
            current=frozenset(new[n] for n in state.current),
        )

    # Helpers.

    @staticmethod
    def _with(state: State, number: int, **values) -> State:
        attempt = state.attempts[number]._replace(**values)
        return state._replace(attempts=changed(state.attempts, number, attempt))

    @staticmethod
    def _running(state: State, *phases: str):
        for number, attempt in enumerate(state.attempts):
            if attempt.phase in phases and not attempt.paused:
                yield number, attempt

    def _answer(self, attempt: Attempt, answer: str) -> str:
        """An answer that was given stays: the caller hears only one."""
        return attempt.answer or answer

    # An attempt's way.

    @step
    def attempt_claims(self, state: State):
        for number, _ in self._running(state, IDLE):
            if self.without("claim_after_run"):
                values = {"phase": SENT, "call": True, "write": CREATE}
            else:
                values = {"phase": CLAIMING, "write": CREATE}
            yield (number,), self._with(state, number, **values)

    @step
    def attempt_loses_claim_answer(self, state: State):
        """The agent waits no longer; its write may land, may have landed, or not."""
        for number, attempt in self._running(state, CLAIMING, RELEASING):
            if attempt.phase == RELEASING:
                values = {"phase": STOPPED}
                if self.without("release_and_go_on"):
                    values = {"phase": OWNER}
            else:
                values = {"phase": UNSURE}
                if self.without("say_not_run_after_lost_claim_answer"):
                    values["answer"] = self._answer(attempt, NOT_RUN)
                if self.without("run_on_lost_claim_answer"):
                    values["phase"] = OWNER
            yield (number,), self._with(state, number, **values)

    @step
    def attempt_reads_claim(self, state: State):
        """
        Its own token makes an attempt the owner; another's is taken; nothing there
        proves nothing, since its write may still land.
        """
        if not state.service_up:
            return
        for number, attempt in self._running(state, CLAIMING, UNSURE):
            if state.owner == number and not state.released:
                yield (number,), self._with(state, number, phase=OWNER)
            elif state.owner not in (FREE, number) and not state.released:
                after = self._with(state, number, phase=TAKEN, write=NO_WRITE)
                yield (number,), after

    @step
    def attempt_reclaims(self, state: State):
        """A released claim of another attempt is taken over at its revision."""
        if not state.service_up or state.owner == FREE:
            return
        for number, attempt in self._running(state, CLAIMING, UNSURE, TAKEN):
            if number == state.owner or attempt.write == RECLAIM:
                continue
            lapsed = False
            if self.without("reclaim_lapsed_claim"):
                holder = state.attempts[state.owner]
                lapsed = holder.paused or holder.phase == DEAD
            if state.released or lapsed:
                after = self._with(state, number, phase=CLAIMING, write=RECLAIM)
                yield (number,), after._replace(current=state.current | {number})

    @step
    def attempt_repeats_create(self, state: State):
        """The same create under the same token: it lands at most once."""
        for number, attempt in self._running(state, UNSURE):
            if attempt.write == NO_WRITE:
                yield (number,), self._with(state, number, write=CREATE)

    @step
    def attempt_sends_call(self, state: State):
        for number, _ in self._running(state, OWNER):
            yield (number,), self._with(state, number, phase=SENT, call=True)

    @step_only_in("rerun_on_taken_claim")
    def attempt_runs_without_claim(self, state: State):
        for number, _ in self._running(state, TAKEN):
            yield (number,), self._with(state, number, phase=SENT, call=True)

    @step
    def attempt_gives_up(self, state: State):
        """It will never run: it says so, and acts by it from here on."""
        for number, attempt in self._running(state, IDLE, CLAIMING, UNSURE):
            answer = self._answer(attempt, NOT_RUN)
            yield (number,), self._with(state, number, phase=STOPPED, answer=answer)

    @step
    def attempt_finds_it_taken(self, state: State):
        """Another attempt owns the call: it may have run it, or may still."""
        for number, attempt in self._running(state, TAKEN):
            known = state.attempts[state.owner].answer == RESULT
            answer = self._answer(attempt, RESULT if known else UNKNOWN)
            yield (number,), self._with(state, number, phase=STOPPED, answer=answer)

    @step
    def attempt_releases(self, state: State):
        """A holder that has sent nothing marks its claim released and stops."""
        for number, attempt in self._running(state, OWNER):
            values = {"phase": RELEASING, "release": True}
            values["answer"] = self._answer(attempt, NOT_RUN)
            if self.without("release_and_go_on"):
                values["answer"] = attempt.answer
            yield (number,), self._with(state, number, **values)

    @step
    def attempt_clears_up(self, state: State):
        """
        One that gave up sees to it that no claim of its own stays behind: it writes a
        released one over it, or in its place, where it would make the late one fail.
        """
        for number, attempt in self._running(state, STOPPED):
            if attempt.answer == NOT_RUN and not attempt.release:
                yield (number,), self._with(state, number, release=True)

    @step_only_in("release_after_send")
    def attempt_releases_after_send(self, state: State):
        for number, attempt in self._running(state, SENT):
            values = {"phase": STOPPED, "release": True, "answer": UNKNOWN}
            yield (number,), self._with(state, number, **values)

    # The backend server and the wire to it.

    @step
    def call_arrives(self, state: State):
        for number, attempt in enumerate(state.attempts):
            if attempt.call:
                yield (number,), self._with(state, number, call=False, ran=True)

    @step
    def call_is_lost(self, state: State):
        for number, attempt in enumerate(state.attempts):
            if attempt.call:
                yield (number,), self._with(state, number, call=False)

    @step
    def result_returns(self, state: State):
        for number, attempt in self._running(state, SENT):
            if attempt.ran and not attempt.call:
                answer = self._answer(attempt, RESULT)
                yield (number,), self._with(state, number, phase=STOPPED, answer=answer)

    @step
    def call_breaks(self, state: State):
        """The connection broke after bytes went out: nobody knows whether it ran."""
        wrong = self.without("say_not_run_on_broken_call")
        for number, attempt in self._running(state, SENT):
            answer = self._answer(attempt, NOT_RUN if wrong else UNKNOWN)
            yield (number,), self._with(state, number, phase=STOPPED, answer=answer)

    # The entry.

    @step
    def entry_loses_agent(self, state: State):
        """The entry gives up on an agent that may go on: it can't say `not run`."""
        wrong = self.without("say_not_run_for_silent_agent")
        for number, attempt in enumerate(state.attempts):
            if attempt.phase != IDLE and attempt.answer == NOT_YET:
                answer = NOT_RUN if wrong else UNKNOWN
                yield (number,), self._with(state, number, answer=answer)

    # The key-value service.

    @staticmethod
    def _writes(state: State):
        """The writes on the wire, and the state in which each is there no more."""
        for number, attempt in enumerate(state.attempts):
            if attempt.write != NO_WRITE:
                after = Claims._with(state, number, write=NO_WRITE)
                yield number, attempt.write, after
            if attempt.release:
                yield number, RELEASE, Claims._with(state, number, release=False)

    @step
    def write_lands(self, state: State):
        if not state.service_up:
            return
        for number, write, after in self._writes(state):
            if self._succeeds(state, number, write):
                released = write == RELEASE
                after = after._replace(
                    owner=number, released=released, current=frozenset()
                )
            yield (number, write), after

    def _succeeds(self, state: State, number: int, write: str) -> bool:
        on_present_revision = state.owner == FREE or number in state.current
        if write == CREATE:
            return state.owner == FREE
        if write == RELEASE:
            own = state.owner == number and not state.released
            return own or on_present_revision
        return number in state.current or self.without("reclaim_without_compare")

    @step
    def write_is_lost(self, state: State):
        for number, write, after in self._writes(state):
            yield (number, write), after

    @step
    def service_fails(self, state: State):
        if state.service_up:
            yield (), state._replace(service_up=False)

    @step
    def service_returns(self, state: State):
        if not state.service_up:
            yield (), state._replace(service_up=True)

    # Faults.

    @step
    def agent_pauses(self, state: State):
        for number, _ in self._running(state, CLAIMING, UNSURE, OWNER, SENT):
            yield (number,), self._with(state, number, paused=True)

    @step
    def agent_resumes(self, state: State):
        for number, attempt in enumerate(state.attempts):
            if attempt.paused:
                yield (number,), self._with(state, number, paused=False)

    @step
    def agent_is_killed(self, state: State):
        """What it had put on the wire goes on; the entry tells the caller."""
        for number, attempt in enumerate(state.attempts):
            if attempt.phase not in (IDLE, STOPPED, DEAD):
                answer = self._answer(attempt, UNKNOWN)
                values = {"phase": DEAD, "paused": False, "answer": answer}
                yield (number,), self._with(state, number, **values)

    # Invariants.

    @invariant
    def runs_at_most_once(self, state: State) -> bool:
        """The backend servers ran the call at most once, over all attempts."""
        return sum(attempt.ran for attempt in state.attempts) <= 1

    @invariant
    def not_run_is_true(self, state: State) -> bool:
        """An attempt that answered `no` has not run; as answers stay, it never will."""
        return not any(a.answer == NOT_RUN and a.ran for a in state.attempts)

    @invariant
    def nothing_on_the_way_after_not_run(self, state: State) -> bool:
        """No call of an attempt that answered `no` is on the wire."""
        return not any(a.answer == NOT_RUN and a.call for a in state.attempts)

    @invariant
    def result_is_true(self, state: State) -> bool:
        """A result is told only where some attempt ran."""
        told = any(a.answer == RESULT for a in state.attempts)
        return not told or any(a.ran for a in state.attempts)
