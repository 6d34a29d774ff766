"""Whether a request can be answered in time, decided when it arrives.

A request that can't be answered by its deadline is refused at once, with the time at
which to come back: waiting for a certain timeout helps nobody and holds the place of a
request that could still be served. The estimate rests on measured figures, the load
times of each model by checkpoint tier and the service times of its requests.

Example::

    est = estimate(EstimateInput(loaded=False, load_s=8.0, service_s=1.5,
    max_running=8)) match decide(now, req, est):
        case Accept(): ...
        case Refused(code=Code.TOO_LATE): ...   # never started; the load goes on

A refusal of a cold model doesn't make the load unwanted: the caller was told to come
back when the model is there, so whoever gives that answer has to have the load started.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.types import ModelKey, Request, Tier

#: What a load from a tier takes as a part of one from the remote store, until measured.
PRIOR_TIER_SHARE = {Tier.MEMORY: 0.15, Tier.DISK: 0.4, Tier.REMOTE: 1.0}
#: The weight of the newest measurement in a running mean.
NEWEST_WEIGHT = 0.3
#: A load that has outlived its estimate is expected to last this part of it longer.
OVERRUN_SHARE = 0.15
#: The bounds of a come-back time: sooner only adds load, later is a guess.
RETRY_AFTER_MIN_S = 0.2
RETRY_AFTER_MAX_S = 60.0
#: What a service time is taken for until one has been measured.
PRIOR_SERVICE_S = 1.0
#: An answer may take longer than the mean by up to this many times the mean. How much
#: is allowed for grows with the queue, up to this.
MOST_EXTRA = 2.0


class LoadTimes:
    """Learned load times by model and tier, in seconds.

    ``prior`` is the remote load time of a model of which nothing is known. Measurements
    of one tier of a model scale what is expected of its other tiers.
    """

    def __init__(self, prior: float = 10.0) -> None:
        if prior <= 0:
            raise ValueError(f"prior is {prior}; it must be above 0 seconds")
        self._prior = prior
        self._priors: dict[ModelKey, float] = {}
        self._means: dict[tuple[ModelKey, Tier], float] = {}

    def set_prior(self, model: ModelKey, seconds: float) -> None:
        """Take the operator's estimate of a remote load, ``ModelPolicy.load_ms``."""
        self._priors[model] = max(seconds, 1e-3)

    def observe(self, model: ModelKey, tier: Tier, seconds: float) -> None:
        """Learn from a load that took ``seconds`` from order to confirmation."""
        mean = self._means.get((model, tier))
        if mean is None:
            self._means[model, tier] = seconds
            return
        self._means[model, tier] = mean + NEWEST_WEIGHT * (seconds - mean)

    def expected(self, model: ModelKey, tier: Tier) -> float:
        """The seconds that a load of ``model`` from ``tier`` is expected to take."""
        mean = self._means.get((model, tier))
        if mean is not None:
            return mean
        return self._remote(model) * PRIOR_TIER_SHARE[tier]

    def _remote(self, model: ModelKey) -> float:
        remote = self._means.get((model, Tier.REMOTE))
        if remote is not None:
            return remote
        return self._priors.get(model, self._prior)


class ServiceTimes:
    """Learned service times by model: seconds from the start of a call to its end."""

    def __init__(self, prior: float = PRIOR_SERVICE_S) -> None:
        self._prior = prior
        self._means: dict[ModelKey, float] = {}

    def observe(self, model: ModelKey, seconds: float) -> None:
        """Learn from a call that ran for ``seconds``."""
        mean = self._means.get(model, seconds)
        self._means[model] = mean + NEWEST_WEIGHT * (seconds - mean)

    def expected(self, model: ModelKey) -> float:
        """The seconds that a call of ``model`` is expected to run."""
        return self._means.get(model, self._prior)


@dataclass(frozen=True, slots=True)
class EstimateInput:
    """What the wait of an arriving request depends on; durations are seconds.

    ``ahead`` counts the waiting requests that start before it, ``running`` those being
    served. ``load_s`` is the expected load time and ``load_age_s`` how long the load
    has gone on, None if it hasn't been ordered; ``before_load_s`` is the wait until a
    load can be ordered, for memory or for the weight store.
    """

    loaded: bool
    load_s: float = 0.0
    load_age_s: float | None = None
    before_load_s: float = 0.0
    running: int = 0
    ahead: int = 0
    max_running: int = 1
    service_s: float = PRIOR_SERVICE_S


@dataclass(frozen=True, slots=True)
class Estimate:
    """The expected wait until the start, whether a load is part of it, the service time
    that is expected to follow, and the part of the wait that is spent behind others.
    """

    wait_s: float
    cold: bool
    service_s: float = 0.0
    queue_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Accept:
    """The request can be answered in time."""


def estimate(given: EstimateInput) -> Estimate:
    """The wait of a request: the rest of the load, then the queue ahead of it.

    A replica serves ``max_running`` requests side by side, so one place becomes free
    each ``service_s / max_running`` seconds on average.
    """
    load_left = 0.0 if given.loaded else _load_left(given)
    in_the_way = given.running + given.ahead - given.max_running + 1
    queue = max(0, in_the_way) * given.service_s / max(1, given.max_running)
    return Estimate(load_left + queue, not given.loaded, given.service_s, queue)


def _load_left(given: EstimateInput) -> float:
    if given.load_age_s is None:
        return given.before_load_s + given.load_s
    return max(given.load_s - given.load_age_s, OVERRUN_SHARE * given.load_s)


def decide(now: float, req: Request, est: Estimate) -> Accept | Refused:
    """Accept ``req`` if its answer is expected by its deadline, else refuse it.

    A refusal is only for requests that haven't been started. Its come-back time is when
    the wait seen now will have passed, since then the same request would start at once.
    """
    left = req.deadline - now
    if left <= 0:
        return Refused(
            Code.DEADLINE_PASSED, Executed.NO, "the deadline passed before arrival"
        )
    needed = est.wait_s + _cautious_service_s(est)
    if needed <= left:
        return Accept()
    return Refused(
        Code.TOO_LATE,
        Executed.NO,
        f"an answer needs {needed:.2f} s, {left:.2f} s are left",
        retry_after_ms=come_back_ms(est.wait_s),
    )


def _cautious_service_s(est: Estimate) -> float:
    """The service time to allow for.

    Answers vary in length. Admitted on the mean alone, many of those at the end of a
    long queue are cut by their deadline in the middle, which shows as refusals of calls
    that ran, and the work on them is lost to all who wait. So the longer the queue, the
    more is allowed for. Without one, an answer that may be cut takes from nobody.
    """
    if est.service_s <= 0.0:
        return 0.0
    extra = min(MOST_EXTRA, est.queue_s / est.service_s)
    return est.service_s * (1.0 + extra)


def come_back_ms(wait_s: float) -> int:
    """The come-back time for a wait, in milliseconds, within sensible bounds."""
    bounded = min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return round(bounded * 1000)
