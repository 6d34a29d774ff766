"""Metrics over statsd, which never get in the way of serving.

Metrics are a convenience: a collector that is down, slow or unknown must not cost a
request. So nothing here raises, and without an address every call does nothing.

    metrics = Metrics("127.0.0.1", 8125, "bambootiller")
    metrics.incr("entry.refused.cannot_meet_deadline")
    metrics.timing("entry.first_token_ms", 182.5)
    metrics.gauge("agent.memory_free_bytes", 12_884_901_888)

Names are dot-separated words. Parts that come from outside, such as a model's name,
are made safe: in statsd's format ``:``, ``|`` and ``@`` would end the name early.
"""

import re

import statsd

from bambootiller import logs

__all__ = ["Metrics"]

_UNSAFE = re.compile(r"[^A-Za-z0-9_.-]")

log = logs.logger("metrics")


class Metrics:
    """A statsd client, or nothing at all if ``host`` is None."""

    def __init__(self, host: str | None, port: int, prefix: str) -> None:
        self._client = None if host is None else _open(host, port, prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        if self._client is not None:
            self._client.incr(_safe(name), count)

    def timing(self, name: str, ms: float) -> None:
        """Note a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(_safe(name), ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a level that holds until it is set again."""
        if self._client is not None:
            self._client.gauge(_safe(name), value)

    def close(self) -> None:
        """Release the socket; later calls do nothing."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _open(host: str, port: int, prefix: str) -> statsd.StatsClient | None:
    try:
        return statsd.StatsClient(host, port, prefix, ipv6=":" in host)
    except OSError as exc:
        # The client looks the host up once, here. A name server that is down at a start
        # would otherwise keep an entry from serving for the sake of its metrics.
        log.warning("no metrics: --statsd {}:{} can't be used: {}", host, port, exc)
        return None


def _safe(name: str) -> str:
    return _UNSAFE.sub("_", name)
