"""When a refused request is tried again, and when a place is left alone.

Only what is known not to have run is tried again, or what may run twice without harm. A
budget in proportion to first attempts keeps retries from multiplying the load of a
fleet that refuses because it is overloaded; a breaker per agent keeps requests away
from one that doesn't answer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from bambootiller_core.outcomes import RETRYABLE, Code, Executed, Refused
from bambootiller_core.types import Request

#: Attempts of one request, the first one included.
MOST_ATTEMPTS = 4
#: The pause before the second attempt; it doubles with each further one. Seconds.
PAUSE_S = 0.02
#: Refusals that merely point elsewhere: another place may serve the request at once,
#: and sending it there relieves the one that refused.
MISDIRECTED = frozenset(
    {Code.LEAVING, Code.NOT_HOLDER, Code.NO_REPLICA, Code.NOT_READY, Code.NO_MEMORY}
)


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    ``share`` is the part of a retry that each first attempt earns; ``reserve`` the
    tokens that a quiet process may spend at once.
    """

    def __init__(self, share: float = 0.2, reserve: float = 20.0) -> None:
        if share < 0 or reserve < 0:
            raise ValueError(f"share {share} and reserve {reserve} must be at least 0")
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """The retries that may be made at once."""
        return self._tokens

    def attempted(self) -> None:
        """A request was tried for the first time."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Spend one retry; False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Breaker:
    """Keeps requests from an agent that failed several times in a row.

    After ``threshold`` failures it opens for ``open_s`` seconds, twice as long after
    each further failure up to ``longest_s``; then one request at a time may try.
    """

    def __init__(
        self, threshold: int = 3, open_s: float = 1.0, longest_s: float = 15.0
    ) -> None:
        self._threshold = threshold
        self._open_s = open_s
        self._longest_s = longest_s
        self._failures = 0
        self._open_until = 0.0
        self._trial = False

    def allows(self, now: float) -> bool:
        """Whether a request may go there now; asking changes nothing."""
        if self._failures < self._threshold:
            return True
        return now >= self._open_until and not self._trial

    def sent(self, now: float) -> None:
        """A request goes there; past the threshold it is the one that tries."""
        if self._failures >= self._threshold:
            self._trial = True

    def succeeded(self, now: float) -> None:
        """The agent answered, be it with a refusal."""
        self._failures = 0
        self._trial = False

    def failed(self, now: float) -> None:
        """The agent couldn't be reached, or broke off."""
        self._failures += 1
        self._trial = False
        over = self._failures - self._threshold
        if over >= 0:
            pause = min(self._open_s * 2.0 ** min(over, 16), self._longest_s)
            self._open_until = now + pause


@dataclass(frozen=True, slots=True)
class RetryAt:
    """Try the next place at ``at``."""

    at: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller with this refusal."""

    refused: Refused


def after_refusal(
    req: Request,
    refused: Refused,
    attempt: int,
    now: float,
    budget: RetryBudget,
    rng: random.Random,
    places_left: int,
) -> RetryAt | GiveUp:
    """Whether to try ``req`` elsewhere after its ``attempt``-th attempt was refused.

    ``places_left`` counts the agents that haven't been tried: without one the caller
    gets the refusal, because the same place would only give the same answer. Nothing
    may have been passed on to the caller yet.
    """
    if not may_repeat(req, refused):
        return GiveUp(refused)
    if attempt >= MOST_ATTEMPTS or places_left < 1:
        return GiveUp(refused)
    misdirected = refused.code in MISDIRECTED
    pause = 0.0 if misdirected else PAUSE_S * 2.0 ** (attempt - 1) * rng.uniform(0.5, 1)
    if now + pause >= req.deadline:
        return GiveUp(refused)
    if not misdirected and not budget.take():
        return GiveUp(refused)
    return RetryAt(now + pause)


def may_repeat(req: Request, refused: Refused) -> bool:
    """Whether a second attempt can't make a call run twice that may not."""
    if refused.code not in RETRYABLE:
        return False
    if refused.executed is Executed.NO:
        return True
    return refused.executed is Executed.UNKNOWN and not req.non_idempotent
