"""Passive health checking: rates backend servers by the outcome of real calls.

A health check can pass while calls fail, and vice versa, and probing has a cost; so
only the outcome of real calls counts. A service may fail some of its calls by design,
so a backend server is compared with the others of its service.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller_core.gateway.incarnation import Incarnation

#: The weight of the newest call in the exponentially weighted moving averages.
EWMA_WEIGHT = 0.15
#: The half-life of a score, so that a backend server that has recovered is tried again.
#: Seconds.
HALF_LIFE_S = 4.0
#: Failure rates that exceed the service's typical rate by less than this are attributed
#: to chance.
RATE_TOLERANCE = 0.08
#: The cost of the failure rate in excess of the typical one, in units of a full batch.
RATE_COST = 6.0
#: Latencies above this multiple of the service's typical latency add to the cost, by
#: the second value for each further multiple.
SLOW_FACTOR = 1.7
SLOW_COST = 0.5
#: How long a backend server that couldn't be connected to is avoided: exponential
#: backoff, doubled with each further failure up to the maximum. Seconds.
BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
#: From the first cost on a backend server counts as failing or slow, and below the
#: second as good again; in between the state stays, so that it doesn't flap. In units
#: of a full batch: from 1 on, others are preferred even if their batches are full.
BAD_COST = 1.0
GOOD_COST = 0.5


class HealthState(enum.Enum):
    """The health of a backend server."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of the health state, and the figures that caused it."""

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

    Each start of a backend server is rated separately: what made the previous start
    fail may have ended with it.
    """

    def __init__(self) -> None:
        self._scores: dict[Incarnation, _Score] = {}

    def succeeded(self, now: float, server: Incarnation, latency_s: float) -> None:
        """Record an answered call; ``latency_s`` is the time to the first part of the
        answer."""
        score = self._decayed_score(now, server)
        score.failures *= 1 - EWMA_WEIGHT
        score.unreachable = 0
        if score.latency_s is None:
            score.latency_s = latency_s
        score.latency_s += EWMA_WEIGHT * (latency_s - score.latency_s)

    def failed(self, now: float, server: Incarnation) -> None:
        """Record a call that failed, was refused, or got an unusable answer."""
        score = self._decayed_score(now, server)
        score.failures += EWMA_WEIGHT * (1 - score.failures)

    def unreachable(self, now: float, server: Incarnation) -> None:
        """Record that no connection could be made."""
        score = self._decayed_score(now, server)
        backoff_s = min(BACKOFF_S * 2**score.unreachable, MAX_BACKOFF_S)
        score.unreachable = min(score.unreachable + 1, 8)
        score.avoid_until = now + backoff_s

    def is_avoided(self, now: float, server: Incarnation) -> bool:
        """Whether the backend server is avoided because it couldn't be connected to."""
        score = self._scores.get(server)
        return score is not None and now < score.avoid_until

    def cost(self, now: float, server: Incarnation) -> float:
        """The cost of choosing this backend server, 0 if it is as good as the
        others."""
        score = self._scores.get(server)
        if score is None:
            return 0.0
        return self._failure_cost(now, score) + self._slowness_cost(now, score)

    def standing(self, server: Incarnation) -> HealthState:
        """The health state at the latest :meth:`review`."""
        score = self._scores.get(server)
        return score.standing if score is not None else HealthState.GOOD

    def review(self, now: float, server: Incarnation) -> HealthChange | None:
        """Update the backend server's health state; returns the change, if any."""
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
            _decayed_failures(score, now)
            - self._typical_failure_rate(now)
            - RATE_TOLERANCE
        )
        return RATE_COST * max(0.0, excess)

    def _slowness_cost(self, now: float, score: _Score) -> float:
        typical = self._typical_latency()
        if score.latency_s is None or typical <= 0:
            return 0.0
        slowness = score.latency_s / typical - SLOW_FACTOR
        return SLOW_COST * max(0.0, slowness) * _decay(score, now)

    def forget_ended(self, is_current: Callable[[Incarnation], bool]) -> None:
        """Drop the scores of starts that have ended.

        They would otherwise still count in the service's typical values.
        """
        for server in list(self._scores):
            if not is_current(server):
                del self._scores[server]

    def _decayed_score(self, now: float, server: Incarnation) -> _Score:
        score = self._scores.setdefault(server, _Score(updated_at=now))
        score.failures = _decayed_failures(score, now)
        score.updated_at = now
        return score

    def _typical_failure_rate(self, now: float) -> float:
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
