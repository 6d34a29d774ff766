"""How a single counter that sees all calls would have kept the quotas of a run.

Each customer has one bucket, filled at its rate up to its burst. Calls are taken from
it in the order in which they arrived, whatever became of them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from bambootiller_standins.daylogs.reading import LoggedLine

_ENDS = frozenset({"answered", "refused", "cut", "caller_gone"})
OVER_QUOTA = "over_quota"
QUOTA_UNKNOWN = "quota_unknown"


@dataclass(slots=True)
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    at: float

    def takes(self, now: float, cost: float) -> bool:
        filled = self.level + (now - self.at) * self.rate_per_s
        self.level, self.at = min(self.burst, filled), now
        if self.level < cost:
            return False
        self.level -= cost
        return True


@dataclass(slots=True)
class Verdict:
    """The calls of one customer: all, those that the single counter refuses, those that
    were refused for their quota, those of them that the counter admits, and those that
    were refused because it wasn't known what may be spent."""

    calls: int = 0
    beyond: int = 0
    refused: int = 0
    refused_though_owed: int = 0
    unknown: int = 0


@dataclass(slots=True)
class _Event:
    at: float
    line: LoggedLine = field(compare=False)


def judge(lines: Iterable[LoggedLine]) -> dict[str, Verdict]:
    """The verdict on each customer's calls."""
    events = sorted(
        (_Event(_arrived(line), line) for line in lines), key=lambda event: event.at
    )
    found: dict[str, Verdict] = defaultdict(Verdict)
    buckets: dict[str, _Bucket] = {}
    version = -1
    for event in events:
        fields = event.line.fields
        if event.line.event == "quotas_in_force" and fields["config_version"] > version:
            version = fields["config_version"]
            _configure(buckets, event.at, fields["quotas"])
        elif event.line.event in _ENDS and fields.get("cost") is not None:
            _judge_call(found[fields["customer"]], buckets, event)
    return dict(found)


def _arrived(line: LoggedLine) -> float:
    fields = line.fields
    return line.at - fields.get("total_ms", fields.get("held_ms", 0)) / 1000


def _configure(buckets: dict[str, _Bucket], now: float, quotas: list[dict]) -> None:
    limited = {quota["customer"]: quota for quota in quotas}
    for name in buckets.keys() - limited.keys():
        del buckets[name]
    for name, quota in limited.items():
        rate, burst = quota["rate_per_s"], quota["burst"]
        held = buckets.get(name)
        level = burst if held is None else min(burst, held.level)
        buckets[name] = _Bucket(rate, burst, level, now)


def _judge_call(verdict: Verdict, buckets: dict[str, _Bucket], event: _Event) -> None:
    fields = event.line.fields
    bucket = buckets.get(fields["customer"])
    owed = bucket is None or bucket.takes(event.at, fields["cost"])
    reason = fields.get("reason") if event.line.event == "refused" else None
    verdict.calls += 1
    verdict.beyond += not owed
    verdict.refused += reason == OVER_QUOTA
    verdict.refused_though_owed += owed and reason == OVER_QUOTA
    verdict.unknown += reason == QUOTA_UNKNOWN


def total(verdicts: Iterable[Verdict]) -> Verdict:
    """The sum."""
    counted: Counter[str] = Counter()
    for verdict in verdicts:
        for name in Verdict.__slots__:
            counted[name] += getattr(verdict, name)
    return Verdict(**counted)
