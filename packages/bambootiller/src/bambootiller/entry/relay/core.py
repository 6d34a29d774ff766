"""What becomes of a request after each event, decided without input or output.

The driver reports what happened and gets back what to do next: make an attempt, wait,
or finish. The rules:

* Only what is known not to have run is tried again, or what may run twice. A model's
  answer may; a plain service's may unless its template says that it is non-idempotent.
* A model's answer that is cut goes on at another replica behind what the caller has.
* A non-idempotent call whose attempt broke off may be taken elsewhere only because its
  claim settles there whether it runs: a second run is refused by the claim, not by us.
* A refusal says ``no`` only if every attempt is known not to have run.

Example::

    core = RelayCore(req, Repeat.RESUME, budget, rng)
    core.choose(0.0, ["i-1", "i-2"])   # Attempt("i-1", 1, "", 0)
    core.broken(0.1, "cut", ["i-2"])   # Wait(0.1)
    core.choose(0.1, ["i-2"])          # Attempt("i-2", 2, ...)
"""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from bambootiller.entry.patience import PATIENCE_S
from bambootiller.entry.relay.correlation import Fault
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Answered, Code, Executed, Final, Refused
from bambootiller_core.retries import (
    MOST_ATTEMPTS,
    PAUSE_S,
    RetryAt,
    RetryBudget,
    after_refusal,
    may_repeat,
)
from bambootiller_core.types import Request, ServiceTarget

#: How often it looks. Seconds.
RECHECK_S = 0.1
#: The pause before the same place is asked again, doubled with each attempt. Seconds.
ASK_AGAIN_S = 0.1
#: Attempts of a request that was refused for want of memory, and the pause before the
#: next one, doubled with each. Memory that is in use by others' answers often comes
#: free as soon as a batch of them ends, while the caller still has time.
MEMORY_ATTEMPTS = 8
MEMORY_ASK_AGAIN_S = 0.5
#: Agents asked for a service that they turn out not to have, for one request. Such an
#: answer costs nobody any work, so it doesn't count as an attempt.
MOST_PROBES = 64

#: After these the same place may serve the request a moment later, or another one may
#: have got a slot by then. An engine that died in an answer is among them: the only
#: holder known at that moment is often not the only one a second later.
_PASSING = frozenset(
    {
        Code.LEAVING,
        Code.NOT_HOLDER,
        Code.NOT_READY,
        Code.NO_REPLICA,
        Code.UNREACHABLE,
        Code.BACKEND_FAILED,
    }
)
#: What an agent says of a service that doesn't run beside it.
_NOT_HERE = frozenset({Code.NOT_HOLDER, Code.UNKNOWN_SERVICE, Code.NO_REPLICA})
_CERTAINTY = {Executed.NO: 0, Executed.UNKNOWN: 1, Executed.YES: 2}


class Repeat(enum.Enum):
    """What a second attempt of a request does."""

    #: Goes on behind what was already passed on (a model's answer).
    RESUME = "resume"
    #: Starts over; possible until something was passed on (an idempotent service).
    RESTART = "restart"
    #: Asks the claim first (a non-idempotent service).
    CLAIMED = "claimed"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send the request to ``instance``, to go on behind what the caller already has."""

    instance: str
    number: int
    continue_text: str = ""
    continue_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Wait:
    """Rank the places and choose again at ``until``, which may be now."""

    until: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller; there is nothing further to do."""

    final: Final
    finish_reason: str = ""


Action = Attempt | Wait | Finish


