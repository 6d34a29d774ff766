"""One line of JSON on standard output for each decision.

A line that touches a request carries its id; each carries what decided it, with the
version or the age of those inputs. Two things must never happen: that a reader who has
stopped reading holds up the process, and that a storm of events fills the disk of
whoever collects them. So nothing here waits, and each kind of event has a budget a
second; what was left out is counted and said.

Example::

    events.emit("refused", request=req_id, reason="no_backend", config_version=7)
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, deque

#: Lines a second of one kind. A failure's kinds are few, so they aren't crowded out by
#: those of successes.
LINES_PER_S = 50.0
#: What may wait for a reader that is slow, in bytes; beyond it lines are left out.
MOST_WAITING = 256 * 1024
#: How often lines left out are reported. Seconds.
REPORT_S = 5.0


class EventLog:
    """Writes events to a file descriptor that it sets to non-blocking."""

    def __init__(self, instance: str, fd: int = 1, per_s: float = LINES_PER_S) -> None:
        self._instance = instance
        self._fd = fd
        self._per_s = per_s
        self._tokens: dict[str, tuple[float, float]] = {}
        self._left_out: Counter[str] = Counter()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._reported_at = 0.0
        os.set_blocking(fd, False)

    def emit(self, kind: str, **fields: object) -> None:
        """Write one event, unless its kind has used up its budget."""
        now = time.monotonic()
        if not self._take(kind, now):
            self._left_out[kind] += 1
            return
        self._write(kind, fields)
        if self._left_out and now - self._reported_at > REPORT_S:
            self._reported_at = now
            left_out, self._left_out = self._left_out, Counter()
            self._write("lines_left_out", dict(left_out))

    def _take(self, kind: str, now: float) -> bool:
        tokens, at = self._tokens.get(kind, (self._per_s, now))
        tokens = min(self._per_s, tokens + (now - at) * self._per_s)
        if tokens < 1.0:
            self._tokens[kind] = (tokens, now)
            return False
        self._tokens[kind] = (tokens - 1.0, now)
        return True

    def _write(self, kind: str, fields: dict[str, object]) -> None:
        line = {"time": round(time.time(), 3), "event": kind}
        line["instance"] = self._instance
        line.update(fields)
        data = json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"
        if self._waiting_bytes + len(data) > MOST_WAITING:
            self._left_out[kind] += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; serving goes on without its log.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
