"""Parts that baselines put in place of the core's own, inside an agent's decisions."""

from __future__ import annotations

import bisect
import math
from typing import Any

from bambootiller_core.backend import BackendCore
from bambootiller_core.keepalive import KeepAlive
from bambootiller_core.template import Weights
from bambootiller_core.types import ModelKey, Request
from bambootiller_core.waiting import WaitingLine


class FixedKeepAlive(KeepAlive):
    """Unloads a model after a fixed time without requests."""

    def __init__(self, seconds: float) -> None:
        super().__init__()
        self._seconds = seconds
        self._idle: dict[ModelKey, float] = {}

    def arrived(self, now: float, key: ModelKey) -> None:
        self._idle.pop(key, None)

    def idle_since(self, now: float, key: ModelKey) -> None:
        self._idle.setdefault(key, now)

    def unload_at(
        self, now: float, key: ModelKey, weights: Weights, load_s: float, *_: Any
    ) -> float:
        return self._idle.get(key, now) + self._seconds


class ForeverKeepAlive(KeepAlive):
    """Never unloads a model for want of requests."""

    def unload_at(
        self, now: float, key: ModelKey, weights: Weights, load_s: float, *_: Any
    ) -> float:
        return math.inf


class ArrivalOrderLine(WaitingLine):
    """First come, first served, whoever calls; only deadlines keep their meaning."""

    def _key_of(self, req: Request, count: float) -> tuple[int, float, float, float]:
        return (0, count, 0.0, 0.0)

    def _line_of(self, req: Request) -> list:
        return self._urgent

    def ahead_of(self, req: Request) -> int:
        """All that wait, for one that arrives; those that arrived before it, else."""
        entry = self._waiting.get(req.request_id)
        if entry is None:
            return len(self)
        return bisect.bisect_left(self._urgent, (entry[0], req.request_id))


def install_keepalive(core: BackendCore, keepalive: KeepAlive) -> None:
    """Put another decision on keeping models into a core that has just been made.

    This reaches into the core's state on purpose: what is measured is the same code
    with one part exchanged, and no production setting should exist for the exchange.
    """
    core._state.keepalive = keepalive


def install_arrival_order(core: BackendCore) -> None:
    """Let a core serve in the order of arrival, once it knows its template."""
    for template in core._state.templates.values():
        for model in template.models:
            replica = core._state.replica(ModelKey(template.customer, model))
            replica.gate.line = ArrivalOrderLine()