class RelayCore:
    """The state of one request between its arrival and its one final outcome."""

    def __init__(
        self,
        req: Request,
        repeat: Repeat,
        budget: RetryBudget,
        rng: random.Random,
        patience_s: float = PATIENCE_S,
    ) -> None:
        self._req = req
        self._patience_s = patience_s
        self._is_service = isinstance(req.target, ServiceTarget)
        self._repeat = repeat
        self._budget = budget
        self._rng = rng
        self._attempts = 0
        self._probes = 0
        self._last: str | None = None
        self._ruled_out: set[str] = set()
        self._worth_again: set[str] = set()
        self._executed = Executed.NO
        self._patience_until: float | None = None
        self._again_at = 0.0
        self._refused: Refused | None = None
        self._texts: list[str] = []
        self._tokens = 0
        self._chunks = 0
        self._passed_on = False
        self._headed = False
        self._open = False
        self._finished = False

    @property
    def text(self) -> str:
        """All text of the answer so far."""
        return "".join(self._texts)

    @property
    def attempts(self) -> int:
        """The attempts made so far."""
        return self._attempts

    @property
    def finished(self) -> bool:
        """Whether the final outcome has been given."""
        return self._finished

    def choose(self, now: float, ranked: Sequence[str]) -> Action:
        """Make an attempt at the best place, wait for one to appear, or give up."""
        if now >= self._req.deadline:
            return self.deadline_passed()
        place = self._place(now, ranked)
        if place is None:
            return self._no_place(now)
        if self._attempts + self._probes == 0:
            self._budget.attempted()
        self._attempts += 1
        self._chunks = 0
        self._headed = False
        self._open = True
        self._last = place
        self._ruled_out.add(place)
        number = self._attempts + self._probes
        return Attempt(place, number, self.text, self._tokens)

    def chunk(self, text: str, tokens: int) -> None:
        """A piece of a model's answer arrived and is passed on."""
        self._chunks += 1
        self._texts.append(text)
        self._tokens += tokens
        self._passed_on = True
        self._executed = Executed.YES

    def head(self) -> bool:
        """A service began to answer; False if it had begun before.

        Whatever follows, the call has run.
        """
        self._executed = Executed.YES
        first = not self._headed
        self._headed = True
        return first

    def data(self) -> bool:
        """A piece of a service's answer arrived; False if it came before its head."""
        self._chunks += 1
        return self._headed

    def passed_on(self) -> None:
        """The caller has part of a service's answer, so it can't be started over."""
        self._passed_on = True

    def refused(self, now: float, refused: Refused, ranked: Sequence[str]) -> Action:
        """An agent refused the attempt, and knows what it says."""
        self._open = False
        if self._is_probe(refused):
            self._attempts -= 1
            self._probes += 1
            return Wait(now) if self._fresh(ranked) else self._no_place(now)
        self._note(refused.executed)
        self._refused = refused
        if self._begun_for_good():
            return self._finish(refused)
        if self._repeat is Repeat.RESUME and refused.executed is Executed.YES:
            # It ran in part; a model's answer goes on elsewhere all the same.
            refused = replace(refused, executed=Executed.UNKNOWN)
        if not may_repeat(self._req, refused):
            return self._finish(refused)
        return self._again(now, refused, ranked)

    def broken(self, now: float, detail: str, ranked: Sequence[str]) -> Action:
        """An attempt ended without a word on whether the call ran.

        That covers a connection that was never made as well: the difference can't be
        told for certain, and a wrong "not run" is worse than an uncertain answer.
        """
        self._open = False
        refused = Refused(Code.UNREACHABLE, Executed.UNKNOWN, detail)
        self._note(Executed.UNKNOWN)
        self._refused = refused
        if self._begun_for_good():
            return self._finish(refused)
        if self._repeat is Repeat.CLAIMED:
            return self._ask_claim(now, refused, ranked)
        return self._again(now, refused, ranked)

    def done(self, chunks: int, finish_reason: str, replayed: bool) -> Finish | Fault:
        """The agent says that the answer is whole; ``chunks`` is how many it sent.

        If what arrived isn't all of it, the caller would take a part for the whole. The
        attempt has broken off then, and is to be reported as :meth:`broken`.
        """
        if chunks != self._chunks:
            return Fault(f"{self._chunks} of {chunks} pieces of the answer arrived")
        if self._is_service and not self._headed:
            return Fault("the answer has no status")
        return self._finish(Answered(self._tokens, replayed), finish_reason)

    def deadline_passed(self) -> Finish:
        """The caller's time is up."""
        detail = "the time that the caller gave the request is up"
        return self._finish(Refused(Code.DEADLINE_PASSED, Executed.NO, detail))

    def caller_gone(self) -> Finish:
        """Nobody waits for the answer any more."""
        detail = "the caller closed the connection"
        return self._finish(Refused(Code.CALLER_GONE, Executed.NO, detail))

    def cut_by_leaving(self) -> Finish:
        """This process must end now."""
        detail = "this entry ended its graceful shutdown before the answer was whole"
        return self._finish(Refused(Code.LEAVING, Executed.NO, detail))

    def _fresh(self, ranked: Sequence[str]) -> list[str]:
        return [name for name in ranked if name not in self._ruled_out]

    def _place(self, now: float, ranked: Sequence[str]) -> str | None:
        """Where to go: a place not asked yet, else one that may have changed its mind.

        The place asked last comes last, and after a pause: whatever broke the attempt
        there is most likely still broken.
        """
        if fresh := self._fresh(ranked):
            return fresh[0]
        again = [name for name in ranked if name in self._worth_again]
        if not again or now < self._again_at:
            return None
        return min(again, key=lambda name: name == self._last)

    def _begun_for_good(self) -> bool:
        """Whether the caller has part of an answer that can't be gone on with."""
        return self._passed_on and self._repeat is not Repeat.RESUME

    def _is_probe(self, refused: Refused) -> bool:
        return (
            self._is_service
            and not self._headed
            and refused.code in _NOT_HERE
            and refused.executed is Executed.NO
            and self._probes < MOST_PROBES
        )

    def _again(self, now: float, refused: Refused, ranked: Sequence[str]) -> Action:
        """Try a request that may be tried again, if there is a place and a budget."""
        fresh = len(self._fresh(ranked))
        if refused.code in _PASSING:
            self._worth_again.add(self._last)
            if not fresh:
                return self._same_place(now, refused)
        if refused.code is Code.NO_MEMORY and not fresh:
            return self._wait_for_memory(now, refused)
        verdict = after_refusal(
            self._req, refused, self._attempts, now, self._budget, self._rng, fresh
        )
        if isinstance(verdict, RetryAt):
            return Wait(verdict.at)
        return self._finish(verdict.refused)

    def _ask_claim(self, now: float, refused: Refused, ranked: Sequence[str]) -> Action:
        """Take a call that may have run to where its claim is looked up."""
        self._worth_again.add(self._last)
        if not self._fresh(ranked):
            return self._same_place(now, refused)
        if self._attempts >= MOST_ATTEMPTS or not self._budget.take():
            return self._finish(refused)
        return Wait(now + PAUSE_S)

    def _same_place(self, now: float, refused: Refused) -> Action:
        """Nobody else is left; ask again where it failed, a little later."""
        if self._attempts >= MOST_ATTEMPTS or not self._budget.take():
            return self._finish(refused)
        self._again_at = now + ASK_AGAIN_S * 2.0**self._attempts
        return self._no_place(now)

    def _wait_for_memory(self, now: float, refused: Refused) -> Action:
        """All holders are full; ask again while the caller's time allows."""
        if self._attempts >= MEMORY_ATTEMPTS or not self._budget.take():
            return self._finish(refused)
        self._worth_again.update(self._ruled_out)
        self._again_at = now + MEMORY_ASK_AGAIN_S * 2.0 ** max(0, self._attempts - 2)
        return self._no_place(now)

    def _no_place(self, now: float) -> Action:
        """Wait a little for a place; the caller hears at once when that is over."""
        if self._patience_until is None:
            self._patience_until = now + self._patience_s
        until = now + RECHECK_S
        if until < min(self._patience_until, self._req.deadline):
            return Wait(until)
        detail = "no backend server that may serve this can be reached"
        fallback = Refused(Code.NO_REPLICA, Executed.NO, detail)
        return self._finish(self._refused or fallback)

    def _note(self, executed: Executed) -> None:
        if _CERTAINTY[executed] > _CERTAINTY[self._executed]:
            self._executed = executed

    def _finish(self, final: Final, finish_reason: str = "") -> Finish:
        ensure(
            not self._finished,
            "one-final-outcome",
            f"request {self._req.request_id} ends a second time, with {final}",
        )
        self._finished = True
        if isinstance(final, Refused):
            # An attempt that is still under way may run whatever we say now.
            self._note(Executed.UNKNOWN if self._open else final.executed)
            final = replace(final, executed=self._executed)
        return Finish(final, finish_reason)
