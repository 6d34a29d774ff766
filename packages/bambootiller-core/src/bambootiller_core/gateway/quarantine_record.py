"""The record of a quarantine in the key-value service, which outlives the processes
that observed the crashes."""

from __future__ import annotations

import json
from collections.abc import Iterable

from bambootiller_core.gateway.crash_ledger import RETENTION_S, LostRun
from bambootiller_core.gateway.incarnation import Incarnation

PREFIX = "bambootiller/quarantine/"
#: No start of a backend server is later, in Unix milliseconds.
MAX_STARTED_MS = 2**53


def key_of(fingerprint: str) -> str:
    """The key of a request's quarantine record."""
    return PREFIX + fingerprint


def encode(runs: Iterable[LostRun], now: float, unix_s: float) -> bytes:
    """The record with the lost runs that caused the quarantine.

    Times are written as Unix time, which is precise enough: clocks of instances differ
    by seconds, while a quarantine lasts for minutes.
    """
    document = [
        {
            "instance": run.incarnation.instance,
            "started_ms": run.incarnation.started_ms,
            "progressed": run.progressed,
            "lost_at": round(unix_s - (now - run.lost_at), 3),
        }
        for run in runs
    ]
    return json.dumps(document).encode()


def decode(key: str, value: bytes, now: float, unix_s: float) -> tuple[LostRun, ...]:
    """The lost runs that are still retained; none if the record is too old.

    Raises :class:`ValueError` if the record can't be read.
    """
    try:
        document = json.loads(value)
        runs = tuple(_run(key, item, now, unix_s) for item in document)
    except (KeyError, TypeError, OverflowError, RecursionError) as exc:
        raise ValueError(
            f"{key}: {value[:80]!r}; allowed: a list of lost runs"
        ) from exc
    return tuple(run for run in runs if now - run.lost_at <= RETENTION_S)


def _run(key: str, item: dict, now: float, unix_s: float) -> LostRun:
    started_ms = item["started_ms"]
    if started_ms is not None and not 0 <= int(started_ms) <= MAX_STARTED_MS:
        raise ValueError(f"{key}: started_ms {started_ms}; allowed: 0 to 2**53")
    instance = str(item["instance"])
    # Messages to peers can't carry text that can't be encoded.
    (key + instance).encode()
    return LostRun(
        fingerprint=key.removeprefix(PREFIX),
        incarnation=Incarnation(
            instance, None if started_ms is None else int(started_ms)
        ),
        progressed=bool(item["progressed"]),
        lost_at=now - max(0.0, unix_s - float(item["lost_at"])),
    )
