"""The summary of a load run: outcomes by code, and percentiles of the times."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from bambootiller_standins.load._outcome import Outcome, Verdict

LOWEST_US = 1
HIGHEST_US = 600 * 1_000_000
DIGITS = 3
US = 1_000_000
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 100.0)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What became of the requests of a run that took *seconds*."""

    outcomes: tuple[Outcome, ...]
    seconds: float
    seed: int

    def count(self, verdict: Verdict) -> int:
        """Returns how many requests ended so."""
        return sum(outcome.verdict is verdict for outcome in self.outcomes)

    def form(self) -> dict[str, Any]:
        """Returns the summary; times are milliseconds."""
        answered = [
            outcome for outcome in self.outcomes if outcome.verdict is Verdict.ANSWERED
        ]
        firsts = [outcome.first_token for outcome in answered]
        gaps = [gap for outcome in answered for gap in outcome.between_tokens]
        refused = [
            outcome.total
            for outcome in self.outcomes
            if outcome.verdict is Verdict.REFUSED
        ]
        return {
            "requests": len(self.outcomes),
            "seconds": round(self.seconds, 3),
            "seed": self.seed,
            "verdicts": {verdict: self.count(verdict) for verdict in Verdict},
            "codes": _codes(self.outcomes),
            "first_token_ms": _summary(firsts),
            "between_tokens_ms": _summary(gaps),
            "total_ms": _summary(outcome.total for outcome in answered),
            "refusal_ms": _summary(refused),
        }


def _codes(outcomes: Iterable[Outcome]) -> dict[str, int]:
    counter = collections.Counter(
        f"{outcome.verdict}:{outcome.code}" for outcome in outcomes if outcome.code
    )
    return dict(sorted(counter.items()))


def _summary(seconds: Iterable[float]) -> dict[str, float]:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value in seconds:
        histogram.record_value(max(LOWEST_US, round(value * US)))
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    summary = {"count": count, "mean": _ms(histogram.get_mean_value())}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}"] = _ms(value)
    return summary


def _ms(us: float) -> float:
    return round(us / 1000, 3)
