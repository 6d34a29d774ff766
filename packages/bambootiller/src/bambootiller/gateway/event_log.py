"""Writes one line of JSON to standard output for each decision.

A line about a request carries its id, and each line carries the inputs of its decision
with their version or age. Two things must never happen: that a reader which has stopped
reading blocks the process, and that a burst of events fills the disk of the log
collector. So writes never block, and each kind of event has a budget of lines a second;
dropped lines are counted and reported.

Example::

    events.emit(lines.PeerHeard("10.0.0.1:7"))
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from bambootiller_core.gateway.log_lines import LinesLeftOut, LogLine

#: Lines a second of one kind of event. Failures are kinds of their own, so lines about
#: successes don't use up their budget.
MAX_LINES_PER_S = 50.0
#: The most bytes that are buffered for a slow reader; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
#: The fraction of the buffer open to lines about successes; the rest is reserved for
#: failures.
SUCCESS_FRACTION = 0.5
#: How often dropped lines are reported. Seconds.
REPORT_INTERVAL_S = 5.0

Listener = Callable[[LogLine], None]


class EventLog:
    """Writes events to a file descriptor, which it sets to non-blocking."""

    def __init__(
        self, instance: str, fd: int = 1, per_s: float = MAX_LINES_PER_S
    ) -> None:
        self._instance = instance
        self._fd = fd
        self._per_s = per_s
        self._tokens: dict[str, tuple[float, float]] = {}
        self._unreported_drops: Counter[str] = Counter()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._reported_at = time.monotonic()
        self._started_at = time.monotonic()
        self._listeners: list[Listener] = []
        #: The number of lines dropped since the start, by kind of event.
        self.dropped: Counter[str] = Counter()
        os.set_blocking(fd, False)

    def on_line(self, listener: Listener) -> None:
        """Call ``listener`` for each line, also for those that are dropped."""
        self._listeners.append(listener)

    def emit(self, line: LogLine) -> None:
        """Write one line, unless its kind of event has used up its budget."""
        now = time.monotonic()
        for listener in self._listeners:
            listener(line)
        if self._take_token(line.event, now):
            self._write(line, now)
        else:
            self._drop(line)
        if self._unreported_drops and now - self._reported_at > REPORT_INTERVAL_S:
            self._reported_at = now
            dropped, self._unreported_drops = self._unreported_drops, Counter()
            self._write(LinesLeftOut(dict(dropped)), now)

    def _drop(self, line: LogLine) -> None:
        self._unreported_drops[line.event] += 1
        self.dropped[line.event] += 1

    def _take_token(self, kind: str, now: float) -> bool:
        tokens, at = self._tokens.get(kind, (self._per_s, now))
        tokens = min(self._per_s, tokens + (now - at) * self._per_s)
        if tokens < 1.0:
            self._tokens[kind] = (tokens, now)
            return False
        self._tokens[kind] = (tokens - 1.0, now)
        return True

    def _write(self, line: LogLine, now: float) -> None:
        # The wall clock may jump; the time since the start doesn't, and orders the
        # lines of one process.
        record: dict[str, Any] = {
            "time": round(time.time(), 3),
            "uptime_s": round(now - self._started_at, 3),
            "event": line.event,
            "instance": self._instance,
        }
        record.update(line.to_json())
        data = json.dumps(record, default=str, separators=(",", ":")).encode() + b"\n"
        max_bytes = (
            MAX_BUFFERED_BYTES
            if line.failure
            else MAX_BUFFERED_BYTES * SUCCESS_FRACTION
        )
        if self._buffered_bytes + len(data) > max_bytes:
            self._drop(line)
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; the process goes on without a log.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
