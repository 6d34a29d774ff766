"""What a backend server knows of one model, and how the engine's state moves it.

An engine's answer to an order says only that the order was taken. So a replica moves on
what the engine's state shows, with one exception: from the moment an order leaves until
the state shows its effect, the replica counts as ordered, or as unloading, whatever an
older state may still show.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from bambootiller_core._gate import Gate
from bambootiller_core.types import ModelKey, ModelReport, OrderState, Phase, Tier


class ReplicaPhase(enum.Enum):
    """How far a model, or one of its adapters, has come on this backend server."""

    COLD = "cold"
    ORDERED = "ordered"
    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


class Change(enum.Enum):
    """What the engine's newest state has brought a replica or an adapter."""

    NONE = "none"
    LOADED = "loaded"
    LOAD_FAILED = "load failed"
    UNLOADED = "unloaded"
    VANISHED = "vanished"
    CLOSED = "is unloading without an order from here"


_REPORTED = {
    Phase.LOADING: ReplicaPhase.LOADING,
    Phase.LOADED: ReplicaPhase.LOADED,
    Phase.UNLOADING: ReplicaPhase.UNLOADING,
}

_WITHOUT_REPORT = {
    ReplicaPhase.LOADING: Change.LOAD_FAILED,
    ReplicaPhase.LOADED: Change.VANISHED,
    ReplicaPhase.UNLOADING: Change.UNLOADED,
}


@dataclass(slots=True)
class Attempts:
    """Failures of loads in a row, and until when no further one is tried.

    While ``blocked_until`` lies ahead, requests are refused; until ``retry_at``, they
    wait for the next attempt.
    """

    failures: int = 0
    retry_at: float = 0.0
    blocked_until: float = 0.0

    def failed(
        self, now: float, limit: int, backoff_s: float, cool_down_s: float
    ) -> None:
        """Count a failure; the last of a series blocks further loads for a while."""
        self.failures += 1
        if self.failures >= limit:
            self.failures = 0
            self.blocked_until = now + cool_down_s
            self.retry_at = self.blocked_until
            return
        self.retry_at = now + backoff_s * 2 ** (self.failures - 1)

    def succeeded(self) -> None:
        """A load succeeded: the next failure starts a new series."""
        self.failures = 0
        self.retry_at = 0.0
        self.blocked_until = 0.0

    def may_load(self, now: float) -> bool:
        """Whether a load may be ordered now."""
        return now >= self.retry_at and now >= self.blocked_until


@dataclass(slots=True)
class Part:
    """A model or an adapter, as far as loading it is concerned.

    ``order_id`` is the order whose effect the state hasn't shown yet, or "". A late
    copy of an unload may arrive until ``unload_until``.
    """

    phase: ReplicaPhase = ReplicaPhase.COLD
    order_id: str = ""
    ordered_at: float = 0.0
    attempts: Attempts = field(default_factory=Attempts)
    unload_id: str = ""
    unload_until: float = 0.0

    @property
    def loaded(self) -> bool:
        """Whether requests can be run on it."""
        return self.phase is ReplicaPhase.LOADED

    @property
    def cold(self) -> bool:
        """Whether nothing of it is at the engine, as far as the state shows."""
        return self.phase is ReplicaPhase.COLD

    @property
    def coming(self) -> bool:
        """Whether it is ordered or loading."""
        return self.phase in (ReplicaPhase.ORDERED, ReplicaPhase.LOADING)

    def observe(self, reported: Phase | None, listed: OrderState | None) -> Change:
        """Move on the engine's newest state.

        ``reported`` is what it says of this part, None if it doesn't name it;
        ``listed`` is what it says of the open order.
        """
        before = self.phase
        if reported is None:
            return self._observe_absent(before, listed)
        after = self._phase_for(reported, listed)
        if after is before:
            return Change.NONE
        self._move(after)
        if after is ReplicaPhase.LOADED:
            return Change.LOADED
        if after is ReplicaPhase.UNLOADING:
            return Change.CLOSED
        return Change.NONE if before is not ReplicaPhase.LOADED else Change.VANISHED

    def engine_restarted(self) -> bool:
        """Drop all but an open load order; whether anything was there before.

        A load that has been ordered isn't lost for certain: its order may reach the new
        engine. So it stays ordered and is sent again under the same id.
        """
        if self.phase in (ReplicaPhase.COLD, ReplicaPhase.ORDERED):
            return False
        self._move(ReplicaPhase.COLD)
        return True

    def _observe_absent(
        self, before: ReplicaPhase, listed: OrderState | None
    ) -> Change:
        if before is ReplicaPhase.ORDERED:
            if listed not in (OrderState.DONE, OrderState.FAILED):
                return Change.NONE
            self._move(ReplicaPhase.COLD)
            return Change.LOAD_FAILED
        if before is ReplicaPhase.COLD:
            return Change.NONE
        self._move(ReplicaPhase.COLD)
        return _WITHOUT_REPORT[before]

    def _phase_for(self, reported: Phase, listed: OrderState | None) -> ReplicaPhase:
        # The state may be older than our order: a model on its way out is still shown
        # as loaded, and a request started on it would be cut in the middle. Until the
        # state lists the order, what it shows is from before.
        if self.order_id and self.phase is ReplicaPhase.UNLOADING:
            if listed not in (OrderState.DONE, OrderState.FAILED):
                return ReplicaPhase.UNLOADING
        if self.phase is ReplicaPhase.ORDERED and reported is Phase.UNLOADING:
            if listed is None:
                return ReplicaPhase.ORDERED
        return _REPORTED[reported]

    def _move(self, phase: ReplicaPhase) -> None:
        self.phase = phase
        self.order_id = ""


@dataclass(slots=True)
class Replica:
    """A model that this backend server has or had a slot of, or that its engine has.

    ``unload_at`` is when it goes if it stays idle; ``wanted_until`` keeps a load going
    for callers that were told to come back. ``released_fence`` is the fence of the slot
    that was offered back, 0 if none was.
    """

    key: ModelKey
    gate: Gate
    part: Part = field(default_factory=Part)
    adapters: dict[str, Part] = field(default_factory=dict)
    report: ModelReport | None = None
    tier_ordered: Tier = Tier.REMOTE
    unload_at: float | None = None
    wanted_until: float = 0.0
    wanted_since: float = 0.0
    released_fence: int = 0
    released_at: float = 0.0

    def adapter(self, name: str) -> Part:
        """The adapter's part, made on first use."""
        return self.adapters.setdefault(name, Part())

    def idle(self) -> bool:
        """Whether no request waits or runs here."""
        return self.gate.empty()

    def at_rest(self, now: float) -> bool:
        """Whether it is cold and nobody asks for it, as most are most of the time."""
        return self.part.cold and now >= self.wanted_until and self.gate.empty()

    def wanted(self, now: float) -> bool:
        """Whether somebody waits for it, or was told to come back soon."""
        return self.gate.waiting() > 0 or now < self.wanted_until
