"""How well each backend server serves, judged by the calls themselves.

A health check can pass while calls fail, and the other way round, and probing has its
price; so what counts is what becomes of real calls. A service may fail a part of its
calls by design, so a backend server is compared with the others of its service.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller_core.gateway.incarnation import Incarnation

#: The weight of the newest call in the running means.
EWMA_WEIGHT = 0.15
#: A judgement fades by half in this time, so that a backend server that has recovered
#: is tried again. Seconds.
HALF_LIFE_S = 4.0
#: Failure rates that differ by less than this from the service's mean are luck.
RATE_TOLERANCE = 0.08
#: What a failure rate above the mean costs, in units of a full batch.
RATE_COST = 6.0
#: Answers slower than this many times the service's mean cost something.
SLOW_FACTOR = 1.7
SLOW_COST = 0.5
#: How long a backend server that couldn't be connected to is left alone; doubled with
#: each further failure up to the longest. Seconds.
UNREACHABLE_S = 0.4
UNREACHABLE_MAX_S = 4.0
#: From this cost on a backend server counts as failing or slow, and below the second
#: as good again; between them the judgement stays, so that it doesn't flap. Full
#: batches: from one on, calls go elsewhere even while others are full.
BAD_COST = 1.0
GOOD_COST = 0.5


class HealthState(enum.Enum):
    """How a backend server is judged, in a word."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A judgement that has changed, and the figures behind it."""

    before: HealthState
    standing: HealthState
    failure_rate: float
    latency_s: float | None


@dataclass(slots=True)
class _Score:
    failures: float = 0.0
    latency_s: float | None = None
    updated_at: float = 0.0
    unreachable: int = 0
    avoid_until: float = 0.0
    standing: HealthState = HealthState.GOOD


class Health:
    """Failure rates and latencies of the backend servers of one service.

    Each start of a backend server is judged for itself: what made the one before fail
    may have ended with it.
    """

    def __init__(self) -> None:
        self._scores: dict[Incarnation, _Score] = {}

    def succeeded(self, now: float, server: Incarnation, latency_s: float) -> None:
        """A call was answered; ``latency_s`` is the time to the first part of it."""
        score = self._decayed_score(now, server)
        score.failures *= 1 - EWMA_WEIGHT
        score.unreachable = 0
        if score.latency_s is None:
            score.latency_s = latency_s
        score.latency_s += EWMA_WEIGHT * (latency_s - score.latency_s)

    def failed(self, now: float, server: Incarnation) -> None:
        """A call failed there, was refused, or got a useless answer."""
        score = self._decayed_score(now, server)
        score.failures += EWMA_WEIGHT * (1 - score.failures)

    def unreachable(self, now: float, server: Incarnation) -> None:
        """No connection could be made."""
        score = self._decayed_score(now, server)
        pause = min(UNREACHABLE_S * 2**score.unreachable, UNREACHABLE_MAX_S)
        score.unreachable = min(score.unreachable + 1, 8)
        score.avoid_until = now + pause

    def avoided(self, now: float, server: Incarnation) -> bool:
        """Whether the backend server couldn't be reached a moment ago."""
        score = self._scores.get(server)
        return score is not None and now < score.avoid_until

    def cost(self, now: float, server: Incarnation) -> float:
        """What choosing it costs, 0 for one that is as good as the others."""
        score = self._scores.get(server)
        if score is None:
            return 0.0
        return self._failure_cost(now, score) + self._slowness_cost(now, score)

    def standing(self, server: Incarnation) -> HealthState:
        """How the backend server was judged last."""
        score = self._scores.get(server)
        return score.standing if score is not None else HealthState.GOOD

    def review(self, now: float, server: Incarnation) -> HealthChange | None:
        """Judge the backend server anew; returns the judgement if it has changed."""
        score = self._scores.get(server)
        if score is None:
            return None
        before, standing = score.standing, self._state(now, score)
        if standing is before:
            return None
        score.standing = standing
        return HealthChange(
            before, standing, _decayed_failures(score, now), score.latency_s
        )

    def _state(self, now: float, score: _Score) -> HealthState:
        if now < score.avoid_until:
            return HealthState.UNREACHABLE
        failing = self._failure_cost(now, score)
        slow = self._slowness_cost(now, score)
        was_bad = score.standing in (HealthState.FAILING, HealthState.SLOW)
        if failing + slow < (GOOD_COST if was_bad else BAD_COST):
            return HealthState.GOOD
        return HealthState.FAILING if failing >= slow else HealthState.SLOW

    def _failure_cost(self, now: float, score: _Score) -> float:
        excess = (
            _decayed_failures(score, now) - self._mean_failures(now) - RATE_TOLERANCE
        )
        return RATE_COST * max(0.0, excess)

    def _slowness_cost(self, now: float, score: _Score) -> float:
        typical = self._typical_latency()
        if score.latency_s is None or typical <= 0:
            return 0.0
        slowness = score.latency_s / typical - SLOW_FACTOR
        return SLOW_COST * max(0.0, slowness) * _decay(score, now)

    def forget_ended(self, is_current: Callable[[Incarnation], bool]) -> None:
        """Forget the starts of backend servers that are over.

        What they were judged by would go on to count in what is typical of the service.
        """
        for server in list(self._scores):
            if not is_current(server):
                del self._scores[server]

    def _decayed_score(self, now: float, server: Incarnation) -> _Score:
        score = self._scores.setdefault(server, _Score(updated_at=now))
        score.failures = _decayed_failures(score, now)
        score.updated_at = now
        return score

    def _mean_failures(self, now: float) -> float:
        rates = sorted(_decayed_failures(score, now) for score in self._scores.values())
        return rates[len(rates) // 2] if len(rates) > 2 else 0.0

    def _typical_latency(self) -> float:
        seen = sorted(
            score.latency_s
            for score in self._scores.values()
            if score.latency_s is not None
        )
        return seen[(len(seen) - 1) // 2] if len(seen) > 1 else 0.0


def _decay(score: _Score, now: float) -> float:
    return 0.5 ** (max(0.0, now - score.updated_at) / HALF_LIFE_S)


def _decayed_failures(score: _Score, now: float) -> float:
    return score.failures * _decay(score, now)
