"""Counters of what a process spends on its peers, for metrics and for status.

The bytes are those of the protocol's messages; HTTP/2 and TCP add their own framing.
"""

from __future__ import annotations

import os
from dataclasses import asdict, dataclass
from typing import Protocol

from bambootiller.metrics import Metrics


class Sized(Protocol):
    """A message that knows its encoded size."""

    def ByteSize(self) -> int:
        """The size in bytes."""


@dataclass(slots=True)
class Counts:
    """Totals since the start; each message counts once at either end."""

    bytes_sent: int = 0
    bytes_received: int = 0
    messages_sent: int = 0
    messages_received: int = 0
    failed: int = 0


class Traffic:
    """Counts messages, and hands the growth since the last report to the metrics."""

    def __init__(self) -> None:
        self.totals = Counts()
        self._reported = Counts()

    def sent(self, message: Sized) -> None:
        """Note a message that went out."""
        self.totals.messages_sent += 1
        self.totals.bytes_sent += message.ByteSize()

    def received(self, message: Sized) -> None:
        """Note a message that came in."""
        self.totals.messages_received += 1
        self.totals.bytes_received += message.ByteSize()

    def failed(self) -> None:
        """Note a call that wasn't answered."""
        self.totals.failed += 1

    def report(self, metrics: Metrics) -> None:
        """Add what was counted since the last report to the metrics."""
        now, before = asdict(self.totals), asdict(self._reported)
        for name, total in now.items():
            if total > before[name]:
                metrics.incr(f"peers.{name}", total - before[name])
        self._reported = Counts(**now)


def resident_bytes() -> int:
    """The memory of this process that is resident, 0 where the system doesn't tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as stream:
            return int(stream.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
